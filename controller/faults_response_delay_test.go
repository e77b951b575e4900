package controller

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/fake"
	"tamarindlead/micros"
)

// unevenDelay holds some answers back, each for a time of its own, so that an answer to one
// node may overtake an older answer to another. It draws from a source of its own, so that
// scenarios without it stay as they are.
type unevenDelay struct {
	rng   *rand.Rand
	share float64       // of the answers that are held back
	most  micros.Micros // the longest that one is
	exact bool          // each is held for just so long
	node  int           // whose answers are, or everyNode
	held  int           // how many were
}

// everyNode tells that a fault befalls the answers to all nodes.
const everyNode = -1

// Sources of random numbers of the two kinds of answers.
const (
	unevenStateStream = 7
	unevenPeersStream = 8
)

func newUnevenDelay(seed, stream uint64) unevenDelay {
	return unevenDelay{rng: rand.New(rand.NewPCG(seed, stream)), node: everyNode}
}

// hold returns an answer that is held back if its turn comes.
func (u *unevenDelay) hold(w *world, n *simNode, answer func(fake.Response)) func(fake.Response) {
	if u.share == 0 || u.node != everyNode && u.node != n.index || u.rng.Float64() >= u.share {
		return answer
	}
	delay := u.most
	if !u.exact {
		delay = micros.Micros(u.rng.Int64N(int64(u.most)))
	}
	return func(r fake.Response) {
		u.held++
		w.after(delay, func() { answer(r) })
	}
}

// set takes the arguments of a command: share=0.3 ms=300 exact for=60 node=0.
func (u *unevenDelay) set(t *testing.T, d *datadriven.TestData, during func(func())) {
	u.share = argNumber(t, d, "share", 0.3)
	u.most = micros.FromMillis(argNumber(t, d, "ms", 300))
	u.exact = d.HasArg("exact")
	u.node = arg(t, d, "node", everyNode)
	during(func() { u.share = 0 })
}

// unevenVerb plays the commands of this file; false for any other.
func unevenVerb(t *testing.T, w *world, d *datadriven.TestData, during func(func())) bool {
	switch d.Cmd {
	case "uneven-state":
		w.faults.unevenState.set(t, d, during)
	case "uneven-peers":
		w.faults.unevenPeers.set(t, d, during)
	default:
		return false
	}
	return true
}

// setUnevenOnDemand lets answers be uneven in any scenario: SCENARIO_UNEVEN=0.3 holds back that
// share of the answers of the state service.
func (w *world) setUnevenOnDemand(t *testing.T) {
	text := os.Getenv("SCENARIO_UNEVEN")
	if text == "" {
		return
	}
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || share < 0 || share > 1 {
		t.Fatalf("SCENARIO_UNEVEN=%s: want a share from 0 to 1", text)
	}
	w.faults.unevenState.share, w.faults.unevenState.most = share, 300*micros.Millisecond
}
