package autoscaler

import (
	"cmp"
	"math"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// loadVariation, divided by the root of the number of machines, is the fraction of
	// capacity that scale-in leaves free: the more machines, the less their load varies in
	// proportion.
	loadVariation = 0.85
	// minHeadroom and maxHeadroom bound that fraction.
	minHeadroom = 0.05
	maxHeadroom = 0.5
	// drainFraction is the fraction of all machines that may be drained at once, at least one.
	drainFraction = 0.03
	// drainLeadTime is how long before the end of the least billed time a machine with tasks may
	// be drained, since it needs time to become empty.
	drainLeadTime = 20 * micros.Second
)

// scaleIn drains the most expensive machines once the others can run the work: few at a time,
// so that tasks that leave them can be placed elsewhere.
func (p *Planner) scaleIn(demands []*Demand) {
	left := max(1, int(drainFraction*float64(len(p.Machines))))
	for _, d := range demands {
		if !d.Representative.Gang {
			left -= p.scaleInFor(d, left)
		}
	}
}

// scaleInFor drains machines that a demand does not need, at most limit, and returns how many.
func (p *Planner) scaleInFor(d *Demand, limit int) int {
	maxLoad := p.maxLoad()
	needed := d.Used + d.PendingCPUSeconds/p.targetSeconds()
	drained := 0
	for drained < limit {
		m := p.mostExpensive(d.Representative)
		if m == nil {
			break
		}
		usable := d.usableCPUs(p.Catalog, m.Offer)
		if needed >= maxLoad*(d.Capacity-usable) {
			break
		}
		d.Capacity -= usable
		needed -= m.Used.CPUs()
		p.drain(m, DrainSurplus)
		drained++
	}
	return drained
}

// maxLoad returns the fraction of the remaining capacity that may be in use after scale-in.
func (p *Planner) maxLoad() float64 {
	machines := float64(max(1, len(p.Machines)))
	headroom := max(minHeadroom, loadVariation/math.Sqrt(machines))
	return max(1-headroom, 1-maxHeadroom)
}

// mostExpensive returns the machine to drain first: the most expensive one, and of equal ones
// that with the least processors in use. It returns nil if there is none.
func (p *Planner) mostExpensive(job *sched.Job) *Machine {
	var first *Machine
	for _, m := range p.Machines {
		if p.canDrain(m, job) && (first == nil || p.compareForDrain(m, first) < 0) {
			first = m
		}
	}
	return first
}

// compareForDrain orders machines, the one to drain first first.
func (p *Planner) compareForDrain(a, b *Machine) int {
	return cmp.Or(-p.comparePrices(a, b), cmp.Compare(a.Used.CPU, b.Used.CPU))
}

// canDrain reports whether a machine that a job could use may be drained. Spot machines stay,
// since they cost little, and so does one whose time is billed in any case.
func (p *Planner) canDrain(m *Machine, job *sched.Job) bool {
	if m.State != MachineReady || m.Spot || m.Reserved || m.Age < minBilledTime-drainLeadTime {
		return false
	}
	return !p.avoids(job, m.Offer) && p.usableCPUs(job, m.Offer) > 0
}

func (p *Planner) comparePrices(a, b *Machine) int {
	return cmp.Compare(p.PricePerCPU(a.Type, a.Spot), p.PricePerCPU(b.Type, b.Spot))
}
