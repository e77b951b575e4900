package controller

import (
	"testing"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/cluster"
	"tamarindlead/sched"
)

// activeOwner returns an active owner with a machine that it has claimed, and on it an attempt
// whose place is recorded.
func activeOwner() (*owner, *inventory.Machine, *inventory.Attempt) {
	core := newRespondingCore()
	o := newOwner(core, map[string]cluster.Team{})
	core.setOwner(o)
	o.setState(ownerActive)
	m := o.newMachine(inventory.MachineInfo{Name: "m-000001", Type: "small", Zone: "a", Endpoint: "worker:m-000001"})
	m.State, m.FencingToken, m.TokenConfirmed, m.Recorded = inventory.MachineReady, 7, true, true
	j := inventory.NewJob(&sched.Job{ID: "req-000001", Team: "red", Tasks: 1, Need: sched.NewResources(1, 0, 1)}, 5, 0)
	o.Jobs[j.ID] = j
	return o, m, o.AddAttempt(j, 0, 1, m, inventory.AttemptRecorded)
}

// TestStartsRequireRecords sees that a start is ordered only on a recorded placement under a token
// that the machine has shown, and that anything else is a violation.
func TestStartsRequireRecords(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(o *owner, m *inventory.Machine, a *inventory.Attempt)
		commands   int
		violations int
	}{
		{"recorded and claimed", func(*owner, *inventory.Machine, *inventory.Attempt) {}, 1, 0},
		{"not claimed", func(_ *owner, m *inventory.Machine, _ *inventory.Attempt) { m.FencingToken = 0 }, 0, 1},
		{"without an entry in a record", func(_ *owner, m *inventory.Machine, _ *inventory.Attempt) { m.Recorded = false }, 0, 1},
		{"to be deleted", func(_ *owner, m *inventory.Machine, _ *inventory.Attempt) { m.State = inventory.MachineDecommissioning }, 0, 1},
		{"its owner reads the records", func(o *owner, _ *inventory.Machine, _ *inventory.Attempt) { o.state = ownerRecovering }, 0, 1},
		{"its owner was replaced", func(o *owner, _ *inventory.Machine, _ *inventory.Attempt) { o.c.owner = nil }, 0, 1},
		{"a peer says that its job is cancelled", func(o *owner, _ *inventory.Machine, a *inventory.Attempt) {
			o.c.cancellations.MarkEnded(a.Job.ID, o.c.now)
			a.Job.State, a.State = inventory.JobActive, inventory.AttemptRecorded // as if this had been missed
		}, 0, 1},
		{"not recorded yet", func(_ *owner, _ *inventory.Machine, a *inventory.Attempt) { a.State = inventory.AttemptAssumed }, 0, 0},
		{"the machine has not shown the token", func(_ *owner, m *inventory.Machine, _ *inventory.Attempt) { m.TokenConfirmed = false }, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, m, a := activeOwner()
			c.change(o, m, a)
			if got := len(o.commands(m)); got != c.commands || o.c.Violations() != c.violations {
				t.Errorf("%d commands and %d violations, want %d and %d", got, o.c.Violations(), c.commands, c.violations)
			}
		})
	}
}
