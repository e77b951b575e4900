package autoscaler

import (
	"tamarindlead/internal/ordered"
	"tamarindlead/sched"
)

// scaleOutGangs requests machines for pending gangs that would otherwise not start within the maximum
// wait, and for the warm pool of expected gangs.
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

// gangCapacityFor adds up the capacity for tasks of gangs that will be free within the demand's maximum
// wait, including machines that are booting or requested.
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

// hasCapacityWithinMaxWait reports whether a machine has free resources for a task, or will be empty
// within the demand's maximum wait.
func hasCapacityWithinMaxWait(m *Machine, d *Demand) bool {
	return d.Representative.Need.Fits(m.free()) || m.BusyFor <= d.MaxWait
}

// gangScaleOut is the state of finding capacity and requesting machines for one gang, or for the warm
// pool of its class.
type gangScaleOut struct {
	job           *sched.Job
	capacity      gangCapacity
	zone          string         // zone to which the tasks are restricted, or ""
	unplacedTasks int            // tasks for which neither capacity nor a request exists yet
	maxSpotTasks  int            // maximum number of further tasks on spot machines
	placedByZone  map[string]int // tasks with capacity or a request, by zone
}

func newGangScaleOut(job *sched.Job, capacity gangCapacity, unplacedTasks, maxSpotTasks int) *gangScaleOut {
	return &gangScaleOut{job: job, capacity: capacity, unplacedTasks: unplacedTasks, maxSpotTasks: maxSpotTasks, placedByZone: map[string]int{}}
}

// scaleOutForGang allocates existing capacity for the tasks of a gang and requests machines for the rest.
// If all tasks must be in the same zone, it selects the zone first.
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

// useExistingCapacity allocates capacity of existing machines and pending requests.
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

// allocate allocates capacity of one zone for at most limit tasks, and returns the number of tasks.
func (g *gangScaleOut) allocate(zone string, limit int) int {
	onDemand, spot := g.capacity.zone(zone).allocate(limit, g.maxSpotTasks)
	g.unplacedTasks -= onDemand + spot
	g.maxSpotTasks -= spot
	return onDemand + spot
}

// zoneMax returns how many more tasks may be in a zone. A gang that must be spread may have at most half
// of its tasks in one zone.
func (g *gangScaleOut) zoneMax(zone string) int {
	if !g.job.Spread {
		return g.unplacedTasks
	}
	return min(g.unplacedTasks, g.job.ZoneCap()-g.placedByZone[zone])
}

// suits reports whether machines of an offer may run more tasks of the gang.
func (g *gangScaleOut) suits(offer Offer) bool {
	if g.zone != "" && offer.Zone != g.zone {
		return false
	}
	return g.zoneMax(offer.Zone) > 0 && (!offer.Spot || g.maxSpotTasks > 0)
}

// requestForGang adds one request for a gang to the plan and reports whether it could.
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
	// Half a task is subtracted because requestScaleOut always rounds up to the next whole machine.
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
