package autoscaler

import (
	"slices"

	"tamarindlead/micros"
)

// idleDrainLeadTime is how long before the end of its minimum billed time an idle machine may be
// drained.
const idleDrainLeadTime = 5 * micros.Second

// drainIdle drains machines that have been idle for longer than their idle timeout, except machines that
// the warm pool needs or that pending work could use.
func (p *Planner) drainIdle(demands []*Demand) {
	pool := p.remainingWarmPool()
	pendingTasks := map[*Demand]int{} // tasks of pending gangs without a kept machine
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

// remainingWarmPool returns the part of the warm pool that idle machines must provide. Busy machines of a
// scarce type that run no jobs that depend on that type already count towards the warm pool.
func (p *Planner) remainingWarmPool() *WarmPool {
	pool := NewWarmPool(p.Now, p.Classes, p.SLOs, p.Catalog)
	for _, m := range p.Machines {
		if m.State == MachineReady && m.Busy && m.NoSingleTypeTasks && p.Classes.Scarce(p.Now, m.Type, m.Spot) {
			pool.Claim(m.Offer, m.free())
		}
	}
	return pool
}

// idleMachines returns the machines without tasks, the cheapest first, so that cheap machines are kept
// ready in preference to expensive ones.
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

// idleTimeout returns how long a machine may be idle. It is half as long for an on-demand machine as for
// a spot machine.
func (p *Planner) idleTimeout(m *Machine) micros.Micros {
	if m.Spot {
		return p.IdleTimeout
	}
	return p.IdleTimeout / 2
}

// claimForPendingWork reports whether pending work could use an idle machine. If a gang could, the
// machine is counted towards its pending tasks. Such work waits until its placement is recorded, or
// until a gang has enough machines. Draining the machine and requesting another one would cost writes and
// a boot time, and would prolong the wait.
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
