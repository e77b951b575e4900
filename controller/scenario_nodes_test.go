package controller

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file plays what befalls controllers, and asks them.

// nodeArg is the node that a command names: by its number, as the leader, or as another.
func nodeArg(t *testing.T, w *simulation, d *datadriven.TestData) *simNode {
	switch text := arg(t, d, "node", "leader"); text {
	case "leader":
		i := w.leader()
		if i < 0 {
			d.Fatalf(t, "nobody leads")
		}
		return w.nodes[i]
	case "other":
		return w.nodes[(w.leader()+1)%len(w.nodes)]
	default:
		var i int
		if _, err := fmt.Sscan(text, &i); err != nil {
			d.Fatalf(t, "node=%s: %v", text, err)
		}
		return w.nodes[i]
	}
}

// runNodeCommand plays the commands that befall controllers; false for any other.
func runNodeCommand(t *testing.T, w *simulation, d *datadriven.TestData, node func() *simNode, during func(func())) bool {
	away := func() micros.Micros { return argSeconds(t, d, "for", restartDelay.Seconds()) }
	switch d.Cmd {
	case "crash":
		w.crash(node(), away())
	case "crash-all":
		for _, n := range w.nodes {
			w.crash(n, away())
		}
	case "cut-node":
		n := node()
		n.partitioned, n.delaysOutbound = true, d.HasArg("hold")
		during(func() { n.partitioned = false })
	case "cut-zone":
		w.partitionedZone = arg(t, d, "zone", "b")
		during(func() { w.partitionedZone = "" })
	case "deafen-node":
		n := node()
		n.workersUnreachable = true
		during(func() { n.workersUnreachable = false })
	case "refuse-node":
		n := nodeName(node().index)
		w.kvStore.RefusedCallers[n] = true
		during(func() { delete(w.kvStore.RefusedCallers, n) })
	case "isolate-node":
		n := node()
		n.onlyWorkersReachable = true
		during(func() { n.onlyWorkersReachable = false })
	case "state-down":
		w.kvStore.Unavailable = true
		during(func() { w.kvStore.Unavailable = false })
	case "state-compact":
		w.kvStore.CompactHistory = true
	case "late-copies":
		w.duplicateHeartbeatShare, w.maxCopyDelay = argNumber(t, d, "share", 0), argSeconds(t, d, "by", 20)
	case "faults":
		w.lossRate, w.lateRequestRate, w.duplicateRequestRate = argNumber(t, d, "loss", 0), argNumber(t, d, "late", 0), argNumber(t, d, "dup", 0)
	case "numbers-low": // the owner has given out nearly all numbers of its record's version
		owner := node().core
		owner.numbers.next(owner.node.RecordVersion())
		owner.numbers.sequence = maxSequence - sequenceMargin
	default:
		return false
	}
	return true
}

// get asks a node and returns the status of its answer.
func (w *simulation) get(t *testing.T, n *simNode, path string) string {
	t.Helper()
	status, since, took := -1, w.now, micros.Micros(0)
	w.sendRequest(n, Request{Method: "GET", Path: path}, 5*micros.Second, func(r Respond) {
		status, took = r.Status, w.now-since
	})
	for status < 0 {
		w.run(simulationStep)
	}
	if took > 500*micros.Millisecond {
		return fmt.Sprintf("%d late", status)
	}
	return fmt.Sprint(status)
}

// sendUndecodableMessages sends a node messages that cannot be read, and tells how they are answered.
func (w *simulation) sendUndecodableMessages(n *simNode) string {
	seen := map[int]int{}
	for i, body := range [][]byte{nil, {0xff}, {0xa1, 0x61}, []byte("hello"), wire.Encode([]int{1}), wire.Encode(map[string]any{"berth": 7, "shift": "x"})} {
		for _, r := range []Request{
			{Method: "POST", Path: "/hello", Body: body},
			{Method: "POST", Path: "/api/jobs", Body: body},
			{Peer: true, Method: "POST", Path: "/peer", Body: append([]byte{byte(i)}, body...)},
		} {
			w.sendRequest(n, r, micros.Second, func(r Respond) { seen[r.Status]++ })
		}
	}
	w.run(2 * micros.Second)
	return fmt.Sprint(seen)
}
