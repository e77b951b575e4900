package autoscaler

import (
	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// WarmPool is what is still to be kept ready for gangs that are expected.
type WarmPool struct {
	classes *Classes
	tasks   map[string]int // by class
}

// NewWarmPool tells how many tasks of which classes machines are kept ready for.
func NewWarmPool(now micros.Micros, classes *Classes, objectives []config.SLO, catalog Catalog) *WarmPool {
	r := &WarmPool{classes: classes, tasks: map[string]int{}}
	for name := range classes.byName {
		if n, _ := classes.WarmPoolSize(now, name, objectives, catalog); n > 0 {
			r.tasks[name] = n
		}
	}
	return r
}

// Empty tells that no class needs machines to be kept ready.
func (r *WarmPool) Empty() bool { return len(r.tasks) == 0 }

// Claim counts a machine with so much room towards what is kept ready, if it is needed for
// that, and tells whether it is.
func (r *WarmPool) Claim(offer Offer, free sched.Resources) bool {
	for _, name := range sortedKeys(r.tasks) {
		missing, job := r.tasks[name], r.classes.byName[name].latest
		if missing <= 0 || !job.Allows(offer.Type, offer.Zone, offer.Spot) {
			continue
		}
		if fit := job.Need.Count(free, missing); fit > 0 {
			r.tasks[name] -= fit
			return true
		}
	}
	return false
}
