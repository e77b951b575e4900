package controller

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// lateCommandTimings are the times at which late copies of commands are delivered, in relation to
// the command that has had the attempt forgotten. The worker's lease is 15 s and users may rely on a
// cancellation after 45 s.
var lateCommandTimings = []struct {
	name    string
	deliver func(c *command)
}{
	{"immediately", func(c *command) { c.sim.deliverCaptured(2 * micros.Second) }},
	{"after_seconds", func(c *command) { c.sim.run(4 * micros.Second); c.sim.deliverCaptured(3 * micros.Second) }},
	{"past_leases", func(c *command) { c.sim.run(50 * micros.Second); c.sim.deliverCaptured(micros.Second) }},
	{"after_owner_change", func(c *command) {
		c.sim.crash(c.node(), 120*micros.Second)
		c.sim.deliverCaptured(25 * micros.Second)
	}},
	{"after_fast_restart", func(c *command) {
		c.sim.crash(c.node(), micros.Second/2)
		c.sim.deliverCaptured(12 * micros.Second)
	}},
	{"after_machine_hang", func(c *command) {
		for _, worker := range c.sim.workers {
			worker.Hung = true
			c.sim.after(micros.Second/2, func() { worker.Hung = false })
		}
		c.sim.deliverCaptured(2 * micros.Second)
	}},
}

// TestLateCopyStartsForgottenAttempt checks that no copy of an answered start command starts an
// attempt which its worker has forgotten, however the attempt ended and whenever the copy arrives.
func TestLateCopyStartsForgottenAttempt(t *testing.T) {
	files, err := filepath.Glob("latecommands/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("scenarios %v, error %v, want some and none", files, err)
	}
	for _, file := range files {
		for _, timing := range lateCommandTimings {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".txt")+"/"+timing.name, func(t *testing.T) {
				t.Parallel()
				runScenario(t, file, func(*datadriven.TestData) {}, func(sim *simulation) { sim.lateCommands.deliverCopies = timing.deliver })
			})
		}
	}
}
