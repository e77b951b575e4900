package workers

import (
	"slices"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
)

// The assertions in this file are the preconditions of commands to machines. Each is checked when the
// command is issued: if it does not hold, the command is omitted, and the violation is logged and
// counted. docs/design.md lists all actions and their conditions.

// anyVerb is the verb in the log entry of a violation that concerns all commands to a machine.
const anyVerb wire.Verb = "any"

// mayCommand asserts that commands may be sent to a machine: the owner is active, a record of this
// owner claims the machine, its worker has confirmed the fencing token of that claim, and the machine
// is not being decommissioned or terminated.
func (w *Manager) mayCommand(m *inventory.Machine, verb wire.Verb) bool {
	if w.host.IsActive() && m.FencingToken != 0 && m.TokenConfirmed && m.State < inventory.MachineDecommissioning {
		return true
	}
	w.host.ReportViolation("command to an unclaimed machine", "verb", string(verb), "machine", m.Name,
		"fencing_token", m.FencingToken, "token_confirmed", m.TokenConfirmed, "machine_state", m.State.String())
	return false
}

// maySendStart asserts that a start command may be sent for an attempt: its placement is recorded, and
// its job is not known to have been cancelled.
func (w *Manager) maySendStart(a *inventory.Attempt) bool {
	cancelled := w.host.JobIsCancelled(a.Job.ID)
	if a.State == inventory.AttemptRecorded && a.Machine.Recorded && !cancelled {
		return w.mayCommand(a.Machine, wire.VerbStart)
	}
	w.host.ReportViolation("start without a recorded placement", "task", a.TaskName(), "attempt", a.Number,
		"machine", a.Machine.Name, "attempt_state", a.State.String(), "recorded", a.Machine.Recorded, "job_cancelled", cancelled)
	return false
}

// permittedCommands asserts, for every command that is about to be sent to a machine, that its worker may
// forget the attempts that it is commanded to forget. It omits the other commands.
func (w *Manager) permittedCommands(m *inventory.Machine, commands []wire.Command) []wire.Command {
	return slices.DeleteFunc(commands, func(c wire.Command) bool {
		if m.MayExecute(c) {
			return false
		}
		w.host.ReportViolation("forget of an attempt whose start may be repeated", "task", c.Task, "attempt", c.Attempt,
			"machine", m.Name, "fencing_token", m.FencingToken, "fencing", m.Fencing.String())
		return true
	})
}
