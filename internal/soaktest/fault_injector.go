package soaktest

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// faultCheckInterval is the time between two checks whether a fault is due to begin or to end.
	faultCheckInterval = 20 * time.Millisecond
	// maxControllerDraws limits how often a controller is drawn until one is neither killed nor frozen.
	maxControllerDraws = 10
)

// meanFaultIntervals are the possible mean times between two faults. Each run draws one of them: with
// few faults, responses arrive quickly and requests race with each other; with many, the faults overlap.
var meanFaultIntervals = []time.Duration{1500 * time.Millisecond, 4 * time.Second, 10 * time.Second}

// faultInjector injects faults. Only the goroutine of runFaults uses it.
type faultInjector struct {
	harness     *harness
	rng         *rand.Rand
	unavailable map[int]bool // controllers that are killed or frozen
	active      []activeFault
}

// activeFault is an injected fault that has not been undone yet.
type activeFault struct {
	name   string
	endsAt time.Time
	undo   func()
}

// runFaults injects faults until the context load ends, and then undoes the active ones.
func (h *harness) runFaults(load context.Context) {
	f := &faultInjector{harness: h, rng: newRandom(h.options.Seed, streamFaults), unavailable: map[int]bool{}}
	f.startBackgroundFaults()
	meanInterval := meanFaultIntervals[f.rng.IntN(len(meanFaultIntervals))]
	next := time.Now().Add(f.drawDuration(1, 3))
	for sleep(load, faultCheckInterval) {
		now := time.Now()
		f.endExpired(now)
		if now.After(next) {
			next = now.Add(time.Duration(f.rng.ExpFloat64() * float64(meanInterval)))
			f.inject(now)
		}
	}
	for _, a := range f.active {
		a.undo()
	}
	h.endBackgroundFaults()
}

// inject draws a type of fault and injects it, unless faultType.inject reports false.
func (f *faultInjector) inject(now time.Time) {
	drawn := faultTypes[f.rng.IntN(len(faultTypes))]
	injected, ok := drawn.inject(f)
	if !ok {
		return
	}
	name := drawn.name + " " + injected.target
	f.harness.progress("fault: %s for %v", name, injected.duration.Round(time.Millisecond))
	f.harness.countFault()
	f.active = append(f.active, activeFault{name, now.Add(injected.duration), injected.undo})
}

func (h *harness) countFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checker.stats.Faults++
}

// endExpired undoes the faults whose duration is over.
func (f *faultInjector) endExpired(now time.Time) {
	var remaining []activeFault
	for _, a := range f.active {
		if now.Before(a.endsAt) {
			remaining = append(remaining, a)
			continue
		}
		f.harness.progress("end: %s", a.name)
		a.undo()
	}
	f.active = remaining
}

// drawDuration draws a duration between two numbers of seconds.
func (f *faultInjector) drawDuration(from, to float64) time.Duration {
	return time.Duration((from + f.rng.Float64()*(to-from)) * float64(time.Second))
}

// drawProbability draws a probability below limit.
func (f *faultInjector) drawProbability(limit float64) float64 { return limit * f.rng.Float64() }

// drawController draws a controller that is neither killed nor frozen. It reports false if it finds
// none within maxControllerDraws draws.
func (f *faultInjector) drawController() (int, bool) {
	for range maxControllerDraws {
		if i := f.rng.IntN(len(f.harness.controllers)); !f.unavailable[i] {
			return i, true
		}
	}
	return 0, false
}

// backgroundFaults are the faults that are active during the whole time in which faults are injected.
type backgroundFaults struct {
	kvDelay, peerDelay              float64 // probabilities that a response is delayed
	maxKVDelay, maxPeerDelay        time.Duration
	loss, requestDelay, duplication float64 // probabilities, as in linkConditions
	duplicateHeartbeat              float64 // probability that a heartbeat is duplicated
}

// drawBackgroundFaults draws the background faults of a run.
func (f *faultInjector) drawBackgroundFaults() backgroundFaults {
	var b backgroundFaults
	b.kvDelay = 0.15 + f.drawProbability(0.35)
	b.maxKVDelay = f.drawDuration(0.1, 0.5)
	b.peerDelay = f.drawProbability(0.3)
	b.maxPeerDelay = f.drawDuration(0.02, 0.2)
	b.loss = f.drawProbability(0.01)
	b.requestDelay = f.drawProbability(0.01)
	b.duplication = f.drawProbability(0.02)
	b.duplicateHeartbeat = f.drawProbability(0.1)
	return b
}

// startBackgroundFaults sets the probabilities with which responses are delayed or lost, requests are
// delayed or duplicated, and heartbeats are duplicated.
func (f *faultInjector) startBackgroundFaults() {
	h, b := f.harness, f.drawBackgroundFaults()
	h.progress("background: %.0f%% of the key-value store's responses delayed by up to %v, %.0f%% of the responses between controllers by up to %v",
		100*b.kvDelay, b.maxKVDelay.Round(time.Millisecond), 100*b.peerDelay, b.maxPeerDelay.Round(time.Millisecond))
	for _, l := range h.links.kvStore {
		l.update(func(c *linkConditions) { b.apply(c, b.kvDelay, b.maxKVDelay) })
	}
	for _, l := range h.links.users {
		l.update(func(c *linkConditions) { c.responseLossProbability, c.requestDelayProbability = b.loss, b.requestDelay })
	}
	for _, peers := range h.links.peers {
		for _, l := range peers {
			l.update(func(c *linkConditions) { b.apply(c, b.peerDelay, b.maxPeerDelay) })
		}
	}
	h.setDuplicateMessages(b.duplicateHeartbeat, true)
}

// apply sets the conditions of a link between controllers or to the key-value store.
func (b *backgroundFaults) apply(c *linkConditions, delay float64, maxResponseDelay time.Duration) {
	c.responseDelayProbability, c.maxResponseDelay = delay, maxResponseDelay
	c.responseLossProbability, c.requestDelayProbability, c.duplicateProbability = b.loss, b.requestDelay, b.duplication
}

// endBackgroundFaults removes the faults of all links and the copies of heartbeats and commands.
func (h *harness) endBackgroundFaults() {
	for _, l := range h.links.all() {
		l.update(func(c *linkConditions) { *c = linkConditions{} })
	}
	h.setDuplicateMessages(0, false)
}

// setDuplicateMessages sets the probability that a heartbeat is duplicated, and whether copies of
// answered commands are drawn.
func (h *harness) setDuplicateMessages(heartbeatProbability float64, lateCommands bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.duplicateHeartbeatProbability = heartbeatProbability
	h.lateCommands.active = lateCommands
}
