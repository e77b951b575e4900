package reactor

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"tamarindlead/internal/httpwire"
	"tamarindlead/micros"
)

// initialReadBuffer is the initial size of a read buffer. Most responses fit in it, so that it
// rarely grows.
const initialReadBuffer = 4 << 10

// ErrNotSent is wrapped by the errors of Client.Do if no byte of the request was sent.
var ErrNotSent = errors.New("reactor: request not sent")

// Call is one outbound request.
type Call struct {
	Addr    string
	Method  string
	Target  string
	Body    []byte
	Timeout micros.Micros
	MaxBody int // maximum size of the response's body, in bytes
}

// Client makes calls over reusable connections. It is safe for concurrent use.
type Client struct {
	contentType string
	idle        *idlePool
}

// NewClient returns a client that keeps at most maxIdlePerAddr idle connections for each
// address, and maxIdle for all addresses together.
func NewClient(contentType string, maxIdlePerAddr, maxIdle int) *Client {
	return &Client{contentType: contentType, idle: newIdlePool(maxIdlePerAddr, maxIdle)}
}

// Do makes the call and returns the response, or an error if there was none by the call's
// deadline. Unless the error wraps ErrNotSent, the request may have taken effect.
//
// Do takes no context: calls are never cancelled, and the deadline of the connection is
// sufficient, whereas a context would cost a timer and a watcher for each call.
func (c *Client) Do(call Call) (httpwire.Response, error) {
	deadline := time.Now().Add(call.Timeout.Duration())
	for {
		conn, reused, err := c.connect(call.Addr, deadline)
		if err != nil {
			return httpwire.Response{}, err
		}
		resp, err := c.exchange(conn, call, deadline)
		if reused && errors.Is(err, ErrNotSent) && time.Now().Before(deadline) {
			// The other side closed the connection while it was idle. Nothing was sent, so
			// another connection can be tried.
			continue
		}
		return resp, err
	}
}

// CloseExpired closes idle connections that have not been used for idleConnTimeout. It must be
// called regularly: otherwise connections to addresses that are not called again stay open.
func (c *Client) CloseExpired() { c.idle.closeExpired() }

// connect returns an idle connection to addr, or else a new one.
func (c *Client) connect(addr string, deadline time.Time) (conn net.Conn, reused bool, err error) {
	if conn, ok := c.idle.take(addr); ok {
		return conn, true, nil
	}
	conn, err = net.DialTimeout("tcp4", addr, time.Until(deadline))
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, false, nil
}

// exchange sends the call on a connection and reads the response. Afterwards the connection
// is either idle or closed.
func (c *Client) exchange(conn net.Conn, call Call, deadline time.Time) (httpwire.Response, error) {
	if err := c.send(conn, call, deadline); err != nil {
		discard(conn)
		return httpwire.Response{}, err
	}
	resp, err := receive(conn, call.MaxBody)
	if err != nil || resp.Close {
		discard(conn)
	} else {
		c.idle.put(call.Addr, conn)
	}
	return resp, err
}

// send writes the request and sets the deadline of the whole exchange.
func (c *Client) send(conn net.Conn, call Call, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	n, err := conn.Write(httpwire.AppendRequest(nil, httpwire.OutgoingRequest{
		Method:      call.Method,
		Target:      call.Target,
		Host:        call.Addr,
		ContentType: c.contentType,
		Body:        call.Body,
	}))
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("send request: %w", err)
	}
}

// receive reads the response. It also sets the response's Close if the connection has ended, or
// has received bytes after the response.
func receive(conn net.Conn, maxBody int) (httpwire.Response, error) {
	buf := make([]byte, 0, initialReadBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, len(buf))
		}
		n, readErr := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		resp, length, err := httpwire.ParseResponse(buf, maxBody, errors.Is(readErr, io.EOF))
		switch {
		case err == nil:
			resp.Close = resp.Close || readErr != nil || length < len(buf)
			return resp, nil
		case !errors.Is(err, httpwire.ErrIncomplete):
			return httpwire.Response{}, fmt.Errorf("receive response: %w", err)
		case readErr != nil:
			return httpwire.Response{}, fmt.Errorf("receive response: %w", readErr)
		}
	}
}

// discard closes a connection that is not used again. It ignores the error of Close, since the
// response has been read from the connection or has failed already.
func discard(conn net.Conn) { _ = conn.Close() }
