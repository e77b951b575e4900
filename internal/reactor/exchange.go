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

// Loop is passed to code that runs on the event loop, where responses are written directly.
// Other goroutines must wake the loop for each response.
type Loop struct{}

// Reply writes the response and must be called exactly once. On the event loop it takes the
// Loop that Handle received; on any other goroutine loop must be nil. The server decides whether
// the connection is closed afterwards, and overwrites resp.Close.
func (e *Exchange) Reply(loop *Loop, resp httpwire.OutgoingResponse) {
	if e.shouldClose(resp.Status) {
		e.Request.Close = true
	}
	resp.Close = e.Request.Close
	data := httpwire.AppendResponse(nil, resp)
	if loop == nil {
		// AsyncWrite fails only if the loop can't be woken; the connection is then closed by
		// the idle timeout.
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

// shouldClose reports whether the connection must be closed after the response because it is
// evictable. A client whose request was not served connects to another server, so its
// connection is closed, and no evictable connection is kept alive while more than
// MaxKeepAliveConns are open.
func (e *Exchange) shouldClose(status int) bool {
	return e.state.evictable &&
		(status != http.StatusOK || e.server.openConns.Load() > int64(e.server.opts.MaxKeepAliveConns))
}

// finish prepares the connection for its next request after the response was written, or closes
// it if it must not be reused. err is the error of writing the response. finish runs on the event
// loop.
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
