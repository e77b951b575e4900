package controller

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"tamarindlead/internal/fake"
	"tamarindlead/micros"
)

// responseDelay delays some responses, each by a random duration, so that a response to one node may
// arrive before an older response to another node. It has its own random stream, so that it does not
// change the random draws of scenarios without it.
type responseDelay struct {
	rng          *rand.Rand
	share        float64       // share of the responses that are delayed
	maxDelay     micros.Micros // of a response
	fixed        bool          // delayed responses are delayed by exactly maxDelay
	node         int           // the node whose responses are delayed, or allNodes
	delayedCount int           // number of delayed responses
}

// allNodes selects the responses to all nodes.
const allNodes = -1

func newResponseDelay(seed, stream uint64) responseDelay {
	return responseDelay{rng: rand.New(rand.NewPCG(seed, stream)), node: allNodes}
}

// delayResponse decides at random whether a response is delayed. It returns respond, or a function that
// calls respond after the delay.
func (d *responseDelay) delayResponse(sim *simulation, node *simNode, respond func(fake.Response)) func(fake.Response) {
	if d.share == 0 || d.node != allNodes && d.node != node.index || d.rng.Float64() >= d.share {
		return respond
	}
	delay := d.maxDelay
	if !d.fixed {
		delay = micros.Micros(d.rng.Int64N(int64(d.maxDelay)))
	}
	return func(response fake.Response) {
		d.delayedCount++
		sim.after(delay, func() { respond(response) })
	}
}

// configure applies the arguments of a command that delays responses, such as
// share=0.3 max-delay-ms=300 fixed-delay for=60 node=0.
func (d *responseDelay) configure(c *command) {
	c.t.Helper()
	d.share = c.number("share", 0.3)
	d.maxDelay = micros.FromMillis(c.number("max-delay-ms", 300))
	d.fixed = c.HasArg("fixed-delay")
	d.node = c.integer("node", allNodes)
	c.revertLater(func() { d.share = 0 })
}

// responseDelayCommands delay responses of the key-value store or of other controllers.
var responseDelayCommands = commandTable{
	"delay-kv-responses":   silent(func(c *command) { c.sim.kvFaults.kvResponseDelay.configure(c) }),
	"delay-peer-responses": silent(func(c *command) { c.sim.kvFaults.peerResponseDelay.configure(c) }),
}

// applyResponseDelayFromEnv delays responses in any scenario: SCENARIO_UNEVEN=0.3 delays 30 % of the
// responses of the key-value store by up to 300 ms.
func (sim *simulation) applyResponseDelayFromEnv(t *testing.T) {
	text := os.Getenv("SCENARIO_UNEVEN")
	if text == "" {
		return
	}
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || share < 0 || share > 1 {
		t.Fatalf("SCENARIO_UNEVEN=%s: want a number from 0 to 1, the share of the responses to delay", text)
	}
	sim.kvFaults.kvResponseDelay.share, sim.kvFaults.kvResponseDelay.maxDelay = share, 300*micros.Millisecond
}
