package soaktest

import (
	"context"
	"strconv"
	"strings"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// minDuplicateHeartbeatDelay is the shortest delay of a duplicate heartbeat. The longest delay
	// exceeds it by twice the worker's lease.
	minDuplicateHeartbeatDelay = 2 * time.Second
)

// addWorker starts the server of a new machine's worker and returns its address.
func (h *harness) addWorker(machine string) string {
	n, err := strconv.Atoi(strings.TrimPrefix(machine, "m-"))
	if err != nil {
		h.checker.harnessFailed("machine name %s: %v", machine, err)
	}
	addr := h.addrs.worker(n)
	l := newLink("commands to "+machine, h.options.Seed, streamLinks+workerPort+uint64(n))
	execute := func(r inboundRequest) callResult { return h.executeCommands(machine, r) }
	if err := h.serve(addr, l, execute); err != nil {
		h.checker.harnessFailed("worker of %s: %v", machine, err)
	}
	return addr
}

// executeCommands executes a direct request to a worker. A hung worker executes it when it resumes.
func (h *harness) executeCommands(machine string, r inboundRequest) callResult {
	for {
		result, state := h.tryCommands(machine, r)
		switch state {
		case workerResponsive:
			return result
		case workerUnreachable:
			<-r.abandoned
			return callResult{failure: failureTimeout}
		case workerHung:
		}
		if !h.sleep(stepInterval) {
			return callResult{failure: failureTimeout}
		}
	}
}

// workerState is the state of a worker as its clients can observe it.
type workerState int

// The states of a worker.
const (
	workerResponsive workerState = iota
	workerUnreachable
	workerHung
)

// tryCommands executes a direct request if the worker is responsive.
func (h *harness) tryCommands(machine string, r inboundRequest) (callResult, workerState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.fleet.Workers[machine]
	switch {
	case w == nil || w.Machine.Gone || w.Partitioned || w.InboundBlocked:
		return callResult{}, workerUnreachable
	case w.Hung:
		return callResult{}, workerHung
	case r.target == wire.PathInspect:
		return callResult{status: wire.StatusOK, body: wire.Encode(w.BuildHeartbeat())}, workerResponsive
	}
	response := w.ExecuteDirect(h.now(), r.body)
	if response.Status == wire.StatusOK {
		h.copyLater(machine, r)
	}
	return callResult{status: response.Status, body: response.Body}, workerResponsive
}

// stepWorker advances a worker's tasks, and sends a heartbeat if one is due.
func (h *harness) stepWorker(w *fake.Worker, now micros.Micros) {
	if w.Machine.Gone {
		return
	}
	w.Advance(now)
	if w.Partitioned || !w.HeartbeatDue(now) {
		return
	}
	w.HeartbeatSent(now, heartbeatInterval)
	sent := sentHeartbeat{controller: w.Controller, epoch: w.AgentEpoch, body: wire.Encode(w.BuildHeartbeat())}
	go h.exchangeHeartbeat(w, sent)
	if h.rng.Float64() < h.duplicateHeartbeatProbability {
		to := h.rng.IntN(h.options.Controllers)
		delay := minDuplicateHeartbeatDelay + time.Duration(h.rng.Int64N(int64(2*workerLease.Duration())))
		go sendAfter(h.ctx, delay, func() callResult { return h.sendHeartbeat(to, sent.body) })
	}
}

// sentHeartbeat is a heartbeat on its way to a controller.
type sentHeartbeat struct {
	controller int
	epoch      uint64
	body       []byte
}

// exchangeHeartbeat sends a worker's heartbeat and passes the response to the worker.
func (h *harness) exchangeHeartbeat(w *fake.Worker, sent sentHeartbeat) {
	result := h.sendOver(h.links.heartbeats[sent.controller], heartbeatTimeout, func() callResult {
		return h.sendHeartbeat(sent.controller, sent.body)
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.Machine.Gone {
		return
	}
	if w.Partitioned || w.Hung || w.InboundBlocked {
		result = callResult{}
	}
	w.HandleHeartbeatResponse(h.now(), result.status, result.body, sent.epoch, h.controllerIndex, h.options.Controllers)
}

// sendHeartbeat sends a heartbeat to a controller.
func (h *harness) sendHeartbeat(controller int, body []byte) callResult {
	return h.client.send(h.ctx, "POST", h.addrs.users(controller), wire.PathHeartbeat, body, heartbeatTimeout)
}

// sendOver sends a request of a user or worker over a link.
func (h *harness) sendOver(l *link, timeout time.Duration, send func() callResult) callResult {
	sender, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	return l.transmit(sender, h.ctx, send)
}
