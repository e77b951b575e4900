package controller

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScenarios runs the scenario files of testdata, whose first lines describe the fault that each
// covers. The rules must hold after every command.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		runScenario(t, path, func(*datadriven.TestData) {}, func(*simulation) {})
	})
}

// runScenario runs a scenario file. prepare may change the cluster command, which creates the
// simulation, and created is called with the new simulation.
func runScenario(t *testing.T, path string, prepare func(d *datadriven.TestData), created func(sim *simulation)) {
	t.Helper()
	var sim *simulation
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "cluster" {
			prepare(d)
			sim = newScenarioSimulation(t, d)
			created(sim)
			return ""
		}
		return runScenarioCommand(t, sim, d)
	})
}

// runScenarioCommand executes one command other than cluster and fails the test if a rule has been
// violated.
func runScenarioCommand(t *testing.T, sim *simulation, d *datadriven.TestData) string {
	t.Helper()
	out := executeScenarioCommand(t, sim, d)
	if len(sim.violations) > 0 {
		t.Fatalf("%s: rules violated:\n%s", filepath.Base(d.Pos), strings.Join(sim.violations, "\n"))
	}
	return out
}

func executeScenarioCommand(t *testing.T, sim *simulation, d *datadriven.TestData) string {
	t.Helper()
	if execute, ok := scenarioCommands[d.Cmd]; ok {
		c := newCommand(t, sim, d)
		sim.commands = append(sim.commands, c)
		return execute(c)
	}
	if runLimitCommand(t, sim, d) {
		return ""
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}
