package controller

import (
	"testing"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/cluster"
	"tamarindlead/sched"
)

// activeOwner returns an active owner with a machine that it has claimed, and on it an attempt
// whose place is recorded.
func activeOwner() (*owner, *machine, *attempt) {
	core := newRespondingCore()
	o := newOwner(core, map[string]cluster.Team{})
	core.setOwner(o)
	o.setState(ownerActive)
	m := o.newMachine(machineInfo{name: "m-000001", machineType: "small", zone: "a", endpoint: "worker:m-000001"})
	m.state, m.fencingToken, m.tokenConfirmed, m.recorded = machineReady, 7, true, true
	j := newJob(&sched.Job{ID: "req-000001", Team: "red", Tasks: 1, Need: sched.NewResources(1, 0, 1)}, 5, 0)
	o.jobs[j.ID] = j
	return o, m, o.addAttempt(j, 0, 1, m, attemptRecorded)
}

// TestStartsRequireRecords sees that a start is ordered only on a recorded placement under a token
// that the machine has shown, and that anything else is a violation.
func TestStartsRequireRecords(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(o *owner, m *machine, a *attempt)
		commands   int
		violations int
	}{
		{"recorded and claimed", func(*owner, *machine, *attempt) {}, 1, 0},
		{"not claimed", func(_ *owner, m *machine, _ *attempt) { m.fencingToken = 0 }, 0, 1},
		{"without an entry in a record", func(_ *owner, m *machine, _ *attempt) { m.recorded = false }, 0, 1},
		{"to be deleted", func(_ *owner, m *machine, _ *attempt) { m.state = machineDecommissioning }, 0, 1},
		{"its owner reads the records", func(o *owner, _ *machine, _ *attempt) { o.state = ownerRecovering }, 0, 1},
		{"its owner was replaced", func(o *owner, _ *machine, _ *attempt) { o.c.owner = nil }, 0, 1},
		{"a peer says that its job is cancelled", func(o *owner, _ *machine, a *attempt) {
			o.c.cancellations.MarkEnded(a.job.ID, o.c.now)
			a.job.state, a.state = jobActive, attemptRecorded // as if this had been missed
		}, 0, 1},
		{"not recorded yet", func(_ *owner, _ *machine, a *attempt) { a.state = attemptAssumed }, 0, 0},
		{"the machine has not shown the token", func(_ *owner, m *machine, _ *attempt) { m.tokenConfirmed = false }, 0, 0},
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

// TestTerminationsRequireRecords sees that the cloud is asked to delete a machine only if that is
// recorded.
func TestTerminationsRequireRecords(t *testing.T) {
	for state, want := range map[machineState]bool{machineTerminating: true, machineDecommissioning: false, machineReady: false} {
		o, m, _ := activeOwner()
		m.state = state
		if got := o.mayTerminate(m); got != want || o.c.Violations() != expectedViolations(!want) {
			t.Errorf("%v: allowed %t with %d violations", state, got, o.c.Violations())
		}
	}
}

// TestScaleOutRequiresRecords sees that the cloud is asked for machines only under a recorded name.
func TestScaleOutRequiresRecords(t *testing.T) {
	for state, want := range map[scaleOutState]bool{scaleOutPlanned: false, scaleOutRequested: true, scaleOutGranted: false, scaleOutDone: false} {
		o, _, _ := activeOwner()
		r := &scaleOutRequest{name: "h-1", offer: autoscaler.Offer{Type: "small", Zone: "a"}, machineCount: 1, state: state}
		if got := o.mayRequestScaleOut(r); got != want || o.c.Violations() != expectedViolations(!want) {
			t.Errorf("%v: allowed %t with %d violations", state, got, o.c.Violations())
		}
	}
}

func expectedViolations(expected bool) int {
	if expected {
		return 1
	}
	return 0
}
