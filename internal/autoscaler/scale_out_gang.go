package autoscaler

import (
	"tamarindlead/internal/ordered"
	"tamarindlead/sched"
)

// scaleOutGangs requests machines for gangs that the present ones will not run in time, and
// for the warm pool of gangs that are expected.
func (p *Planner) scaleOutGangs(d *Demand) {
	class := d.Representative.Class
	if len(d.Gangs) == 0 && !p.Classes.hasGangs(class) {
		return
	}
	capacity := p.gangCapacityFor(d)
	for _, gang := range d.Gangs {
		if !gang.Reserved {
			job := gang.Job
			p.scaleOutForGang(newGangScaleOut(job, capacity, job.Tasks, job.Tasks-job.MinOnDemandTasks))
		}
	}
	if tasks, job := p.Classes.warmPoolSize(p.Now, class, p.SLOs, p.Catalog); tasks > 0 {
		p.scaleOutForGang(newGangScaleOut(job, capacity, tasks, tasks))
	}
}

// gangCapacityFor adds up the room for tasks of gangs that there will be in time.
func (p *Planner) gangCapacityFor(d *Demand) gangCapacity {
	capacity := gangCapacity{}
	for _, m := range p.Machines {
		if d.usableCPUs(p.Catalog, m.Offer) == 0 {
			continue
		}
		if m.State == MachineBooting || m.State == MachineReady && hasCapacityWithinMaxWait(m, d) {
			capacity.add(m.Offer, p.tasksOn(d.Representative, m.Size))
		}
	}
	for _, pending := range p.PendingScaleOuts {
		if d.usableCPUs(p.Catalog, pending.Offer) > 0 {
			tasks := p.tasksOn(d.Representative, p.findType(pending.Type).Size)
			capacity.add(pending.Offer, pending.Count*tasks)
		}
	}
	return capacity
}

// hasCapacityWithinMaxWait reports whether a machine will have room for a task soon enough.
func hasCapacityWithinMaxWait(m *Machine, d *Demand) bool {
	return d.Representative.Need.Fits(m.free()) || m.BusyFor <= d.MaxWait
}

// gangScaleOut is the search for machines for one gang.
type gangScaleOut struct {
	job           *sched.Job
	capacity      gangCapacity
	zone          string         // the only one, or ""
	unplacedTasks int            // that have no place yet
	maxSpotTasks  int            // of them that may be on spot machines
	placedByZone  map[string]int // tasks that have a place
}

func newGangScaleOut(job *sched.Job, capacity gangCapacity, unplacedTasks, maxSpotTasks int) *gangScaleOut {
	return &gangScaleOut{job: job, capacity: capacity, unplacedTasks: unplacedTasks, maxSpotTasks: maxSpotTasks, placedByZone: map[string]int{}}
}

// scaleOutForGang uses present capacity for tasks of a gang, in one zone if it must be in
// one, and requests machines for the rest.
func (p *Planner) scaleOutForGang(g *gangScaleOut) {
	if g.job.OneZone {
		g.zone = p.bestZone(g.job, g.capacity, g.unplacedTasks)
	}
	g.useExistingCapacity()
	for g.unplacedTasks > 0 && p.canRequest() {
		if !p.requestForGang(g) {
			break
		}
	}
}

// useExistingCapacity uses capacity of present machines and pending requests.
func (g *gangScaleOut) useExistingCapacity() {
	switch {
	case !g.job.OneZone:
		for _, zone := range ordered.Keys(g.capacity) {
			g.placedByZone[zone] += g.allocate(zone, g.zoneMax(zone))
		}
	case g.zone != "":
		g.allocate(g.zone, g.unplacedTasks)
	}
}

// allocate uses capacity of one zone for at most limit tasks, and returns for how many it had room.
func (g *gangScaleOut) allocate(zone string, limit int) int {
	onDemand, spot := g.capacity.zone(zone).allocate(limit, g.maxSpotTasks)
	g.unplacedTasks -= onDemand + spot
	g.maxSpotTasks -= spot
	return onDemand + spot
}

// zoneMax returns how many more tasks a zone may hold: at most half of a gang that must be
// spread.
func (g *gangScaleOut) zoneMax(zone string) int {
	if !g.job.Spread {
		return g.unplacedTasks
	}
	return min(g.unplacedTasks, g.job.ZoneCap()-g.placedByZone[zone])
}

// suits reports whether machines of an offer may run further tasks of the gang.
func (g *gangScaleOut) suits(offer Offer) bool {
	if g.zone != "" && offer.Zone != g.zone {
		return false
	}
	return g.zoneMax(offer.Zone) > 0 && (!offer.Spot || g.maxSpotTasks > 0)
}

// requestForGang makes one request for a gang and reports whether it could.
func (p *Planner) requestForGang(g *gangScaleOut) bool {
	best := p.cheapest(g.job, func(offer Offer) bool {
		return p.notRequested(offer) && g.suits(offer)
	})
	if best == nil {
		return false
	}
	wanted := g.zoneMax(best.Zone)
	if best.Spot {
		wanted = min(wanted, g.maxSpotTasks)
	}
	taskCPUs := TaskCPUs(g.job)
	// Half a task less: requestScaleOut rounds up to a whole machine.
	requestedCPUs := p.requestScaleOut(g.job, best, float64(wanted)*taskCPUs-taskCPUs/2)
	requested := int(requestedCPUs / taskCPUs)
	if requested <= 0 {
		return false
	}
	if best.Spot {
		g.maxSpotTasks -= requested
	}
	placed := min(requested, wanted)
	g.unplacedTasks -= placed
	g.placedByZone[best.Zone] += placed
	g.capacity.add(best.Offer, requested-placed)
	return true
}
