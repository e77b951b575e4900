// Package daemon runs a controller node: it connects the core of package controller, which
// does no I/O, to sockets and clocks. It runs the node's event loop, makes its outbound calls,
// divides its sockets and memory, and generates the random seed. It does not interpret requests
// or calls.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"tamarindlead/config"
	"tamarindlead/controller"
	"tamarindlead/internal/httpwire"
	"tamarindlead/internal/reactor"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Division of the node's sockets.
const (
	outboundFraction  = 0.25 // of all sockets: for outbound connections
	keepAliveFraction = 0.8  // of the inbound sockets: above it, workers reconnect for each heartbeat
	idleFraction      = 0.1  // of all sockets: for idle outbound connections
	minIdleConns      = 8
	maxIdlePerAddr    = 6
)

// Limits of inbound connections.
const (
	maxPeerBody           = 1 << 20 // body of a request from another controller
	idleTimeout           = 90 * micros.Second
	partialRequestTimeout = 10 * micros.Second
)

// memoryFraction is the fraction of the node's memory that the heap may use before the garbage
// collector runs more often; the rest is for stacks, code and the system.
const memoryFraction = 0.6

// Run runs a node until ctx is cancelled, and then returns nil. Calls that are in flight at that
// time are abandoned: a restarted node recovers from its records, regardless of the results of
// these calls.
func Run(ctx context.Context, cfg *config.Settings, log *slog.Logger) error {
	limitResources(cfg)
	n := newNode(cfg, log)
	served := make(chan error, 1)
	go func() { served <- reactor.Serve(ctx, n.serverOptions()) }()
	log.Info("started", "node", cfg.Node, "zone", cfg.Zone, "listen", cfg.Listen)
	n.runTicks(ctx)
	return <-served
}

// limitResources makes the Go runtime respect the node's quota.
func limitResources(cfg *config.Settings) {
	debug.SetMemoryLimit(int64(float64(cfg.MemoryBytes) * memoryFraction))
	if cfg.Cores <= 1 {
		// With at most one processor, waking threads to run goroutines in parallel only
		// costs time.
		runtime.GOMAXPROCS(1)
	}
}

func newNode(cfg *config.Settings, log *slog.Logger) *node {
	maxIdle := max(minIdleConns, int(idleFraction*float64(cfg.Sockets)))
	n := &node{
		cfg:     cfg,
		start:   time.Now(),
		client:  reactor.NewClient(wire.ContentType, maxIdlePerAddr, maxIdle),
		pending: map[uint64]*reactor.Exchange{},
		log:     log,
	}
	n.core = controller.New(cfg, randomSeed(), log, n.now(), n.wallClock())
	return n
}

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // documented never to return an error
	return binary.LittleEndian.Uint64(seed[:])
}

func (n *node) serverOptions() reactor.Options {
	inbound := n.cfg.Sockets - int(outboundFraction*float64(n.cfg.Sockets))
	return reactor.Options{
		Addrs:             []string{n.cfg.Listen, n.cfg.PeerListen},
		MaxConns:          inbound,
		MaxKeepAliveConns: int(keepAliveFraction * float64(inbound)),
		Evictable:         isHeartbeat,
		MaxBody:           n.maxBody,
		IdleTimeout:       idleTimeout,
		RequestTimeout:    partialRequestTimeout,
		Handle:            n.handleExchange,
		Log:               n.log,
	}
}

// isHeartbeat reports whether a request is a worker's heartbeat. There are many workers, and
// they reconnect by themselves, so their connections may be closed to accept others.
func isHeartbeat(req *httpwire.Request) bool { return req.Path == wire.PathHeartbeat }

// maxBody returns the maximum size of the body of a request to a listen address, in bytes.
func (n *node) maxBody(listenAddr string) int {
	if listenAddr == n.cfg.PeerListen {
		return maxPeerBody
	}
	return wire.MaxBody
}
