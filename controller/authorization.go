package controller

import "tamarindlead/internal/inventory"

// This file states what an owner's actions on machines rest on, and asserts it at the moment of
// each action: if it does not hold, the action is left out, and the violation is logged and
// counted. docs/design.md has the table of all actions with their guards.

// isActiveOwner tells that this owner has read its records and has not been replaced, as far as
// this node knows. Whether others know better is decided by tokens and guards.
func (o *owner) isActiveOwner() bool { return !o.superseded() && o.state == ownerActive }

// mayTerminate asserts that the cloud may be asked to delete a machine: that is recorded, or there
// is no time left for that.
func (o *owner) mayTerminate(m *inventory.Machine) bool {
	overdue := m.State == inventory.MachineDecommissioning && o.cancellationOverdue(m, overdueTerminateFraction)
	if o.isActiveOwner() && (m.State == inventory.MachineTerminating || overdue) {
		return true
	}
	o.c.reportViolation("a release without a record", "machine", m.Name, "machine_state", m.State.String(), "owner_state", o.state.String())
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
