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

// Options are the options of a server.
type Options struct {
	// Addrs are the addresses to listen on.
	Addrs []string
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// MaxKeepAliveConns is the number of open connections above which evictable ones are closed
	// after their response, so that others can always connect.
	MaxKeepAliveConns int
	// Evictable reports for a connection's latest request whether the connection may be closed
	// to accept others.
	Evictable func(*httpwire.Request) bool
	// MaxBody returns the maximum size of the body of a request to a listen address, in bytes.
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

// Serve runs a server until ctx is cancelled, and then returns nil. It restarts a failed event
// loop, since one bad descriptor must not stop a controller.
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

// serveOnce runs one event loop until it fails or ctx is cancelled.
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

// server handles the events of gnet's loop. Its fields are used only on the loop's goroutine,
// except for opts, which is constant, and the atomic fields.
type server struct {
	gnet.BuiltinEventEngine
	opts  Options
	conns map[gnet.Conn]*connState
	// openConns is the size of conns, for other goroutines.
	openConns atomic.Int64
	// idle has the evictable connections that became idle, the longest idle first. Entries of
	// connections that have been used or closed since then are removed when they reach the front,
	// or when trackIdle compacts the list.
	idle []idleEvictable
	// current is the connection whose request is being handled.
	current gnet.Conn
	// engine is set by OnBoot, or by stop if it is called before OnBoot: another goroutine may
	// stop the server before the loop has started.
	engine atomic.Pointer[gnet.Engine]
	// loop is set when the first connection is opened, and read by gnet's goroutine for ticks.
	loop atomic.Pointer[gnet.EventLoop]
}

// stop stops the event loop, or prevents its start.
func (s *server) stop() {
	engine := s.engine.Swap(&gnet.Engine{})
	if engine == nil {
		return // OnBoot finds the empty engine and shuts down
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
