package autoscaler

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Gang is a gang that waits.
type Gang struct {
	Job      *sched.Job
	Reserved bool // machines are held for it, for which work is stopped
}

// Demand is work that fits the same machine types, and what could carry it.
type Demand struct {
	Representative        *sched.Job                // one of its jobs
	MaxWait               micros.Micros             // within which a gang should start
	PendingCPUSeconds     float64                   // work that is not placed, in processor seconds
	LowPriorityCPUSeconds float64                   // the part of it that has the lowest priority
	LowPriorityMaxWait    micros.Micros             // which may wait for so long
	QuotaLimited          bool                      // its teams' limits leave out some of it
	QuotaHeadroom         float64                   // processors that its teams' limits leave to it, each counted once
	Capacity              float64                   // processors of machines that are up, boot or are asked for
	Used                  float64                   // those in use
	UsedByOffer           map[Offer]sched.Resources // in use by this work
	Gangs                 []Gang                    // that wait

	usable map[Offer]float64 // by a machine of the offer, as far as it was asked for
}

// NewDemand returns a demand without any work.
func NewDemand(first *sched.Job, maxWait micros.Micros) *Demand {
	return &Demand{Representative: first, MaxWait: maxWait, UsedByOffer: map[Offer]sched.Resources{}, usable: map[Offer]float64{}}
}

// usableCPUs tells how many processors of a machine the work could use.
func (d *Demand) usableCPUs(catalog Catalog, offer Offer) float64 {
	cpus, ok := d.usable[offer]
	if !ok {
		cpus = catalog.UsableCPUs(d.Representative, offer)
		d.usable[offer] = cpus
	}
	return cpus
}

// limitByQuota bounds what the work is short of by what its teams' limits leave to it, less
// what is free on the machines there are. Where the limits leave out nothing, it is not bounded:
// some of the machines may never come up.
func (d *Demand) limitByQuota(short float64) float64 {
	if !d.QuotaLimited {
		return short
	}
	free := max(d.Capacity-d.Used, 0)
	return min(short, d.QuotaHeadroom-free)
}

// pendingTasks counts the tasks of the gangs that wait.
func (d *Demand) pendingTasks() int {
	n := 0
	for _, gang := range d.Gangs {
		n += gang.Job.Tasks
	}
	return n
}

// measure counts what could carry a demand: machines that are up or boot, and those that the
// cloud is asked for.
func (p *Planner) measure(d *Demand) {
	for _, m := range p.Machines {
		if m.State == MachineOther || p.avoids(d.Representative, m.Offer) {
			continue
		}
		usable := d.usableCPUs(p.Catalog, m.Offer)
		if d.Capacity += usable; usable > 0 {
			d.Used += m.Used.CPUs()
		}
	}
	for _, r := range p.PendingScaleOuts {
		if !p.avoids(d.Representative, r.Offer) {
			d.Capacity += d.usableCPUs(p.Catalog, r.Offer) * float64(r.Number)
		}
	}
}
