package controller

import (
	"fmt"

	"tamarindlead/internal/wire"
)

// queryCommands print the state of the simulation.
var queryCommands = commandTable{
	"up":      func(c *command) string { return c.sim.requestStatus(c.t, c.node(), "/up") },
	"ask":     func(c *command) string { return c.sim.requestStatus(c.t, c.node(), "/api/jobs/"+c.jobID()) },
	"damaged": func(c *command) string { return c.sim.sendUndecodableMessages(c.node()) },
	"status": func(c *command) string {
		if status, ok := c.sim.reportedTerminal[c.jobID()]; ok {
			return string(status)
		}
		return "open"
	},
	"began-by": func(c *command) string {
		limit := c.seconds("s", 240)
		return c.atLeast(func(id string) bool {
			startedAt := c.sim.startedAt[id]
			return startedAt != 0 && startedAt-c.sim.eligibleSince(id) <= limit
		})
	},
	"done-of": func(c *command) string {
		return c.atLeast(func(id string) bool { return c.sim.reportedTerminal[id] == wire.JobDone })
	},
	"accepted": func(c *command) string {
		return c.atLeast(func(id string) bool { return c.sim.accepted[id] })
	},
	"numbers-left": func(c *command) string {
		core := c.node().core
		return fmt.Sprint(!core.numbers.nearlyExhausted(core.node.RecordVersion()))
	},
	"count":  (*command).count,
	"leader": func(c *command) string { return fmt.Sprint(c.sim.leader() >= 0) },
}

// atLeast prints "true" if a condition holds for at least as many jobs as "least" demands, and
// their number otherwise.
func (c *command) atLeast(holds func(id string) bool) string {
	c.t.Helper()
	n := 0
	for _, id := range c.jobIDs(10) {
		if holds(id) {
			n++
		}
	}
	if n >= c.integer("least", 1) {
		return "true"
	}
	return fmt.Sprint(n)
}

// count prints a figure of the simulation. For some of them a scenario may demand a least value
// instead, so that it does not depend on the exact one.
func (c *command) count() string {
	c.t.Helper()
	what := c.text("what", "running")
	if figure := figures[what]; figure != nil {
		return fmt.Sprint(figure(c))
	}
	if what == "records-above" { // a size, in the form in which the limits count it
		return c.sim.countRecordsAbove(c.text("prefix", ""), c.integer("bytes", 0), c.integer("least", 0))
	}
	figure := figuresWithMinimum[what]
	if figure == nil {
		c.fail("unknown figure %s", what)
	}
	n := figure(c)
	if least := c.integer("least", 0); least > 0 && n >= least {
		return "enough"
	}
	return fmt.Sprint(n)
}

// figures are printed as they are.
var figures = map[string]func(c *command) int{
	"running":             func(c *command) int { return len(c.sim.runningOn) },
	"held":                func(c *command) int { return len(c.sim.delayedHeartbeats) + len(c.sim.delayNextHeartbeatOf) },
	"cancelled-running":   func(c *command) int { return c.sim.countCancelledRunning() },
	"starts":              func(c *command) int { return c.sim.startedTasks },
	"stopped":             func(c *command) int { return c.sim.exitsByCause["stopped"] },
	"error":               func(c *command) int { return c.sim.exitsByCause["error"] },
	"machines":            func(c *command) int { return c.sim.countMachines() },
	"rented":              func(c *command) int { return len(c.sim.cloud.Machines) },
	"told-cancelled":      func(c *command) int { return len(c.sim.acknowledgedCancellations) },
	"starts-after-cancel": func(c *command) int { return c.sim.users.startsAfterCancel },
	"cancelled-at-end":    func(c *command) int { return c.sim.users.cancelledAtEnd },
	"limited":             func(c *command) int { return c.sim.kvStore.Throttled },
	"records":             func(c *command) int { return len(c.sim.kvStore.Keys(c.text("prefix", ""))) },
}

// figuresWithMinimum count how often a condition that a scenario aims at occurred.
var figuresWithMinimum = map[string]func(c *command) int{
	"looks":        func(c *command) int { return c.sim.users.consistencyChecks },
	"odd-requests": func(c *command) int { return c.sim.users.unusualRequestsSent },
	"late-writes":  func(c *command) int { return c.sim.kvFaults.lateTransactionsApplied },
	"lost-answers": func(c *command) int { return c.sim.kvFaults.lostResponses },
	"held-answers": func(c *command) int { return c.sim.kvFaults.delayedResponses() },
	"answers":      func(c *command) int { return c.sim.users.responseCount[c.text("job", "")] },
	"refused-429":  func(c *command) int { return c.sim.users.refusals[wire.StatusTooManyRequests] },
	"refused-503":  func(c *command) int { return c.sim.users.refusals[wire.StatusUnavailable] },
}

// countMachines counts the machines that were not terminated.
func (sim *simulation) countMachines() int {
	n := 0
	for _, machine := range sim.cloud.Machines {
		if !machine.Gone {
			n++
		}
	}
	return n
}
