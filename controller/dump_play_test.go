package controller

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// runDumpScript plays production/script.txt: with nodes of the version in production where
// save takes the dumps, else with present ones. begin sees each world before it plays.
func runDumpScript(t *testing.T, begin func(w *simulation), save func(w *simulation, name string)) {
	t.Helper()
	var w *simulation
	datadriven.RunTest(t, "production/script.txt", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "world" {
			w = newScenarioSimulation(t, d)
			if save != nil {
				w.startWithProduction(t, len(w.nodes))
			}
			begin(w)
			return ""
		}
		if d.Cmd == "dump" {
			if save != nil {
				save(w, arg(t, d, "name", ""))
			}
			return ""
		}
		if d.Cmd == "until-record" {
			text := ""
			if d.HasArg("condemned") {
				text = `"condemned":true`
			}
			return w.runUntilRecord(arg(t, d, "prefix", ""), text)
		}
		out := runScenarioCommand(t, w, d)
		if len(w.violations) > 0 {
			t.Fatalf("%s: rules broken:\n%s", filepath.Base(d.Pos), strings.Join(w.violations, "\n"))
		}
		return out
	})
}

// runUntilRecord plays until there is a record with a prefix in which a text is read.
func (w *simulation) runUntilRecord(prefix, text string) string {
	for end := w.now + 60*micros.Second; w.now < end; w.run(simulationStep) {
		for _, k := range w.kvStore.Keys(prefix) {
			if v, _ := w.kvStore.Get(k); strings.Contains(decodedText(k, v), text) {
				return "seen"
			}
		}
	}
	return "not seen"
}
