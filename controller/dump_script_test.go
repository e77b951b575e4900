package controller

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// runDumpScript runs production/script.txt. If saveDump is set, all nodes run the version in
// production, and saveDump is called for each dump command; otherwise all nodes run the present
// version. prepare is called with each simulation before it runs.
func runDumpScript(t *testing.T, prepare func(sim *simulation), saveDump func(sim *simulation, name string)) {
	t.Helper()
	var sim *simulation
	datadriven.RunTest(t, "production/script.txt", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "cluster" {
			sim = newScenarioSimulation(t, d)
			if saveDump != nil {
				sim.startWithProduction(t, len(sim.nodes))
			}
			prepare(sim)
			return ""
		}
		if d.Cmd == "dump" {
			if saveDump != nil {
				saveDump(sim, arg(t, d, "name", ""))
			}
			return ""
		}
		if d.Cmd == "run-until-record" {
			text := ""
			if d.HasArg("condemned") {
				text = `"condemned":true`
			}
			return sim.runUntilRecord(arg(t, d, "prefix", ""), text)
		}
		return runScenarioCommand(t, sim, d)
	})
}

// runUntilRecord runs for up to 60 s until the decoded text of a record whose key has the given prefix
// contains text.
func (sim *simulation) runUntilRecord(prefix, text string) string {
	for end := sim.now + 60*micros.Second; sim.now < end; sim.run(simulationStep) {
		for _, k := range sim.kvStore.Keys(prefix) {
			if v, _ := sim.kvStore.Get(k); strings.Contains(decodedText(k, v), text) {
				return "seen"
			}
		}
	}
	return "not seen"
}
