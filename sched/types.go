// Package sched holds the decisions about placement as pure functions over plain
// values: no clock, no network, no records.
package sched

import (
	"math"
	"slices"

	"tamarindlead/micros"
)

// Priority orders jobs; the higher value goes first.
type Priority int

// Priorities of jobs.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Resources are amounts in whole millionths, so that sums never drift.
type Resources struct {
	CPU, GPU, Mem int64
}

const unit = 1e6

// NewResources converts decimal amounts. It rounds up: what a task takes is never
// understated.
func NewResources(cpus, gpus, memGB float64) Resources {
	up := func(v float64) int64 { return int64(math.Ceil(v*unit - 1e-3)) }
	return Resources{up(cpus), up(gpus), up(memGB)}
}

// Amounts is the inverse of NewResources.
func (r Resources) Amounts() (cpus, gpus, memGB float64) {
	return float64(r.CPU) / unit, float64(r.GPU) / unit, float64(r.Mem) / unit
}

// CPUs returns the processor amount in decimal.
func (r Resources) CPUs() float64 { return float64(r.CPU) / unit }

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.Mem + o.Mem}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.Mem - o.Mem}
}

// Times returns r taken n times.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.GPU * int64(n), r.Mem * int64(n)}
}

// Fits tells whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.GPU <= free.GPU && r.Mem <= free.Mem
}

// Count tells how many times r fits into free, at most the given number.
func (r Resources) Count(free Resources, most int) int {
	n := int64(most)
	for _, p := range [...][2]int64{{r.CPU, free.CPU}, {r.GPU, free.GPU}, {r.Mem, free.Mem}} {
		if p[1] < 0 {
			return 0
		}
		if p[0] > 0 {
			n = min(n, p[1]/p[0])
		}
	}
	return int(n)
}

// Job is a job as its user described it.
type Job struct {
	ID               string
	Class            string
	Team             string
	Gang             bool
	Service          bool // independent tasks that run until they are cancelled
	Priority         Priority
	Tasks            int
	Need             Resources // of each task
	Image            string
	ImageGB          float64
	Types            []string // allowed machine types, nil for any
	Zone             string   // the only allowed zone, or ""
	OneZone          bool
	Spread           bool
	Spot             bool // may use spot machines
	MinOnDemandTasks int  // so many of a gang's tasks must not be on spot machines
	Estimate         micros.Micros
	// CheckpointInterval is the progress after which a running task saves by itself; 0: never.
	CheckpointInterval micros.Micros
	CheckpointDuration micros.Micros
	Deadline           micros.Micros // from submission, 0 for none
	Dependencies       []string      // jobs that must be done before any of its tasks starts, in order
}

// Allows tells whether the job's tasks may run on a kind of machine.
func (j *Job) Allows(typ, zone string, spot bool) bool {
	if spot && !j.Spot || j.Zone != "" && j.Zone != zone {
		return false
	}
	return j.Types == nil || slices.Contains(j.Types, typ)
}

// ZoneCap is the largest number of the job's tasks that may be in one zone at once.
func (j *Job) ZoneCap() int {
	if j.Spread {
		return (j.Tasks + 1) / 2
	}
	return j.Tasks
}

// MachineType is a kind of machine that the cloud rents.
type MachineType struct {
	Name        string
	Size        Resources
	CacheGB     float64
	FetchGBPerS float64
	Price       float64 // per hour
	SpotPrice   float64
	Boot        micros.Micros
	Zones       []string
}

// FitsAny tells whether a task of the job fits some allowed type in some zone.
func (j *Job) FitsAny(types []MachineType) bool {
	for _, t := range types {
		if !j.Need.Fits(t.Size) {
			continue
		}
		for _, z := range t.Zones {
			if j.Allows(t.Name, z, false) {
				return true
			}
		}
	}
	return false
}
