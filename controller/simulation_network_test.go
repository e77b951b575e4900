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

type delivery struct {
	at  micros.Micros
	seq int
	do  func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }

func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}

func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }

func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// parted tells that a cut lies between two zones; "" is where state service, cloud and
// users are.
func (w *world) parted(a, b string) bool {
	return w.dark != "" && (a == w.dark) != (b == w.dark)
}

func (w *world) after(d micros.Micros, do func()) {
	w.seq++
	heap.Push(&w.queue, delivery{w.now + d, w.seq, do})
}

func (w *world) latency() micros.Micros {
	return micros.Millisecond + micros.Micros(w.rng.Int64N(int64(4*micros.Millisecond)))
}

func (w *world) feed(n *simNode, ev Event) {
	if !n.up {
		return
	}
	life := n.life
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

// ask sends a request to a node and hands over its response; status 0: none.
func (w *world) ask(n *simNode, r Request, timeout micros.Micros, done func(Respond)) {
	answered := false
	finish := func(resp Respond) {
		if !answered {
			answered = true
			done(resp)
		}
	}
	w.after(w.latency(), func() {
		if !n.up || n.cut {
			w.after(0, func() { finish(Respond{}) })
			return
		}
		n.nextID++
		r.ID = n.nextID
		life, came := n.life, w.now
		n.pending[r.ID] = func(resp Respond) {
			w.checkRefusal(r, resp, w.now-came)
			w.after(w.latency(), func() {
				if !n.cut && (life == n.life || resp.Status == 0) {
					finish(resp)
				}
			})
		}
		w.feed(n, r)
	})
	w.after(timeout, func() { finish(Respond{}) })
}

func (w *world) call(n *simNode, life int, c Call) {
	answered := false
	if n.open++; n.open > w.cfg.Sockets/4 {
		w.breakRule("sockets: node %d has %d calls under way", n.index, n.open)
	}
	finish := func(r fake.Response, sent bool) {
		if answered || n.life != life {
			return
		}
		answered = true
		n.open--
		w.feed(n, CallDone{ID: c.ID, Status: r.Status, Body: r.Body, Sent: sent})
	}
	w.after(c.Timeout, func() { finish(fake.Response{}, true) })
	back := func(r fake.Response) {
		if w.rng.Float64() < w.loss {
			return
		}
		w.after(w.latency(), func() {
			if !n.cut {
				finish(r, true)
			}
		})
	}
	execute := func(answer func(fake.Response)) { w.execute(n, c, answer) }
	watch := strings.HasPrefix(c.Target, "/changes")
	w.after(w.latency(), func() {
		p := w.rng.Float64()
		switch {
		case n.cut && n.hold:
			w.whenWhole(n, func() { execute(func(fake.Response) {}) })
		case n.cut || p < w.loss:
		case p < w.loss+w.late && !watch:
			delay := 2*micros.Second + micros.Micros(w.rng.Int64N(int64(20*micros.Second)))
			w.after(delay, func() { execute(func(fake.Response) {}) })
		case p < w.loss+w.late+w.dup && !watch:
			delay := 2*micros.Second + micros.Micros(w.rng.Int64N(int64(20*micros.Second)))
			w.after(delay, func() { execute(func(fake.Response) {}) })
			execute(back)
		default:
			execute(back)
		}
	})
}

// whenWhole does something once a node has its network back.
func (w *world) whenWhole(n *simNode, do func()) {
	if n.cut {
		w.after(worldStep, func() { w.whenWhole(n, do) })
		return
	}
	do()
}

func (w *world) execute(n *simNode, c Call, answer func(fake.Response)) {
	peer := strings.HasPrefix(c.Addr, "peer:")
	if peer {
		i, _ := strconv.Atoi(strings.TrimPrefix(c.Addr, "peer:"))
		peer = n.alone || w.nodes[i].alone || w.peerLost(c, false) || w.parted(w.nodeZone(n.index), w.nodeZone(i))
	}
	outside := c.Addr == w.cfg.KVAddr || c.Addr == w.cfg.CloudAddr
	switch {
	case peer, n.alone && c.Addr == w.cfg.KVAddr, outside && w.parted(w.nodeZone(n.index), ""): // lost
	case c.Addr == w.cfg.KVAddr:
		w.afterLag(c, func() { w.stateCall(n, c, answer) })
	case c.Addr == w.cfg.CloudAddr:
		w.cloud.Now = w.now
		answer(w.cloud.Handle(c.Method, c.Target, c.Body))
		w.noteGone()
	case strings.HasPrefix(c.Addr, "peer:"):
		i, _ := strconv.Atoi(strings.TrimPrefix(c.Addr, "peer:"))
		to := w.nodes[i]
		w.noteMessage(c.Body)
		answer = w.faults.unevenPeers.hold(w, n, answer)
		w.ask(to, Request{Peer: true, Method: c.Method, Path: c.Target, Body: c.Body}, c.Timeout, func(r Respond) {
			w.noteMessage(r.Body)
			if r.Status != 0 && !w.peerLost(c, true) {
				answer(fake.Response{Status: r.Status, Body: r.Body})
			}
		})
	default:
		k := w.workers[strings.TrimPrefix(c.Addr, "worker:")]
		if k == nil || k.Machine.Gone || k.Partitioned || k.InboundBlocked || n.deaf || w.parted(w.nodeZone(n.index), k.Machine.Zone) {
			return
		}
		if k.Hung { // it executes when it continues
			w.after(worldStep, func() { w.execute(n, c, answer) })
			return
		}
		if answer = w.heldUp(n, c, answer); answer == nil {
			return
		}
		if c.Target == "/inspect" {
			answer(fake.Response{Status: 200, Body: wire.Encode(k.BuildHeartbeat())})
			return
		}
		answer(k.ExecuteDirect(w.now, c.Body))
	}
}

func (w *world) executeState(n *simNode, c Call, since micros.Micros, answer func(fake.Response)) {
	wait := micros.Micros(0)
	if u, err := url.ParseRequestURI(c.Target); err == nil {
		ms, _ := strconv.ParseFloat(u.Query().Get("waitMs"), 64)
		wait = micros.FromMillis(ms)
	}
	w.state.Now = w.now
	r, ok := w.state.Handle(nodeName(n.index), c.Method, c.Target, c.Body, w.now-since >= wait)
	if ok {
		answer(r)
		return
	}
	w.after(worldStep, func() { w.executeState(n, c, since, answer) })
}
