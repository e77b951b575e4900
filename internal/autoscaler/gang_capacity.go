package autoscaler

import "tamarindlead/sched"

// gangCapacity is the room of machines for tasks of the gangs of one demand, by zone.
type gangCapacity map[string]*zoneCapacity

// zoneCapacity is how many tasks of gangs the machines of a zone have room for.
type zoneCapacity struct {
	onDemand int
	spot     int
}

// zone returns the capacity of a zone, which can be changed.
func (c gangCapacity) zone(name string) *zoneCapacity {
	if c[name] == nil {
		c[name] = &zoneCapacity{}
	}
	return c[name]
}

// add adds room for tasks on machines of an offer.
func (c gangCapacity) add(offer Offer, tasks int) {
	zone := c.zone(offer.Zone)
	if offer.Spot {
		zone.spot += tasks
	} else {
		zone.onDemand += tasks
	}
}

// fits returns how many tasks of a gang the zone has room for.
func (z *zoneCapacity) fits(job *sched.Job) int {
	spot := min(z.spot, job.Tasks-job.MinOnDemandTasks)
	return min(job.Tasks, z.onDemand+spot)
}

// allocate uses up room for at most limit tasks, at most maxSpotTasks of them on spot machines. It
// returns for how many of them there was room on machines of either kind.
func (z *zoneCapacity) allocate(limit, maxSpotTasks int) (onDemand, spot int) {
	spot = min(limit, z.spot, maxSpotTasks)
	onDemand = min(limit-spot, z.onDemand)
	z.onDemand -= onDemand
	z.spot -= spot
	return onDemand, spot
}
