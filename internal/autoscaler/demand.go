package autoscaler

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Gang is a pending gang.
type Gang struct {
	Job      *sched.Job
	Reserved bool // machines are reserved for it, for which tasks are preempted
}

// Demand is the work that fits the same machine types, and the capacity that could run it.
type Demand struct {
	Representative        *sched.Job                // one of its jobs
	MaxWait               micros.Micros             // within which a gang should start
	PendingCPUSeconds     float64                   // work that is not placed, in processor seconds
	LowPriorityCPUSeconds float64                   // the part of it that has the lowest priority
	LowPriorityMaxWait    micros.Micros             // how long that part may wait
	QuotaLimited          bool                      // quota limits of its teams exclude some of it
	QuotaHeadroom         float64                   // processors that the quota limits leave to it, each counted once
	Capacity              float64                   // processors of machines that are ready, boot or are requested
	Used                  float64                   // those in use
	UsedByOffer           map[Offer]sched.Resources // in use by this work
	Gangs                 []Gang                    // pending

	usable map[Offer]float64 // cache of usableCPUs
}

// NewDemand returns a demand without any work.
func NewDemand(representative *sched.Job, maxWait micros.Micros) *Demand {
	return &Demand{
		Representative: representative,
		MaxWait:        maxWait,
		UsedByOffer:    map[Offer]sched.Resources{},
		usable:         map[Offer]float64{},
	}
}

// usableCPUs returns how many processors of a machine the work could use.
func (d *Demand) usableCPUs(catalog Catalog, offer Offer) float64 {
	cpus, ok := d.usable[offer]
	if !ok {
		cpus = catalog.usableCPUs(d.Representative, offer)
		d.usable[offer] = cpus
	}
	return cpus
}

// limitByQuota bounds what the work lacks by what the quota limits of its teams leave to it,
// less what is free on existing machines. Where the limits exclude nothing, it is not bounded:
// some of the machines may never become ready.
func (d *Demand) limitByQuota(shortCPUs float64) float64 {
	if !d.QuotaLimited {
		return shortCPUs
	}
	free := max(d.Capacity-d.Used, 0)
	return min(shortCPUs, d.QuotaHeadroom-free)
}

// pendingTasks returns the number of tasks of the pending gangs.
func (d *Demand) pendingTasks() int {
	tasks := 0
	for _, gang := range d.Gangs {
		tasks += gang.Job.Tasks
	}
	return tasks
}
