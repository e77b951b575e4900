package autoscaler

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Gang is a pending gang.
type Gang struct {
	Job      *sched.Job
	Reserved bool // machines are reserved for it by preempting tasks
}

// Demand is the work of jobs that fit the same machine types, and the capacity that could run it.
type Demand struct {
	Representative        *sched.Job                // one of the jobs
	MaxWait               micros.Micros             // time within which a gang should start
	PendingCPUSeconds     float64                   // pending work
	LowPriorityCPUSeconds float64                   // part with low priority that is not urgent
	LowPriorityMaxWait    micros.Micros             // longest wait target of the low-priority jobs
	QuotaLimited          bool                      // the teams' quota limits exclude some of the work
	QuotaHeadroom         float64                   // further CPUs within the quota limits, counted once per team
	Capacity              float64                   // CPUs of machines that are ready, booting or requested
	Used                  float64                   // CPUs in use
	UsedByOffer           map[Offer]sched.Resources // resources in use by this work
	Gangs                 []Gang                    // pending gangs

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

// usableCPUs returns how many CPUs of an empty machine of an offer the work could use.
func (d *Demand) usableCPUs(catalog Catalog, offer Offer) float64 {
	cpus, ok := d.usable[offer]
	if !ok {
		cpus = catalog.usableCPUs(d.Representative, offer)
		d.usable[offer] = cpus
	}
	return cpus
}

// limitByQuota bounds the missing CPUs by the quota headroom of the work's teams minus the free CPUs of
// existing and requested machines. It applies no bound if the quota limits exclude none of the work,
// since some of the requested machines may never become ready.
func (d *Demand) limitByQuota(shortCPUs float64) float64 {
	if !d.QuotaLimited {
		return shortCPUs
	}
	free := max(d.Capacity-d.Used, 0)
	return min(shortCPUs, d.QuotaHeadroom-free)
}

// pendingTasks returns the total number of tasks of the pending gangs.
func (d *Demand) pendingTasks() int {
	tasks := 0
	for _, gang := range d.Gangs {
		tasks += gang.Job.Tasks
	}
	return tasks
}
