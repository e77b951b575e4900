package reactor

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"tamarindlead/internal/httpwire"
	"tamarindlead/micros"
)

// Call is one outbound request.
type Call struct {
	Addr    string
	Method  string
	Target  string
	Body    []byte
	Timeout micros.Micros
	MaxBody int
}

// Result of a call. Status 0 means no response; Sent then tells whether the request
// may have reached the other side.
type Result struct {
	Status int
	Body   []byte
	Sent   bool
}

// Client makes calls over kept connections.
type Client struct {
	contentType string
	// maxIdlePerAddr is the number of idle connections kept for each address, and most that for all
	// addresses: hundreds of machines must not use up the sockets.
	maxIdlePerAddr int
	maxIdle        int

	mu    sync.Mutex
	idle  map[string][]idleConn
	count int      // of idle connections
	order []string // addresses of idle connections, the longest idle first; some are in use again
}

// idleConn is a kept connection and when it was last used.
type idleConn struct {
	conn  net.Conn
	since time.Time
}

// idleTimeout is how long a connection is kept without use; servers may drop older ones.
const idleTimeout = 20 * time.Second

// NewClient returns a client that keeps a few idle connections for each address, and so
// many in all.
func NewClient(contentType string, keep, most int) *Client {
	return &Client{contentType: contentType, maxIdlePerAddr: keep, maxIdle: most, idle: map[string][]idleConn{}}
}

// Do makes the call and returns by its deadline.
func (c *Client) Do(call Call) Result {
	deadline := time.Now().Add(call.Timeout.Duration())
	for {
		conn, kept := c.take(call.Addr)
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", call.Addr, time.Until(deadline)); err != nil {
				return Result{}
			}
		}
		res, stale := c.exchange(conn, call, deadline)
		if stale && kept && time.Now().Before(deadline) {
			// The other side had closed the kept connection before it read
			// anything: a fresh one may be tried.
			continue
		}
		return res
	}
}

// exchange sends the call on a connection and reads the response. It returns stale if the connection turned out to be closed before the
// request was written.
func (c *Client) exchange(conn net.Conn, call Call, deadline time.Time) (res Result, stale bool) {
	conn.SetDeadline(deadline)
	data := httpwire.AppendRequest(nil, httpwire.OutgoingRequest{
		Method: call.Method, Target: call.Target, Host: call.Addr, ContentType: c.contentType, Body: call.Body,
	})
	if n, err := conn.Write(data); err != nil {
		conn.Close()
		return Result{Sent: n > 0}, n == 0
	}
	buf := make([]byte, 0, 4096)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, len(buf))...)[:len(buf)]
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		eof := errors.Is(err, io.EOF)
		resp, used, perr := httpwire.ParseResponse(buf, call.MaxBody, eof)
		if perr == nil {
			if resp.Close || err != nil || used < len(buf) {
				conn.Close()
			} else {
				c.put(call.Addr, conn)
			}
			return Result{resp.Status, resp.Body, true}, false
		}
		if err != nil || !errors.Is(perr, httpwire.ErrIncomplete) {
			conn.Close()
			return Result{Sent: true}, false
		}
	}
}

// take returns a kept connection to an address, or nil.
func (c *Client) take(addr string) (net.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[addr]; len(list) > 0; list = c.idle[addr] {
		last := list[len(list)-1]
		c.idle[addr] = list[:len(list)-1]
		c.count--
		if time.Since(last.since) < idleTimeout {
			return last.conn, true
		}
		last.conn.Close()
	}
	delete(c.idle, addr)
	return nil, false
}

// put keeps a connection for the next call to its address.
func (c *Client) put(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.maxIdlePerAddr {
		conn.Close()
		return
	}
	for len(c.order) > 0 && c.count >= c.maxIdle {
		oldest := c.order[0]
		c.order = c.order[1:]
		if list := c.idle[oldest]; len(list) > 0 {
			list[0].conn.Close()
			c.idle[oldest] = list[1:]
			c.count--
		}
	}
	c.idle[addr] = append(c.idle[addr], idleConn{conn, time.Now()})
	c.count++
	c.order = append(c.order, addr)
	if len(c.order) > 4*c.maxIdle {
		c.sweep()
	}
}

// Sweep closes connections that were idle for too long, also those to addresses
// that are never called again.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep()
}

func (c *Client) sweep() {
	c.count, c.order = 0, nil
	type put struct {
		addr  string
		since time.Time
	}
	var left []put
	for addr, list := range c.idle {
		var kept []idleConn
		for _, ic := range list {
			if time.Since(ic.since) < idleTimeout {
				kept = append(kept, ic)
			} else {
				ic.conn.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
		for _, ic := range kept {
			left = append(left, put{addr, ic.since})
		}
	}
	slices.SortFunc(left, func(a, b put) int { return a.since.Compare(b.since) })
	for _, p := range left {
		c.order = append(c.order, p.addr)
	}
	c.count = len(left)
}
