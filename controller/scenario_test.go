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
		playScenario(t, path, func(*datadriven.TestData) {}, func(*world) {})
	})
}

// playScenario plays a file. prepare may change the command that makes the world, and made is
// shown the world.
func playScenario(t *testing.T, path string, prepare func(d *datadriven.TestData), made func(w *world)) {
	t.Helper()
	var w *world
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "world" {
			prepare(d)
			w = scenarioWorld(t, d)
			made(w)
			return ""
		}
		out := scenarioCommand(t, w, d)
		if len(w.broken) > 0 {
			t.Fatalf("%s: rules broken:\n%s", filepath.Base(d.Pos), strings.Join(w.broken, "\n"))
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

// scenarioCommand plays a command other than that which makes the world.
func scenarioCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	node := func() *simNode { return chosenNode(t, w, d) }
	// during undoes a fault after the time given by "for".
	during := func(undo func()) {
		if d.HasArg("for") {
			w.after(argSeconds(t, d, "for", 0), undo)
		}
	}
	withoutOutput := func(ok bool) (string, bool) { return "", ok }
	verbs := []func() (out string, ok bool){
		func() (string, bool) { return timeVerb(t, w, d) },
		func() (string, bool) { return jobVerb(t, w, d) },
		func() (string, bool) { return figureVerb(t, w, d, node) },
		func() (string, bool) { return withoutOutput(nodeVerb(t, w, d, node, during)) },
		func() (string, bool) { return withoutOutput(machineVerb(t, w, d, during)) },
		func() (string, bool) { return stateVerb(t, w, d, node, during) },
		func() (string, bool) { return withoutOutput(unevenVerb(t, w, d, during)) },
		func() (string, bool) { return withoutOutput(limitVerb(t, w, d)) },
		func() (string, bool) { return userVerb(t, w, d) },
		func() (string, bool) { return pipelineVerb(t, w, d, node) },
		func() (string, bool) { return productionVerb(t, w, d, node) },
		func() (string, bool) { return withoutOutput(workerFaultCommand(t, w, d, during)) },
	}
	for _, verb := range verbs {
		if out, ok := verb(); ok {
			return out
		}
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

// timeVerb plays the commands that let time pass; ok is false for any other.
func timeVerb(t *testing.T, w *world, d *datadriven.TestData) (out string, ok bool) {
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
		for limit := w.now + argSeconds(t, d, "s", 240); w.now < limit && w.began[id] == 0; {
			w.run(micros.Second)
		}
		if w.began[id] == 0 {
			return "not begun", true
		}
		return "begun", true
	case "calm":
		w.calm = w.now
	default:
		return "", false
	}
	return "", true
}
