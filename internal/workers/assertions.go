package workers

import "tamarindlead/internal/inventory"

// mayCommand asserts that a machine may be commanded: it is claimed by a record of this owner,
// whose token it has shown, and is not to be deleted.
func (w *Manager) mayCommand(m *inventory.Machine, verb string) bool {
	if w.host.IsActive() && m.FencingToken != 0 && m.TokenConfirmed && m.State < inventory.MachineDecommissioning {
		return true
	}
	w.host.ReportViolation("a command without a claim", "verb", verb, "machine", m.Name, "token", m.FencingToken, "synced", m.TokenConfirmed,
		"machine_state", m.State.String())
	return false
}

// maySendStart asserts that an attempt may be started: its place is recorded, and its job is not
// known to be over.
func (w *Manager) maySendStart(a *inventory.Attempt) bool {
	if a.State == inventory.AttemptRecorded && a.Machine.Recorded && !w.host.JobHasEnded(a.Job.ID) {
		return w.mayCommand(a.Machine, "start")
	}
	w.host.ReportViolation("a start without a recorded placement", "task", a.TaskName(), "try", a.Number, "machine", a.Machine.Name,
		"state", a.State.String(), "recorded", a.Machine.Recorded, "ended", w.host.JobHasEnded(a.Job.ID))
	return false
}
