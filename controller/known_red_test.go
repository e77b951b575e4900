package controller

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestOwnerCrashBeforeOutage is listed in KNOWN-RED.txt: what an owner knows of cancelled tasks on hung
// machines is lost with its process, if an outage of the key-value store begins before a successor has
// recovered the records. The scenario is not in testdata, whose scenarios several tests run.
func TestOwnerCrashBeforeOutage(t *testing.T) {
	runScenario(t, "knownred/cancel_hung_machine_owner_crash_kv_outage.txt", func(*datadriven.TestData) {}, func(*simulation) {})
}

// TestReturnedOwnerKeepsItsMachines is listed in KNOWN-RED.txt: an owner that loses its membership and returns
// in the same process is a live owner and a predecessor at once, so two owners recover its machines.
func TestReturnedOwnerKeepsItsMachines(t *testing.T) {
	runScenario(t, "knownred/predecessor_returns.txt", func(*datadriven.TestData) {}, func(*simulation) {})
}
