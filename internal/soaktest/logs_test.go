package soaktest

import (
	"os"
	"path/filepath"
	"testing"
)

// TestCheckLogs checks which rules the lines of a controller's log violate.
func TestCheckLogs(t *testing.T) {
	const lost = `level=INFO msg="machine state changed" node=controller-0 machine=m-000001 to=decommissioning reason="is silent"`
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
