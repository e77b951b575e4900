package controller

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/wire"
)

// This file prints what a scenario looks at.

// runQueryCommand plays the commands that print something; ok is false for any other.
func runQueryCommand(t *testing.T, sim *simulation, d *datadriven.TestData, node func() *simNode) (out string, ok bool) {
	switch id := jobArg(t, d); d.Cmd {
	case "up":
		return sim.requestStatus(t, node(), "/up"), true
	case "ask":
		return sim.requestStatus(t, node(), "/api/jobs/"+id), true
	case "damaged":
		return sim.sendUndecodableMessages(node()), true
	case "status":
		if s, ok := sim.reportedTerminal[id]; ok {
			return string(s), true
		}
		return "open", true
	case "began-by":
		limit := argSeconds(t, d, "s", 240)
		return countAtLeast(t, d, func(id string) bool {
			return sim.startedAt[id] != 0 && sim.startedAt[id]-sim.eligibleSince(id) <= limit
		}), true
	case "done-of":
		return countAtLeast(t, d, func(id string) bool { return sim.reportedTerminal[id] == wire.JobDone }), true
	case "accepted":
		return countAtLeast(t, d, func(id string) bool { return sim.accepted[id] }), true
	case "numbers-left":
		owner := node().core
		return fmt.Sprint(!owner.numbers.nearlyExhausted(owner.node.RecordVersion())), true
	case "count":
		return runCountCommand(t, sim, d), true
	case "leader":
		return fmt.Sprint(sim.leader() >= 0), true
	}
	return "", false
}

// runCountCommand prints a figure of the world.
func runCountCommand(t *testing.T, sim *simulation, d *datadriven.TestData) string {
	switch what := arg(t, d, "what", "running"); what {
	case "running":
		return fmt.Sprint(len(sim.runningOn))
	case "held":
		return fmt.Sprint(len(sim.delayedHeartbeats) + len(sim.delayNextHeartbeatOf))
	case "cancelled-running":
		return fmt.Sprint(sim.countCancelledRunning())
	case "starts":
		return fmt.Sprint(sim.startedTasks)
	case "stopped", "error":
		return fmt.Sprint(sim.exitsByCause[what])
	case "machines":
		n := 0
		for _, machine := range sim.cloud.Machines {
			if !machine.Gone {
				n++
			}
		}
		return fmt.Sprint(n)
	case "rented":
		return fmt.Sprint(len(sim.cloud.Machines))
	case "told-cancelled": // jobs whose users were told so
		return fmt.Sprint(len(sim.acknowledgedCancellations))
	case "starts-after-cancel":
		return fmt.Sprint(sim.users.startsAfterCancel)
	case "cancelled-at-end":
		return fmt.Sprint(sim.users.cancelledAtEnd)
	case "looks", "odd-requests", "late-writes", "lost-answers", "held-answers", "answers", "refused-429", "refused-503": // how often a meeting came about
		n := map[string]int{
			"looks":        sim.users.consistencyChecks,
			"odd-requests": sim.users.unusualRequestsSent,
			"late-writes":  sim.kvFaults.lateTransactionsApplied,
			"lost-answers": sim.kvFaults.lostResponses,
			"held-answers": sim.kvFaults.kvResponseDelay.delayedCount + sim.kvFaults.peerResponseDelay.delayedCount,
			"answers":      sim.users.responseCount[arg(t, d, "job", "")],
			"refused-429":  sim.users.refusals[wire.StatusTooManyRequests],
			"refused-503":  sim.users.refusals[wire.StatusUnavailable],
		}[what]
		if least := arg(t, d, "least", 0); least > 0 && n >= least {
			return "enough"
		}
		return fmt.Sprint(n)
	case "limited":
		return fmt.Sprint(sim.kvStore.Throttled)
	case "records-above": // a size, in the form in which the limits count it
		return sim.countRecordsAbove(arg(t, d, "prefix", ""), arg(t, d, "bytes", 0), arg(t, d, "least", 0))
	case "records":
		return fmt.Sprint(len(sim.kvStore.Keys(arg(t, d, "prefix", ""))))
	default:
		d.Fatalf(t, "unknown figure %s", what)
	}
	return ""
}
