package controller

// This file states what an owner's actions on machines rest on, and asserts it at the moment of
// each action: if it does not hold, the action is left out, and the violation is logged and
// counted. docs/design.md has the table of all actions with their guards.

// isActiveOwner tells that this owner has read its records and has not been replaced, as far as
// this node knows. Whether others know better is decided by tokens and guards.
func (o *owner) isActiveOwner() bool { return !o.superseded() && o.state == ownerActive }

// mayCommand asserts that a machine may be commanded: it is claimed by a record of this owner,
// whose token it has shown, and is not to be deleted.
func (o *owner) mayCommand(m *machine, verb string) bool {
	if o.isActiveOwner() && m.fencingToken != 0 && m.tokenConfirmed && m.state < machineDecommissioning {
		return true
	}
	o.c.reportViolation("a command without a claim", "verb", verb, "machine", m.name, "token", m.fencingToken, "synced", m.tokenConfirmed,
		"machine_state", m.state.String(), "owner_state", o.state.String(), "superseded", o.superseded())
	return false
}

// maySendStart asserts that an attempt may be started: its place is recorded, and its job is not
// known to be over.
func (o *owner) maySendStart(a *attempt) bool {
	if a.state == attemptRecorded && a.machine.recorded && !o.c.cancellations.HasEnded(a.job.ID) {
		return o.mayCommand(a.machine, "start")
	}
	o.c.reportViolation("a start without a recorded placement", "task", a.taskName(), "try", a.number, "machine", a.machine.name,
		"state", a.state.String(), "recorded", a.machine.recorded, "ended", o.c.cancellations.HasEnded(a.job.ID))
	return false
}

// mayTerminate asserts that the cloud may be asked to delete a machine: that is recorded, or there
// is no time left for that.
func (o *owner) mayTerminate(m *machine) bool {
	overdue := m.state == machineDecommissioning && o.cancellationOverdue(m, overdueTerminateFraction)
	if o.isActiveOwner() && (m.state == machineTerminating || overdue) {
		return true
	}
	o.c.reportViolation("a release without a record", "machine", m.name, "machine_state", m.state.String(), "owner_state", o.state.String())
	return false
}

// mayRequestScaleOut asserts that the cloud may be asked for a rental: its name is recorded.
func (o *owner) mayRequestScaleOut(r *scaleOutRequest) bool {
	if o.isActiveOwner() && r.state == scaleOutRequested {
		return true
	}
	o.c.reportViolation("a rental without a record", "name", r.name, "rental_state", r.state.String(), "owner_state", o.state.String())
	return false
}
