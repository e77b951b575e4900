package capacity

import (
	"tamarindlead/sched"
)

// zoneRoom is how many tasks of gangs a zone takes.
type zoneRoom struct {
	ordinary int
	spot     int
}

// gangRoom is what machines offer to gangs of one demand, by zone.
type gangRoom map[string]*zoneRoom

func (r gangRoom) zone(name string) *zoneRoom {
	if r[name] == nil {
		r[name] = &zoneRoom{}
	}
	return r[name]
}

// add counts room for tasks on machines of an offer.
func (r gangRoom) add(offer Offer, tasks int) {
	zone := r.zone(offer.Zone)
	if offer.Spot {
		zone.spot += tasks
	} else {
		zone.ordinary += tasks
	}
}

// fits tells how many tasks of a gang the zone takes.
func (z *zoneRoom) fits(job *sched.Job) int {
	return min(job.Tasks, z.ordinary+min(z.spot, job.Tasks-job.Ordinary))
}

// take uses up room for n tasks, of which at most spotMax on spot machines, and tells how
// many of them found room on machines of either kind.
func (z *zoneRoom) take(n, spotMax int) (ordinary, spot int) {
	spot = min(n, z.spot, spotMax)
	ordinary = min(n-spot, z.ordinary)
	z.ordinary -= ordinary
	z.spot -= spot
	return ordinary, spot
}
