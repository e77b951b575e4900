package reactor

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tamarindlead/internal/httpwire"
)

// rejectedRetryAfter is the Retry-After header, in seconds, of the response to a client whose
// connection is refused.
const rejectedRetryAfter = 1

// connState is the server's state of an open connection. It is changed only on the event loop.
type connState struct {
	listenAddr       string
	awaitingResponse bool // a request has been passed to Handle and has no response yet
	partialRequest   bool // the buffer holds the beginning of a request
	evictable        bool // the result of Options.Evictable for the latest request
	closing          bool // no further requests are accepted
	closed           bool
	// lastActive is the time of the latest of these events: the connection was opened, a request
	// began, a request became complete, a response was written.
	lastActive time.Time
}

// idleEvictable is a connection that may be closed to accept another one, unless it was used
// after idleSince.
type idleEvictable struct {
	conn      gnet.Conn
	state     *connState
	idleSince time.Time
}

// stillIdle reports whether the connection is open and was not used after idleSince.
func (e idleEvictable) stillIdle() bool {
	return !e.state.closed && !e.state.awaitingResponse && !e.state.partialRequest &&
		e.state.lastActive.Equal(e.idleSince)
}

// OnOpen implements gnet.EventHandler. It accepts a connection, or refuses it with a response
// if there are too many.
func (s *server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if len(s.conns) >= s.opts.MaxConns && !s.evictLongestIdle() {
		return httpwire.AppendResponse(nil, httpwire.OutgoingResponse{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: rejectedRetryAfter,
			Close:      true,
		}), gnet.Close
	}
	state := &connState{listenAddr: conn.LocalAddr().String(), lastActive: time.Now()}
	s.conns[conn] = state
	s.openConns.Store(int64(len(s.conns)))
	conn.SetContext(state)
	if s.loop.Load() == nil {
		loop := conn.EventLoop()
		s.loop.Store(&loop)
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if state := s.conns[conn]; state != nil {
		state.closed = true
	}
	delete(s.conns, conn)
	s.openConns.Store(int64(len(s.conns)))
	return gnet.None
}

// OnTick implements gnet.EventHandler. gnet calls it on a separate goroutine, so it schedules
// the check of the timeouts on the event loop.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	if loop := s.loop.Load(); loop != nil {
		// Execute fails only if the loop ends or can't be woken; the next tick tries again.
		_ = (*loop).Execute(context.Background(), gnet.RunnableFunc(s.closeTimedOut))
	}
	return tickInterval, gnet.None
}

// closeTimedOut closes connections that exceed a timeout.
func (s *server) closeTimedOut(context.Context) error {
	now := time.Now()
	for conn, state := range s.conns {
		timeout := s.opts.IdleTimeout
		if state.partialRequest {
			timeout = s.opts.RequestTimeout
		}
		if now.Sub(state.lastActive) > timeout.Duration() {
			closeConn(conn)
		}
	}
	return nil
}

// OnTraffic implements gnet.EventHandler. It parses a request and passes it to Handle.
func (s *server) OnTraffic(conn gnet.Conn) gnet.Action {
	state, ok := conn.Context().(*connState)
	if !ok || state.closing {
		discardInput(conn, allInput)
		return gnet.None
	}
	if state.awaitingResponse {
		if conn.InboundBuffered() > 2*httpwire.MaxHead+s.opts.MaxBody(state.listenAddr) {
			return gnet.Close // clients never pipeline requests, so this one misbehaves
		}
		return gnet.None
	}
	buf, _ := conn.Peek(allInput) // fails only if a specific number of bytes is requested
	if len(buf) == 0 {
		return gnet.None
	}
	req, length, err := httpwire.ParseRequest(buf, s.opts.MaxBody(state.listenAddr))
	switch {
	case errors.Is(err, httpwire.ErrIncomplete):
		if !state.partialRequest {
			state.partialRequest, state.lastActive = true, time.Now()
		}
		return gnet.None
	case err != nil:
		return rejectRequest(conn, state, err)
	}
	discardInput(conn, length)
	return s.handle(conn, state, req)
}

// rejectRequest responds to an invalid request and closes the connection.
func rejectRequest(conn gnet.Conn, state *connState, err error) gnet.Action {
	status := http.StatusBadRequest
	if errors.Is(err, httpwire.ErrTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	discardInput(conn, allInput)
	state.closing = true
	// The connection is closed in any case, so an error of Write changes nothing.
	_, _ = conn.Write(httpwire.AppendResponse(nil, httpwire.OutgoingResponse{Status: status, Close: true}))
	return gnet.Close
}

// handle passes a request to Handle and closes the connection if Handle wrote a response after
// which it must be closed.
func (s *server) handle(conn gnet.Conn, state *connState, req httpwire.Request) gnet.Action {
	state.awaitingResponse, state.partialRequest, state.lastActive = true, false, time.Now()
	state.evictable = s.opts.Evictable(&req)
	s.current = conn
	s.opts.Handle(&Exchange{ListenAddr: state.listenAddr, Request: req, conn: conn, state: state, server: s}, &Loop{})
	s.current = nil
	if state.closing && !state.awaitingResponse {
		return gnet.Close
	}
	return gnet.None
}

// evictLongestIdle closes the evictable connection that has been idle for the longest time, and
// reports whether there was one. The many connections of workers must not prevent connections of
// users, other controllers and health checks.
func (s *server) evictLongestIdle() bool {
	for len(s.idle) > 0 {
		candidate := s.idle[0]
		s.idle = s.idle[1:]
		if candidate.stillIdle() {
			candidate.state.closing, candidate.state.closed = true, true
			delete(s.conns, candidate.conn)
			closeConn(candidate.conn)
			return true
		}
	}
	return false
}

// trackIdle records that an evictable connection has become idle.
func (s *server) trackIdle(conn gnet.Conn, state *connState) {
	if len(s.idle) > 4*s.opts.MaxConns {
		s.idle = slices.DeleteFunc(s.idle, func(e idleEvictable) bool { return !e.stillIdle() })
	}
	s.idle = append(s.idle, idleEvictable{conn, state, state.lastActive})
}

// allInput selects all buffered bytes of a connection.
const allInput = -1

// discardInput drops the first n buffered bytes of a connection.
func discardInput(conn gnet.Conn, n int) {
	_, _ = conn.Discard(n) // never fails
}

// closeConn closes a connection after the current event.
func closeConn(conn gnet.Conn) {
	// Close fails only if the loop can't be woken because its descriptor for wake-ups is broken;
	// then no other call could close the connection either.
	_ = conn.Close()
}
