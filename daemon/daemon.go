// Package daemon runs a controller node: it feeds requests, results and the time to
// the core, and carries out the effects that the core returns.
package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"log/slog"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"tamarindlead/config"
	"tamarindlead/controller"
	"tamarindlead/internal/httpwire"
	"tamarindlead/internal/reactor"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Sizes of the stages before and after the core.
const (
	outboundFraction      = 0.25    // of the sockets, for outbound connections
	keepAliveFraction     = 0.8     // of the others: with more, workers connect anew for each report
	idleFraction          = 0.1     // of the sockets, for those of them that idle
	maxPeerBody           = 1 << 20 // bodies from other controllers
	idleTimeout           = 90 * micros.Second
	partialRequestTimeout = 10 * micros.Second
	maxIdlePerAddr        = 6 // outbound connections kept for each address
)

// memoryFraction is the part of the node's memory that the heap may use before the
// collector works harder; the rest is for stacks, code and the system.
const memoryFraction = 0.6

// node feeds the core with one event at a time, from whatever goroutine it comes: requests
// on the event loop, so that most are answered without waking another thread.
type node struct {
	cfg    *config.Settings
	log    *slog.Logger
	client *reactor.Client
	start  time.Time

	mu      sync.Mutex
	core    *controller.Core
	pending map[uint64]*reactor.Exchange
	nextID  uint64
}

// Run serves until ctx ends.
func Run(ctx context.Context, cfg *config.Settings, log *slog.Logger) error {
	debug.SetMemoryLimit(int64(float64(cfg.MemoryBytes) * memoryFraction))
	if cfg.Cores <= 1 {
		// With at most one processor, waking threads to run goroutines side by side
		// only costs time.
		runtime.GOMAXPROCS(1)
	}
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return err
	}
	n := &node{
		cfg: cfg, log: log, start: time.Now(),
		client:  reactor.NewClient(wire.ContentType, maxIdlePerAddr, max(8, int(idleFraction*float64(cfg.Sockets)))),
		pending: map[uint64]*reactor.Exchange{},
	}
	n.core = controller.New(cfg, binary.LittleEndian.Uint64(seed[:]), log, n.now(), n.wallClock())
	served := make(chan error, 1)
	inbound := cfg.Sockets - int(outboundFraction*float64(cfg.Sockets))
	go func() {
		served <- reactor.Serve(ctx, reactor.Options{
			Addrs:     []string{cfg.Listen, cfg.PeerListen},
			MaxConns:  inbound,
			KeepConns: int(keepAliveFraction * float64(inbound)),
			Evictable: func(r *httpwire.Request) bool { return r.Path == wire.PathHeartbeat },
			MaxBody:   n.maxBody,
			Idle:      idleTimeout, Partial: partialRequestTimeout,
			Handle: n.handleExchange, Log: log,
		})
	}()
	log.Info("started", "node", cfg.Node, "zone", cfg.Zone, "listen", cfg.Listen)
	n.runTicks(ctx)
	return <-served
}

// now is the steady clock. Its start is a day before this process, so that zero
// always means never.
func (n *node) now() micros.Micros {
	return 24*micros.Hour + micros.FromDuration(time.Since(n.start))
}

// wallClock is the time of day.
func (n *node) wallClock() micros.Micros { return micros.Micros(time.Now().UnixMicro()) }

// maxBody is the largest body that a listener takes.
func (n *node) maxBody(listener string) int {
	if listener == n.cfg.PeerListen {
		return maxPeerBody
	}
	return wire.MaxBody
}

// handleExchange is called on the event loop and never waits.
func (n *node) handleExchange(x *reactor.Exchange, loop *reactor.Loop) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextID++
	n.pending[n.nextID] = x
	n.handle(loop, controller.Request{
		ID: n.nextID, Peer: x.Listener == n.cfg.PeerListen,
		Method: x.Request.Method, Path: x.Request.Path, Body: x.Request.Body,
	})
}

// runTicks passes the time to the core, as often as it asks for.
func (n *node) runTicks(ctx context.Context) {
	tick := time.NewTimer(0)
	defer tick.Stop()
	sweep := time.NewTicker(10 * time.Second)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n.mu.Lock()
			n.handle(nil, controller.Tick{})
			tick.Reset(n.core.TickInterval().Duration())
			n.mu.Unlock()
		case <-sweep.C:
			n.client.Sweep()
		}
	}
}

// handle lets the core handle an event and carries out what it returns. The caller holds
// the lock.
func (n *node) handle(loop *reactor.Loop, ev controller.Event) {
	for _, e := range n.core.Handle(n.now(), n.wallClock(), ev) {
		switch e := e.(type) {
		case controller.Call:
			go n.execute(e)
		case controller.Respond:
			if x := n.pending[e.ID]; x != nil {
				delete(n.pending, e.ID)
				x.Reply(loop, e.Status, wire.ContentType, e.Body, e.RetryAfter)
			}
		}
	}
}

// execute makes a call and feeds its result to the core.
func (n *node) execute(call controller.Call) {
	res := n.client.Do(reactor.Call{
		Addr: call.Addr, Method: call.Method, Target: call.Target, Body: call.Body,
		Timeout: call.Timeout, MaxBody: call.MaxBody + httpwire.MaxHead,
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handle(nil, controller.CallDone{ID: call.ID, Status: res.Status, Body: res.Body, Sent: res.Sent})
}
