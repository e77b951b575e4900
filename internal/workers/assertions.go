package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
)

// The assertions in this file state what a command to a machine depends on. Each is checked at the
// moment at which the command is issued: if it does not hold, the command is omitted, and the
// violation is logged and counted. docs/design.md lists all actions and their conditions.

// anyVerb is the verb under which a violation is logged that concerns all commands to a machine.
const anyVerb wire.Verb = "any"

// mayCommand asserts that commands may be sent to a machine: a record of this owner claims it, its
// worker has confirmed the fencing token of that claim, and it is not about to be terminated.
func (w *Manager) mayCommand(m *inventory.Machine, verb wire.Verb) bool {
	if w.host.IsActive() && m.FencingToken != 0 && m.TokenConfirmed && m.State < inventory.MachineDecommissioning {
		return true
	}
	w.host.ReportViolation("command to an unclaimed machine", "verb", string(verb), "machine", m.Name,
		"fencing_token", m.FencingToken, "token_confirmed", m.TokenConfirmed, "machine_state", m.State.String())
	return false
}

// maySendStart asserts that an attempt may be started: its placement is recorded, and its job is not
// known to have ended.
func (w *Manager) maySendStart(a *inventory.Attempt) bool {
	cancelled := w.host.JobIsCancelled(a.Job.ID)
	if a.State == inventory.AttemptRecorded && a.Machine.Recorded && !cancelled {
		return w.mayCommand(a.Machine, wire.VerbStart)
	}
	w.host.ReportViolation("start without a recorded placement", "task", a.TaskName(), "attempt", a.Number,
		"machine", a.Machine.Name, "attempt_state", a.State.String(), "recorded", a.Machine.Recorded, "job_cancelled", cancelled)
	return false
}
