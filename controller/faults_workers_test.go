package controller

import (
	"cmp"
	"slices"
	"strings"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// workerFaults are faults of heartbeats, direct commands, machines and leaders.
type workerFaults struct {
	taskStagger          map[string]micros.Micros // by job: how much longer each task runs than the previous one
	heartbeatReplayRate  float64                  // share of the heartbeats of which a copy is sent later
	replayToSuccessor    bool                     // the copies are kept until a successor starts, and then sent
	replayHeartbeats     [][]byte                 // the copies that are kept for the successor
	delayNextHeartbeatOf []string                 // machines whose next heartbeat is withheld until a successor is active
	delayedHeartbeats    [][]byte                 // the withheld heartbeats
	capturedHeartbeats   [][]byte                 // heartbeats that replay-captured-heartbeats sends
	commandDelayRate     float64                  // share of the direct commands whose request or response is delayed
	minCommandDelay      micros.Micros
	maxCommandDelay      micros.Micros
	delayRequestOnly     bool          // responses are not delayed
	maxCommitDelay       micros.Micros // upper bound of the delay of commits
	owners               map[int]any   // by node: its ownership in the previous step
	activeOwners         map[int]any   // by node: its active ownership in the previous step
}

// setTaskStagger has each task of a job run longer than the previous one, by step.
func (sim *simulation) setTaskStagger(id string, step micros.Micros) {
	if step > 0 {
		if sim.taskStagger == nil {
			sim.taskStagger = map[string]micros.Micros{}
		}
		sim.taskStagger[id] = step
	}
}

// randomDuration draws a duration from low to high.
func (sim *simulation) randomDuration(low, high micros.Micros) micros.Micros {
	return low + micros.Micros(sim.rng.Int64N(int64(max(1, high-low))))
}

// delayCommand delays a random share of the direct commands or of their responses. It returns the
// function with which to respond to the command, or nil if the command itself is delayed.
func (sim *simulation) delayCommand(call Call, respond func(fake.Response)) func(fake.Response) {
	if sim.commandDelayRate == 0 || sim.rng.Float64() >= sim.commandDelayRate {
		return respond
	}
	wait := sim.randomDuration(sim.minCommandDelay, sim.maxCommandDelay)
	if sim.delayRequestOnly || sim.rng.IntN(2) == 0 {
		worker := sim.workers[strings.TrimPrefix(call.Addr, workerAddrPrefix)]
		sim.after(wait, func() { sim.executeWhenResumed(worker, call, respond) })
		return nil
	}
	return func(response fake.Response) { sim.after(wait, func() { respond(response) }) }
}

// executeWhenResumed executes a delayed command as soon as the machine neither hangs nor is
// partitioned.
func (sim *simulation) executeWhenResumed(worker *fake.Worker, call Call, respond func(fake.Response)) {
	switch {
	case worker.Machine.Gone:
	case worker.Hung || worker.Partitioned:
		sim.after(simulationStep, func() { sim.executeWhenResumed(worker, call, respond) })
	default:
		respond(sim.executeAtWorker(worker, call))
	}
}

// afterCommitDelay calls do, with a delay if commits are delayed and the call is one.
func (sim *simulation) afterCommitDelay(call Call, do func()) {
	if sim.maxCommitDelay == 0 || call.Target != "/commit" {
		do()
		return
	}
	sim.after(sim.randomDuration(sim.maxCommitDelay/2, sim.maxCommitDelay), do)
}

// selectMachines returns the machines that a command selects by count, share or zone, those with the
// most tasks first, or nil if the command has none of these arguments.
func (c *command) selectMachines() []string {
	c.t.Helper()
	if !c.HasArg("count") && !c.HasArg("share") && !c.HasArg("zone") {
		return nil
	}
	var names []string
	for _, name := range c.sim.workerNames() {
		machine := c.sim.workers[name].Machine
		if !machine.Gone && (!c.HasArg("zone") || machine.Zone == c.text("zone", "")) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return -cmp.Compare(len(c.sim.workers[a].Tasks), len(c.sim.workers[b].Tasks))
	})
	n := len(names)
	if c.HasArg("share") {
		n = int(c.number("share", 1)*float64(n) + 0.5)
	}
	n = min(n, c.integer("count", n))
	if n == 0 {
		c.fail("no such machine")
	}
	return names[:n]
}

