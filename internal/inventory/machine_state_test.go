package inventory

import "testing"

// TestExpectsHeartbeat checks in which states a machine is up, and when its missing heartbeats count.
func TestExpectsHeartbeat(t *testing.T) {
	for state, up := range map[MachineState]bool{
		MachineBooting: false, MachineReady: true, MachineDraining: true, MachineTransferring: true,
		MachineDecommissioning: false, MachineTerminating: false, MachineTerminated: false,
	} {
		if got := state.IsUp(); got != up {
			t.Errorf("%v is up: %t, want %t", state, got, up)
		}
		for _, recovered := range []bool{false, true} {
			for _, attempts := range []map[TaskKey]*Attempt{nil, {{}: {}}} {
				m := &Machine{State: state}
				m.Recovered, m.Attempts = recovered, attempts
				want := up || state == MachineBooting && recovered && attempts != nil
				if got := m.ExpectsHeartbeat(); got != want {
					t.Errorf("%v, recovered %t, %d attempts: %t, want %t", state, recovered, len(attempts), got, want)
				}
			}
		}
	}
}
