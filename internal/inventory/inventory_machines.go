package inventory

import (
	"slices"

	"tamarindlead/sched"
)

// AddMachine adds a machine with an entry in a block.
func (inv *Inventory) AddMachine(b *Block, info MachineInfo, size sched.Resources) *Machine {
	m := &Machine{MachineInfo: info, Size: size}
	m.LastHeartbeat, m.IdleSince = inv.host.Now(), inv.host.Now()
	m.Attempts = map[TaskKey]*Attempt{}
	b.Add(m)
	inv.host.EntryChanged(m)
	inv.Machines[info.Name] = m
	i, _ := slices.BinarySearchFunc(inv.SortedMachines, info.Name, CompareMachineName)
	inv.SortedMachines = slices.Insert(inv.SortedMachines, i, m)
	return m
}

// unregisterMachine removes a machine from the lists and from its block.
func (inv *Inventory) unregisterMachine(m *Machine) {
	delete(inv.Machines, m.Name)
	if i, ok := slices.BinarySearchFunc(inv.SortedMachines, m.Name, CompareMachineName); ok {
		inv.SortedMachines = slices.Delete(inv.SortedMachines, i, i+1)
	}
	m.Block.Machines = slices.DeleteFunc(m.Block.Machines, func(x *Machine) bool { return x == m })
}

// RemoveMachine removes a machine whose entry is in no record of this owner, and closes its attempts,
// so that their tasks may be placed again. Attempts whose completion must still be recorded remain.
func (inv *Inventory) RemoveMachine(m *Machine) {
	inv.unregisterMachine(m)
	for _, a := range m.SortedAttempts() {
		j := a.Job
		a.Reason = "machine is gone"
		if a.State != AttemptCompleted || j.State == JobEnded {
			inv.SetAttemptState(a, AttemptClosed)
		}
		if j.Gang && j.State == JobActive && len(j.Attempts) > 0 && j.GangState != GangStopping {
			inv.StopJob(j, 0, "gang lost a machine")
		}
	}
	inv.SchedulingNeeded = true
}

// SetMachineState changes the state of a machine. reason is for the log.
func (inv *Inventory) SetMachineState(m *Machine, s MachineState, reason string) {
	if m.State == s {
		return
	}
	inv.log.Info("machine state changed", "machine", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot,
		"from", m.State.String(), "to", s.String(), "reason", reason)
	m.State = s
	switch s {
	case MachineReady:
		m.IdleSince, m.TokenConfirmedAt = inv.host.Now(), max(m.TokenConfirmedAt, inv.host.Now())
		inv.SchedulingNeeded = true
	case MachineTerminating:
		inv.TerminationNeeded = true
	case MachineTransferring, MachineDecommissioning, MachineTerminated:
		inv.host.EntryChanged(m)
	case MachineBooting, MachineDraining:
	}
}

// SetFencingState changes the fencing state of a machine.
func (inv *Inventory) SetFencingState(m *Machine, s FencingState) {
	if m.Fencing == s {
		return
	}
	inv.log.Debug("fencing state changed", "machine", m.Name, "from", m.Fencing.String(), "to", s.String())
	m.Fencing = s
	if s == FencingNeeded {
		inv.host.EntryChanged(m)
	}
}
