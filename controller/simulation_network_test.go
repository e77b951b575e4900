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

func (d eventQueue) Len() int { return len(d) }

func (d eventQueue) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}

func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *eventQueue) Push(x any) { *d = append(*d, x.(simulatedEvent)) }

func (d *eventQueue) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// partitioned tells that a cut lies between two zones; "" is where state service, cloud and
// users are.
func (w *simulation) partitioned(a, b string) bool {
	return w.partitionedZone != "" && (a == w.partitionedZone) != (b == w.partitionedZone)
}

func (w *simulation) after(d micros.Micros, do func()) {
	w.seq++
	heap.Push(&w.queue, simulatedEvent{w.now + d, w.seq, do})
}

func (w *simulation) latency() micros.Micros {
	return micros.Millisecond + micros.Micros(w.rng.Int64N(int64(4*micros.Millisecond)))
}

func (w *simulation) handleEvent(n *simNode, ev Event) {
	if !n.up {
		return
	}
	life := n.incarnation
	effects := n.handle(w, ev)
	if w.onEffects != nil {
		w.onEffects(n, ev, effects)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Respond:
			if answer := n.pending[e.ID]; answer != nil {
				delete(n.pending, e.ID)
				answer(e)
			}
		case Call:
			w.call(n, life, e)
		}
	}
}

// sendRequest sends a request to a node and hands over its response; status 0: none.
func (w *simulation) sendRequest(n *simNode, r Request, timeout micros.Micros, done func(Respond)) {
	answered := false
	finish := func(resp Respond) {
		if !answered {
			answered = true
			done(resp)
		}
	}
	w.after(w.latency(), func() {
		if !n.up || n.partitioned {
			w.after(0, func() { finish(Respond{}) })
			return
		}
		n.nextID++
		r.ID = n.nextID
		life, came := n.incarnation, w.now
		n.pending[r.ID] = func(resp Respond) {
			w.checkRefusal(r, resp, w.now-came)
			w.after(w.latency(), func() {
				if !n.partitioned && (life == n.incarnation || resp.Status == 0) {
					finish(resp)
				}
			})
		}
		w.handleEvent(n, r)
	})
	w.after(timeout, func() { finish(Respond{}) })
}

func (w *simulation) call(n *simNode, life int, c Call) {
	answered := false
	if n.openCalls++; n.openCalls > w.cfg.Sockets/4 {
		w.reportViolation("sockets: node %d has %d calls under way", n.index, n.openCalls)
	}
	finish := func(r fake.Response, sent bool) {
		if answered || n.incarnation != life {
			return
		}
		answered = true
		n.openCalls--
		w.handleEvent(n, CallDone{ID: c.ID, Status: r.Status, Body: r.Body, Sent: sent})
	}
	w.after(c.Timeout, func() { finish(fake.Response{}, true) })
	back := func(r fake.Response) {
		if w.rng.Float64() < w.lossRate {
			return
		}
		w.after(w.latency(), func() {
			if !n.partitioned {
				finish(r, true)
			}
		})
	}
	execute := func(answer func(fake.Response)) { w.execute(n, c, answer) }
	watch := strings.HasPrefix(c.Target, "/changes")
	w.after(w.latency(), func() {
		p := w.rng.Float64()
		switch {
		case n.partitioned && n.delaysOutbound:
			w.afterPartition(n, func() { execute(func(fake.Response) {}) })
		case n.partitioned || p < w.lossRate:
		case p < w.lossRate+w.lateRequestRate && !watch:
			delay := 2*micros.Second + micros.Micros(w.rng.Int64N(int64(20*micros.Second)))
			w.after(delay, func() { execute(func(fake.Response) {}) })
		case p < w.lossRate+w.lateRequestRate+w.duplicateRequestRate && !watch:
			delay := 2*micros.Second + micros.Micros(w.rng.Int64N(int64(20*micros.Second)))
			w.after(delay, func() { execute(func(fake.Response) {}) })
			execute(back)
		default:
			execute(back)
		}
	})
}

// afterPartition does something once a node has its network back.
func (w *simulation) afterPartition(n *simNode, do func()) {
	if n.partitioned {
		w.after(simulationStep, func() { w.afterPartition(n, do) })
		return
	}
	do()
}

func (w *simulation) execute(n *simNode, c Call, answer func(fake.Response)) {
	peer := strings.HasPrefix(c.Addr, "peer:")
	if peer {
		i, _ := strconv.Atoi(strings.TrimPrefix(c.Addr, "peer:"))
		peer = n.onlyWorkersReachable || w.nodes[i].onlyWorkersReachable || w.dropPeerMessage(c, false) || w.partitioned(w.nodeZone(n.index), w.nodeZone(i))
	}
	outside := c.Addr == w.cfg.KVAddr || c.Addr == w.cfg.CloudAddr
	switch {
	case peer, n.onlyWorkersReachable && c.Addr == w.cfg.KVAddr, outside && w.partitioned(w.nodeZone(n.index), ""): // lost
	case c.Addr == w.cfg.KVAddr:
		w.afterCommitDelay(c, func() { w.callKVStore(n, c, answer) })
	case c.Addr == w.cfg.CloudAddr:
		w.cloud.Now = w.now
		answer(w.cloud.Handle(c.Method, c.Target, c.Body))
		w.forgetDeletedMachines()
	case strings.HasPrefix(c.Addr, "peer:"):
		i, _ := strconv.Atoi(strings.TrimPrefix(c.Addr, "peer:"))
		to := w.nodes[i]
		w.recordPeerMessage(c.Body)
		answer = w.kvFaults.peerResponseDelay.delayResponse(w, n, answer)
		w.sendRequest(to, Request{Peer: true, Method: c.Method, Path: c.Target, Body: c.Body}, c.Timeout, func(r Respond) {
			w.recordPeerMessage(r.Body)
			if r.Status != 0 && !w.dropPeerMessage(c, true) {
				answer(fake.Response{Status: r.Status, Body: r.Body})
			}
		})
	default:
		k := w.workers[strings.TrimPrefix(c.Addr, "worker:")]
		if k == nil || k.Machine.Gone || k.Partitioned || k.InboundBlocked || n.workersUnreachable || w.partitioned(w.nodeZone(n.index), k.Machine.Zone) {
			return
		}
		if k.Hung { // it executes when it continues
			w.after(simulationStep, func() { w.execute(n, c, answer) })
			return
		}
		if answer = w.delayCommand(c, answer); answer == nil {
			return
		}
		if c.Target == "/inspect" {
			answer(fake.Response{Status: 200, Body: wire.Encode(k.BuildHeartbeat())})
			return
		}
		answer(k.ExecuteDirect(w.now, c.Body))
	}
}

func (w *simulation) executeKV(n *simNode, c Call, since micros.Micros, answer func(fake.Response)) {
	wait := micros.Micros(0)
	if u, err := url.ParseRequestURI(c.Target); err == nil {
		ms, _ := strconv.ParseFloat(u.Query().Get("waitMs"), 64)
		wait = micros.FromMillis(ms)
	}
	w.kvStore.Now = w.now
	r, ok := w.kvStore.Handle(nodeName(n.index), c.Method, c.Target, c.Body, w.now-since >= wait)
	if ok {
		answer(r)
		return
	}
	w.after(simulationStep, func() { w.executeKV(n, c, since, answer) })
}
