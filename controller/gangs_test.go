package controller

import (
	"fmt"
	"testing"

	"tamarindlead/internal/wire"
	"tamarindlead/sched"
)

// TestKeepForSpots guards against spot machines that stand idle for a gang which may not use
// so many of them, while gangs that could use them wait.
func TestKeepForSpots(t *testing.T) {
	o := testOwner()
	gang := &sched.Job{
		ID: "req-000001", Class: "merge", Team: "red", Gang: true, Tasks: 4,
		Need: sched.NewResources(20, 0, 80), Image: "img", Spot: true,
	}
	o.jobRecord(activeKey(gang.ID), wire.Encode(jobRecord{Job: wire.FromJob(gang)}), 1)
	for i := range 6 {
		m := o.newMachine(fmt.Sprintf("m-%06d", i), "mid", "a", i < 5, "worker")
		m.token, m.heard, m.state = 1, o.c.now, machineUp
	}
	j := o.jobs[gang.ID]
	for ordinary, most := range map[int]int{4: 0, 3: 1, 0: 4} {
		j.Ordinary = ordinary
		view := o.view()
		o.keepFor(j, view, false)
		spots := 0
		for _, v := range view {
			if v.Kept && v.Spot {
				spots++
			}
		}
		if spots != most {
			t.Errorf("with %d ordinary machines, %d spot ones are kept, not %d", ordinary, spots, most)
		}
	}
	// A gang that they do not suffice for, behind another such, keeps none.
	j.Ordinary = 3
	view := o.view()
	if o.keepFor(j, view, true) {
		t.Error("one ordinary machine is not enough for three tasks")
	}
	for _, v := range view {
		if v.Kept {
			t.Errorf("%s is kept in vain", v.Name)
		}
	}
}
