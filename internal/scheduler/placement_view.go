package scheduler

import (
	"math"

	"tamarindlead/internal/inventory"
	"tamarindlead/sched"
)

// maxMissedHeartbeats is the age of a machine's last heartbeat, in heartbeat intervals, up to which
// tasks are placed on it.
const maxMissedHeartbeats = 2

// priceClassRatio is the ratio of two prices up to which they may count as equal for placement. A
// cached image of the task then matters more than the price.
const priceClassRatio = 1.5

// priceClass returns the class of prices that count as equal.
func priceClass(price float64) float64 {
	if price <= 0 {
		return 0
	}
	return math.Round(math.Log(price) / math.Log(priceClassRatio))
}

// placementView returns the machine view with machines reserved for gangs, and with the slack of
// machines that gangs use as separate entries.
func (s *Scheduler) placementView() []*sched.Machine {
	view := s.machineView()
	s.reserveForGangs(view)
	return s.addSlack(view)
}

// machineView returns the machines on which tasks may be placed now, with their free resources.
func (s *Scheduler) machineView() []*sched.Machine {
	var view []*sched.Machine
	now, catalog := s.host.Now(), s.host.Catalog()
	clear(s.freeBytes)
	for _, m := range s.inventory.SortedMachines {
		if m.State != inventory.MachineReady || m.FencingToken == 0 || m.Fencing != inventory.FencingNone || now < m.QuarantinedUntil ||
			now-m.LastHeartbeat > maxMissedHeartbeats*s.settings.HeartbeatInterval {
			continue
		}
		view = append(view, &sched.Machine{
			Name:   m.Name,
			Type:   m.Type,
			Zone:   m.Zone,
			Spot:   m.Spot,
			Free:   s.machines.Size(m).Sub(m.Used).Sub(s.reservedResources(m.Name)),
			Slots:  s.machines.FreeSlots(m, s.freeBytes),
			Idle:   len(m.Attempts) == 0,
			Scarce: s.isScarce(m, now),
			Price:  priceClass(catalog.PricePerCPU(m.Type, m.Spot)),
			Images: m.CachedImages,
		})
	}
	return view
}

// limitSlots lowers the task slots of machines that share a block with those just assigned, to the
// number of tasks for which the block's record still has space.
func (s *Scheduler) limitSlots(view []*sched.Machine, assignments []sched.Assignment) {
	clear(s.freeBytes)
	for _, assignment := range assignments {
		block := s.inventory.Machines[assignment.Machine.Name].Block
		if _, ok := s.freeBytes[block]; !ok {
			s.freeBytes[block] = s.host.FreeBytes(block)
		}
	}
	for _, v := range view {
		m := s.inventory.Machines[v.Name]
		if _, ok := s.freeBytes[m.Block]; ok {
			v.Slots = min(v.Slots, s.machines.FreeSlots(m, s.freeBytes))
		}
	}
}
