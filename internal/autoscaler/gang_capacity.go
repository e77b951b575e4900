package autoscaler

import (
	"tamarindlead/sched"
)

// zoneCapacity is how many tasks of gangs a zone takes.
type zoneCapacity struct {
	onDemand int
	spot     int
}

// gangCapacityFor is what machines offer to gangs of one demand, by zone.
type gangCapacity map[string]*zoneCapacity

func (r gangCapacity) zone(name string) *zoneCapacity {
	if r[name] == nil {
		r[name] = &zoneCapacity{}
	}
	return r[name]
}

// add counts room for tasks on machines of an offer.
func (r gangCapacity) add(offer Offer, tasks int) {
	zone := r.zone(offer.Zone)
	if offer.Spot {
		zone.spot += tasks
	} else {
		zone.onDemand += tasks
	}
}

// fits tells how many tasks of a gang the zone takes.
func (z *zoneCapacity) fits(job *sched.Job) int {
	return min(job.Tasks, z.onDemand+min(z.spot, job.Tasks-job.MinOnDemandTasks))
}

// take uses up room for n tasks, of which at most spotMax on spot machines, and tells how
// many of them found room on machines of either kind.
func (z *zoneCapacity) take(n, spotMax int) (ordinary, spot int) {
	spot = min(n, z.spot, spotMax)
	ordinary = min(n-spot, z.onDemand)
	z.onDemand -= ordinary
	z.spot -= spot
	return ordinary, spot
}
