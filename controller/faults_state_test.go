package controller

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// kvFaults are troubles between the controllers and the state service, and among the
// controllers. They draw from a row of their own, so that scenarios without them stay as
// they are.
type kvFaults struct {
	rng                  *rand.Rand
	lateTransactionRate  float64       // of the transactions: no answer, carried out late
	responseLostOnly     bool          // carried out at once, only the answer is lost
	responseDelay        micros.Micros // the state service answers after so long
	peerLossRate         float64       // of the messages between controllers: lost
	peerResponsesOnly    bool          // only the answers to them are
	peerHeartbeatsSpared bool          // but not what they say once a second, nor what they pass on
	lateApplied          int           // transactions that were carried out late and held
	lostResponses        int           // transactions that were carried out, their answer lost

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
func (w *simulation) callKVStore(n *simNode, c Call, answer func(fake.Response)) {
	f := &w.kvFaults
	whole := f.kvResponseDelay.delayResponse(w, n, answer)
	answer = func(r fake.Response) {
		if !n.onlyWorkersReachable { // the cut holds answers too, those of open watches among them
			whole(r)
		}
	}
	deliver := func(answer func(fake.Response)) { w.executeKV(n, c, w.now, answer) }
	commit := strings.HasPrefix(c.Target, "/commit")
	if commit && f.lateTransactionRate > 0 && f.rng.Float64() < f.lateTransactionRate {
		if f.responseLostOnly {
			deliver(func(r fake.Response) { f.lostResponses += held(r) })
			return
		}
		span := int64(maxLateWrite - minLateWrite)
		w.after(minLateWrite+micros.Micros(f.rng.Int64N(span)), func() {
			deliver(func(r fake.Response) { f.lateApplied += held(r) })
		})
		return
	}
	if f.responseDelay > 0 && !strings.HasPrefix(c.Target, "/changes") {
		half := f.responseDelay / 2
		w.after(half, func() {
			deliver(func(r fake.Response) { w.after(half, func() { answer(r) }) })
		})
		return
	}
	deliver(answer)
}

func held(r fake.Response) int {
	if r.Status == 200 {
		return 1
	}
	return 0
}

// dropPeerMessage draws whether a message between controllers, or the answer to it, gets lost.
func (w *simulation) dropPeerMessage(c Call, answer bool) bool {
	f := &w.kvFaults
	if f.peerLossRate == 0 || f.peerResponsesOnly != answer {
		return false
	}
	if f.peerHeartbeatsSpared {
		var m peer.Message
		if proto.Unmarshal(c.Body, &m) == nil && (m.GetBeat() != nil || m.GetStoreCall() != nil) {
			return false
		}
	}
	return f.rng.Float64() < f.peerLossRate
}

// runKVFaultCommand plays the commands of this file; ok is false for any other.
func runKVFaultCommand(t *testing.T, w *simulation, d *datadriven.TestData, node func() *simNode, during func(func())) (out string, ok bool) {
	f := &w.kvFaults
	switch d.Cmd {
	case "late-writes":
		f.lateTransactionRate, f.responseLostOnly = argNumber(t, d, "share", 1), d.HasArg("at-once")
		during(func() { f.lateTransactionRate = 0 })
	case "slow-state":
		f.responseDelay = micros.FromMillis(argNumber(t, d, "ms", 1000))
		during(func() { f.responseDelay = 0 })
	case "lose-peer-messages":
		f.peerLossRate, f.peerHeartbeatsSpared = argNumber(t, d, "share", 1), d.HasArg("spare-beats")
		f.peerResponsesOnly = d.HasArg("answers")
		during(func() { f.peerLossRate = 0 })
	case "cancel-jobs":
		// Users cancel a row of jobs, beginning at one node.
		to, every := node().index, argSeconds(t, d, "every", 0)
		for i := range arg(t, d, "count", 1) {
			id := jobName(arg(t, d, "from", 1) + i)
			w.after(micros.Micros(i)*every, func() { w.cancel(id, to) })
		}
	default:
		return "", false
	}
	return "", true
}
