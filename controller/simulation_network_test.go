package controller

import (
	"container/heap"
	"net/url"
	"strconv"
	"strings"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// simulatedEvent is a function that runs at a simulated time. Events at the same time run in the order
// of seq.
type simulatedEvent struct {
	at  micros.Micros
	seq int
	run func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(simulatedEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// zonesPartitioned reports whether two zones are partitioned from each other. "" stands for the
// location of the key-value store, the cloud and the users.
func (sim *simulation) zonesPartitioned(a, b string) bool {
	return sim.partitionedZone != "" && (a == sim.partitionedZone) != (b == sim.partitionedZone)
}

// after has do run when the duration d has passed.
func (sim *simulation) after(d micros.Micros, do func()) {
	sim.eventSeq++
	heap.Push(&sim.events, simulatedEvent{sim.now + d, sim.eventSeq, do})
}

func (sim *simulation) randomLatency() micros.Micros {
	return micros.Millisecond + micros.Micros(sim.rng.Int64N(int64(4*micros.Millisecond)))
}

// handleEvent passes an event to a node that is up, and executes the effects that the node returns.
func (sim *simulation) handleEvent(node *simNode, ev Event) {
	if !node.up {
		return
	}
	atIncarnation := node.incarnation
	effects := node.handle(sim, ev)
	if sim.onEffects != nil {
		sim.onEffects(node, ev, effects)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Respond:
			if respond := node.pending[e.ID]; respond != nil {
				delete(node.pending, e.ID)
				respond(e)
			}
		case Call:
			sim.startCall(node, atIncarnation, e)
		}
	}
}

// sendRequest sends a request to a node and calls done with the response. Its status is 0 if no
// response arrives before the timeout.
func (sim *simulation) sendRequest(node *simNode, request Request, timeout micros.Micros, done func(Respond)) {
	finished := false
	finish := func(response Respond) {
		if !finished {
			finished = true
			done(response)
		}
	}
	sim.after(sim.randomLatency(), func() {
		if !node.up || node.partitioned {
			sim.after(0, func() { finish(Respond{}) })
			return
		}
		node.nextID++
		request.ID = node.nextID
		atIncarnation, receivedAt := node.incarnation, sim.now
		node.pending[request.ID] = func(response Respond) {
			sim.checkRefusal(request, response, sim.now-receivedAt)
			sim.after(sim.randomLatency(), func() {
				if !node.partitioned && (atIncarnation == node.incarnation || response.Status == 0) {
					finish(response)
				}
			})
		}
		sim.handleEvent(node, request)
	})
	sim.after(timeout, func() { finish(Respond{}) })
}

// startCall simulates an outbound call of a node, from its request to its response or timeout.
func (sim *simulation) startCall(node *simNode, incarnation int, call Call) {
	if node.openCalls++; node.openCalls > sim.cfg.Sockets/4 {
		sim.reportViolation("sockets: node %d has %d open calls", node.index, node.openCalls)
	}
	finished := false
	finish := func(response fake.Response) {
		if finished || node.incarnation != incarnation {
			return
		}
		finished = true
		node.openCalls--
		sim.handleEvent(node, CallDone{ID: call.ID, Status: response.Status, Body: response.Body, Sent: true})
	}
	sim.after(call.Timeout, func() { finish(fake.Response{}) })
	respond := func(response fake.Response) {
		if sim.rng.Float64() < sim.lossRate {
			return
		}
		sim.after(sim.randomLatency(), func() {
			if !node.partitioned {
				finish(response)
			}
		})
	}
	sim.after(sim.randomLatency(), func() { sim.deliverCall(node, call, respond) })
}

// deliverCall executes a call at its target, unless the network loses, delays or duplicates it.
func (sim *simulation) deliverCall(node *simNode, call Call, respond func(fake.Response)) {
	executeUnanswered := func() { sim.executeCall(node, call, func(fake.Response) {}) }
	executeDelayed := func() {
		delay := 2*micros.Second + micros.Micros(sim.rng.Int64N(int64(20*micros.Second)))
		sim.after(delay, executeUnanswered)
	}
	watch := strings.HasPrefix(call.Target, "/changes")
	p := sim.rng.Float64()
	switch {
	case node.partitioned && node.delaysOutbound:
		sim.afterPartition(node, executeUnanswered)
	case node.partitioned || p < sim.lossRate:
	case p < sim.lossRate+sim.delayedRequestRate && !watch:
		executeDelayed()
	case p < sim.lossRate+sim.delayedRequestRate+sim.duplicateRequestRate && !watch:
		executeDelayed()
		sim.executeCall(node, call, respond)
	default:
		sim.executeCall(node, call, respond)
	}
}

// afterPartition calls do when a node is no longer partitioned.
func (sim *simulation) afterPartition(node *simNode, do func()) {
	if node.partitioned {
		sim.after(simulationStep, func() { sim.afterPartition(node, do) })
		return
	}
	do()
}

// Addresses of controllers and workers start with these prefixes.
const (
	peerAddrPrefix   = "peer:"
	workerAddrPrefix = "worker:"
)

// executeCall executes a call at its target, unless a fault makes the target unreachable.
func (sim *simulation) executeCall(node *simNode, call Call, respond func(fake.Response)) {
	switch {
	case strings.HasPrefix(call.Addr, peerAddrPrefix):
		sim.executePeerCall(node, call, respond)
	case call.Addr == sim.cfg.KVAddr:
		if !node.onlyWorkersReachable && !sim.zonesPartitioned(sim.nodeZone(node.index), "") {
			sim.afterCommitDelay(call, func() { sim.callKVStore(node, call, respond) })
		}
	case call.Addr == sim.cfg.CloudAddr:
		if !node.cloudUnreachable && !sim.zonesPartitioned(sim.nodeZone(node.index), "") {
			sim.cloud.Now = sim.now
			respond(sim.cloud.Handle(call.Method, call.Target, call.Body))
			sim.forgetDeletedMachines()
		}
	default:
		sim.executeWorkerCall(node, call, respond)
	}
}

// executePeerCall delivers a call to another controller.
func (sim *simulation) executePeerCall(node *simNode, call Call, respond func(fake.Response)) {
	i, err := strconv.Atoi(strings.TrimPrefix(call.Addr, peerAddrPrefix))
	if err != nil {
		panic(err) // start creates these addresses
	}
	peer := sim.nodes[i]
	if node.onlyWorkersReachable || peer.onlyWorkersReachable || sim.dropPeerMessage(call, false) ||
		sim.zonesPartitioned(sim.nodeZone(node.index), sim.nodeZone(i)) {
		return
	}
	sim.notifyPeerMessage(call.Body)
	respond = sim.kvFaults.peerResponseDelay.delayResponse(sim, node, respond)
	request := Request{Peer: true, Method: call.Method, Path: call.Target, Body: call.Body}
	sim.sendRequest(peer, request, call.Timeout, func(response Respond) {
		sim.notifyPeerMessage(response.Body)
		if response.Status != 0 && !sim.dropPeerMessage(call, true) {
			respond(fake.Response{Status: response.Status, Body: response.Body})
		}
	})
}

// executeWorkerCall executes a direct command at a worker. A hung worker executes it when it resumes.
func (sim *simulation) executeWorkerCall(node *simNode, call Call, respond func(fake.Response)) {
	worker := sim.workers[strings.TrimPrefix(call.Addr, workerAddrPrefix)]
	if worker == nil || worker.Machine.Gone || worker.Partitioned || worker.InboundBlocked || node.workersUnreachable ||
		sim.zonesPartitioned(sim.nodeZone(node.index), worker.Machine.Zone) {
		return
	}
	if worker.Hung {
		sim.after(simulationStep, func() { sim.executeWorkerCall(node, call, respond) })
		return
	}
	if respond = sim.delayCommand(call, respond); respond != nil {
		response := sim.executeAtWorker(worker, call)
		respond(response)
		if node.productionCore == nil && call.Target == wire.PathCommands && response.Status == wire.StatusOK {
			sim.lateCommands.copyLater(sim, answeredCommand{worker, call})
		}
	}
}

// executeAtWorker returns a worker's response to a direct command.
func (sim *simulation) executeAtWorker(worker *fake.Worker, call Call) fake.Response {
	if call.Target == "/inspect" {
		return fake.Response{Status: 200, Body: wire.Encode(worker.BuildHeartbeat())}
	}
	return worker.ExecuteDirect(sim.now, call.Body)
}

// executeKV executes a call at the key-value store. A watch gets its response when there are changes, or
// when the waiting time that it requests has passed since the time since.
func (sim *simulation) executeKV(node *simNode, call Call, since micros.Micros, respond func(fake.Response)) {
	sim.kvStore.Now = sim.now
	waited := sim.now-since >= sim.watchTimeout(call)
	response, ok := sim.kvStore.Handle(nodeName(node.index), call.Method, call.Target, call.Body, waited)
	if ok {
		respond(response)
		return
	}
	sim.after(simulationStep, func() { sim.executeKV(node, call, since, respond) })
}

// watchTimeout returns how long a call may wait for changes, or 0 if it is not a watch.
func (sim *simulation) watchTimeout(call Call) micros.Micros {
	target, err := url.ParseRequestURI(call.Target)
	if err != nil {
		sim.reportViolation("call: target %q: %v", call.Target, err)
		return 0
	}
	text := target.Query().Get("waitMs")
	if text == "" {
		return 0
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil {
		sim.reportViolation("call: waitMs=%q: %v", text, err)
	}
	return micros.FromMillis(ms)
}
