package reactor

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"tamarindlead/internal/httpwire"
	"tamarindlead/micros"
)

const (
	// restartDelay is the pause before a failed event loop is started again.
	restartDelay = time.Second
	// tickInterval is how often the timeouts of connections are checked.
	tickInterval = time.Second
	// connBufferCap is the capacity of a connection's buffers, inbound and outbound.
	connBufferCap = 16 << 10
)

// Options of a server.
type Options struct {
	// Addrs are the addresses to listen on.
	Addrs []string
	// MaxConns is the largest number of open connections.
	MaxConns int
	// MaxKeepAliveConns is how many connections may be open before evictable ones are closed
	// with their response, so that there is always room for others.
	MaxKeepAliveConns int
	// Evictable reports, by a connection's latest request, whether the connection may be
	// closed in favour of others.
	Evictable func(*httpwire.Request) bool
	// MaxBody returns the largest body of a request to a listen address.
	MaxBody func(listenAddr string) int
	// IdleTimeout is the time without a request after which a connection is closed.
	IdleTimeout micros.Micros
	// RequestTimeout is the time from the first byte of a request within which it must be
	// complete.
	RequestTimeout micros.Micros
	// Handle receives each request on the event loop; it must not block, and Reply must be
	// called exactly once for the exchange, during Handle or later. While Handle runs,
	// further requests wait in the kernel.
	Handle func(*Exchange, *Loop)
	// Log receives the errors of the event loop.
	Log *slog.Logger
}

// Serve runs a server until ctx ends, and returns nil then. A failed event loop is started
// again: one bad descriptor must not end a controller.
func Serve(ctx context.Context, opts Options) error {
	for {
		err := serveOnce(ctx, opts)
		if ctx.Err() != nil {
			return nil
		}
		opts.Log.Error("event loop failed, restarting", "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}

// serveOnce runs one event loop until it fails or ctx ends.
func serveOnce(ctx context.Context, opts Options) error {
	s := &server{opts: opts, conns: map[gnet.Conn]*connState{}}
	unregister := context.AfterFunc(ctx, s.stop)
	defer unregister()
	addrs := make([]string, len(opts.Addrs))
	for i, addr := range opts.Addrs {
		addrs[i] = "tcp4://" + addr
	}
	return gnet.Rotate(s, addrs,
		gnet.WithNumEventLoop(1),
		gnet.WithReuseAddr(true),
		gnet.WithTicker(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(connBufferCap),
		gnet.WithWriteBufferCap(connBufferCap),
		gnet.WithLogger(errorLogger{opts.Log}),
		gnet.WithLogLevel(logging.ErrorLevel))
}

// server handles the events of gnet's loop. Its fields belong to the loop's goroutine, but
// for those that are atomic.
type server struct {
	gnet.BuiltinEventEngine
	opts  Options
	conns map[gnet.Conn]*connState
	// openConns is the size of conns, for other goroutines.
	openConns atomic.Int64
	// idle has the evictable connections that became idle, the longest idle first. Those that
	// were used since, or closed, stay until they are reached or compacted.
	idle []idleEvictable
	// current is the connection whose request is being handled.
	current gnet.Conn
	// engine is set by OnBoot or by stop, whichever is first: another goroutine may stop the
	// server before the loop has started.
	engine atomic.Pointer[gnet.Engine]
	// loop is set with the first connection and read by gnet's goroutine for ticks.
	loop atomic.Pointer[gnet.EventLoop]
}

// stop ends the event loop, or keeps it from being started.
func (s *server) stop() {
	engine := s.engine.Swap(&gnet.Engine{})
	if engine == nil {
		return // OnBoot sees the empty engine
	}
	// Without a deadline Stop fails only if the loop has stopped by itself.
	_ = engine.Stop(context.Background())
}

// OnBoot implements gnet.EventHandler.
func (s *server) OnBoot(engine gnet.Engine) gnet.Action {
	if !s.engine.CompareAndSwap(nil, &engine) {
		return gnet.Shutdown // stopped already
	}
	return gnet.None
}

// errorLogger passes gnet's errors on to the program's log and drops the rest.
type errorLogger struct{ log *slog.Logger }

func (l errorLogger) Debugf(string, ...any) {}
func (l errorLogger) Infof(string, ...any)  {}
func (l errorLogger) Warnf(string, ...any)  {}

// Errorf logs at the debug level, because gnet reports every connection that a peer resets
// as an error.
func (l errorLogger) Errorf(format string, args ...any) {
	l.log.Debug("event loop error", "message", format, "args", args)
}

func (l errorLogger) Fatalf(format string, args ...any) {
	l.log.Error("event loop failed", "message", format, "args", args)
}
