package autoscaler

import (
	"testing"

	"tamarindlead/micros"
)

func TestOnDemandTasks(t *testing.T) {
	const tasks = 8
	mix := GangMix{
		Tasks: tasks, SpotPrice: 0.25, OnDemandPrice: 1,
		Estimate: 10 * micros.Minute, CheckpointInterval: 10 * micros.Second, RecoveryTime: 20 * micros.Second,
	}
	if got := mix.OnDemandTasks(); got != 0 {
		t.Errorf("no losses: %d on-demand tasks, want 0", got)
	}
	mix.LossPerSecond = 0.1
	if got := mix.OnDemandTasks(); got != tasks {
		t.Errorf("one loss in ten seconds per spot machine: %d on-demand tasks, want all", got)
	}
	mix.LossPerSecond = 0.005
	some := mix.OnDemandTasks()
	if some == 0 || some == tasks {
		t.Errorf("a low loss rate: %d on-demand tasks, want a mix", some)
	}
	mix.SpotPrice = 2 // above the on-demand price
	if got := mix.OnDemandTasks(); got != tasks {
		t.Errorf("expensive spot machines: %d on-demand tasks, want all", got)
	}
	mix.MaxSpot = true
	if got := mix.OnDemandTasks(); got > some {
		t.Errorf("with MaxSpot: %d on-demand tasks, want at most %d", got, some)
	}
}
