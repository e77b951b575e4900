package fleet

import (
	"testing"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
)

// TestTerminationsRequireRecords checks that the cloud is asked to terminate a machine only if that
// is recorded, and that anything else is a violation.
func TestTerminationsRequireRecords(t *testing.T) {
	for state, want := range map[inventory.MachineState]bool{
		inventory.MachineTerminating: true, inventory.MachineDecommissioning: false, inventory.MachineReady: false,
	} {
		t.Run(state.String(), func(t *testing.T) {
			f, host := newTestFleet(t, "m-000001")
			m := f.Machines["m-000001"]
			m.State = state
			if got := f.mayTerminate(m); got != want || len(host.violations) != expectedViolations(!want) {
				t.Errorf("allowed %t with violations %q", got, host.violations)
			}
		})
	}
}

// TestScaleOutRequiresRecords checks that the cloud is asked for machines only under a recorded
// name, and that anything else is a violation.
func TestScaleOutRequiresRecords(t *testing.T) {
	for state, want := range map[scaleOutState]bool{
		scaleOutPlanned: false, scaleOutRequested: true, scaleOutGranted: false, scaleOutDone: false,
	} {
		t.Run(state.String(), func(t *testing.T) {
			f, host := newTestFleet(t)
			r := &scaleOutRequest{name: "h-1", offer: autoscaler.Offer{Type: "small", Zone: "a"}, machineCount: 1, state: state}
			if got := f.mayRequestScaleOut(r); got != want || len(host.violations) != expectedViolations(!want) {
				t.Errorf("allowed %t with violations %q", got, host.violations)
			}
		})
	}
}

func expectedViolations(expected bool) int {
	if expected {
		return 1
	}
	return 0
}
