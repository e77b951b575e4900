package controller

import "tamarindlead/internal/inventory"

// The assertions in this file state what an owner's requests to the cloud depend on; those of
// commands to machines are in package workers. Each is checked at the moment of the request: if it
// does not hold, the request is omitted, and the violation is logged and counted. docs/design.md
// lists all actions and their conditions.

// isActiveOwner reports whether this owner has recovered its records and, as far as this node knows,
// was not replaced. Whether another node knows better is decided by fencing tokens and preconditions.
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
