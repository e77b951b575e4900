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

type simulatedEvent struct {
	at  micros.Micros
	seq int
	run func()
}

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

// zonesPartitioned tells that a cut lies between two zones; "" is where state service, cloud and
// users are.
func (sim *simulation) zonesPartitioned(a, b string) bool {
	return sim.partitionedZone != "" && (a == sim.partitionedZone) != (b == sim.partitionedZone)
}

func (sim *simulation) after(d micros.Micros, do func()) {
	sim.eventSeq++
	heap.Push(&sim.events, simulatedEvent{sim.now + d, sim.eventSeq, do})
}

func (sim *simulation) randomLatency() micros.Micros {
	return micros.Millisecond + micros.Micros(sim.rng.Int64N(int64(4*micros.Millisecond)))
}

func (sim *simulation) handleEvent(node *simNode, ev Event) {
	if !node.up {
		return
	}
	life := node.incarnation
	effects := node.handle(sim, ev)
	if sim.onEffects != nil {
		sim.onEffects(node, ev, effects)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Respond:
			if answer := node.pending[e.ID]; answer != nil {
				delete(node.pending, e.ID)
				answer(e)
			}
		case Call:
			sim.startCall(node, life, e)
		}
	}
}

// sendRequest sends a request to a node and hands over its response; status 0: none.
func (sim *simulation) sendRequest(node *simNode, request Request, timeout micros.Micros, done func(Respond)) {
	answered := false
	finish := func(response Respond) {
		if !answered {
			answered = true
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
		life, came := node.incarnation, sim.now
		node.pending[request.ID] = func(response Respond) {
			sim.checkRefusal(request, response, sim.now-came)
			sim.after(sim.randomLatency(), func() {
				if !node.partitioned && (life == node.incarnation || response.Status == 0) {
					finish(response)
				}
			})
		}
		sim.handleEvent(node, request)
	})
	sim.after(timeout, func() { finish(Respond{}) })
}

func (sim *simulation) startCall(node *simNode, life int, c Call) {
	answered := false
	if node.openCalls++; node.openCalls > sim.cfg.Sockets/4 {
		sim.reportViolation("sockets: node %d has %d calls under way", node.index, node.openCalls)
	}
	finish := func(response fake.Response, sent bool) {
		if answered || node.incarnation != life {
			return
		}
		answered = true
		node.openCalls--
		sim.handleEvent(node, CallDone{ID: c.ID, Status: response.Status, Body: response.Body, Sent: sent})
	}
	sim.after(c.Timeout, func() { finish(fake.Response{}, true) })
	back := func(response fake.Response) {
		if sim.rng.Float64() < sim.lossRate {
			return
		}
		sim.after(sim.randomLatency(), func() {
			if !node.partitioned {
				finish(response, true)
			}
		})
	}
	execute := func(answer func(fake.Response)) { sim.executeCall(node, c, answer) }
	watch := strings.HasPrefix(c.Target, "/changes")
	sim.after(sim.randomLatency(), func() {
		p := sim.rng.Float64()
		switch {
		case node.partitioned && node.delaysOutbound:
			sim.afterPartition(node, func() { execute(func(fake.Response) {}) })
		case node.partitioned || p < sim.lossRate:
		case p < sim.lossRate+sim.lateRequestRate && !watch:
			delay := 2*micros.Second + micros.Micros(sim.rng.Int64N(int64(20*micros.Second)))
			sim.after(delay, func() { execute(func(fake.Response) {}) })
		case p < sim.lossRate+sim.lateRequestRate+sim.duplicateRequestRate && !watch:
			delay := 2*micros.Second + micros.Micros(sim.rng.Int64N(int64(20*micros.Second)))
			sim.after(delay, func() { execute(func(fake.Response) {}) })
			execute(back)
		default:
			execute(back)
		}
	})
}

// afterPartition does something once a node has its network back.
func (sim *simulation) afterPartition(node *simNode, do func()) {
	if node.partitioned {
		sim.after(simulationStep, func() { sim.afterPartition(node, do) })
		return
	}
	do()
}

func (sim *simulation) executeCall(node *simNode, call Call, answer func(fake.Response)) {
	peer := strings.HasPrefix(call.Addr, "peer:")
	if peer {
		i, _ := strconv.Atoi(strings.TrimPrefix(call.Addr, "peer:"))
		peer = node.onlyWorkersReachable || sim.nodes[i].onlyWorkersReachable || sim.dropPeerMessage(call, false) || sim.zonesPartitioned(sim.nodeZone(node.index), sim.nodeZone(i))
	}
	outside := call.Addr == sim.cfg.KVAddr || call.Addr == sim.cfg.CloudAddr
	switch {
	case peer, node.onlyWorkersReachable && call.Addr == sim.cfg.KVAddr, outside && sim.zonesPartitioned(sim.nodeZone(node.index), ""): // lost
	case call.Addr == sim.cfg.KVAddr:
		sim.afterCommitDelay(call, func() { sim.callKVStore(node, call, answer) })
	case call.Addr == sim.cfg.CloudAddr:
		sim.cloud.Now = sim.now
		answer(sim.cloud.Handle(call.Method, call.Target, call.Body))
		sim.forgetDeletedMachines()
	case strings.HasPrefix(call.Addr, "peer:"):
		i, _ := strconv.Atoi(strings.TrimPrefix(call.Addr, "peer:"))
		to := sim.nodes[i]
		sim.notifyPeerMessage(call.Body)
		answer = sim.kvFaults.peerResponseDelay.delayResponse(sim, node, answer)
		sim.sendRequest(to, Request{Peer: true, Method: call.Method, Path: call.Target, Body: call.Body}, call.Timeout, func(response Respond) {
			sim.notifyPeerMessage(response.Body)
			if response.Status != 0 && !sim.dropPeerMessage(call, true) {
				answer(fake.Response{Status: response.Status, Body: response.Body})
			}
		})
	default:
		worker := sim.workers[strings.TrimPrefix(call.Addr, "worker:")]
		if worker == nil || worker.Machine.Gone || worker.Partitioned || worker.InboundBlocked || node.workersUnreachable || sim.zonesPartitioned(sim.nodeZone(node.index), worker.Machine.Zone) {
			return
		}
		if worker.Hung { // it executes when it continues
			sim.after(simulationStep, func() { sim.executeCall(node, call, answer) })
			return
		}
		if answer = sim.delayCommand(call, answer); answer == nil {
			return
		}
		if call.Target == "/inspect" {
			answer(fake.Response{Status: 200, Body: wire.Encode(worker.BuildHeartbeat())})
			return
		}
		answer(worker.ExecuteDirect(sim.now, call.Body))
	}
}

func (sim *simulation) executeKV(node *simNode, call Call, since micros.Micros, answer func(fake.Response)) {
	wait := micros.Micros(0)
	if u, err := url.ParseRequestURI(call.Target); err == nil {
		ms, _ := strconv.ParseFloat(u.Query().Get("waitMs"), 64)
		wait = micros.FromMillis(ms)
	}
	sim.kvStore.Now = sim.now
	response, ok := sim.kvStore.Handle(nodeName(node.index), call.Method, call.Target, call.Body, sim.now-since >= wait)
	if ok {
		answer(response)
		return
	}
	sim.after(simulationStep, func() { sim.executeKV(node, call, since, answer) })
}
