package autoscaler

import (
	"slices"

	"tamarindlead/micros"
)

// idleDrainLeadTime is how long before the end of the least billed time an idle machine may be
// drained.
const idleDrainLeadTime = 5 * micros.Second

// drainIdle drains machines that have been idle for long, except those of the warm pool and
// those that pending work could use.
func (p *Planner) drainIdle(demands []*Demand) {
	pool := p.remainingWarmPool()
	pendingTasks := map[*Demand]int{} // of gangs, for which no machine is kept yet
	for _, d := range demands {
		pendingTasks[d] = d.pendingTasks()
	}
	for _, m := range p.idleMachines() {
		needed := pool.Claim(m.Offer, m.free()) || p.claimForPendingWork(m, demands, pendingTasks)
		if !needed && m.IdleFor > p.idleTimeout(m) && m.Age > minBilledTime-idleDrainLeadTime {
			p.drain(m, DrainIdle)
		}
	}
}

// remainingWarmPool returns the warm pool that idle machines must provide. Busy machines of a
// scarce type that run no job of that type count towards it already.
func (p *Planner) remainingWarmPool() *WarmPool {
	pool := NewWarmPool(p.Now, p.Classes, p.SLOs, p.Catalog)
	for _, m := range p.Machines {
		if m.State == MachineReady && m.Busy && m.NoDependentTasks && p.Classes.Scarce(p.Now, m.Type, m.Spot) {
			pool.Claim(m.Offer, m.free())
		}
	}
	return pool
}

// idleMachines returns the machines without tasks, the cheapest first: what is kept ready
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

// idleTimeout returns how long a machine may be idle: an on-demand one half as long as a spot
// machine.
func (p *Planner) idleTimeout(m *Machine) micros.Micros {
	if m.Spot {
		return p.IdleTimeout
	}
	return p.IdleTimeout / 2
}

// claimForPendingWork reports whether pending work could use an idle machine, and counts it
// towards the pending tasks of a gang. Such work waits for its record to be written, or for
// more machines that a gang needs; to drain the machine and request another would cost
// writes and a boot time, and prolong the wait.
func (p *Planner) claimForPendingWork(m *Machine, demands []*Demand, pendingTasks map[*Demand]int) bool {
	for _, d := range demands {
		switch {
		case d.usableCPUs(p.Catalog, m.Offer) == 0:
			continue
		case !d.Representative.Gang:
			if d.PendingCPUSeconds > 0 && !p.avoids(d.Representative, m.Offer) {
				return true
			}
		case pendingTasks[d] > 0:
			pendingTasks[d] -= p.tasksOn(d.Representative, m.Size)
			return true
		}
	}
	return false
}
