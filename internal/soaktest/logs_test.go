package soaktest

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tamarindlead/internal/fleet"
	"tamarindlead/internal/inventory"
)

// TestCheckLogs checks which rules the lines of a controller's log violate.
func TestCheckLogs(t *testing.T) {
	const lost = `level=INFO msg="machine state changed" node=controller-0 machine=m-000001 to=decommissioning reason="heartbeat timeout"`
	for _, test := range []struct {
		name     string
		line     string
		noFaults bool
		want     []Rule
		wantLost int
	}{
		{"ordinary line", `level=INFO msg=status violations=0`, true, nil, 0},
		{"violated invariant", `level=ERROR msg="invariant violated" what=x`, false, []Rule{RuleInvariant}, 0},
		{"panic", "panic: runtime error", false, []Rule{RuleInvariant}, 0},
		{"fatal error", "fatal error: concurrent map writes", false, []Rule{RuleInvariant}, 0},
		{"machine lost in a run with faults", lost, false, nil, 1},
		{"machine lost in a run without faults", lost, true, []Rule{RuleMachineLost}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, _ := newTestHarness()
			h.options.NoFaults = test.noFaults
			path := filepath.Join(t.TempDir(), "controller-0.log")
			if err := os.WriteFile(path, []byte(test.line+"\n"), 0o644); err != nil {
				t.Fatal(err)
			}
			h.controllers = []*controllerProcess{{name: "controller-0", logPath: path}}
			h.checker.checkLogs()
			checkRules(t, h.checker, test.want)
			if got := h.checker.stats.MachinesLost; got != test.wantLost {
				t.Errorf("%d machines lost, want %d", got, test.wantLost)
			}
		})
	}
}

// TestIsMachineLost checks for which reasons a machine counts as lost, in the form in which a
// controller logs them.
func TestIsMachineLost(t *testing.T) {
	for reason, want := range map[fleet.DecommissionReason]bool{
		fleet.DecommissionCancellationOverdue: false,
		fleet.DecommissionBootTimeout:         false,
		fleet.DecommissionFailed:              false,
		fleet.DecommissionUnlisted:            true,
		fleet.DecommissionUnresponsive:        true,
		fleet.DecommissionUnreachable:         true,
		fleet.DecommissionDrained:             false,
	} {
		t.Run(reason.String(), func(t *testing.T) {
			var line strings.Builder
			slog.New(slog.NewTextHandler(&line, nil)).Info("machine state changed", "machine", "m-000001",
				"to", inventory.MachineDecommissioning.String(), "reason", reason.String())
			if got := isMachineLost(line.String()); got != want {
				t.Errorf("isMachineLost returned %t, want %t, for the line %s", got, want, line.String())
			}
		})
	}
}
