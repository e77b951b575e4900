package controller

import (
	"testing"

	"tamarindlead/micros"
)

// TestFaultPairIsRepeatable checks that the effects of a run depend only on its seed. This requires
// that the effects of the core depend only on its events.
//
// It guards against a failure with seed 10, in which each run had one of two digests ("effects differ
// in run 2"). After all attempts of a gang were recorded, startGang queued their machines for commands
// in the iteration order of a map, so the order of the start commands varied.
func TestFaultPairIsRepeatable(t *testing.T) {
	const seed, runs = 10, 5
	first := ""
	for i := range runs {
		run := newFaultPairRun(seed)
		digest := newEffectDigest()
		run.sim.onEffects = func(node *simNode, ev Event, effects []Effect) {
			digest.add(node.index, run.sim.now-micros.Hour, ev, effects)
		}
		run.execute()
		if first == "" {
			first = digest.String()
		} else if digest.String() != first {
			t.Fatalf("effects differ in run %d", i+1)
		}
	}
}
