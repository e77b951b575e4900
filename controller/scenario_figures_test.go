package controller

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/wire"
)

// This file prints what a scenario looks at.

// runQueryCommand plays the commands that print something; ok is false for any other.
func runQueryCommand(t *testing.T, w *simulation, d *datadriven.TestData, node func() *simNode) (out string, ok bool) {
	switch id := jobArg(t, d); d.Cmd {
	case "up":
		return w.get(t, node(), "/up"), true
	case "ask":
		return w.get(t, node(), "/api/jobs/"+id), true
	case "damaged":
		return w.sendUndecodableMessages(node()), true
	case "status":
		if s, ok := w.reportedTerminal[id]; ok {
			return string(s), true
		}
		return "open", true
	case "began-by":
		limit := argSeconds(t, d, "s", 240)
		return atLeast(t, d, func(id string) bool { return w.startedAt[id] != 0 && w.startedAt[id]-w.eligibleSince(id) <= limit }), true
	case "done-of":
		return atLeast(t, d, func(id string) bool { return w.reportedTerminal[id] == wire.JobDone }), true
	case "accepted":
		return atLeast(t, d, func(id string) bool { return w.accepted[id] }), true
	case "numbers-left":
		owner := node().core
		return fmt.Sprint(!owner.numbers.nearlyExhausted(owner.node.RecordVersion())), true
	case "count":
		return runCountCommand(t, w, d), true
	case "leader":
		return fmt.Sprint(w.leader() >= 0), true
	}
	return "", false
}

// runCountCommand prints a figure of the world.
func runCountCommand(t *testing.T, w *simulation, d *datadriven.TestData) string {
	switch what := arg(t, d, "what", "running"); what {
	case "running":
		return fmt.Sprint(len(w.running))
	case "held":
		return fmt.Sprint(len(w.delayedHeartbeats) + len(w.delayNextOf))
	case "cancelled-running":
		return fmt.Sprint(w.countCancelledRunning())
	case "starts":
		return fmt.Sprint(w.starts)
	case "stopped", "error":
		return fmt.Sprint(w.stops[what])
	case "machines":
		n := 0
		for _, m := range w.cloud.Machines {
			if !m.Gone {
				n++
			}
		}
		return fmt.Sprint(n)
	case "rented":
		return fmt.Sprint(len(w.cloud.Machines))
	case "told-cancelled": // jobs whose users were told so
		return fmt.Sprint(len(w.cancelled))
	case "starts-after-cancel":
		return fmt.Sprint(w.users.startsAfterCancel)
	case "cancelled-at-end":
		return fmt.Sprint(w.users.cancelledAtEnd)
	case "looks", "odd-requests", "late-writes", "lost-answers", "held-answers", "answers", "refused-429", "refused-503": // how often a meeting came about
		n := map[string]int{
			"looks":        w.users.consistencyChecks,
			"odd-requests": w.users.unusualRequestsSent,
			"late-writes":  w.kvFaults.lateApplied,
			"lost-answers": w.kvFaults.lostResponses,
			"held-answers": w.kvFaults.kvResponseDelay.delayedCount + w.kvFaults.peerResponseDelay.delayedCount,
			"answers":      w.users.responseCount[arg(t, d, "job", "")],
			"refused-429":  w.users.refusals[wire.StatusTooManyRequests],
			"refused-503":  w.users.refusals[wire.StatusUnavailable],
		}[what]
		if least := arg(t, d, "least", 0); least > 0 && n >= least {
			return "enough"
		}
		return fmt.Sprint(n)
	case "limited":
		return fmt.Sprint(w.kvStore.Throttled)
	case "records-above": // a size, in the form in which the limits count it
		return w.countRecordsAbove(arg(t, d, "prefix", ""), arg(t, d, "bytes", 0), arg(t, d, "least", 0))
	case "records":
		return fmt.Sprint(len(w.kvStore.Keys(arg(t, d, "prefix", ""))))
	default:
		d.Fatalf(t, "unknown figure %s", what)
	}
	return ""
}
