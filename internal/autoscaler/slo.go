package autoscaler

import (
	"tamarindlead/config"
	"tamarindlead/micros"
)

// Fractions of a class's slack that waiting may use up: the rest is for wrong estimates and
// for machines that boot slowly.
const (
	arrayWaitFraction = 0.6
	gangWaitFraction  = 0.7
)

// minSlack bounds the slack from below, also that of an SLO that cannot be met any more.
const minSlack = micros.Second

// shortestWaitSLO returns the SLO of a class that allows the shortest wait.
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

// WaitTarget returns how long jobs of a class may wait by its SLOs, given the estimate of their
// run time. A class without SLOs may wait for the default time.
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

// waitSlack returns the time that an SLO leaves for waiting, if it is of a known kind.
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
