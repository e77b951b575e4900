package autoscaler

import (
	"cmp"
	"math"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// loadVariation, divided by the square root of the number of machines, is the fraction of
	// capacity that scale-in leaves free, since the relative variation of the load decreases with
	// the number of machines.
	loadVariation = 0.85
	// minHeadroom and maxHeadroom bound that fraction.
	minHeadroom = 0.05
	maxHeadroom = 0.5
	// drainFraction is the fraction of all machines that one plan may drain as surplus. At least one
	// machine may be drained.
	drainFraction = 0.03
	// drainLeadTime is how long before the end of its minimum billed time a machine with tasks may
	// be drained, since it needs time to become empty.
	drainLeadTime = 20 * micros.Second
)

// scaleIn drains the most expensive machines if the other machines can run the work. It drains only a few
// at a time, so that their tasks can be placed on other machines.
func (p *Planner) scaleIn(demands []*Demand) {
	left := max(1, int(drainFraction*float64(len(p.Machines))))
	for _, d := range demands {
		if !d.Representative.Gang {
			left -= p.scaleInFor(d, left)
		}
	}
}

// scaleInFor drains at most limit machines that a demand does not need, and returns their number.
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

// mostExpensive returns the machine to drain first: the most expensive machine and, at equal prices, the
// one with the fewest CPUs in use. It returns nil if no machine can be drained.
func (p *Planner) mostExpensive(job *sched.Job) *Machine {
	var first *Machine
	for _, m := range p.Machines {
		if p.canDrain(m, job) && (first == nil || p.compareForDrain(m, first) < 0) {
			first = m
		}
	}
	return first
}

// compareForDrain orders machines by their order of draining, the first to be drained first.
func (p *Planner) compareForDrain(a, b *Machine) int {
	return cmp.Or(-p.comparePrices(a, b), cmp.Compare(a.Used.CPU, b.Used.CPU))
}

// canDrain reports whether a machine that a job could use may be drained. Spot machines are not drained,
// since they are cheap, nor are machines within their minimum billed time.
func (p *Planner) canDrain(m *Machine, job *sched.Job) bool {
	if m.State != MachineReady || m.Spot || m.Reserved || m.Age < minBilledTime-drainLeadTime {
		return false
	}
	return !p.avoids(job, m.Offer) && p.usableCPUs(job, m.Offer) > 0
}

// comparePrices orders machines by price per CPU, the cheapest first.
func (p *Planner) comparePrices(a, b *Machine) int {
	return cmp.Compare(p.PricePerCPU(a.Type, a.Spot), p.PricePerCPU(b.Type, b.Spot))
}
