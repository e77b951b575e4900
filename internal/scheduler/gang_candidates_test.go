package scheduler

import (
	"testing"

	"tamarindlead/sched"
)

// TestSpotMachinesNotReservedForExcess guards against reserving more spot machines for a gang than it
// may use: they would be idle while gangs that could use them wait.
func TestSpotMachinesNotReservedForExcess(t *testing.T) {
	f := newFixture(t)
	j := f.addJob(&sched.Job{
		ID: jobName(1), Class: "merge", Gang: true, Tasks: 4, Need: sched.NewResources(20, 0, 80), Spot: true,
	}, 0)
	for i := range 6 {
		f.addMachine(i, i < 5)
	}
	for minOnDemand, most := range map[int]int{4: 0, 3: 1, 0: 4} {
		j.MinOnDemandTasks = minOnDemand
		view := f.machineView()
		f.reserveForGang(j, view, false)
		spots := 0
		for _, v := range view {
			if v.ReservedForGangs && v.Spot {
				spots++
			}
		}
		if spots != most {
			t.Errorf("with at least %d on-demand tasks, %d spot machines are reserved, want %d", minOnDemand, spots, most)
		}
	}
	// After a gang for which the machines do not suffice, completeOnly is set: another such gang
	// reserves none.
	j.MinOnDemandTasks = 3
	view := f.machineView()
	if f.reserveForGang(j, view, true) {
		t.Error("one on-demand machine is reported to suffice for three on-demand tasks")
	}
	for _, v := range view {
		if v.ReservedForGangs {
			t.Errorf("%s is reserved although the machines do not suffice", v.Name)
		}
	}
}
