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

// responseDelay holds some answers back, each for a time of its own, so that an answer to one
// node may overtake an older answer to another. It draws from a source of its own, so that
// scenarios without it stay as they are.
type responseDelay struct {
	rng          *rand.Rand
	share        float64       // of the answers that are held back
	maxDelay     micros.Micros // the longest that one is
	fixed        bool          // each is held for just so long
	node         int           // whose answers are, or allNodes
	delayedCount int           // how many were
}

// allNodes tells that a fault befalls the answers to all nodes.
const allNodes = -1

// Sources of random numbers of the two kinds of answers.
const (
	kvDelayStream   = 7
	peerDelayStream = 8
)

func newResponseDelay(seed, stream uint64) responseDelay {
	return responseDelay{rng: rand.New(rand.NewPCG(seed, stream)), node: allNodes}
}

// delayResponse returns an answer that is held back if its turn comes.
func (d *responseDelay) delayResponse(sim *simulation, node *simNode, answer func(fake.Response)) func(fake.Response) {
	if d.share == 0 || d.node != allNodes && d.node != node.index || d.rng.Float64() >= d.share {
		return answer
	}
	delay := d.maxDelay
	if !d.fixed {
		delay = micros.Micros(d.rng.Int64N(int64(d.maxDelay)))
	}
	return func(response fake.Response) {
		d.delayedCount++
		sim.after(delay, func() { answer(response) })
	}
}

// parseArgs takes the arguments of a command: share=0.3 ms=300 exact for=60 node=0.
func (r *responseDelay) parseArgs(t *testing.T, d *datadriven.TestData, during func(func())) {
	r.share = argNumber(t, d, "share", 0.3)
	r.maxDelay = micros.FromMillis(argNumber(t, d, "ms", 300))
	r.fixed = d.HasArg("exact")
	r.node = arg(t, d, "node", allNodes)
	during(func() { r.share = 0 })
}

// runResponseDelayCommand plays the commands of this file; false for any other.
func runResponseDelayCommand(t *testing.T, sim *simulation, d *datadriven.TestData, during func(func())) bool {
	switch d.Cmd {
	case "uneven-state":
		sim.kvFaults.kvResponseDelay.parseArgs(t, d, during)
	case "uneven-peers":
		sim.kvFaults.peerResponseDelay.parseArgs(t, d, during)
	default:
		return false
	}
	return true
}

// applyResponseDelayFromEnv lets answers be uneven in any scenario: SCENARIO_UNEVEN=0.3 holds back that
// share of the answers of the state service.
func (sim *simulation) applyResponseDelayFromEnv(t *testing.T) {
	text := os.Getenv("SCENARIO_UNEVEN")
	if text == "" {
		return
	}
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || share < 0 || share > 1 {
		t.Fatalf("SCENARIO_UNEVEN=%s: want a share from 0 to 1", text)
	}
	sim.kvFaults.kvResponseDelay.share, sim.kvFaults.kvResponseDelay.maxDelay = share, 300*micros.Millisecond
}
