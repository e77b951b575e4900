package soaktest

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// lateCommandProbability is the probability that a copy of an answered command arrives later.
	lateCommandProbability = 0.3
	// minLateCommandDelay and maxLateCommandDelay bound the delay of the copy. The upper bound is
	// four leases of a worker.
	minLateCommandDelay = 50 * time.Millisecond
	maxLateCommandDelay = 40 * time.Second
)

// lateCommands draws the copies of direct commands that arrive at their worker once more, after it
// has executed and answered them. The harness's mutex guards it.
type lateCommands struct {
	active bool
	rng    *rand.Rand
}

// draw draws whether a copy of a command arrives later, and its delay. The delays are distributed evenly
// on a logarithmic scale.
func (l *lateCommands) draw() (delay time.Duration, drawn bool) {
	if !l.active || l.rng.Float64() >= lateCommandProbability {
		return 0, false
	}
	spread := math.Log(float64(maxLateCommandDelay) / float64(minLateCommandDelay))
	return time.Duration(float64(minLateCommandDelay) * math.Exp(spread*l.rng.Float64())), true
}

// copyLater may have a copy of an answered command executed later. The caller holds the harness's mutex.
func (h *harness) copyLater(machine string, r inboundRequest) {
	delay, drawn := h.lateCommands.draw()
	if !drawn {
		return
	}
	go sendAfter(h.ctx, delay, func() callResult {
		h.executeCopy(machine, r)
		return callResult{}
	})
}

// executeCopy executes a copy of an answered command, unless its worker is unreachable. No copy may
// start a task.
func (h *harness) executeCopy(machine string, r inboundRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.fleet.Workers[machine]
	if w.Machine.Gone || w.Partitioned || w.InboundBlocked || w.Hung {
		return
	}
	stats := &h.checker.stats
	before := stats.Starts
	w.ExecuteDirect(h.now(), r.body)
	stats.LateCommands++
	if started := stats.Starts - before; started > 0 {
		stats.LateCommandStarts += started
		h.checker.reportViolation(RuleLateCommand, "a copy of an answered command starts %d tasks on %s", started, machine)
	}
}
