package fleet

import (
	"net/http"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// maxTerminationsPerCall is the maximum number of machines in one termination request.
	maxTerminationsPerCall = 100
	// terminatedRetention is how long a terminated machine is remembered, since the cloud's list
	// may still show it for that long.
	terminatedRetention = 120 * micros.Second
)

// TerminateMachines requests from the cloud the termination of all machines for which it is due.
func (f *Fleet) TerminateMachines() {
	if !f.TerminationNeeded || f.terminating {
		return
	}
	f.refresh()
	if f.now < f.nextTermination {
		return
	}
	names := f.terminableMachines()
	if len(names) == 0 {
		f.TerminationNeeded = false
		return
	}
	if !f.cloud.Allow() {
		return
	}
	f.terminating = true
	f.cloud.Call(http.MethodPost, wire.PathRelease, wire.MachineNames{Machines: names}, func(status wire.Status, _ []byte) {
		if f.host.Superseded() {
			return
		}
		f.refresh()
		f.terminating, f.nextTermination = false, f.now+cloudRetryDelay
		if status == wire.StatusOK {
			f.nextTermination = f.now
			f.handleMachinesTerminated(names)
		}
	})
}

// terminableMachines returns the machines whose termination may be requested from the cloud: machines
// whose termination is recorded, and machines for which there is no time left to record it.
func (f *Fleet) terminableMachines() []string {
	var names []string
	for _, name := range ordered.Keys(f.Machines) {
		m := f.Machines[name]
		due := m.State == inventory.MachineTerminating || f.terminationOverdue(m)
		if due && len(names) < maxTerminationsPerCall && f.mayTerminate(m) {
			names = append(names, name)
		}
	}
	return names
}

// terminationOverdue reports whether there is no time left to record a machine's termination.
func (f *Fleet) terminationOverdue(m *inventory.Machine) bool {
	return m.State == inventory.MachineDecommissioning && f.cancellationOverdue(m, overdueTerminateFraction)
}

// mayTerminate asserts that the termination of a machine may be requested from the cloud: the owner is
// active, and the termination is recorded or there is no time left to record it.
func (f *Fleet) mayTerminate(m *inventory.Machine) bool {
	if f.host.IsActive() && (m.State == inventory.MachineTerminating || f.terminationOverdue(m)) {
		return true
	}
	f.host.ReportViolation("a termination without a record", "machine", m.Name, "machine_state", m.State.String())
	return false
}

// handleMachinesTerminated handles the cloud's confirmation that it has terminated machines.
func (f *Fleet) handleMachinesTerminated(names []string) {
	for _, name := range names {
		m := f.Machines[name]
		if m == nil || m.State != inventory.MachineTerminating && m.State != inventory.MachineDecommissioning {
			continue
		}
		f.recentlyTerminated[name] = f.now + terminatedRetention
		f.SetMachineState(m, inventory.MachineTerminated, "terminated by the cloud")
	}
}
