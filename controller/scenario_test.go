package controller

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// TestScenarios plays the files of testdata, each of which tells what it guards
// against. After every command the rules must have held.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		runScenario(t, path, func(*datadriven.TestData) {}, func(*simulation) {})
	})
}

// runScenario plays a file. prepare may change the command that makes the world, and made is
// shown the world.
func runScenario(t *testing.T, path string, prepare func(d *datadriven.TestData), made func(sim *simulation)) {
	t.Helper()
	var sim *simulation
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "world" {
			prepare(d)
			sim = newScenarioSimulation(t, d)
			made(sim)
			return ""
		}
		out := runScenarioCommand(t, sim, d)
		if len(sim.violations) > 0 {
			t.Fatalf("%s: rules broken:\n%s", filepath.Base(d.Pos), strings.Join(sim.violations, "\n"))
		}
		return out
	})
}

func arg[T any](t *testing.T, d *datadriven.TestData, key string, def T) T {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &def)
	}
	return def
}

func argSeconds(t *testing.T, d *datadriven.TestData, key string, def float64) micros.Micros {
	text := arg(t, d, key, fmt.Sprint(def))
	var v float64
	if _, err := fmt.Sscan(text, &v); err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return micros.FromSeconds(v)
}

func argNumber(t *testing.T, d *datadriven.TestData, key string, def float64) float64 {
	return argSeconds(t, d, key, def).Seconds()
}

// runScenarioCommand plays a command other than that which makes the world.
func runScenarioCommand(t *testing.T, sim *simulation, d *datadriven.TestData) string {
	node := func() *simNode { return nodeArg(t, sim, d) }
	// during undoes a fault after the time given by "for".
	during := func(undo func()) {
		if d.HasArg("for") {
			sim.after(argSeconds(t, d, "for", 0), undo)
		}
	}
	withoutOutput := func(ok bool) (string, bool) { return "", ok }
	verbs := []func() (out string, ok bool){
		func() (string, bool) { return runTimeCommand(t, sim, d) },
		func() (string, bool) { return runJobCommand(t, sim, d) },
		func() (string, bool) { return runQueryCommand(t, sim, d, node) },
		func() (string, bool) { return withoutOutput(runNodeCommand(t, sim, d, node, during)) },
		func() (string, bool) { return withoutOutput(runMachineCommand(t, sim, d, during)) },
		func() (string, bool) { return runKVFaultCommand(t, sim, d, node, during) },
		func() (string, bool) { return withoutOutput(runResponseDelayCommand(t, sim, d, during)) },
		func() (string, bool) { return withoutOutput(runLimitCommand(t, sim, d)) },
		func() (string, bool) { return runUserCommand(t, sim, d) },
		func() (string, bool) { return runPipelineCommand(t, sim, d, node) },
		func() (string, bool) { return runProductionCommand(t, sim, d, node) },
		func() (string, bool) { return withoutOutput(runWorkerFaultCommand(t, sim, d, during)) },
	}
	for _, verb := range verbs {
		if out, ok := verb(); ok {
			return out
		}
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

// runTimeCommand plays the commands that let time pass; ok is false for any other.
func runTimeCommand(t *testing.T, sim *simulation, d *datadriven.TestData) (out string, ok bool) {
	switch d.Cmd {
	case "run":
		sim.run(argSeconds(t, d, "s", 1))
	case "until-done":
		limit := sim.now + argSeconds(t, d, "s", 300)
		for sim.now < limit && len(unfinishedJobs(sim)) > 0 {
			sim.run(micros.Second)
		}
		if left := unfinishedJobs(sim); len(left) > 0 {
			return "not done: " + strings.Join(left, " "), true
		}
		return "done", true
	case "until-began":
		id := jobArg(t, d)
		for limit := sim.now + argSeconds(t, d, "s", 240); sim.now < limit && sim.startedAt[id] == 0; {
			sim.run(micros.Second)
		}
		if sim.startedAt[id] == 0 {
			return "not begun", true
		}
		return "begun", true
	case "calm":
		sim.faultsEndedAt = sim.now
	default:
		return "", false
	}
	return "", true
}
