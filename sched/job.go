package sched

import (
	"slices"

	"tamarindlead/micros"
)

// Priority orders jobs: those with a higher value are placed first.
type Priority int

// Priorities of jobs.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Job is a job as its user submitted it.
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
	Types            []string      // allowed machine types, nil for any
	Zone             string        // the only allowed zone, or ""
	OneZone          bool          // all tasks must be in the same zone
	Spread           bool          // no zone may hold more than half of the tasks
	Spot             bool          // may use spot machines
	MinOnDemandTasks int           // tasks of a gang that must not be on spot machines
	Estimate         micros.Micros // of a task's run time
	// CheckpointInterval is the progress after which a running task saves a checkpoint, 0 for never.
	CheckpointInterval micros.Micros
	CheckpointDuration micros.Micros // time that saving a checkpoint takes
	Deadline           micros.Micros // from submission, 0 for none
	Dependencies       []string      // upstream jobs that must complete before any task starts, in order
}

// Allows reports whether the job's tasks may run on machines of a type in a zone, on spot or
// on-demand machines.
func (j *Job) Allows(machineType, zone string, spot bool) bool {
	if spot && !j.Spot || j.Zone != "" && j.Zone != zone {
		return false
	}
	return j.Types == nil || slices.Contains(j.Types, machineType)
}

// ZoneCap returns the largest number of the job's tasks that may be in one zone at once.
func (j *Job) ZoneCap() int {
	if j.Spread {
		return (j.Tasks + 1) / 2
	}
	return j.Tasks
}

// FitsAny reports whether a task of the job fits an allowed machine type in some zone.
func (j *Job) FitsAny(types []MachineType) bool {
	for _, t := range types {
		if !j.Need.Fits(t.Size) {
			continue
		}
		for _, zone := range t.Zones {
			if j.Allows(t.Name, zone, false) {
				return true
			}
		}
	}
	return false
}
