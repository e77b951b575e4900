package fleet

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestRecordRunTime checks that the recorded run time of a task ends at the time of the current event,
// not at that of an earlier one.
func TestRecordRunTime(t *testing.T) {
	f, host := newTestFleet(t, "m-000001")
	f.refresh()
	j := inventory.NewJob(&sched.Job{
		ID: "req-000001", Class: "c", Tasks: 1, Need: sched.NewResources(1, 0, 1), Estimate: 10 * micros.Second,
	}, 5, 0)
	f.classes.RecordSubmission(0, j.Job, f.catalog())
	a := f.AddAttempt(j, 0, 1, f.Machines["m-000001"], inventory.AttemptLive)
	a.RunningSince = 1
	host.now = 1 + 40*micros.Second
	f.RecordRunTime(a)
	if got := f.classes.CorrectedEstimate(j.Class, j.Estimate); got <= 10*micros.Second || got > 40*micros.Second {
		t.Errorf("estimate after a run time of 40 s: %v, want more than 10 s and at most 40 s", got)
	}
}
