package scheduler

import (
	"testing"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestGuaranteedQuota guards against gangs that preempt each other in turn: a guaranteed quota covers
// a team's earliest unfinished jobs, whether they run at the moment or not.
func TestGuaranteedQuota(t *testing.T) {
	f := newFixture(t)
	f.inventory.Teams["red"].GuaranteedQuota = sched.NewResources(100, 0, 0)
	for i, cpus := range []float64{60, 30, 20, 5} {
		f.addJob(&sched.Job{
			ID: jobName(9 - i), Class: "merge", Tasks: 1, Need: sched.NewResources(cpus, 0, 1), Priority: sched.Priority(i),
		}, micros.Micros(i))
	}
	covered := f.JobsWithinGuarantee()
	for i, want := range []bool{true, true, false, false} {
		if j := f.inventory.Jobs[jobName(9-i)]; covered[j] != want {
			t.Errorf("job %d is covered: %t, want the opposite", i, covered[j])
		}
	}
}
