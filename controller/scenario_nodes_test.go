package controller

import (
	"fmt"
	"testing"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// node returns the node that a command names: by its index, as "leader" (the default), or as "other",
// the node that follows the leader.
func (c *command) node() *simNode {
	c.t.Helper()
	switch text := c.text("node", "leader"); text {
	case "leader":
		i := c.sim.leader()
		if i < 0 {
			c.fail("no leader")
		}
		return c.sim.nodes[i]
	case "other":
		return c.sim.nodes[(c.sim.leader()+1)%len(c.sim.nodes)]
	default:
		var i int
		if _, err := fmt.Sscan(text, &i); err != nil {
			c.fail("node=%s: %v", text, err)
		}
		return c.sim.nodes[i]
	}
}

// downtime returns how long a crashed node stays down.
func (c *command) downtime() micros.Micros {
	c.t.Helper()
	return c.seconds("for", restartDelay.Seconds())
}

// nodeCommands cause faults of the controllers, of their network and of the key-value store.
var nodeCommands = commandTable{
	"crash-node": silent(func(c *command) { c.sim.crash(c.node(), c.downtime()) }),
	"crash-all-nodes": silent(func(c *command) {
		for _, node := range c.sim.nodes {
			c.sim.crash(node, c.downtime())
		}
	}),
	// partition-node partitions a node from everything. With "delay-outbound" the calls that the node
	// makes during the partition are executed after it.
	"partition-node": silent(func(c *command) {
		node := c.node()
		node.partitioned, node.delaysOutbound = true, c.HasArg("delay-outbound")
		c.revertLater(func() { node.partitioned = false })
	}),
	// partition-zone partitions a zone from the other zones, the key-value store, the cloud and the users.
	"partition-zone": silent(func(c *command) {
		c.sim.partitionedZone = c.text("zone", "b")
		c.revertLater(func() { c.sim.partitionedZone = "" })
	}),
	"partition-node-from-workers": silent(func(c *command) {
		node := c.node()
		node.workersUnreachable = true
		c.revertLater(func() { node.workersUnreachable = false })
	}),
	"partition-node-from-cloud": silent(func(c *command) {
		node := c.node()
		node.cloudUnreachable = true
		c.revertLater(func() { node.cloudUnreachable = false })
	}),
	// kv-refuse-node has the key-value store refuse the requests of one node.
	"kv-refuse-node": silent(func(c *command) {
		name := nodeName(c.node().index)
		c.sim.kvStore.RefusedCallers[name] = true
		c.revertLater(func() { delete(c.sim.kvStore.RefusedCallers, name) })
	}),
	// isolate-node partitions a node from the key-value store and its peers.
	"isolate-node": silent(func(c *command) {
		node := c.node()
		node.onlyWorkersReachable = true
		c.revertLater(func() { node.onlyWorkersReachable = false })
	}),
	"kv-unavailable": silent(func(c *command) {
		c.sim.kvStore.Unavailable = true
		c.revertLater(func() { c.sim.kvStore.Unavailable = false })
	}),
	// kv-compact has the next watch compact the history of the key-value store, so that all open watches
	// fail.
	"kv-compact": silent(func(c *command) { c.sim.kvStore.CompactHistory = true }),
	// duplicate-heartbeats sends a copy of a share of the heartbeats to a random node, at most
	// "max-delay" later.
	"duplicate-heartbeats": silent(func(c *command) {
		c.sim.duplicateHeartbeatShare, c.sim.maxCopyDelay = c.number("share", 0), c.seconds("max-delay", 20)
	}),
	"network-faults":           silent((*command).setMessageFaults),
	"exhaust-sequence-numbers": silent((*command).exhaustNumbers),
}

// setMessageFaults sets which shares of the messages are lost, delayed or duplicated.
func (c *command) setMessageFaults() {
	c.t.Helper()
	sim := c.sim
	sim.lossRate, sim.delayedRequestRate, sim.duplicateRequestRate = c.number("loss-rate", 0), c.number("delay-rate", 0), c.number("duplicate-rate", 0)
}

// exhaustNumbers has a node use nearly all sequence numbers of the present version of its record.
func (c *command) exhaustNumbers() {
	c.t.Helper()
	core := c.node().core
	core.numbers.next(core.node.RecordVersion())
	core.numbers.sequence = maxSequence - sequenceMargin
}

// requestStatus sends a GET request to a node and returns the status of its response, followed by
// "delayed" if the response took longer than 500 ms.
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
		return fmt.Sprintf("%d delayed", status)
	}
	return fmt.Sprint(status)
}

// sendUndecodableMessages sends messages that cannot be decoded to a node and returns the number of
// responses by status.
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
