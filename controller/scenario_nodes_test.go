package controller

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file plays what befalls controllers, and asks them.

// chosenNode is the node that a command names: by its number, as the leader, or as another.
func chosenNode(t *testing.T, w *world, d *datadriven.TestData) *simNode {
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

// nodeVerb plays the commands that befall controllers; false for any other.
func nodeVerb(t *testing.T, w *world, d *datadriven.TestData, node func() *simNode, during func(func())) bool {
	away := func() micros.Micros { return argSeconds(t, d, "for", worldLife.Seconds()) }
	switch d.Cmd {
	case "crash":
		w.crash(node(), away())
	case "crash-all":
		for _, n := range w.nodes {
			w.crash(n, away())
		}
	case "cut-node":
		n := node()
		n.cut, n.hold = true, d.HasArg("hold")
		during(func() { n.cut = false })
	case "cut-zone":
		w.dark = arg(t, d, "zone", "b")
		during(func() { w.dark = "" })
	case "deafen-node":
		n := node()
		n.deaf = true
		during(func() { n.deaf = false })
	case "refuse-node":
		n := nodeName(node().index)
		w.state.RefusedCallers[n] = true
		during(func() { delete(w.state.RefusedCallers, n) })
	case "isolate-node":
		n := node()
		n.alone = true
		during(func() { n.alone = false })
	case "state-down":
		w.state.Unavailable = true
		during(func() { w.state.Unavailable = false })
	case "state-compact":
		w.state.CompactHistory = true
	case "late-copies":
		w.copies, w.copyBy = argNumber(t, d, "share", 0), argSeconds(t, d, "by", 20)
	case "faults":
		w.loss, w.late, w.dup = argNumber(t, d, "loss", 0), argNumber(t, d, "late", 0), argNumber(t, d, "dup", 0)
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
func (w *world) get(t *testing.T, n *simNode, path string) string {
	t.Helper()
	status, since, took := -1, w.now, micros.Micros(0)
	w.ask(n, Request{Method: "GET", Path: path}, 5*micros.Second, func(r Respond) {
		status, took = r.Status, w.now-since
	})
	for status < 0 {
		w.run(worldStep)
	}
	if took > 500*micros.Millisecond {
		return fmt.Sprintf("%d late", status)
	}
	return fmt.Sprint(status)
}

// damaged sends a node messages that cannot be read, and tells how they are answered.
func (w *world) damaged(n *simNode) string {
	seen := map[int]int{}
	for i, body := range [][]byte{nil, {0xff}, {0xa1, 0x61}, []byte("hello"), wire.Encode([]int{1}), wire.Encode(map[string]any{"berth": 7, "shift": "x"})} {
		for _, r := range []Request{
			{Method: "POST", Path: "/hello", Body: body},
			{Method: "POST", Path: "/api/jobs", Body: body},
			{Peer: true, Method: "POST", Path: "/peer", Body: append([]byte{byte(i)}, body...)},
		} {
			w.ask(n, r, micros.Second, func(r Respond) { seen[r.Status]++ })
		}
	}
	w.run(2 * micros.Second)
	return fmt.Sprint(seen)
}
