package autoscaler

import (
	"fmt"
	"testing"
)

// TestNames checks the names of drain reasons and machine states.
func TestNames(t *testing.T) {
	for value, want := range map[fmt.Stringer]string{
		DrainSurplus: "the others suffice", DrainIdle: "idle", DrainReason(9): "DrainReason(9)",
		MachineOther: "other", MachineBooting: "booting", MachineReady: "ready", MachineState(9): "MachineState(9)",
	} {
		if got := value.String(); got != want {
			t.Errorf("%T.String() = %q, want %q", value, got, want)
		}
	}
}
