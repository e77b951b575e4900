// Package reactor serves HTTP connections on an event loop and makes outbound calls with
// deadlines. It does not interpret what is sent on them.
//
// The event loop is gnet's. The similar library evio ends its whole loop on any failed accept
// (a connection reset before it was accepted, no free descriptor); gnet retries the former,
// and MaxConns prevents the latter.
package reactor

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"tamarindlead/internal/httpwire"
	"tamarindlead/micros"
)

// Statuses that the server answers itself or looks at, and what it tells clients to wait, in
// seconds, if it has no connection left.
const (
	statusOK          = 200
	statusMalformed   = 400
	statusTooLarge    = 413
	statusUnavailable = 503
	retryAfter        = 1
)

// restartDelay is the pause before a failed event loop is started again.
const restartDelay = time.Second

// Exchange is one request that waits for its response.
type Exchange struct {
	Listener string // address of the listener that took it
	Request  httpwire.Request
	conn     gnet.Conn
	state    *connState
	server   *server
}

// Loop proves that its holder runs on the event loop, where responses are written at
// once. From elsewhere the loop must be woken for each.
type Loop struct{}

// Options of a server.
type Options struct {
	// Addrs are the addresses to listen on.
	Addrs []string
	// MaxConns is the largest number of open connections.
	MaxConns int
	// KeepConns is how many connections may be open before those that are evictable are
	// ended with the response, so that others never find all taken.
	KeepConns int
	// Evictable tells by a connection's request whether it may be ended in favour of others.
	Evictable func(*httpwire.Request) bool
	// MaxBody is the largest body of a request, by listener.
	MaxBody func(listener string) int
	// Idle is the time without a request after which a connection is closed, and Partial
	// the time within which a request must be complete.
	Idle    micros.Micros
	Partial micros.Micros
	// Handle takes a request on the event loop; it must not block, and Reply must follow
	// once. While it runs, the next requests wait in the kernel.
	Handle func(*Exchange, *Loop)
	Log    *slog.Logger
}

type connState struct {
	listener  string
	busy      bool // a request waits for its response
	evictable bool // its latest request was of those that may lose their connection
	closing   bool // no more requests are taken
	closed    bool // the connection has ended
	since     time.Time
	partial   bool
}

type server struct {
	gnet.BuiltinEventEngine
	opts    Options
	conns   map[gnet.Conn]*connState
	open    atomic.Int64    // how many these are, for other goroutines
	idle    []idleEvictable // the longest idle first; some are in use again, or gone
	current gnet.Conn       // the connection whose request is being handled
	eng     gnet.Engine
}

// idleEvictable is a connection that may be ended for another one, unless it was used since.
type idleEvictable struct {
	conn  gnet.Conn
	state *connState
	since time.Time
}

