package controller

import (
	"math"

	"tamarindlead/internal/inventory"

	"tamarindlead/sched"
)

// limitSlots leaves machines that share a block with those just used no more tasks than their
// entries still have room for.
func (o *owner) limitSlots(view []*sched.Machine, got []sched.Assignment) {
	left := map[*inventory.Block]float64{}
	for _, as := range got {
		b := o.Machines[as.Machine.Name].Block
		if _, ok := left[b]; !ok {
			left[b] = o.freeBytes(b)
		}
	}
	for _, v := range view {
		m := o.Machines[v.Name]
		if _, ok := left[m.Block]; ok {
			v.Slots = min(v.Slots, o.freeSlots(m, left))
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
func (o *owner) machineView() []*sched.Machine {
	var view []*sched.Machine
	catalog := o.c.catalog()
	left := map[*inventory.Block]float64{}
	for _, m := range o.SortedMachines {
		if m.State != inventory.MachineReady || m.FencingToken == 0 || m.Fencing != inventory.FencingNone || o.c.now < m.QuarantinedUntil ||
			o.c.now-m.LastHeartbeat > 2*o.c.cfg.HeartbeatInterval {
			continue
		}
		view = append(view, &sched.Machine{
			Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Free: o.machineSize(m).Sub(m.Used).Sub(o.reservedResources(m.Name)), Slots: o.freeSlots(m, left),
			Idle: len(m.Attempts) == 0, Scarce: o.isScarce(m), Price: priceClass(catalog.PricePerCPU(m.Type, m.Spot)), Images: m.CachedImages,
		})
	}
	return view
}

// placementView is the view with what is kept for gangs, and with the slack of machines that
// gangs use.
func (o *owner) placementView() []*sched.Machine {
	view := o.machineView()
	o.reserveForGangs(view)
	return o.addSlack(view)
}
