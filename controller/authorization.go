package controller

import "tamarindlead/internal/inventory"

// This file states what an owner's actions on machines rest on, and asserts it at the moment of
// each action: if it does not hold, the action is left out, and the violation is logged and
// counted. docs/design.md has the table of all actions with their guards.

// isActiveOwner tells that this owner has read its records and has not been replaced, as far as
// this node knows. Whether others know better is decided by tokens and guards.
func (o *owner) isActiveOwner() bool { return !o.superseded() && o.state == ownerActive }

// mayCommand asserts that a machine may be commanded: it is claimed by a record of this owner,
// whose token it has shown, and is not to be deleted.
func (o *owner) mayCommand(m *inventory.Machine, verb string) bool {
	if o.isActiveOwner() && m.FencingToken != 0 && m.TokenConfirmed && m.State < inventory.MachineDecommissioning {
		return true
	}
	o.c.reportViolation("a command without a claim", "verb", verb, "machine", m.Name, "token", m.FencingToken, "synced", m.TokenConfirmed,
		"machine_state", m.State.String(), "owner_state", o.state.String(), "superseded", o.superseded())
	return false
}

// maySendStart asserts that an attempt may be started: its place is recorded, and its job is not
// known to be over.
func (o *owner) maySendStart(a *inventory.Attempt) bool {
	if a.State == inventory.AttemptRecorded && a.Machine.Recorded && !o.c.cancellations.HasEnded(a.Job.ID) {
		return o.mayCommand(a.Machine, "start")
	}
	o.c.reportViolation("a start without a recorded placement", "task", a.TaskName(), "try", a.Number, "machine", a.Machine.Name,
		"state", a.State.String(), "recorded", a.Machine.Recorded, "ended", o.c.cancellations.HasEnded(a.Job.ID))
	return false
}
