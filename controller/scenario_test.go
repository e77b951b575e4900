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
func runScenario(t *testing.T, path string, prepare func(d *datadriven.TestData), made func(w *simulation)) {
	t.Helper()
	var w *simulation
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "world" {
			prepare(d)
			w = newScenarioSimulation(t, d)
			made(w)
			return ""
		}
		out := runScenarioCommand(t, w, d)
		if len(w.violations) > 0 {
			t.Fatalf("%s: rules broken:\n%s", filepath.Base(d.Pos), strings.Join(w.violations, "\n"))
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
func runScenarioCommand(t *testing.T, w *simulation, d *datadriven.TestData) string {
	node := func() *simNode { return nodeArg(t, w, d) }
	// during undoes a fault after the time given by "for".
	during := func(undo func()) {
		if d.HasArg("for") {
			w.after(argSeconds(t, d, "for", 0), undo)
		}
	}
	withoutOutput := func(ok bool) (string, bool) { return "", ok }
	verbs := []func() (out string, ok bool){
		func() (string, bool) { return runTimeCommand(t, w, d) },
		func() (string, bool) { return runJobCommand(t, w, d) },
		func() (string, bool) { return runQueryCommand(t, w, d, node) },
		func() (string, bool) { return withoutOutput(runNodeCommand(t, w, d, node, during)) },
		func() (string, bool) { return withoutOutput(runMachineCommand(t, w, d, during)) },
		func() (string, bool) { return runKVFaultCommand(t, w, d, node, during) },
		func() (string, bool) { return withoutOutput(runResponseDelayCommand(t, w, d, during)) },
		func() (string, bool) { return withoutOutput(runLimitCommand(t, w, d)) },
		func() (string, bool) { return runUserCommand(t, w, d) },
		func() (string, bool) { return runPipelineCommand(t, w, d, node) },
		func() (string, bool) { return runProductionCommand(t, w, d, node) },
		func() (string, bool) { return withoutOutput(runWorkerFaultCommand(t, w, d, during)) },
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
func runTimeCommand(t *testing.T, w *simulation, d *datadriven.TestData) (out string, ok bool) {
	switch d.Cmd {
	case "run":
		w.run(argSeconds(t, d, "s", 1))
	case "until-done":
		limit := w.now + argSeconds(t, d, "s", 300)
		for w.now < limit && len(unfinished(w)) > 0 {
			w.run(micros.Second)
		}
		if left := unfinished(w); len(left) > 0 {
			return "not done: " + strings.Join(left, " "), true
		}
		return "done", true
	case "until-began":
		id := jobArg(t, d)
		for limit := w.now + argSeconds(t, d, "s", 240); w.now < limit && w.startedAt[id] == 0; {
			w.run(micros.Second)
		}
		if w.startedAt[id] == 0 {
			return "not begun", true
		}
		return "begun", true
	case "calm":
		w.faultsEndedAt = w.now
	default:
		return "", false
	}
	return "", true
}