// Serve runs until ctx ends. Should the event loop fail, it is started again: a
// controller does not end because of one bad descriptor.
func Serve(ctx context.Context, opts Options) error {
	for {
		s := &server{opts: opts, conns: map[gnet.Conn]*connState{}}
		stop := context.AfterFunc(ctx, func() { s.eng.Stop(context.Background()) })
		addrs := make([]string, len(opts.Addrs))
		for i, a := range opts.Addrs {
			addrs[i] = "tcp4://" + a
		}
		err := gnet.Rotate(s, addrs,
			gnet.WithNumEventLoop(1),
			gnet.WithReuseAddr(true),
			gnet.WithTicker(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithReadBufferCap(16<<10),
			gnet.WithWriteBufferCap(16<<10),
			gnet.WithLogger(errorLogger{opts.Log}),
			gnet.WithLogLevel(logging.ErrorLevel))
		stop()
		if ctx.Err() != nil {
			return nil
		}
		opts.Log.Error("serving failed, starting again", "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}

// OnBoot implements gnet.EventHandler.
func (s *server) OnBoot(eng gnet.Engine) gnet.Action {
	s.eng = eng
	return gnet.None
}

// OnOpen implements gnet.EventHandler: it takes a connection, or refuses it if there are
// too many.
func (s *server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if len(s.conns) >= s.opts.MaxConns && !s.evictIdle() {
		return httpwire.AppendResponse(nil, httpwire.OutgoingResponse{Status: statusUnavailable, RetryAfter: retryAfter, Close: true}), gnet.Close
	}
	st := &connState{listener: c.LocalAddr().String(), since: time.Now()}
	s.conns[c] = st
	s.open.Store(int64(len(s.conns)))
	c.SetContext(st)
	return nil, gnet.None
}

// evictIdle ends the evictable connection that has been idle for the longest: many of them
// must not keep out users, other controllers and health checks.
func (s *server) evictIdle() bool {
	for len(s.idle) > 0 {
		i := s.idle[0]
		s.idle = s.idle[1:]
		if i.valid() {
			i.state.closing, i.state.closed = true, true
			delete(s.conns, i.conn)
			i.conn.Close()
			return true
		}
	}
	return false
}

// valid tells whether the connection is still open and was not used since it was noted.
func (i idleEvictable) valid() bool {
	return !i.state.closed && !i.state.busy && !i.state.partial && i.state.since.Equal(i.since)
}

// trackIdle notes that a connection which may be ended is idle.
func (s *server) trackIdle(c gnet.Conn, st *connState) {
	if len(s.idle) > 4*s.opts.MaxConns {
		s.idle = slices.DeleteFunc(s.idle, func(i idleEvictable) bool { return !i.valid() })
	}
	s.idle = append(s.idle, idleEvictable{c, st, st.since})
}

// OnClose implements gnet.EventHandler.
func (s *server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if st := s.conns[c]; st != nil {
		st.closed = true
	}
	delete(s.conns, c)
	s.open.Store(int64(len(s.conns)))
	return gnet.None
}

// OnTraffic implements gnet.EventHandler: it reads a request and has it handled.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	st, ok := c.Context().(*connState)
	if !ok || st.closing {
		c.Discard(-1)
		return gnet.None
	}
	if st.busy {
		if c.InboundBuffered() > 2*httpwire.MaxHead+s.opts.MaxBody(st.listener) {
			return gnet.Close // pipelining does not occur, so this client floods
		}
		return gnet.None
	}
	buf, _ := c.Peek(-1)
	if len(buf) == 0 {
		return gnet.None
	}
	req, n, err := httpwire.ParseRequest(buf, s.opts.MaxBody(st.listener))
	switch {
	case errors.Is(err, httpwire.ErrIncomplete):
		if !st.partial {
			st.partial, st.since = true, time.Now()
		}
		return gnet.None
	case err != nil:
		return rejectRequest(c, st, err)
	}
	c.Discard(n)
	return s.handle(c, st, req)
}

// rejectRequest answers what is no valid request and ends the connection.
func rejectRequest(c gnet.Conn, st *connState, err error) gnet.Action {
	status := statusMalformed
	if errors.Is(err, httpwire.ErrTooLarge) {
		status = statusTooLarge
	}
	c.Discard(-1)
	st.closing = true
	c.Write(httpwire.AppendResponse(nil, httpwire.OutgoingResponse{Status: status, Close: true}))
	return gnet.Close
}

// handle hands a request over and closes the connection if the response asked for that.
func (s *server) handle(c gnet.Conn, st *connState, req httpwire.Request) gnet.Action {
	st.busy, st.partial, st.since = true, false, time.Now()
	st.evictable = s.opts.Evictable(&req)
	s.current = c
	s.opts.Handle(&Exchange{Listener: st.listener, Request: req, conn: c, state: st, server: s}, &Loop{})
	s.current = nil
	if st.closing && !st.busy {
		return gnet.Close
	}
	return gnet.None
}

// OnTick implements gnet.EventHandler: it closes connections that are idle for too long.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	for c, st := range s.conns {
		limit := s.opts.Idle
		if st.partial {
			limit = s.opts.Partial
		}
		if now.Sub(st.since) > limit.Duration() {
			c.Close()
		}
	}
	return time.Second, gnet.None
}

// Reply answers an exchange, once. It may be called from any goroutine, with nil for
// loop, or on the event loop.
func (e *Exchange) Reply(loop *Loop, status int, contentType string, body []byte, retryAfter int) {
	if e.state.evictable && (status != statusOK || e.server.open.Load() > int64(e.server.opts.KeepConns)) {
		e.Request.Close = true
	}
	data := httpwire.AppendResponse(nil, httpwire.OutgoingResponse{
		Status: status, ContentType: contentType, Body: body, RetryAfter: retryAfter, Close: e.Request.Close,
	})
	if loop == nil {
		e.conn.AsyncWrite(data, func(c gnet.Conn, err error) error { return e.replied(err) })
		return
	}
	if e.state.closed {
		return
	}
	_, err := e.conn.Write(data)
	e.replied(err)
}

// replied makes the connection ready for its next request.
func (e *Exchange) replied(err error) error {
	e.state.busy, e.state.since = false, time.Now()
	switch {
	case e.state.closed:
		return nil
	case e.Request.Close || err != nil:
		e.state.closing = true
		if e.conn == e.server.current {
			return nil // it is closed once its request has been handled
		}
		return e.conn.Close()
	case e.conn.InboundBuffered() > 0:
		return e.conn.Wake(nil)
	case e.state.evictable:
		e.server.trackIdle(e.conn, e.state)
	}
	return nil
}

// errorLogger passes the library's errors to our log and drops the rest.
type errorLogger struct{ log *slog.Logger }

func (q errorLogger) Debugf(string, ...any) {}
func (q errorLogger) Infof(string, ...any)  {}
func (q errorLogger) Warnf(string, ...any)  {}
func (q errorLogger) Errorf(format string, args ...any) {
	q.log.Debug("event loop", "message", format, "args", args)
}
func (q errorLogger) Fatalf(format string, args ...any) {
	q.log.Error("event loop", "message", format, "args", args)
}
