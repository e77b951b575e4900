package autoscaler

import (
	"tamarindlead/config"
	"tamarindlead/micros"
)

// The part of a class's slack that waiting may use up: the rest is for estimates that are off
// and for machines that boot slowly.
const (
	arrayWaitShare = 0.6
	gangWaitShare  = 0.7
)

// minSlack is what waiting may take at the least, also of an objective that is missed already.
const minSlack = micros.Second

// shortestWaitSLO finds the objective for a class that allows the shortest wait.
func shortestWaitSLO(objectives []config.SLO, class string) (config.SLO, bool) {
	var shortest config.SLO
	for _, o := range objectives {
		if o.Kind == config.SLOWaitTime && o.Class == class && (shortest.Threshold == 0 || o.Threshold < shortest.Threshold) {
			shortest = o
		}
	}
	return shortest, shortest.Threshold != 0
}

// WaitTarget tells how long jobs of a class may wait by their objectives, given the estimate
// of their run time. A class without objectives may wait for the usual time.
func WaitTarget(objectives []config.SLO, class string, gang bool, estimate, usual micros.Micros) micros.Micros {
	least := micros.Micros(0)
	for _, o := range objectives {
		if o.Class != class {
			continue
		}
		slack := o.Threshold
		switch o.Kind {
		case config.SLOWaitTime:
		case config.SLOCompletionTime:
			slack -= estimate
		default:
			continue
		}
		if slack = max(slack, minSlack); least == 0 || slack < least {
			least = slack
		}
	}
	if least == 0 {
		return usual
	}
	share := arrayWaitShare
	if gang {
		share = gangWaitShare
	}
	return micros.Micros(float64(least) * share)
}
