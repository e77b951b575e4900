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

// stateFaults are troubles between the controllers and the state service, and among the
// controllers. They draw from a row of their own, so that scenarios without them stay as
// they are.
type stateFaults struct {
	rng       *rand.Rand
	lateShare float64       // of the transactions: no answer, carried out late
	atOnce    bool          // carried out at once, only the answer is lost
	slow      micros.Micros // the state service answers after so long
	peerShare float64       // of the messages between controllers: lost
	peerBack  bool          // only the answers to them are
	peerSpare bool          // but not what they say once a second, nor what they pass on
	lateDone  int           // transactions that were carried out late and held
	lostDone  int           // transactions that were carried out, their answer lost

	unevenState unevenDelay // of the answers of the state service
	unevenPeers unevenDelay // of those of other controllers
}

func newStateFaults(seed uint64) stateFaults {
	return stateFaults{
		rng:         rand.New(rand.NewPCG(seed, 2)),
		unevenState: newUnevenDelay(seed, unevenStateStream),
		unevenPeers: newUnevenDelay(seed, unevenPeersStream),
	}
}

// Transactions without an answer are carried out within these times.
const (
	lateWriteFrom = 2 * micros.Second
	lateWriteTo   = 12 * micros.Second
)

// stateCall brings a call to the state service, with the troubles of the moment.
func (w *world) stateCall(n *simNode, c Call, answer func(fake.Response)) {
	f := &w.faults
	whole := f.unevenState.hold(w, n, answer)
	answer = func(r fake.Response) {
		if !n.alone { // the cut holds answers too, those of open watches among them
			whole(r)
		}
	}
	deliver := func(answer func(fake.Response)) { w.executeState(n, c, w.now, answer) }
	commit := strings.HasPrefix(c.Target, "/commit")
	if commit && f.lateShare > 0 && f.rng.Float64() < f.lateShare {
		if f.atOnce {
			deliver(func(r fake.Response) { f.lostDone += held(r) })
			return
		}
		span := int64(lateWriteTo - lateWriteFrom)
		w.after(lateWriteFrom+micros.Micros(f.rng.Int64N(span)), func() {
			deliver(func(r fake.Response) { f.lateDone += held(r) })
		})
		return
	}
	if f.slow > 0 && !strings.HasPrefix(c.Target, "/changes") {
		half := f.slow / 2
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

// peerLost draws whether a message between controllers, or the answer to it, gets lost.
func (w *world) peerLost(c Call, answer bool) bool {
	f := &w.faults
	if f.peerShare == 0 || f.peerBack != answer {
		return false
	}
	if f.peerSpare {
		var m peer.Message
		if proto.Unmarshal(c.Body, &m) == nil && (m.GetBeat() != nil || m.GetStoreCall() != nil) {
			return false
		}
	}
	return f.rng.Float64() < f.peerShare
}

// stateVerb plays the commands of this file; ok is false for any other.
func stateVerb(t *testing.T, w *world, d *datadriven.TestData, node func() *simNode, during func(func())) (out string, ok bool) {
	f := &w.faults
	switch d.Cmd {
	case "late-writes":
		f.lateShare, f.atOnce = argNumber(t, d, "share", 1), d.HasArg("at-once")
		during(func() { f.lateShare = 0 })
	case "slow-state":
		f.slow = micros.FromMillis(argNumber(t, d, "ms", 1000))
		during(func() { f.slow = 0 })
	case "lose-peer-messages":
		f.peerShare, f.peerSpare = argNumber(t, d, "share", 1), d.HasArg("spare-beats")
		f.peerBack = d.HasArg("answers")
		during(func() { f.peerShare = 0 })
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
