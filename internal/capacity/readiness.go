package capacity

import (
	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Readiness is what is still to be kept ready for gangs that are expected.
type Readiness struct {
	classes *Classes
	tasks   map[string]int // by class
}

// NewReadiness tells how many tasks of which classes machines are kept ready for.
func NewReadiness(now micros.Micros, classes *Classes, objectives []config.Objective, catalog Catalog) *Readiness {
	r := &Readiness{classes: classes, tasks: map[string]int{}}
	for name := range classes.byName {
		if n, _ := classes.ReadySize(now, name, objectives, catalog); n > 0 {
			r.tasks[name] = n
		}
	}
	return r
}

// Empty tells that no class needs machines to be kept ready.
func (r *Readiness) Empty() bool { return len(r.tasks) == 0 }

// Take counts a machine with so much room towards what is kept ready, if it is needed for
// that, and tells whether it is.
func (r *Readiness) Take(offer Offer, free sched.Resources) bool {
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
