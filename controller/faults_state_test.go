package controller

import (
	"math/rand/v2"
	"strings"

	"google.golang.org/protobuf/proto"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// kvFaults are faults between the controllers and the state service, and among the controllers.
// They have their own random stream, so that scenarios without them stay as they are.
type kvFaults struct {
	rng                     *rand.Rand
	lateTransactionRate     float64       // share of the transactions that are applied late, without a response
	responseLostOnly        bool          // they are applied at once, only their response is lost
	responseDelay           micros.Micros // of the state service, for calls other than watches
	peerLossRate            float64       // share of the peer messages that are lost
	peerResponsesOnly       bool          // only responses are lost
	peerHeartbeatsSpared    bool          // neither peer heartbeats nor forwarded store calls are lost
	lateTransactionsApplied int           // transactions that were applied late and succeeded
	lostResponses           int           // transactions that succeeded without a response

	kvResponseDelay   responseDelay // of the responses of the state service
	peerResponseDelay responseDelay // of the responses of other controllers
}

func newKVFaults(seed uint64) kvFaults {
	return kvFaults{
		rng:               rand.New(rand.NewPCG(seed, kvFaultStream)),
		kvResponseDelay:   newResponseDelay(seed, kvDelayStream),
		peerResponseDelay: newResponseDelay(seed, peerDelayStream),
	}
}

// Transactions without a response are applied within these times.
const (
	minLateWrite = 2 * micros.Second
	maxLateWrite = 12 * micros.Second
)

// callKVStore executes a call at the state service, with the present faults.
func (sim *simulation) callKVStore(node *simNode, call Call, answer func(fake.Response)) {
	faults := &sim.kvFaults
	delayed := faults.kvResponseDelay.delayResponse(sim, node, answer)
	answer = func(response fake.Response) {
		if !node.onlyWorkersReachable { // responses are lost too, those of open watches included
			delayed(response)
		}
	}
	deliver := func(answer func(fake.Response)) { sim.executeKV(node, call, sim.now, answer) }
	commit := strings.HasPrefix(call.Target, "/commit")
	if commit && faults.lateTransactionRate > 0 && faults.rng.Float64() < faults.lateTransactionRate {
		if faults.responseLostOnly {
			deliver(func(response fake.Response) { faults.lostResponses += committedCount(response) })
			return
		}
		span := int64(maxLateWrite - minLateWrite)
		sim.after(minLateWrite+micros.Micros(faults.rng.Int64N(span)), func() {
			deliver(func(response fake.Response) { faults.lateTransactionsApplied += committedCount(response) })
		})
		return
	}
	if faults.responseDelay > 0 && !strings.HasPrefix(call.Target, "/changes") {
		half := faults.responseDelay / 2
		sim.after(half, func() {
			deliver(func(response fake.Response) { sim.after(half, func() { answer(response) }) })
		})
		return
	}
	deliver(answer)
}

func committedCount(response fake.Response) int {
	if response.Status == 200 {
		return 1
	}
	return 0
}

// dropPeerMessage draws whether a peer message, or the response to it, is lost.
func (sim *simulation) dropPeerMessage(call Call, answer bool) bool {
	faults := &sim.kvFaults
	if faults.peerLossRate == 0 || faults.peerResponsesOnly != answer {
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

// kvFaultCommands cause faults between the controllers and the state service, and among the
// controllers.
var kvFaultCommands = commandTable{
	"unanswered-commits": silent(func(c *command) {
		faults := &c.sim.kvFaults
		faults.lateTransactionRate, faults.responseLostOnly = c.number("share", 1), c.HasArg("apply-immediately")
		c.revertLater(func() { faults.lateTransactionRate = 0 })
	}),
	"kv-latency": silent(func(c *command) {
		c.sim.kvFaults.responseDelay = micros.FromMillis(c.number("ms", 1000))
		c.revertLater(func() { c.sim.kvFaults.responseDelay = 0 })
	}),
	"lose-peer-messages": silent(func(c *command) {
		faults := &c.sim.kvFaults
		faults.peerLossRate, faults.peerHeartbeatsSpared = c.number("share", 1), c.HasArg("except-heartbeats")
		faults.peerResponsesOnly = c.HasArg("responses-only")
		c.revertLater(func() { faults.peerLossRate = 0 })
	}),
	"cancel-jobs": silent(func(c *command) { // users cancel jobs one after the other, beginning at one node
		to, every := c.node().index, c.seconds("interval", 0)
		for i, id := range c.jobIDs(1) {
			c.sim.after(micros.Micros(i)*every, func() { c.sim.cancel(id, to) })
		}
	}),
}

// delayedResponses returns how many responses were delayed.
func (faults *kvFaults) delayedResponses() int {
	return faults.kvResponseDelay.delayedCount + faults.peerResponseDelay.delayedCount
}
