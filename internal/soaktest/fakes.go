package soaktest

import (
	"net/url"
	"strconv"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// forwardTimeout limits how long a request from one controller to another is forwarded. It is longer
// than the controllers' own timeouts of such requests.
const forwardTimeout = 10 * time.Second

// stepInterval is the time between two steps of the fakes.
const stepInterval = 10 * time.Millisecond

func (h *harness) makeFakes() {
	limits := drawKVLimits(h.options.Seed)
	h.kvStore = fake.NewKVStore()
	h.kvStore.MaxOps, h.kvStore.MaxValueBytes = maxTransactionOps, maxValueBytes
	h.kvStore.RequestRate, h.kvStore.WriteRate = limits.requestRate, limits.writeRate
	h.kvStore.OnPut, h.kvStore.OnCommit = h.checker.recordWritten, h.checker.transactionCommitted

	h.fleet = fake.NewFleet(fake.FleetTimeouts{Lease: workerLease, GangPeerTimeout: gangPeerTimeout, GangWaitTimeout: gangWaitTimeout})
	h.fleet.Info, h.fleet.OnStart, h.fleet.OnExit = h.checker.taskInfo, h.checker.taskStarted, h.checker.taskExited
	h.fleet.OnDone = func(string) {}

	h.cloud = fake.NewCloud()
	h.cloud.Now, h.cloud.ListDelay = h.now(), listDelay
	h.cloud.Types = []wire.MachineType{machineType()}
	h.cloud.Endpoint = h.addWorker
}

// serveFakes starts the servers. Each controller reaches the key-value store, the cloud and its peers
// at its own addresses, so that its links can fail independently of those of other controllers.
func (h *harness) serveFakes() error {
	for i := range h.options.Controllers {
		name := controllerName(i)
		executeKV := func(r inboundRequest) callResult { return h.executeKV(name, r) }
		if err := h.serve(h.addrs.kvStore(i), h.links.kvStore[i], executeKV); err != nil {
			return err
		}
		if err := h.serve(h.addrs.cloud(i), h.links.cloud[i], h.executeCloud); err != nil {
			return err
		}
		for j := range h.options.Controllers {
			if i == j {
				continue
			}
			forward := func(r inboundRequest) callResult {
				return h.client.send(h.ctx, r.method, h.addrs.peers(j), r.target, r.body, forwardTimeout)
			}
			if err := h.serve(h.addrs.peer(i, j), h.links.peers[i][j], forward); err != nil {
				return err
			}
		}
	}
	return nil
}

func (h *harness) serve(addr string, l *link, execute func(inboundRequest) callResult) error {
	onListenError := func(err error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.checker.harnessFailed("%v", err)
	}
	return serve(h.ctx, addr, l, execute, onListenError)
}

// executeKV executes a request to the key-value store. A watch is retried until there are events or
// its timeout is over.
func (h *harness) executeKV(caller string, r inboundRequest) callResult {
	deadline := h.now() + watchTimeout(r.target)
	for {
		if response, ok := h.handleKV(caller, r, deadline); ok {
			return callResult{status: response.Status, body: response.Body}
		}
		select {
		case <-r.abandoned:
			return callResult{failure: failureTimeout}
		case <-time.After(stepInterval):
		}
	}
}

func (h *harness) handleKV(caller string, r inboundRequest, deadline micros.Micros) (response fake.Response, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.kvStore.Now = now
	return h.kvStore.Handle(caller, r.method, r.target, r.body, now >= deadline)
}

// watchTimeout returns how long a request to the key-value store waits for events: 0 unless it is a
// watch.
func watchTimeout(target string) micros.Micros {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return 0
	}
	ms, _ := strconv.ParseFloat(u.Query().Get("waitMs"), 64) // only watches have this parameter
	return micros.FromMillis(ms)
}

func (h *harness) executeCloud(r inboundRequest) callResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cloud.Now = h.now()
	response := h.cloud.Handle(r.method, r.target, r.body)
	h.checker.dropTerminatedMachines()
	return callResult{status: response.Status, body: response.Body}
}

// addMachines creates every second machine, and gives the cloud capacity to launch the others.
func (h *harness) addMachines() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.options.Machines {
		zone := zones[i%len(zones)]
		if i%2 == 0 {
			h.cloud.Add(machineTypeName, zone, false, 0)
			continue
		}
		h.cloud.Capacity[fake.CapacityKey(machineTypeName, zone, false)]++
	}
}

// runSteps advances the fakes until the run ends.
func (h *harness) runSteps() {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.step()
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *harness) step() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.checker.recordStall(h.lastStepAt, now)
	h.lastStepAt = now
	h.kvStore.Advance(now)
	h.cloud.Now = now
	h.bootMachines(now)
	for _, name := range h.fleet.WorkerNames() {
		h.stepWorker(h.fleet.Workers[name], now)
	}
	h.checker.checkContinuously()
}

// bootMachines starts the workers of machines that have booted.
func (h *harness) bootMachines(now micros.Micros) {
	for _, name := range h.cloud.MachineNames() {
		m := h.cloud.Machines[name]
		if m.Started || m.Gone || m.UpAt == 0 || now < m.UpAt {
			continue
		}
		m.Started = true
		h.fleet.Boot(m, *h.cloud.TypeOf(m.Type), h.rng.IntN(h.options.Controllers), now)
	}
}
