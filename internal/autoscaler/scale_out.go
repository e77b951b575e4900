package autoscaler

import (
	"tamarindlead/sched"
)

// How much longer work waits before an ordinary machine is rented for it than before a
// spot machine is. It grows with the square of the price: the more expensive the machine, the
// more waiting is worth, and the more likely cheap ones come free meanwhile.
const (
	// baseWaitFactor, in queue targets, is for a machine at the price of a spot machine.
	baseWaitFactor = 0.2
	// maxPriceRatio is the price, in prices of a spot machine, beyond which nothing changes.
	maxPriceRatio = 5
)

// similarPrice is how far the prices of offers may differ to be asked for at the same time.
const similarPrice = 1.1

// scaleOut rents machines for work that would take too long on those there are.
func (p *Planner) scaleOut(demands []*Demand) {
	for _, d := range demands {
		switch {
		case d.Representative.Gang:
			p.scaleOutGangs(d)
		case d.PendingCPUSeconds > 0:
			p.scaleOutArrays(d)
		}
	}
}

// scaleOutArrays rents machines for tasks that may start one by one.
func (p *Planner) scaleOutArrays(d *Demand) {
	short := d.limitByQuota(d.PendingCPUSeconds/p.targetSeconds() - d.Capacity)
	for short > 0 && p.canRequest() {
		best, least := p.cheapest(d.Representative, p.notRequested), p.cheapest(d.Representative, anyOffer)
		if best == nil || best.price > least.price*similarPrice {
			break // what is asked for already will tell whether there is more of the cheaper
		}
		if !best.Spot {
			short = p.onDemandShortage(d, best)
		}
		got := p.requestScaleOut(d.Representative, best, short)
		if got <= 0 {
			break
		}
		short -= got
		d.Capacity += got
	}
	if short > 0 && p.cheapest(d.Representative, anyOffer) == nil {
		tasks := int(short/TaskCPUs(d.Representative)) + 1
		p.plan.Shortages = append(p.plan.Shortages, Shortage{Job: d.Representative, Tasks: tasks})
	}
}

// onDemandShortage tells how many processors are short if ordinary machines must be rented:
// they must be worth it, since they cost a minute at the least.
func (p *Planner) onDemandShortage(d *Demand, best *choice) float64 {
	ratio := best.price / max(p.LowestPrice(d.Representative, true), best.price/maxPriceRatio)
	wait := baseWaitFactor * ratio * ratio * p.targetSeconds()
	return d.limitByQuota((d.PendingCPUSeconds-d.LowPriorityCPUSeconds)/wait + d.LowPriorityCPUSeconds/max(wait, d.LowPriorityMaxWait.Seconds()) - d.Capacity)
}

// scaleOutGangs rents machines for gangs that no machines will take in time, each gang's in
// one zone if it must be in one, and those that are to be ready for gangs to come.
func (p *Planner) scaleOutGangs(d *Demand) {
	if len(d.Gangs) == 0 && !p.Classes.hasGangs(d.Representative.Class) {
		return
	}
	room := p.gangCapacityFor(d)
	for _, gang := range d.Gangs {
		if !gang.Reserved {
			p.scaleOutForGang(gang.Job, room, gang.Job.Tasks, gang.Job.Tasks-gang.Job.MinOnDemandTasks)
		}
	}
	if n, job := p.Classes.WarmPoolSize(p.Now, d.Representative.Class, p.SLOs, p.Catalog); n > 0 {
		p.scaleOutForGang(job, room, n, n)
	}
}

// gangCapacityFor counts the tasks of gangs that there will be room for in time.
func (p *Planner) gangCapacityFor(d *Demand) gangCapacity {
	room := gangCapacity{}
	for _, m := range p.Machines {
		if d.usableCPUs(p.Catalog, m.Offer) == 0 {
			continue
		}
		if m.State == MachineBooting || m.State == MachineReady && hasCapacityWithin(m, d) {
			room.add(m.Offer, p.tasksOn(d.Representative, m.Size))
		}
	}
	for _, r := range p.PendingScaleOuts {
		if d.usableCPUs(p.Catalog, r.Offer) > 0 {
			room.add(r.Offer, r.Number*p.tasksOn(d.Representative, p.Find(r.Type).Size))
		}
	}
	return room
}

// hasCapacityWithin tells whether a machine will have room for a task soon enough.
func hasCapacityWithin(m *Machine, d *Demand) bool {
	return d.Representative.Need.Fits(m.free()) || m.BusyFor <= d.MaxWait
}

// gangScaleOut is the search for machines for one gang.
type gangScaleOut struct {
	job          *sched.Job
	capacity     gangCapacity
	zone         string         // the only one, or ""
	tasks        int            // that have no place yet
	spotMax      int            // of them that may be on spot machines
	placedByZone map[string]int // places by zone
}

// scaleOutForGang takes room for so many tasks of a gang, and rents what is missing.
func (p *Planner) scaleOutForGang(job *sched.Job, room gangCapacity, tasks, spotMax int) {
	g := &gangScaleOut{job: job, capacity: room, tasks: tasks, spotMax: spotMax, placedByZone: map[string]int{}}
	if job.OneZone {
		g.zone = p.bestZone(job, room, tasks)
	}
	g.useExistingCapacity()
	for g.tasks > 0 && p.canRequest() && p.requestForGang(g) {
	}
}

// useExistingCapacity uses the room that there is.
func (g *gangScaleOut) useExistingCapacity() {
	switch {
	case !g.job.OneZone:
		for _, zone := range sortedKeys(g.capacity) {
			g.placedByZone[zone] += g.take(zone, g.zoneMax(zone))
		}
	case g.zone != "":
		g.take(g.zone, g.tasks)
	}
}

// take uses room in one zone and tells for how many tasks.
func (g *gangScaleOut) take(zone string, most int) int {
	ordinary, spot := g.capacity.zone(zone).take(most, g.spotMax)
	g.tasks -= ordinary + spot
	g.spotMax -= spot
	return ordinary + spot
}

// zoneMax is how many more tasks a zone may take: none may hold more than half of a gang
// that must be spread.
func (g *gangScaleOut) zoneMax(zone string) int {
	if !g.job.Spread {
		return g.tasks
	}
	return min(g.tasks, g.job.ZoneCap()-g.placedByZone[zone])
}

// requestForGang begins one rental for a gang and tells whether it could.
func (p *Planner) requestForGang(g *gangScaleOut) bool {
	best := p.cheapest(g.job, func(offer Offer) bool {
		return p.notRequested(offer) && (g.zone == "" || offer.Zone == g.zone) &&
			g.zoneMax(offer.Zone) > 0 && (!offer.Spot || g.spotMax > 0)
	})
	if best == nil {
		return false
	}
	wanted := g.zoneMax(best.Zone)
	if best.Spot {
		wanted = min(wanted, g.spotMax)
	}
	each := TaskCPUs(g.job)
	got := int(p.requestScaleOut(g.job, best, float64(wanted)*each-each/2) / each)
	if got <= 0 {
		return false
	}
	if best.Spot {
		g.spotMax -= got
	}
	used := min(got, wanted)
	g.tasks -= used
	g.placedByZone[best.Zone] += used
	g.capacity.add(best.Offer, got-used)
	return true
}
