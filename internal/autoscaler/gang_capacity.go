package autoscaler

import "tamarindlead/sched"

// gangCapacity is the free capacity of machines for tasks of the gangs of one demand, by zone.
type gangCapacity map[string]*zoneCapacity

// zoneCapacity is the free capacity of the on-demand and spot machines of a zone, in tasks of gangs.
type zoneCapacity struct {
	onDemand int
	spot     int
}

// zone returns a pointer to the capacity of a zone, which the caller may change.
func (c gangCapacity) zone(name string) *zoneCapacity {
	if c[name] == nil {
		c[name] = &zoneCapacity{}
	}
	return c[name]
}

// add adds capacity for a number of tasks on machines of an offer.
func (c gangCapacity) add(offer Offer, tasks int) {
	zone := c.zone(offer.Zone)
	if offer.Spot {
		zone.spot += tasks
	} else {
		zone.onDemand += tasks
	}
}

// fits returns how many tasks of a gang fit into the zone's free capacity.
func (z *zoneCapacity) fits(job *sched.Job) int {
	spot := min(z.spot, job.Tasks-job.MinOnDemandTasks)
	return min(job.Tasks, z.onDemand+spot)
}

// allocate allocates capacity for at most limit tasks, and for at most maxSpotTasks of them on spot
// machines. It returns the numbers of tasks allocated on on-demand and on spot machines.
func (z *zoneCapacity) allocate(limit, maxSpotTasks int) (onDemand, spot int) {
	spot = min(limit, z.spot, maxSpotTasks)
	onDemand = min(limit-spot, z.onDemand)
	z.onDemand -= onDemand
	z.spot -= spot
	return onDemand, spot
}
