package scheduler

import (
	"testing"

	"tamarindlead/sched"
)

// TestSpotMachinesNotReservedForExcess guards against spot machines that are idle for a gang which
// may not use so many of them, while gangs that could use them wait.
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
			t.Errorf("with %d on-demand machines, %d spot machines are reserved, not %d", minOnDemand, spots, most)
		}
	}
	// A gang for which the machines do not suffice reserves none after another such gang.
	j.MinOnDemandTasks = 3
	view := f.machineView()
	if f.reserveForGang(j, view, true) {
		t.Error("one on-demand machine does not suffice for three tasks")
	}
	for _, v := range view {
		if v.ReservedForGangs {
			t.Errorf("%s is reserved in vain", v.Name)
		}
	}
}
