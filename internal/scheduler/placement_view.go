package scheduler

import (
	"math"

	"tamarindlead/internal/inventory"

	"tamarindlead/sched"
)

// limitSlots leaves machines that share a block with those just used no more tasks than their
// entries still have room for.
func (s *Scheduler) limitSlots(view []*sched.Machine, got []sched.Assignment) {
	left := map[*inventory.Block]float64{}
	for _, as := range got {
		b := s.inventory.Machines[as.Machine.Name].Block
		if _, ok := left[b]; !ok {
			left[b] = s.host.FreeBytes(b)
		}
	}
	for _, v := range view {
		m := s.inventory.Machines[v.Name]
		if _, ok := left[m.Block]; ok {
			v.Slots = min(v.Slots, s.machines.FreeSlots(m, left))
		}
	}
}

// priceClassRatio is how far prices may differ and still count as the same for placement:
// where a task's image is then matters more.
const priceClassRatio = 1.5

// priceClass puts prices that are about the same into one class.
func priceClass(price float64) float64 {
	if price <= 0 {
		return 0
	}
	return math.Round(math.Log(price) / math.Log(priceClassRatio))
}

// machineView is what placement may use now.
func (s *Scheduler) machineView() []*sched.Machine {
	var view []*sched.Machine
	catalog := s.host.Catalog()
	left := map[*inventory.Block]float64{}
	for _, m := range s.inventory.SortedMachines {
		if m.State != inventory.MachineReady || m.FencingToken == 0 || m.Fencing != inventory.FencingNone || s.host.Now() < m.QuarantinedUntil ||
			s.host.Now()-m.LastHeartbeat > 2*s.settings.HeartbeatInterval {
			continue
		}
		view = append(view, &sched.Machine{
			Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Free: s.machines.Size(m).Sub(m.Used).Sub(s.reservedResources(m.Name)), Slots: s.machines.FreeSlots(m, left),
			Idle: len(m.Attempts) == 0, Scarce: s.IsScarce(m), Price: priceClass(catalog.PricePerCPU(m.Type, m.Spot)), Images: m.CachedImages,
		})
	}
	return view
}

// placementView is the view with what is kept for gangs, and with the slack of machines that
// gangs use.
func (s *Scheduler) placementView() []*sched.Machine {
	view := s.machineView()
	s.reserveForGangs(view)
	return s.addSlack(view)
}
