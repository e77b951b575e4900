package controller

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// playDumpScript plays production/script.txt: with nodes of the version in production where
// save takes the dumps, else with present ones. begin sees each world before it plays.
func playDumpScript(t *testing.T, begin func(w *world), save func(w *world, name string)) {
	t.Helper()
	var w *world
	datadriven.RunTest(t, "production/script.txt", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "world" {
			w = scenarioWorld(t, d)
			if save != nil {
				w.beginOld(t, len(w.nodes))
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
			return w.untilRecord(arg(t, d, "prefix", ""), text)
		}
		out := scenarioCommand(t, w, d)
		if len(w.broken) > 0 {
			t.Fatalf("%s: rules broken:\n%s", filepath.Base(d.Pos), strings.Join(w.broken, "\n"))
		}
		return out
	})
}

// untilRecord plays until there is a record with a prefix in which a text is read.
func (w *world) untilRecord(prefix, text string) string {
	for end := w.now + 60*micros.Second; w.now < end; w.run(worldStep) {
		for _, k := range w.state.Keys(prefix) {
			if v, _ := w.state.Get(k); strings.Contains(readingOf(k, v), text) {
				return "seen"
			}
		}
	}
	return "not seen"
}
