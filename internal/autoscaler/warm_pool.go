package autoscaler

import (
	"slices"

	"tamarindlead/config"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// slowBootFactor is the multiple of its nominal boot time that a machine often takes.
	slowBootFactor = 1.5
	// warmPoolRetention is how long after a gang others of its class are expected.
	warmPoolRetention = micros.Minute
)

// WarmPool is the idle capacity that is still to be kept ready for expected gangs.
type WarmPool struct {
	classes *Classes
	tasks   map[string]int // by class
}

// NewWarmPool returns the warm pool for all classes, of which no machine is claimed yet.
func NewWarmPool(now micros.Micros, classes *Classes, slos []config.SLO, catalog Catalog) *WarmPool {
	pool := &WarmPool{classes: classes, tasks: map[string]int{}}
	for name := range classes.byName {
		if tasks, _ := classes.warmPoolSize(now, name, slos, catalog); tasks > 0 {
			pool.tasks[name] = tasks
		}
	}
	return pool
}

// Empty reports whether no class needed a warm pool to begin with.
func (w *WarmPool) Empty() bool { return len(w.tasks) == 0 }

// Claim counts a machine with that many free resources towards the warm pool and returns
// true, if the pool needs it.
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

// warmPoolSize returns for how many tasks of a class the warm pool should have room, and a job
// of that class. It is 0 unless gangs of the class should start sooner than a machine boots;
// otherwise the quantile of the sizes of recent gangs that the SLO's fraction asks for.
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
