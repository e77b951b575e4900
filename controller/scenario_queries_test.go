package controller

import (
	"fmt"

	"tamarindlead/internal/wire"
)

// queryCommands print the state of the simulation.
var queryCommands = commandTable{
	"query-health":            func(c *command) string { return c.sim.requestStatus(c.t, c.node(), "/up") },
	"query-http-status":       func(c *command) string { return c.sim.requestStatus(c.t, c.node(), "/api/jobs/"+c.jobID()) },
	"send-malformed-messages": func(c *command) string { return c.sim.sendUndecodableMessages(c.node()) },
	"reported-state": func(c *command) string {
		if status, ok := c.sim.reportedTerminal[c.jobID()]; ok {
			return string(status)
		}
		return "unreported"
	},
	"started-count": func(c *command) string {
		limit := c.seconds("within", 240)
		return c.atLeast(func(id string) bool {
			startedAt := c.sim.startedAt[id]
			return startedAt != 0 && startedAt-c.sim.eligibleSince(id) <= limit
		})
	},
	"done-count": func(c *command) string {
		return c.atLeast(func(id string) bool { return c.sim.reportedTerminal[id] == wire.JobDone })
	},
	"accepted-count": func(c *command) string {
		return c.atLeast(func(id string) bool { return c.sim.accepted[id] })
	},
	"sequence-numbers-left": func(c *command) string {
		core := c.node().core
		return fmt.Sprint(!core.numbers.nearlyExhausted(core.node.RecordVersion()))
	},
	"count":      (*command).count,
	"has-leader": func(c *command) string { return fmt.Sprint(c.sim.leader() >= 0) },
}

// atLeast prints "true" if a condition holds for at least "at-least" of the jobs, and otherwise the
// number of jobs for which it holds.
func (c *command) atLeast(holds func(id string) bool) string {
	c.t.Helper()
	n := 0
	for _, id := range c.jobIDs(10) {
		if holds(id) {
			n++
		}
	}
	if n >= c.integer("at-least", 1) {
		return "true"
	}
	return fmt.Sprint(n)
}

// count prints a metric of the simulation. For a metric in metricsWithMinimum a scenario may give a
// minimum, "at-least", so that it does not depend on the exact value: count then prints "true" if the
// metric has at least that value.
func (c *command) count() string {
	c.t.Helper()
	what := c.text("what", "running-tasks")
	if metric := metrics[what]; metric != nil {
		return fmt.Sprint(metric(c))
	}
	if what == "records-above-size" { // sizes as the limit of value sizes counts them
		return c.sim.countRecordsAbove(c.text("prefix", ""), c.integer("bytes", 0), c.integer("at-least", 0))
	}
	metric := metricsWithMinimum[what]
	if metric == nil {
		c.fail("unknown metric %s", what)
	}
	n := metric(c)
	if least := c.integer("at-least", 0); least > 0 && n >= least {
		return "true"
	}
	return fmt.Sprint(n)
}

// metrics are printed as exact values.
var metrics = map[string]func(c *command) int{
	"running-tasks":                  func(c *command) int { return len(c.sim.runningOn) },
	"delayed-heartbeats":             func(c *command) int { return len(c.sim.delayedHeartbeats) + len(c.sim.delayNextHeartbeatOf) },
	"cancelled-tasks-running":        func(c *command) int { return c.sim.countCancelledRunning() },
	"started-tasks":                  func(c *command) int { return c.sim.startedTasks },
	"stopped-tasks":                  func(c *command) int { return c.sim.exitsByCause["stopped"] },
	"failed-tasks":                   func(c *command) int { return c.sim.exitsByCause["error"] },
	"killed-tasks":                   func(c *command) int { return c.sim.exitsByCause["killed"] },
	"tasks-started-by-late-commands": func(c *command) int { return c.sim.lateCommands.started },
	"machines":                       func(c *command) int { return c.sim.countMachines() },
	"launched-machines":              func(c *command) int { return len(c.sim.cloud.Machines) },
	"acknowledged-cancellations":     func(c *command) int { return len(c.sim.acknowledgedCancellations) },
	"starts-after-cancellation":      func(c *command) int { return c.sim.users.startsAfterCancel },
	"cancelled-at-completion":        func(c *command) int { return c.sim.users.cancelledAtCompletion },
	"throttled-kv-requests":          func(c *command) int { return c.sim.kvStore.Throttled },
	"records":                        func(c *command) int { return len(c.sim.kvStore.Keys(c.text("prefix", ""))) },
}

// metricsWithMinimum count how often the conditions occurred that a scenario is meant to cause.
var metricsWithMinimum = map[string]func(c *command) int{
	"consistency-checks":           func(c *command) int { return c.sim.users.consistencyChecks },
	"invalid-or-repeated-requests": func(c *command) int { return c.sim.users.invalidOrRepeatedSent },
	"delayed-commits":              func(c *command) int { return c.sim.kvFaults.delayedCommits },
	"lost-responses":               func(c *command) int { return c.sim.kvFaults.lostResponses },
	"delayed-responses":            func(c *command) int { return c.sim.kvFaults.delayedResponses() },
	"late-commands":                func(c *command) int { return c.sim.lateCommands.delivered },
	"tasks-in-largest-heartbeat":   func(c *command) int { return c.sim.mostReportedTasks },
	"responses":                    func(c *command) int { return c.sim.users.responseCount[c.text("job", "")] },
	"refused-429":                  func(c *command) int { return c.sim.users.refusals[wire.StatusTooManyRequests] },
	"refused-503":                  func(c *command) int { return c.sim.users.refusals[wire.StatusUnavailable] },
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
