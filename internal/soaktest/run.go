package soaktest

import (
	"context"
	"fmt"
	"time"

	"tamarindlead/internal/wire"
)

const (
	// warmUp is the time without faults at the start. For 12 s after its start, a controller does not
	// acknowledge cancellations.
	warmUp = 13 * time.Second
	// readyTimeout limits the time until the first controller accepts requests.
	readyTimeout = time.Minute
	// healthTimeout limits a request for a controller's health.
	healthTimeout = time.Second
	// waitPollInterval is the time between two checks of a condition that a run waits for.
	waitPollInterval = 500 * time.Millisecond
)

// Result is the result of a run.
type Result struct {
	Violations        []Violation
	DroppedViolations int // further violations, which were only counted
	Stats             Stats
}

// Run executes a run. It returns an error only if the run could not be executed: violations are part
// of the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	h, err := newHarness(runCtx, o)
	if err != nil {
		return nil, err
	}
	defer h.killAll()
	if err := h.start(); err != nil {
		return nil, err
	}
	if err := h.runLoad(); err != nil {
		return nil, err
	}
	h.waitForJobs()
	stop()
	h.killAll()
	return h.result(), nil
}

// start starts the machines and the controllers, and waits until a controller accepts requests.
func (h *harness) start() error {
	h.addMachines()
	go h.runSteps()
	for _, c := range h.controllers {
		if err := c.start(); err != nil {
			return err
		}
	}
	return h.waitReady()
}

func (h *harness) killAll() {
	for _, c := range h.controllers {
		c.kill()
	}
}

// waitReady waits until a controller accepts requests.
func (h *harness) waitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		for i := range h.controllers {
			if h.client.send(h.ctx, "GET", h.addrs.users(i), wire.PathHealth, nil, healthTimeout).status == wire.StatusOK {
				return nil
			}
		}
		if !h.sleep(waitPollInterval) {
			return h.ctx.Err()
		}
	}
	return fmt.Errorf("no controller accepted requests within %v", readyTimeout)
}

// runLoad submits jobs, and injects faults after the warm-up.
func (h *harness) runLoad() error {
	load, cancel := context.WithTimeout(h.ctx, warmUp+h.options.Duration)
	defer cancel()
	go h.submitJobs(load)
	if !h.sleep(warmUp) {
		return h.ctx.Err()
	}
	if h.options.NoFaults {
		<-load.Done()
	} else {
		h.runFaults(load)
	}
	h.progress("faults ended")
	return nil
}

// waitForJobs waits until all accepted jobs have ended, for at most the settle timeout.
func (h *harness) waitForJobs() {
	h.mu.Lock()
	h.checker.faultsEndedAt = h.now()
	h.mu.Unlock()
	for deadline := time.Now().Add(h.options.SettleTimeout); time.Now().Before(deadline); {
		if h.unfinishedJobs() == 0 || !h.sleep(waitPollInterval) {
			return
		}
	}
}

func (h *harness) unfinishedJobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checker.countUnfinishedJobs()
}

// result performs the final checks and returns the result.
func (h *harness) result() *Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.checker
	c.stats.Unfinished = c.countUnfinishedJobs()
	c.checkUnansweredJobs()
	c.checkLinearizability()
	c.checkLogs()
	return &Result{Violations: c.violations, DroppedViolations: c.droppedViolations, Stats: c.stats}
}
