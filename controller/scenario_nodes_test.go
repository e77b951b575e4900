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
func nodeArg(t *testing.T, sim *simulation, d *datadriven.TestData) *simNode {
	switch text := arg(t, d, "node", "leader"); text {
	case "leader":
		i := sim.leader()
		if i < 0 {
			d.Fatalf(t, "nobody leads")
		}
		return sim.nodes[i]
	case "other":
		return sim.nodes[(sim.leader()+1)%len(sim.nodes)]
	default:
		var i int
		if _, err := fmt.Sscan(text, &i); err != nil {
			d.Fatalf(t, "node=%s: %v", text, err)
		}
		return sim.nodes[i]
	}
}

// runNodeCommand plays the commands that befall controllers; false for any other.
func runNodeCommand(t *testing.T, sim *simulation, d *datadriven.TestData, node func() *simNode, during func(func())) bool {
	away := func() micros.Micros { return argSeconds(t, d, "for", restartDelay.Seconds()) }
	switch d.Cmd {
	case "crash":
		sim.crash(node(), away())
	case "crash-all":
		for _, node := range sim.nodes {
			sim.crash(node, away())
		}
	case "cut-node":
		n := node()
		n.partitioned, n.delaysOutbound = true, d.HasArg("hold")
		during(func() { n.partitioned = false })
	case "cut-zone":
		sim.partitionedZone = arg(t, d, "zone", "b")
		during(func() { sim.partitionedZone = "" })
	case "deafen-node":
		n := node()
		n.workersUnreachable = true
		during(func() { n.workersUnreachable = false })
	case "refuse-node":
		n := nodeName(node().index)
		sim.kvStore.RefusedCallers[n] = true
		during(func() { delete(sim.kvStore.RefusedCallers, n) })
	case "isolate-node":
		n := node()
		n.onlyWorkersReachable = true
		during(func() { n.onlyWorkersReachable = false })
	case "state-down":
		sim.kvStore.Unavailable = true
		during(func() { sim.kvStore.Unavailable = false })
	case "state-compact":
		sim.kvStore.CompactHistory = true
	case "late-copies":
		sim.duplicateHeartbeatShare, sim.maxCopyDelay = argNumber(t, d, "share", 0), argSeconds(t, d, "by", 20)
	case "faults":
		sim.lossRate, sim.lateRequestRate, sim.duplicateRequestRate = argNumber(t, d, "loss", 0), argNumber(t, d, "late", 0), argNumber(t, d, "dup", 0)
	case "numbers-low": // the owner has given out nearly all numbers of its record's version
		owner := node().core
		owner.numbers.next(owner.node.RecordVersion())
		owner.numbers.sequence = maxSequence - sequenceMargin
	default:
		return false
	}
	return true
}

// requestStatus asks a node and returns the status of its answer.
func (sim *simulation) requestStatus(t *testing.T, node *simNode, path string) string {
	t.Helper()
	status, since, took := -1, sim.now, micros.Micros(0)
	sim.sendRequest(node, Request{Method: "GET", Path: path}, 5*micros.Second, func(response Respond) {
		status, took = response.Status, sim.now-since
	})
	for status < 0 {
		sim.run(simulationStep)
	}
	if took > 500*micros.Millisecond {
		return fmt.Sprintf("%d late", status)
	}
	return fmt.Sprint(status)
}

// sendUndecodableMessages sends a node messages that cannot be read, and tells how they are answered.
func (sim *simulation) sendUndecodableMessages(node *simNode) string {
	seen := map[int]int{}
	for i, body := range [][]byte{nil, {0xff}, {0xa1, 0x61}, []byte("hello"), wire.Encode([]int{1}), wire.Encode(map[string]any{"berth": 7, "shift": "x"})} {
		for _, request := range []Request{
			{Method: "POST", Path: "/hello", Body: body},
			{Method: "POST", Path: "/api/jobs", Body: body},
			{Peer: true, Method: "POST", Path: "/peer", Body: append([]byte{byte(i)}, body...)},
		} {
			sim.sendRequest(node, request, micros.Second, func(response Respond) { seen[response.Status]++ })
		}
	}
	sim.run(2 * micros.Second)
	return fmt.Sprint(seen)
}