// workerFaultCommands cause faults of heartbeats, direct commands, machines and leaders.
var workerFaultCommands = commandTable{
	// replay-heartbeats sends copies of a share of the heartbeats to random nodes, 2 s to two leases
	// later. With "to-successor" the copies are sent to every node when a new owner starts and when it
	// becomes active.
	"replay-heartbeats": silent(func(c *command) {
		c.sim.heartbeatReplayRate, c.sim.replayToSuccessor = c.number("share", 0), c.HasArg("to-successor")
		c.revertLater(func() { c.sim.heartbeatReplayRate = 0 })
	}),
	// delay-heartbeat-until-failover withholds the next heartbeat of a machine until 4 s after the
	// successor has become active.
	"delay-heartbeat-until-failover": silent(func(c *command) {
		c.sim.delayNextHeartbeatOf = append(c.sim.delayNextHeartbeatOf, c.text("machine", c.sim.workerNames()[0]))
	}),
	// capture-heartbeats keeps a heartbeat of each worker for replay-captured-heartbeats.
	"capture-heartbeats": silent(func(c *command) {
		c.sim.capturedHeartbeats = nil
		for _, name := range c.sim.workerNames() {
			c.sim.capturedHeartbeats = append(c.sim.capturedHeartbeats, wire.Encode(c.sim.workers[name].BuildHeartbeat()))
		}
	}),
	// replay-captured-heartbeats sends the captured heartbeats to all nodes repeatedly, for the duration
	// "for".
	"replay-captured-heartbeats": silent(func(c *command) {
		for at := micros.Micros(0); at < c.seconds("for", 10); at += replayInterval {
			c.sim.after(at, c.sim.replayCapturedHeartbeats)
		}
	}),
	// delay-commands delays a share of the direct commands, or their responses, by "min-delay" to
	// "max-delay". With "requests-only" it delays no responses.
	"delay-commands": silent(func(c *command) {
		c.sim.commandDelayRate, c.sim.delayRequestOnly = c.number("share", 1), c.HasArg("requests-only")
		c.sim.minCommandDelay, c.sim.maxCommandDelay = c.seconds("min-delay", 1), c.seconds("max-delay", 8)
		c.revertLater(func() { c.sim.commandDelayRate = 0 })
	}),
	// slow-commits delays all commits by half of "max-delay" to "max-delay".
	"slow-commits": silent(func(c *command) {
		c.sim.maxCommitDelay = c.seconds("max-delay", 0)
		c.revertLater(func() { c.sim.maxCommitDelay = 0 })
	}),
	// fast-boot has machines boot within 0.5 to 2 s.
	"fast-boot": silent(func(c *command) {
		c.sim.cloud.BootTime = func(micros.Micros) micros.Micros { return c.sim.randomDuration(micros.Second/2, 2*micros.Second) }
		c.revertLater(func() { c.sim.cloud.BootTime = nil })
	}),
	// cancel-running-jobs has users cancel running jobs while some of their machines hang or are
	// partitioned: see cancelDuringFaults.
	"cancel-running-jobs": silent(func(c *command) {
		c.sim.cancelDuringFaults(c.integer("count", 1), c.seconds("hang", 0), c.HasArg("partition"))
	}),
	// change-leader makes the leader lose its leadership several times within the duration "within".
	"change-leader": silent(func(c *command) {
		times := c.integer("times", 10)
		every := c.seconds("within", 120) / micros.Micros(times)
		for i := range times {
			c.sim.after(every*micros.Micros(i)+c.sim.randomDuration(0, every/4), func() { c.sim.changeLeader(i, every) })
		}
	}),
}
