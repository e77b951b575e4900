package controller

import (
	"math/rand/v2"
	"strings"

	"google.golang.org/protobuf/proto"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// kvFaults are troubles between the controllers and the state service, and among the
// controllers. They draw from a row of their own, so that scenarios without them stay as
// they are.
type kvFaults struct {
	rng                     *rand.Rand
	lateTransactionRate     float64       // of the transactions: no answer, carried out late
	responseLostOnly        bool          // carried out at once, only the answer is lost
	responseDelay           micros.Micros // the state service answers after so long
	peerLossRate            float64       // of the messages between controllers: lost
	peerResponsesOnly       bool          // only the answers to them are
	peerHeartbeatsSpared    bool          // but not what they say once a second, nor what they pass on
	lateTransactionsApplied int           // transactions that were carried out late and held
	lostResponses           int           // transactions that were carried out, their answer lost

	kvResponseDelay   responseDelay // of the answers of the state service
	peerResponseDelay responseDelay // of those of other controllers
}

func newKVFaults(seed uint64) kvFaults {
	return kvFaults{
		rng:               rand.New(rand.NewPCG(seed, 2)),
		kvResponseDelay:   newResponseDelay(seed, kvDelayStream),
		peerResponseDelay: newResponseDelay(seed, peerDelayStream),
	}
}

// Transactions without an answer are carried out within these times.
const (
	minLateWrite = 2 * micros.Second
	maxLateWrite = 12 * micros.Second
)

// callKVStore brings a call to the state service, with the troubles of the moment.
func (sim *simulation) callKVStore(node *simNode, call Call, answer func(fake.Response)) {
	faults := &sim.kvFaults
	whole := faults.kvResponseDelay.delayResponse(sim, node, answer)
	answer = func(response fake.Response) {
		if !node.onlyWorkersReachable { // the cut holds answers too, those of open watches among them
			whole(response)
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

// dropPeerMessage draws whether a message between controllers, or the answer to it, gets lost.
func (sim *simulation) dropPeerMessage(call Call, answer bool) bool {
	faults := &sim.kvFaults
	if faults.peerLossRate == 0 || faults.peerResponsesOnly != answer {
		return false
	}
	if faults.peerHeartbeatsSpared {
		var m peer.Message
		if proto.Unmarshal(call.Body, &m) == nil && (m.GetBeat() != nil || m.GetStoreCall() != nil) {
			return false
		}
	}
	return faults.rng.Float64() < faults.peerLossRate
}

// kvFaultCommands cause faults between the controllers and the state service, and among the
// controllers.
var kvFaultCommands = commandTable{
	"late-writes": silent(func(c *command) {
		faults := &c.sim.kvFaults
		faults.lateTransactionRate, faults.responseLostOnly = c.number("share", 1), c.HasArg("at-once")
		c.revertLater(func() { faults.lateTransactionRate = 0 })
	}),
	"slow-state": silent(func(c *command) {
		c.sim.kvFaults.responseDelay = micros.FromMillis(c.number("ms", 1000))
		c.revertLater(func() { c.sim.kvFaults.responseDelay = 0 })
	}),
	"lose-peer-messages": silent(func(c *command) {
		faults := &c.sim.kvFaults
		faults.peerLossRate, faults.peerHeartbeatsSpared = c.number("share", 1), c.HasArg("spare-beats")
		faults.peerResponsesOnly = c.HasArg("answers")
		c.revertLater(func() { faults.peerLossRate = 0 })
	}),
	"cancel-jobs": silent(func(c *command) { // users cancel jobs one after the other, beginning at one node
		to, every := c.node().index, c.seconds("every", 0)
		for i, id := range c.jobIDs(1) {
			c.sim.after(micros.Micros(i)*every, func() { c.sim.cancel(id, to) })
		}
	}),
}

// delayedResponses returns how many responses were held back.
func (faults *kvFaults) delayedResponses() int {
	return faults.kvResponseDelay.delayedCount + faults.peerResponseDelay.delayedCount
}
