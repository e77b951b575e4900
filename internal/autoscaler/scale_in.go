package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds of replacing machines and of scaling down.
const (
	// replacePrice is the part of a machine's price at which another is worth a move.
	replacePrice = 0.6
	// loadVariation is the room that is left when machines are drained, in parts of all, by
	// the root of their number: the more machines, the less their load varies in proportion.
	loadVariation = 0.85
	// minHeadroom and maxHeadroom bound that part.
	minHeadroom = 0.05
	maxHeadroom = 0.5
	// drainShare is the part of all machines that is drained at once, one at least.
	drainShare = 0.03
	// drainBefore and idleDrainBefore tell how long before the end of the time that is charged
	// in any case a machine may be drained: one with tasks needs time to become empty.
	drainBefore     = 20 * micros.Second
	idleDrainBefore = 5 * micros.Second
)

// replaceExpensive rents cheaper machines for work that runs on expensive ones, which then
// become empty and are returned.
func (p *Planner) replaceExpensive(demands []*Demand) {
	if p.OpenScaleOuts+len(p.plan.ScaleOutRequests) > 0 {
		return
	}
	for _, d := range demands {
		best := p.cheapestOf(d.Representative, false, anyOffer)
		if best == nil || len(d.UsedByOffer) == 0 || d.Representative.Gang {
			continue
		}
		if cpus := p.replaceableCPUs(d, best); cpus >= best.cpus/2 {
			p.requestScaleOut(d.Representative, best, cpus-best.cpus/2)
			return
		}
	}
}

// replaceableCPUs is what the work uses on machines that are worth replacing by an offer, less
// what is free already on machines that are not.
func (p *Planner) replaceableCPUs(d *Demand, best *choice) float64 {
	var expensive sched.Resources
	for offer, used := range d.UsedByOffer {
		if p.worthReplacing(offer, best) {
			expensive = expensive.Add(used)
		}
	}
	cpus := expensive.CPUs()
	for _, m := range p.Machines {
		if m.State != MachineOther && d.usableCPUs(p.Catalog, m.Offer) > 0 && !p.worthReplacing(m.Offer, best) {
			cpus -= max(0, m.free().CPUs())
		}
	}
	return cpus
}

func (p *Planner) worthReplacing(offer Offer, best *choice) bool {
	return p.PricePerCPU(offer.Type, offer.Spot)*replacePrice >= best.price
}

// scaleIn drains the most expensive machines once the others can carry the work: some at a
// time, so that what leaves them finds its place.
func (p *Planner) scaleIn(demands []*Demand) {
	most := max(1, int(drainShare*float64(len(p.Machines))))
	room := max(minHeadroom, loadVariation/math.Sqrt(float64(max(1, len(p.Machines)))))
	limit := max(1-room, 1-maxHeadroom)
	for _, d := range demands {
		if d.Representative.Gang {
			continue
		}
		needed := d.Used + d.PendingCPUSeconds/p.targetSeconds()
		for ; most > 0; most-- {
			m := p.mostExpensive(d.Representative)
			if m == nil {
				break
			}
			usable := d.usableCPUs(p.Catalog, m.Offer)
			if needed >= limit*(d.Capacity-usable) {
				break
			}
			d.Capacity -= usable
			needed -= m.Used.CPUs()
			p.drain(m, DrainSurplus)
		}
	}
}

func (p *Planner) drain(m *Machine, reason DrainReason) {
	m.State = MachineOther
	p.plan.Drains = append(p.plan.Drains, Drain{Machine: m.Name, Reason: reason})
}

// mostExpensive finds the machine to drain first: the one that costs the most, and of equal
// ones that with the least work.
func (p *Planner) mostExpensive(job *sched.Job) *Machine {
	var best *Machine
	for _, m := range p.Machines {
		if !p.mayDrain(m, job) {
			continue
		}
		if best == nil || cmp.Or(-p.comparePrices(m, best), cmp.Compare(m.Used.CPU, best.Used.CPU)) < 0 {
			best = m
		}
	}
	return best
}

// mayDrain tells whether a machine that a job could use may be drained: spot machines cost
// little, and one that is charged for in any case may as well stay.
func (p *Planner) mayDrain(m *Machine, job *sched.Job) bool {
	return m.State == MachineReady && !m.Spot && !m.Reserved && m.Age >= minBilledTime-drainBefore &&
		!p.avoids(job, m.Offer) && p.UsableCPUs(job, m.Offer) > 0
}

func (p *Planner) comparePrices(a, b *Machine) int {
	return cmp.Compare(p.PricePerCPU(a.Type, a.Spot), p.PricePerCPU(b.Type, b.Spot))
}

// drainIdle drains machines that have had nothing to do for a while, but for those that are
// kept ready for gangs and those that waiting work could use.
func (p *Planner) drainIdle(demands []*Demand) {
	ready := p.remainingWarmPool()
	waiting := map[*Demand]int{} // tasks of gangs that wait
	for _, d := range demands {
		waiting[d] = d.pendingTasks()
	}
	for _, m := range p.idleMachines() {
		needed := ready.Claim(m.Offer, m.free()) || p.neededByPendingWork(m, demands, waiting)
		if !needed && m.IdleFor > p.idleTimeout(m) && m.Age > minBilledTime-idleDrainBefore {
			p.drain(m, DrainIdle)
		}
	}
}

// remainingWarmPool is what idle machines must still be kept ready for: what only finishes short
// work is ready too.
func (p *Planner) remainingWarmPool() *WarmPool {
	ready := NewWarmPool(p.Now, p.Classes, p.SLOs, p.Catalog)
	for _, m := range p.Machines {
		if m.State == MachineReady && m.Busy && m.OnlySlack && p.Classes.Scarce(p.Now, m.Type, m.Spot) {
			ready.Claim(m.Offer, m.free())
		}
	}
	return ready
}

// idleMachines lists the machines without tasks, the cheapest first: what is kept ready
// should cost little.
func (p *Planner) idleMachines() []*Machine {
	var idle []*Machine
	for _, m := range p.Machines {
		if m.State == MachineReady && !m.Busy && m.Claimed && !m.Reserved {
			idle = append(idle, m)
		}
	}
	slices.SortStableFunc(idle, p.comparePrices)
	return idle
}

// idleTimeout is how long a machine may be idle: an ordinary one half as long as a spot machine.
func (p *Planner) idleTimeout(m *Machine) micros.Micros {
	if m.Spot {
		return p.IdleTimeout
	}
	return p.IdleTimeout / 2
}

// neededByPendingWork tells that work waits which an idle machine could take: for its record to be
// written, or for more machines that a gang needs. To return machines and rent others would
// cost writes and boot times, and make it wait longer.
func (p *Planner) neededByPendingWork(m *Machine, demands []*Demand, waiting map[*Demand]int) bool {
	for _, d := range demands {
		switch {
		case d.usableCPUs(p.Catalog, m.Offer) == 0:
		case !d.Representative.Gang:
			if d.PendingCPUSeconds > 0 && !p.avoids(d.Representative, m.Offer) {
				return true
			}
		case waiting[d] > 0:
			waiting[d] -= p.tasksOn(d.Representative, m.Size)
			return true
		}
	}
	return false
}
