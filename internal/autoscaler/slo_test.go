package autoscaler

import (
	"testing"

	"tamarindlead/config"
	"tamarindlead/micros"
)

func TestWaitTarget(t *testing.T) {
	slos := []config.SLO{
		{Kind: config.SLOWaitTime, Class: "j", Threshold: 50 * micros.Second},
		{Kind: config.SLOCompletionTime, Class: "j", Threshold: 70 * micros.Second},
		{Kind: "other", Class: "j", Threshold: micros.Second},
		{Kind: config.SLOWaitTime, Class: "k", Threshold: micros.Second},
	}
	for _, c := range []struct {
		name     string
		class    string
		gang     bool
		estimate micros.Micros
		want     micros.Micros
	}{
		{"array", "j", false, 10 * micros.Second, 30 * micros.Second},
		{"gang", "j", true, 10 * micros.Second, 35 * micros.Second},
		{"long run time", "j", false, 60 * micros.Second, 6 * micros.Second},
		{"SLO can no longer be met", "j", false, 90 * micros.Second, 600 * micros.Millisecond},
		{"no SLO", "l", false, micros.Second, 7 * micros.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := WaitTarget(slos, c.class, c.gang, c.estimate, 7*micros.Second); got != c.want {
				t.Errorf("WaitTarget() = %v, want %v", got, c.want)
			}
		})
	}
}
