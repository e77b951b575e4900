package reactor

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"tamarindlead/micros"
)

// startPeer accepts connections on a loopback address until the test ends and handles each
// of them in a goroutine.
func startPeer(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// respond reads one request and writes a response, and reports whether both succeeded.
func respond(conn net.Conn, response string) bool {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	_, err = io.WriteString(conn, response)
	return err == nil
}

const noContent = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func newCall(addr string) Call {
	return Call{Addr: addr, Method: "GET", Target: "/", Timeout: 5 * micros.Second, MaxBody: 64}
}

func TestClientReusesConnections(t *testing.T) {
	accepted := make(chan struct{}, 10)
	addr := startPeer(t, func(conn net.Conn) {
		accepted <- struct{}{}
		for respond(conn, noContent) {
		}
	})
	client := NewClient("text/plain", 2, 2)
	for i := range 3 {
		if resp, err := client.Do(newCall(addr)); err != nil || resp.Status != 200 {
			t.Fatalf("call %d: status %d, %v", i, resp.Status, err)
		}
	}
	if n := len(accepted); n != 1 {
		t.Errorf("%d connections for 3 calls, want 1", n)
	}
}

func TestClientDoesNotReuseClosingConnections(t *testing.T) {
	tests := []struct{ name, response string }{
		{"announced", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		{"bytes after the response", noContent + "x"},
		{"body until the end", "HTTP/1.1 200 OK\r\n\r\nhi"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := startPeer(t, func(conn net.Conn) { respond(conn, tt.response) })
			client := NewClient("text/plain", 2, 2)
			resp, err := client.Do(newCall(addr))
			if err != nil || resp.Status != 200 {
				t.Fatalf("status %d, %v", resp.Status, err)
			}
			if client.idle.total != 0 {
				t.Error("the connection is kept for reuse")
			}
		})
	}
}

// refusingAddr returns a loopback address that refuses connections until the test ends. A socket
// is bound to it, so that no server of the same test gets the address. With a free address to
// which no socket was bound, this happened in 10 of 40,000 runs ("is ErrNotSent: false, want
// true: receive response: EOF").
func refusingAddr(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// TestClientErrors checks that ErrNotSent is returned only if the request can't have taken
// effect.
func TestClientErrors(t *testing.T) {
	responder := func(response string) string {
		return startPeer(t, func(conn net.Conn) { respond(conn, response) })
	}
	unresponsive := startPeer(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	tests := []struct {
		name    string
		addr    string
		timeout micros.Micros
		notSent bool
	}{
		{"nothing listens", refusingAddr(t), 5 * micros.Second, true},
		{"closed without a response", responder(""), 5 * micros.Second, false},
		{"incomplete response", responder("HTTP/1.1 200 OK\r\n"), 5 * micros.Second, false},
		{"malformed response", responder("HTTP/2.0 200 OK\r\n\r\n"), 5 * micros.Second, false},
		{"deadline", unresponsive, 200 * micros.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			call := newCall(tt.addr)
			call.Timeout = tt.timeout
			resp, err := NewClient("text/plain", 2, 2).Do(call)
			if err == nil {
				t.Fatalf("status %d, want an error", resp.Status)
			}
			if got := errors.Is(err, ErrNotSent); got != tt.notSent {
				t.Errorf("is ErrNotSent: %t, want %t: %v", got, tt.notSent, err)
			}
		})
	}
}

func TestIdlePoolLimits(t *testing.T) {
	pool := newIdlePool(2, 3)
	put := func(addr string) net.Conn {
		conn, peer := net.Pipe()
		t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
		pool.put(addr, conn)
		return conn
	}
	oldest := put("a")
	second := put("a")
	third := put("a") // beyond the limit for an address
	put("b")
	put("c") // beyond the limit for all
	for _, tt := range []struct {
		name       string
		conn       net.Conn
		wantClosed bool
	}{{"oldest", oldest, true}, {"second", second, false}, {"third", third, true}} {
		if got := isClosed(tt.conn); got != tt.wantClosed {
			t.Errorf("%s connection closed: %t, want %t", tt.name, got, tt.wantClosed)
		}
	}
	if got, ok := pool.take("a"); !ok || got != second {
		t.Error("the second connection can't be taken")
	}
	if _, ok := pool.take("a"); ok {
		t.Error("a closed connection is taken")
	}
}

func TestIdlePoolExpiry(t *testing.T) {
	pool := newIdlePool(2, 3)
	conn, peer := net.Pipe()
	t.Cleanup(func() { _ = peer.Close() })
	pool.put("a", conn)
	pool.byAddr["a"][0].since = time.Now().Add(-idleConnTimeout)
	pool.closeExpired()
	if !isClosed(conn) || pool.total != 0 || len(pool.order) != 0 {
		t.Errorf("closed %t, %d connections, order %q", isClosed(conn), pool.total, pool.order)
	}
}

// isClosed reports whether this end of a pipe was closed.
func isClosed(conn net.Conn) bool {
	return errors.Is(conn.SetDeadline(time.Now()), io.ErrClosedPipe)
}
