package workers

import (
	"testing"

	"tamarindlead/internal/inventory"
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
