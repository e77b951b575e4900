package autoscaler

import (
	"tamarindlead/config"
	"tamarindlead/micros"
)

// Fractions of a class's slack that may be spent on waiting. The rest is reserved for wrong estimates and
// slowly booting machines.
const (
	arrayWaitFraction = 0.6
	gangWaitFraction  = 0.7
)

// minSlack is the lower bound of the slack, which also applies to an SLO that can no longer be met.
const minSlack = micros.Second

// shortestWaitSLO returns the wait time SLO of a class with the shortest threshold, if there is one.
func shortestWaitSLO(slos []config.SLO, class string) (config.SLO, bool) {
	var shortest config.SLO
	for _, slo := range slos {
		if slo.Kind != config.SLOWaitTime || slo.Class != class {
			continue
		}
		if shortest.Threshold == 0 || slo.Threshold < shortest.Threshold {
			shortest = slo
		}
	}
	return shortest, shortest.Threshold != 0
}

// WaitTarget returns how long jobs of a class may wait according to the SLOs of the class, given their
// estimated run time. It returns defaultWait for a class without SLOs.
func WaitTarget(slos []config.SLO, class string, gang bool, estimate, defaultWait micros.Micros) micros.Micros {
	least := micros.Micros(0)
	for _, slo := range slos {
		if slo.Class != class {
			continue
		}
		slack, ok := waitSlack(slo, estimate)
		if ok && (least == 0 || slack < least) {
			least = slack
		}
	}
	if least == 0 {
		return defaultWait
	}
	fraction := arrayWaitFraction
	if gang {
		fraction = gangWaitFraction
	}
	return micros.Micros(float64(least) * fraction)
}

// waitSlack returns the time that an SLO permits for waiting, if its kind is known.
func waitSlack(slo config.SLO, estimate micros.Micros) (slack micros.Micros, ok bool) {
	switch slo.Kind {
	case config.SLOWaitTime:
		return max(slo.Threshold, minSlack), true
	case config.SLOCompletionTime:
		return max(slo.Threshold-estimate, minSlack), true
	default:
		return 0, false
	}
}
