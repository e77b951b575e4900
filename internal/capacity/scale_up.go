package capacity

import (
	"tamarindlead/sched"
)

// How much longer work waits before an ordinary machine is rented for it than before a
// spot machine is. It grows with the square of the price: the more expensive the machine, the
// more waiting is worth, and the more likely cheap ones come free meanwhile.
const (
	// basePatience, in queue targets, is for a machine at the price of a spot machine.
	basePatience = 0.2
	// maxPriceRatio is the price, in prices of a spot machine, beyond which nothing changes.
	maxPriceRatio = 5
)

// similarPrice is how far the prices of offers may differ to be asked for at the same time.
const similarPrice = 1.1

// scaleUp rents machines for work that would take too long on those there are.
func (p *Planner) scaleUp(demands []*Demand) {
	for _, d := range demands {
		switch {
		case d.First.Gang:
			p.scaleUpGangs(d)
		case d.Waiting > 0:
			p.scaleUpArrays(d)
		}
	}
}

// scaleUpArrays rents machines for tasks that may start one by one.
func (p *Planner) scaleUpArrays(d *Demand) {
	short := d.withinLimits(d.Waiting/p.targetSeconds() - d.Capacity)
	for short > 0 && p.mayAsk() {
		best, least := p.cheapest(d.First, p.notAsked), p.cheapest(d.First, anyOffer)
		if best == nil || best.price > least.price*similarPrice {
			break // what is asked for already will tell whether there is more of the cheaper
		}
		if !best.Spot {
			short = p.shortOfOrdinary(d, best)
		}
		got := p.rent(d.First, best, short)
		if got <= 0 {
			break
		}
		short -= got
		d.Capacity += got
	}
	if short > 0 && p.cheapest(d.First, anyOffer) == nil {
		tasks := int(short/TaskCPUs(d.First)) + 1
		p.plan.Shortages = append(p.plan.Shortages, Shortage{Job: d.First, Tasks: tasks})
	}
}

// shortOfOrdinary tells how many processors are short if ordinary machines must be rented:
// they must be worth it, since they cost a minute at the least.
func (p *Planner) shortOfOrdinary(d *Demand, best *choice) float64 {
	ratio := best.price / max(p.LowestPrice(d.First, true), best.price/maxPriceRatio)
	wait := basePatience * ratio * ratio * p.targetSeconds()
	return d.withinLimits((d.Waiting-d.Low)/wait + d.Low/max(wait, d.LowWait.Seconds()) - d.Capacity)
}

// scaleUpGangs rents machines for gangs that no machines will take in time, each gang's in
// one zone if it must be in one, and those that are to be ready for gangs to come.
func (p *Planner) scaleUpGangs(d *Demand) {
	if len(d.Gangs) == 0 && !p.Classes.hasGangs(d.First.Class) {
		return
	}
	room := p.gangRoom(d)
	for _, gang := range d.Gangs {
		if !gang.Held {
			p.rentForGang(gang.Job, room, gang.Job.Tasks, gang.Job.Tasks-gang.Job.Ordinary)
		}
	}
	if n, job := p.Classes.ReadySize(p.Now, d.First.Class, p.Objectives, p.Catalog); n > 0 {
		p.rentForGang(job, room, n, n)
	}
}

// gangRoom counts the tasks of gangs that there will be room for in time.
func (p *Planner) gangRoom(d *Demand) gangRoom {
	room := gangRoom{}
	for _, m := range p.Machines {
		if d.usableCPUs(p.Catalog, m.Offer) == 0 {
			continue
		}
		if m.State == MachineBooting || m.State == MachineUp && hasRoomWithin(m, d) {
			room.add(m.Offer, p.tasksOn(d.First, m.Size))
		}
	}
	for _, r := range p.Rentals {
		if d.usableCPUs(p.Catalog, r.Offer) > 0 {
			room.add(r.Offer, r.Number*p.tasksOn(d.First, p.Find(r.Type).Size))
		}
	}
	return room
}

// hasRoomWithin tells whether a machine will have room for a task soon enough.
func hasRoomWithin(m *Machine, d *Demand) bool {
	return d.First.Need.Fits(m.free()) || m.BusyFor <= d.MaxWait
}

// gangRental is the search for machines for one gang.
type gangRental struct {
	job     *sched.Job
	room    gangRoom
	zone    string         // the only one, or ""
	tasks   int            // that have no place yet
	spotMax int            // of them that may be on spot machines
	in      map[string]int // places by zone
}

// rentForGang takes room for so many tasks of a gang, and rents what is missing.
func (p *Planner) rentForGang(job *sched.Job, room gangRoom, tasks, spotMax int) {
	g := &gangRental{job: job, room: room, tasks: tasks, spotMax: spotMax, in: map[string]int{}}
	if job.OneZone {
		g.zone = p.bestZone(job, room, tasks)
	}
	g.takeRoom()
	for g.tasks > 0 && p.mayAsk() && p.rentOnce(g) {
	}
}

// takeRoom uses the room that there is.
func (g *gangRental) takeRoom() {
	switch {
	case !g.job.OneZone:
		for _, zone := range sortedKeys(g.room) {
			g.in[zone] += g.take(zone, g.zoneMax(zone))
		}
	case g.zone != "":
		g.take(g.zone, g.tasks)
	}
}

// take uses room in one zone and tells for how many tasks.
func (g *gangRental) take(zone string, most int) int {
	ordinary, spot := g.room.zone(zone).take(most, g.spotMax)
	g.tasks -= ordinary + spot
	g.spotMax -= spot
	return ordinary + spot
}

// zoneMax is how many more tasks a zone may take: none may hold more than half of a gang
// that must be spread.
func (g *gangRental) zoneMax(zone string) int {
	if !g.job.Spread {
		return g.tasks
	}
	return min(g.tasks, g.job.ZoneCap()-g.in[zone])
}

// rentOnce begins one rental for a gang and tells whether it could.
func (p *Planner) rentOnce(g *gangRental) bool {
	best := p.cheapest(g.job, func(offer Offer) bool {
		return p.notAsked(offer) && (g.zone == "" || offer.Zone == g.zone) &&
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
	got := int(p.rent(g.job, best, float64(wanted)*each-each/2) / each)
	if got <= 0 {
		return false
	}
	if best.Spot {
		g.spotMax -= got
	}
	used := min(got, wanted)
	g.tasks -= used
	g.in[best.Zone] += used
	g.room.add(best.Offer, got-used)
	return true
}
