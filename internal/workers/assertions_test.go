package workers

import (
	"net/http"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
)

// TestStartsRequireRecords checks that a start command is issued only for a recorded placement and under
// a fencing token that the machine has confirmed. Without a claim, a machine entry in a record, an
// active owner or an uncancelled job, the omitted command is reported as a violation; a placement or
// token that is not confirmed yet is not a violation.
func TestStartsRequireRecords(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(h *fakeHost, m *inventory.Machine, a *inventory.Attempt)
		commands   int
		violations int
	}{
		{"recorded and claimed", func(*fakeHost, *inventory.Machine, *inventory.Attempt) {}, 1, 0},
		{"not claimed", func(_ *fakeHost, m *inventory.Machine, _ *inventory.Attempt) { m.FencingToken = 0 }, 0, 1},
		{"without an entry in a record", func(_ *fakeHost, m *inventory.Machine, _ *inventory.Attempt) { m.Recorded = false }, 0, 1},
		{"decommissioning", func(_ *fakeHost, m *inventory.Machine, _ *inventory.Attempt) {
			m.State = inventory.MachineDecommissioning
		}, 0, 1},
		{"owner recovers its records", func(h *fakeHost, _ *inventory.Machine, _ *inventory.Attempt) { h.active = false }, 0, 1},
		{"owner was replaced", func(h *fakeHost, _ *inventory.Machine, _ *inventory.Attempt) { h.superseded = true }, 0, 1},
		{"job cancelled, as announced by a peer", func(h *fakeHost, _ *inventory.Machine, a *inventory.Attempt) { h.cancelledJobs[a.Job.ID] = true }, 0, 1},
		{"placement not recorded yet", func(_ *fakeHost, _ *inventory.Machine, a *inventory.Attempt) { a.State = inventory.AttemptAssumed }, 0, 0},
		{"token not confirmed", func(_ *fakeHost, m *inventory.Machine, _ *inventory.Attempt) { m.TokenConfirmed = false }, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := h.addMachine("m-000001")
			a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, m, inventory.AttemptRecorded)
			c.change(h, m, a)
			if got := len(h.manager.commands(m)); got != c.commands || len(h.violations) != c.violations {
				t.Errorf("%d commands and violations %q, want %d commands and %d violations", got, h.violations, c.commands, c.violations)
			}
		})
	}
}

// TestForgetRequiresHigherToken checks that a worker is commanded to forget an attempt only under a
// higher token than its start command, and that any other forget command is omitted and reported.
func TestForgetRequiresHigherToken(t *testing.T) {
	h := newFakeHost(t)
	m := addPendingStarts(h, 1)[0]
	h.manager.DispatchQueuedMachines()
	a := h.manager.inventory.Jobs[jobID].Attempts[0]
	running := newHeartbeat(2, reported(1, wire.PhaseRunning, ""))
	h.calls[0].done(Response{Status: http.StatusOK, Body: wire.Encode(running)})
	h.manager.HandleHeartbeat(1, newHeartbeat(3, reported(1, wire.PhaseExited, wire.CauseError)))
	h.manager.inventory.SetAttemptState(a, inventory.AttemptClosed)

	if commands := h.manager.commands(m); len(commands) != 0 {
		t.Errorf("commands %+v under the token of the start, want none", commands)
	}
	forget := []wire.Command{{Verb: wire.VerbForget, Task: a.TaskName(), Attempt: a.Number}}
	if permitted := h.manager.permittedCommands(m, forget); len(permitted) != 0 || len(h.violations) != 1 {
		t.Errorf("permitted %+v, violations %q; want none and one", permitted, h.violations)
	}
	m.RaiseToken(8)
	if commands := h.manager.permittedCommands(m, h.manager.commands(m)); len(commands) != 1 || commands[0].Verb != wire.VerbForget {
		t.Errorf("commands %+v under a higher token, want one to forget the attempt", commands)
	}
}
