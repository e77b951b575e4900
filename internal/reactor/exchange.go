package reactor

import (
	"net/http"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tamarindlead/internal/httpwire"
)

// Exchange is a request that waits for its response.
type Exchange struct {
	ListenAddr string // address on which the request was received
	Request    httpwire.Request
	conn       gnet.Conn
	state      *connState
	server     *server
}

// Loop is passed to code that runs on the event loop, where responses are written at once.
// From other goroutines the loop must be woken for each.
type Loop struct{}

// Reply writes the response and must be called exactly once. On the event loop it takes the
// Loop that Handle received; from any other goroutine loop must be nil. Whether the
// connection is closed afterwards is up to the server: it overwrites resp.Close.
func (e *Exchange) Reply(loop *Loop, resp httpwire.OutgoingResponse) {
	if e.shouldClose(resp.Status) {
		e.Request.Close = true
	}
	resp.Close = e.Request.Close
	data := httpwire.AppendResponse(nil, resp)
	if loop == nil {
		// AsyncWrite fails only if the loop can't be woken; the connection then ends by the
		// idle timeout.
		_ = e.conn.AsyncWrite(data, func(_ gnet.Conn, err error) error {
			e.finish(err)
			return nil
		})
		return
	}
	if e.state.closed {
		return
	}
	_, err := e.conn.Write(data)
	e.finish(err)
}

// shouldClose reports whether an evictable connection is to be closed with the response to
// make room: a client that is not served goes elsewhere, and beyond MaxKeepAliveConns none is
// kept alive.
func (e *Exchange) shouldClose(status int) bool {
	return e.state.evictable &&
		(status != http.StatusOK || e.server.openConns.Load() > int64(e.server.opts.MaxKeepAliveConns))
}

// finish makes the connection ready for its next request after the response was written, or
// could not be written because of err. It runs on the event loop.
func (e *Exchange) finish(err error) {
	e.state.awaitingResponse, e.state.lastActive = false, time.Now()
	switch {
	case e.state.closed:
	case e.Request.Close || err != nil:
		e.state.closing = true
		if e.conn != e.server.current { // otherwise it is closed when Handle returns
			closeConn(e.conn)
		}
	case e.conn.InboundBuffered() > 0:
		// The next request has arrived already. Wake fails only if the loop can't be woken;
		// the request then waits for more input.
		_ = e.conn.Wake(nil)
	case e.state.evictable:
		e.server.trackIdle(e.conn, e.state)
	}
}
