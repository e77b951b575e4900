package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// command is a command of a scenario file together with the simulation it acts on.
type command struct {
	*datadriven.TestData
	t    *testing.T
	sim  *simulation
	read map[string]bool // keys of the arguments that the handler asked for
}

func newCommand(t *testing.T, sim *simulation, d *datadriven.TestData) *command {
	data := *d // the caller uses d again for the next command
	return &command{TestData: &data, t: t, sim: sim, read: map[string]bool{}}
}

// commandTable maps the names of commands to their handlers, which return what the scenario
// prints.
type commandTable map[string]func(c *command) string

// scenarioCommands holds the commands of all scenario files.
var scenarioCommands = mergeCommands(
	timeCommands, jobCommands, queryCommands, nodeCommands, machineCommands, kvFaultCommands,
	responseDelayCommands, userCommands, pipelineCommands, productionCommands, workerFaultCommands, adoptionCommands,
	machineTypeCommands, lateCommandCommands,
)

func mergeCommands(tables ...commandTable) commandTable {
	merged := commandTable{}
	for _, table := range tables {
		for name, execute := range table {
			if merged[name] != nil {
				panic("two commands are named " + name)
			}
			merged[name] = execute
		}
	}
	return merged
}

// silent returns a handler that executes a command and prints nothing.
func silent(execute func(c *command)) func(c *command) string {
	return func(c *command) string {
		execute(c)
		return ""
	}
}

// arg returns a command's argument with the given key, or def if the command does not have it.
func arg[T any](t *testing.T, d *datadriven.TestData, key string, def T) T {
	t.Helper()
	if d.HasArg(key) {
		d.ScanArgs(t, key, &def)
	}
	return def
}

// argSeconds returns an argument in decimal seconds, or def if the command does not have it.
func argSeconds(t *testing.T, d *datadriven.TestData, key string, def float64) micros.Micros {
	t.Helper()
	text := arg(t, d, key, fmt.Sprint(def))
	var v float64
	if _, err := fmt.Sscan(text, &v); err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return micros.FromSeconds(v)
}

// argNumber returns a decimal argument, rounded to six decimal places, or def if the command does not
// have it.
func argNumber(t *testing.T, d *datadriven.TestData, key string, def float64) float64 {
	t.Helper()
	return argSeconds(t, d, key, def).Seconds()
}

// HasArg reports whether the command has an argument with the given key.
func (c *command) HasArg(key string) bool {
	c.read[key] = true
	return c.TestData.HasArg(key)
}

// checkArgsRead fails the test if a command of the scenario has an argument that its handler has not
// asked for by the end of the scenario: a misspelled one would have no effect.
func (sim *simulation) checkArgsRead(t *testing.T) {
	for _, c := range sim.commands {
		for _, a := range c.CmdArgs {
			if !c.read[a.Key] && !t.Failed() {
				t.Errorf("%s: %s does not read the argument %s", c.Pos, c.Cmd, a.Key)
			}
		}
	}
}

func (c *command) integer(key string, def int) int {
	c.t.Helper()
	c.read[key] = true
	return arg(c.t, c.TestData, key, def)
}

func (c *command) text(key, def string) string {
	c.t.Helper()
	c.read[key] = true
	return arg(c.t, c.TestData, key, def)
}

func (c *command) number(key string, def float64) float64 {
	c.t.Helper()
	c.read[key] = true
	return argNumber(c.t, c.TestData, key, def)
}

func (c *command) seconds(key string, def float64) micros.Micros {
	c.t.Helper()
	c.read[key] = true
	return argSeconds(c.t, c.TestData, key, def)
}

// jobID returns the job that the command names.
func (c *command) jobID() string {
	c.t.Helper()
	return c.text("job", jobName(1))
}

// jobIDs returns the names of "count" jobs, which are numbered from "first-job".
func (c *command) jobIDs(defaultCount int) []string {
	c.t.Helper()
	var ids []string
	for i := range c.integer("count", defaultCount) {
		ids = append(ids, jobName(c.integer("first-job", 1)+i))
	}
	return ids
}

// to returns the index of the node that the command sends its request to.
func (c *command) to() int {
	c.t.Helper()
	return c.integer("to-node", 0)
}

// fail fails the test at the command's position.
func (c *command) fail(format string, args ...any) {
	c.t.Helper()
	c.Fatalf(c.t, format, args...)
}

// revertLater reverts a fault after the duration "for". Without that argument the fault is permanent.
func (c *command) revertLater(revert func()) {
	c.t.Helper()
	if c.HasArg("for") {
		c.sim.after(c.seconds("for", 0), revert)
	}
}

// runUntil runs the simulation in steps until a condition holds or the time "timeout" has passed.
func (c *command) runUntil(defaultSeconds float64, step micros.Micros, reached func() bool) {
	c.t.Helper()
	for end := c.sim.now + c.seconds("timeout", defaultSeconds); c.sim.now < end && !reached(); {
		c.sim.run(step)
	}
}

// runUntilRecovering runs until an owner recovers its records, or until none does.
func (c *command) runUntilRecovering(want bool) {
	c.t.Helper()
	reached := func() bool {
		return slices.ContainsFunc(c.sim.nodes, func(node *simNode) bool {
			owner, active := node.ownership()
			return node.up && owner != nil && !active
		}) == want
	}
	if c.runUntil(60, simulationStep, reached); !reached() {
		c.fail("an owner recovers its records: %t, want %t", !want, want)
	}
}

// timeCommands advance the simulated time and mark the end of the faults.
var timeCommands = commandTable{
	// run advances the simulated time by the duration "for".
	"run": silent(func(c *command) { c.sim.run(c.seconds("for", 1)) }),
	// run-until-done runs until the terminal state of every submitted job was reported to a user, and
	// prints "done" or the jobs that are left at the timeout.
	"run-until-done": func(c *command) string {
		c.runUntil(300, micros.Second, func() bool { return len(unfinishedJobs(c.sim)) == 0 })
		if left := unfinishedJobs(c.sim); len(left) > 0 {
			return "not done: " + strings.Join(left, " ")
		}
		return "done"
	},
	// run-until-started runs until the first task of a job, or its whole gang, has started.
	"run-until-started": func(c *command) string {
		started := func() bool { return c.sim.startedAt[c.jobID()] != 0 }
		c.runUntil(240, micros.Second, started)
		if !started() {
			return "not started"
		}
		return "started"
	},
	// run-until-no-owner runs until no node owns teams, as far as the nodes know.
	"run-until-no-owner": silent(func(c *command) {
		c.runUntil(60, simulationStep, func() bool { return c.sim.leader() < 0 })
		if c.sim.leader() >= 0 {
			c.fail("a node still owns teams")
		}
	}),
	// run-until-recovering runs until an owner recovers its records, run-until-recovered until none does.
	"run-until-recovering": silent(func(c *command) { c.runUntilRecovering(true) }),
	"run-until-recovered":  silent(func(c *command) { c.runUntilRecovering(false) }),
	// faults-ended marks the end of the faults: from then on, the rules about delays are checked too.
	"faults-ended": silent(func(c *command) { c.sim.faultsEndedAt = c.sim.now }),
}
