package controller

import (
	"fmt"
	"testing"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestSpotMachinesNotReservedForExcess guards against spot machines that stand idle for a gang which may not use
// so many of them, while gangs that could use them wait.
func TestSpotMachinesNotReservedForExcess(t *testing.T) {
	o := testOwner()
	gang := &sched.Job{
		ID: "req-000001", Class: "merge", Team: "red", Gang: true, Tasks: 4,
		Need: sched.NewResources(20, 0, 80), Image: "img", Spot: true,
	}
	o.recoverJob(record.ActiveJobKey(gang.ID), wire.Encode(record.NewJob(gang, 0)), 1)
	for i := range 6 {
		m := o.newMachine(inventory.MachineInfo{Name: fmt.Sprintf("m-%06d", i), Type: "mid", Zone: "a", Spot: i < 5, Endpoint: "worker"})
		m.FencingToken, m.LastHeartbeat, m.State = 1, o.c.now, inventory.MachineReady
	}
	j := o.Jobs[gang.ID]
	for ordinary, most := range map[int]int{4: 0, 3: 1, 0: 4} {
		j.MinOnDemandTasks = ordinary
		view := o.machineView()
		o.reserveForGang(j, view, false)
		spots := 0
		for _, v := range view {
			if v.ReservedForGangs && v.Spot {
				spots++
			}
		}
		if spots != most {
			t.Errorf("with %d ordinary machines, %d spot ones are kept, not %d", ordinary, spots, most)
		}
	}
	// A gang that they do not suffice for, behind another such, keeps none.
	j.MinOnDemandTasks = 3
	view := o.machineView()
	if o.reserveForGang(j, view, true) {
		t.Error("one ordinary machine is not enough for three tasks")
	}
	for _, v := range view {
		if v.ReservedForGangs {
			t.Errorf("%s is kept in vain", v.Name)
		}
	}
}

// TestFreedCapacityCountedOnce guards against room that is counted twice: a hold for it would wait for ever,
// since another gang has taken what there is.
func TestFreedCapacityCountedOnce(t *testing.T) {
	o := testOwner()
	for i := range 2 {
		gang := &sched.Job{
			ID: fmt.Sprintf("req-%06d", i), Class: "merge", Team: "red", Gang: true, Tasks: 1,
			Need: sched.NewResources(20, 0, 80), Image: "img",
		}
		o.recoverJob(record.ActiveJobKey(gang.ID), wire.Encode(record.NewJob(gang, 0)), 1)
	}
	m := o.newMachine(inventory.MachineInfo{Name: "m-000000", Type: "mid", Zone: "a", Spot: false, Endpoint: "worker"})
	m.FencingToken, m.LastHeartbeat, m.State = 1, o.c.now, inventory.MachineReady
	ended := o.AddAttempt(o.Queue[0], 0, 7, m, inventory.AttemptLive)
	o.SetAttemptState(ended, inventory.AttemptCompleted)
	o.AddAttempt(o.Queue[1], 0, 8, m, inventory.AttemptLive)
	if free, is := o.preemptionView()[0].Free.CPUs(), m.Size.Sub(m.Used).CPUs(); free != is {
		t.Errorf("%g processors count as free, of which there are %g", free, is)
	}
}

// TestGuaranteedQuota guards against gangs that stop each other in turn: a guarantee covers a
// team's earliest unfinished jobs, whether they run at the moment or not.
func TestGuaranteedQuota(t *testing.T) {
	o := testOwner()
	o.Teams["red"].GuaranteedQuota = sched.NewResources(100, 0, 0)
	for i, cpus := range []float64{60, 30, 20, 5} {
		spec := &sched.Job{
			ID: fmt.Sprintf("req-%06d", 9-i), Class: "merge", Team: "red", Tasks: 1,
			Need: sched.NewResources(cpus, 0, 1), Image: "img", Priority: sched.Priority(i),
		}
		o.recoverJob(record.ActiveJobKey(spec.ID), wire.Encode(record.NewJob(spec, micros.Micros(i))), 1)
	}
	covered := o.jobsWithinGuarantee()
	for i, want := range []bool{true, true, false, false} {
		if j := o.Jobs[fmt.Sprintf("req-%06d", 9-i)]; covered[j] != want {
			t.Errorf("job %d: covered is %t", i, covered[j])
		}
	}
}
