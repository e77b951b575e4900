package autoscaler

import (
	"slices"

	"tamarindlead/config"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// slowBootFactor is the multiple of its nominal boot time that a machine often takes to boot.
	slowBootFactor = 1.5
	// warmPoolRetention is how long after the last submission of a class further gangs of that class
	// are expected.
	warmPoolRetention = micros.Minute
)

// WarmPool is the capacity to keep ready for expected gangs that no machine provides yet.
type WarmPool struct {
	classes *Classes
	tasks   map[string]int // number of tasks without a machine, by class
}

// NewWarmPool returns the warm pool for all classes, before any machine is counted towards it.
func NewWarmPool(now micros.Micros, classes *Classes, slos []config.SLO, catalog Catalog) *WarmPool {
	pool := &WarmPool{classes: classes, tasks: map[string]int{}}
	for name := range classes.byName {
		if tasks, _ := classes.warmPoolSize(now, name, slos, catalog); tasks > 0 {
			pool.tasks[name] = tasks
		}
	}
	return pool
}

// Empty reports whether no class needs a warm pool, regardless of the machines counted towards it.
func (w *WarmPool) Empty() bool { return len(w.tasks) == 0 }

// Claim reports whether the warm pool needs a machine with the given free resources, and if so counts
// the machine towards the pool.
func (w *WarmPool) Claim(offer Offer, free sched.Resources) bool {
	for _, name := range ordered.Keys(w.tasks) {
		missing, job := w.tasks[name], w.classes.byName[name].latest
		if missing <= 0 || !job.Allows(offer.Type, offer.Zone, offer.Spot) {
			continue
		}
		if tasks := job.Need.Count(free, missing); tasks > 0 {
			w.tasks[name] -= tasks
			return true
		}
	}
	return false
}

// warmPoolSize returns the number of tasks of a class for which the warm pool should have capacity, and a
// job of that class. It is 0 unless an SLO requires gangs of the class to start sooner than a machine may
// boot, and a job of the class was submitted recently. Otherwise it is the quantile of the sizes of the
// latest gangs at the SLO's fraction.
func (c *Classes) warmPoolSize(now micros.Micros, name string, slos []config.SLO, catalog Catalog) (tasks int, job *sched.Job) {
	stats := c.byName[name]
	if stats == nil || len(stats.gangSizes) == 0 || now-stats.lastSubmission > warmPoolRetention {
		return 0, nil
	}
	slo, ok := shortestWaitSLO(slos, name)
	if !ok {
		return 0, nil
	}
	slowBoot := micros.Micros(slowBootFactor * float64(catalog.BootTime(stats.latest)))
	if slo.Threshold > slowBoot {
		return 0, nil
	}
	sizes := slices.Sorted(slices.Values(stats.gangSizes))
	quantile := int(slo.Fraction * float64(len(sizes)))
	return sizes[min(quantile, len(sizes)-1)], stats.latest
}
