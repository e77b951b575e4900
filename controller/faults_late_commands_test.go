package controller

import (
	"math"
	"math/rand/v2"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// lateCommands delivers copies of direct commands that their worker has executed and answered before.
// No such copy may start a task.
type lateCommands struct {
	rng       *rand.Rand
	share     float64 // share of the answered commands of which a copy arrives later
	minDelay  micros.Micros
	maxDelay  micros.Micros
	capturing bool
	captured  []answeredCommand
	// deliverCopies delivers copies of the captured commands, at the time that a test has chosen.
	deliverCopies func(c *command)

	delivered int // copies that reached their worker
	started   int // tasks that copies have started
}

// answeredCommand is a direct command that its worker has executed and answered.
type answeredCommand struct {
	worker *fake.Worker
	call   Call
}

// copyLater schedules a copy of an answered command for a random share of them, and keeps the command
// while commands are captured. The delays are distributed evenly on a logarithmic scale.
func (late *lateCommands) copyLater(sim *simulation, command answeredCommand) {
	if late.capturing {
		late.captured = append(late.captured, command)
	}
	if late.share == 0 || late.rng.Float64() >= late.share {
		return
	}
	spread := math.Log(late.maxDelay.Seconds() / late.minDelay.Seconds())
	delay := micros.FromSeconds(late.minDelay.Seconds() * math.Exp(spread*late.rng.Float64()))
	sim.after(delay, func() { late.deliver(sim, command) })
}

// deliver delivers a copy of a command, unless its worker cannot be reached. A hung worker executes it
// when it resumes.
func (late *lateCommands) deliver(sim *simulation, command answeredCommand) {
	worker := command.worker
	switch {
	case worker.Machine.Gone || worker.Partitioned || worker.InboundBlocked:
		return
	case worker.Hung:
		sim.after(simulationStep, func() { late.deliver(sim, command) })
		return
	}
	before := sim.startedTasks
	worker.ExecuteDirect(sim.now, command.call.Body)
	late.delivered++
	if started := sim.startedTasks - before; started > 0 {
		late.started += started
		sim.reportViolation("late_command: a copy of an answered command starts %d tasks on %s", started, worker.Machine.Name)
	}
}

// forgotten reports whether a worker has forgotten an attempt of a job that a captured command has
// started on it.
func (late *lateCommands) forgotten(job string) bool {
	for _, command := range late.captured {
		var request wire.CommandsRequest
		if err := wire.Decode(command.call.Body, &request); err != nil {
			panic(err) // the worker has executed it
		}
		for _, c := range request.Commands {
			id, _, _ := wire.SplitTaskName(c.Task)
			if c.Verb == wire.VerbStart && id == job && !command.worker.Knows(c.Task, c.Attempt) {
				return true
			}
		}
	}
	return false
}

// lateCommandInterval is the time between two deliveries of the captured commands.
const lateCommandInterval = 50 * micros.Millisecond

// deliverCaptured delivers copies of all captured commands, again and again for a time.
func (sim *simulation) deliverCaptured(duration micros.Micros) {
	late := &sim.lateCommands
	late.capturing = false
	for at := micros.Micros(0); at <= duration; at += lateCommandInterval {
		for _, command := range late.captured {
			sim.after(at, func() { late.deliver(sim, command) })
		}
	}
	sim.run(duration + simulationStep)
}

// lateCommandCommands control the copies of direct commands.
var lateCommandCommands = commandTable{
	// late-commands delivers copies of a share of the direct commands, "min-delay" to "max-delay" after
	// they were executed and answered.
	"late-commands": silent(func(c *command) {
		late := &c.sim.lateCommands
		late.share, late.minDelay, late.maxDelay = c.number("share", 0.5), c.seconds("min-delay", 0.05), c.seconds("max-delay", 60)
	}),
	// capture-commands keeps all direct commands from now on, for the copies that a test delivers.
	"capture-commands": silent(func(c *command) { c.sim.lateCommands.capturing = true }),
	// deliver-copies delivers copies of the captured commands.
	"deliver-copies": silent(func(c *command) { c.sim.lateCommands.deliverCopies(c) }),
	// run-until-forgotten runs until a worker has forgotten an attempt of a job that a captured command
	// has started.
	"run-until-forgotten": silent(func(c *command) {
		forgotten := func() bool { return c.sim.lateCommands.forgotten(c.jobID()) }
		if c.runUntil(60, simulationStep, forgotten); !forgotten() {
			c.fail("no worker has forgotten an attempt of %s", c.jobID())
		}
	}),
}
