package scheduler

import (
	"slices"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/sched"
)

// TestStartGangKeepsOrder checks that the machines of a gang get their commands in the order of its
// tasks, so that the same events always have the same effects.
func TestStartGangKeepsOrder(t *testing.T) {
	const tasks = 24
	f := newFixture(t)
	gang := f.addJob(&sched.Job{ID: jobName(1), Gang: true, Tasks: tasks, Need: sched.NewResources(28, 0, 4)}, 0)
	var want []string
	for i := range tasks {
		m := f.addMachine(i, false)
		f.inventory.AddAttempt(gang, i, 1, m, inventory.AttemptRecorded)
		want = append(want, m.Name)
	}
	f.startGang(gang)
	if !slices.Equal(f.fake.commanded, want) {
		t.Errorf("commands in the order %q, want %q", f.fake.commanded, want)
	}
}
