package controller

import (
	"math/rand/v2"
	"strings"

	"google.golang.org/protobuf/proto"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// kvFaults are faults between the controllers and the key-value store, and among the controllers. They
// have their own random stream, so that they do not change the random draws of scenarios without them.
type kvFaults struct {
	rng                  *rand.Rand
	unansweredCommitRate float64       // share of the commits that get no response
	responseLostOnly     bool          // commits without a response are applied immediately instead of with a delay
	kvLatency            micros.Micros // added to each call of the key-value store except watches
	peerLossRate         float64       // share of the peer messages that are lost
	peerResponsesOnly    bool          // only responses are lost
	peerHeartbeatsSpared bool          // no peer heartbeats and no forwarded KV calls are lost
	delayedCommits       int           // commits that were applied with a delay and succeeded
	lostResponses        int           // commits that were applied immediately, without a response

	kvResponseDelay   responseDelay // of the responses of the key-value store
	peerResponseDelay responseDelay // of the responses of other controllers
}

func newKVFaults(seed uint64) kvFaults {
	return kvFaults{
		rng:               rand.New(rand.NewPCG(seed, kvFaultStream)),
		kvResponseDelay:   newResponseDelay(seed, kvDelayStream),
		peerResponseDelay: newResponseDelay(seed, peerDelayStream),
	}
}

// Bounds of the delay after which a commit without a response is applied.
const (
	minUnansweredCommitDelay = 2 * micros.Second
	maxUnansweredCommitDelay = 12 * micros.Second
)

// callKVStore executes a call at the key-value store, subject to the active faults.
func (sim *simulation) callKVStore(node *simNode, call Call, respond func(fake.Response)) {
	faults := &sim.kvFaults
	delayed := faults.kvResponseDelay.delayResponse(sim, node, respond)
	respond = func(response fake.Response) {
		if !node.onlyWorkersReachable { // an isolated node gets no responses, not even those of open watches
			delayed(response)
		}
	}
	deliver := func(respond func(fake.Response)) { sim.executeKV(node, call, sim.now, respond) }
	commit := strings.HasPrefix(call.Target, "/commit")
	if commit && faults.unansweredCommitRate > 0 && faults.rng.Float64() < faults.unansweredCommitRate {
		if faults.responseLostOnly {
			deliver(func(response fake.Response) { faults.lostResponses += committedCount(response) })
			return
		}
		span := int64(maxUnansweredCommitDelay - minUnansweredCommitDelay)
		sim.after(minUnansweredCommitDelay+micros.Micros(faults.rng.Int64N(span)), func() {
			deliver(func(response fake.Response) { faults.delayedCommits += committedCount(response) })
		})
		return
	}
	if faults.kvLatency > 0 && !strings.HasPrefix(call.Target, "/changes") {
		half := faults.kvLatency / 2
		sim.after(half, func() {
			deliver(func(response fake.Response) { sim.after(half, func() { respond(response) }) })
		})
		return
	}
	deliver(respond)
}

func committedCount(response fake.Response) int {
	if response.Status == 200 {
		return 1
	}
	return 0
}

// dropPeerMessage decides at random whether a peer message, or the response to it, is lost.
func (sim *simulation) dropPeerMessage(call Call, isResponse bool) bool {
	faults := &sim.kvFaults
	if faults.peerLossRate == 0 || faults.peerResponsesOnly != isResponse {
		return false
	}
	if faults.peerHeartbeatsSpared {
		var m peer.Message
		if proto.Unmarshal(call.Body, &m) == nil && (m.GetHeartbeat() != nil || m.GetKVRequest() != nil) {
			return false
		}
	}
	return faults.rng.Float64() < faults.peerLossRate
}

// kvFaultCommands cause faults between the controllers and the key-value store, and among the
// controllers.
var kvFaultCommands = commandTable{
	// unanswered-commits has a share of the commits get no response. They are applied 2 to 12 s later
	// or, with "apply-immediately", at once.
	"unanswered-commits": silent(func(c *command) {
		faults := &c.sim.kvFaults
		faults.unansweredCommitRate, faults.responseLostOnly = c.number("share", 1), c.HasArg("apply-immediately")
		c.revertLater(func() { faults.unansweredCommitRate = 0 })
	}),
	// kv-latency adds "ms" milliseconds to each call of the key-value store except watches.
	"kv-latency": silent(func(c *command) {
		c.sim.kvFaults.kvLatency = micros.FromMillis(c.number("ms", 1000))
		c.revertLater(func() { c.sim.kvFaults.kvLatency = 0 })
	}),
	// lose-peer-messages loses a share of the messages between controllers or, with "responses-only", of
	// the responses to them. With "except-heartbeats" it loses neither heartbeats nor calls of the
	// key-value store that a peer relays.
	"lose-peer-messages": silent(func(c *command) {
		faults := &c.sim.kvFaults
		faults.peerLossRate, faults.peerHeartbeatsSpared = c.number("share", 1), c.HasArg("except-heartbeats")
		faults.peerResponsesOnly = c.HasArg("responses-only")
		c.revertLater(func() { faults.peerLossRate = 0 })
	}),
	// cancel-jobs has users cancel jobs one after the other at an interval. Each request is sent to the
	// given node first.
	"cancel-jobs": silent(func(c *command) {
		to, every := c.node().index, c.seconds("interval", 0)
		for i, id := range c.jobIDs(1) {
			c.sim.after(micros.Micros(i)*every, func() { c.sim.cancel(id, to) })
		}
	}),
}

// delayedResponses returns the number of delayed responses of the key-value store and of other
// controllers.
func (faults *kvFaults) delayedResponses() int {
	return faults.kvResponseDelay.delayedCount + faults.peerResponseDelay.delayedCount
}
