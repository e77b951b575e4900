package reactor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tamarindlead/internal/httpwire"
	"tamarindlead/micros"
)

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return addr
}

// startServer serves on a loopback address until the test ends. For options that are not set,
// every request gets a response immediately, and limits and timeouts are too large to be reached.
func startServer(t *testing.T, opts Options) string {
	t.Helper()
	addr := freeAddr(t)
	opts.Addrs = []string{addr}
	opts.Log = slog.New(slog.DiscardHandler)
	if opts.MaxConns == 0 {
		opts.MaxConns, opts.MaxKeepAliveConns = 100, 100
	}
	if opts.Evictable == nil {
		opts.Evictable = func(*httpwire.Request) bool { return false }
	}
	opts.MaxBody = func(string) int { return 1024 }
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = micros.Minute
	}
	if opts.RequestTimeout == 0 {
		opts.RequestTimeout = micros.Minute
	}
	if opts.Handle == nil {
		opts.Handle = func(e *Exchange, loop *Loop) { e.Reply(loop, okResponse) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, opts) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return addr
}

var okResponse = httpwire.OutgoingResponse{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("ok")}

// dial connects to an address as soon as a server listens on it.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp4", addr)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			return conn
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// get makes a request and returns the status, and whether the connection is kept alive.
func get(t *testing.T, conn net.Conn, path string) (status int, keptAlive bool) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return resp.StatusCode, !resp.Close
}

func wantClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("connection is not closed: %v", err)
	}
}

// TestConnectionLimits guards against workers that occupy all connections. If more than
// MaxKeepAliveConns connections are open, those of workers are closed after their response. If
// MaxConns are open, an idle connection of a worker is closed to accept one of a user.
func TestConnectionLimits(t *testing.T) {
	const maxKeepAlive, maxConns = 5, 8
	addr := startServer(t, Options{
		MaxConns: maxConns, MaxKeepAliveConns: maxKeepAlive,
		Evictable: func(r *httpwire.Request) bool { return r.Path == "/report" },
	})
	for i := range maxKeepAlive {
		if status, keptAlive := get(t, dial(t, addr), "/report"); status != 200 || !keptAlive {
			t.Fatalf("heartbeat %d: status %d, kept alive %t", i, status, keptAlive)
		}
	}
	for range 3 * maxConns { // each is closed after its response, so that the next is accepted
		conn := dial(t, addr)
		if status, keptAlive := get(t, conn, "/report"); status != 200 || keptAlive {
			t.Fatalf("heartbeat beyond the limit: status %d, kept alive %t", status, keptAlive)
		}
		wantClosed(t, conn)
	}
	// Connections of users replace all idle ones of workers; after that a user is refused.
	for i := range maxConns {
		if status, keptAlive := get(t, dial(t, addr), "/jobs"); status != 200 || !keptAlive {
			t.Fatalf("user %d: status %d, kept alive %t", i, status, keptAlive)
		}
	}
	if status, _ := get(t, dial(t, addr), "/jobs"); status != 503 {
		t.Fatalf("status %d with the maximum number of connections, want 503", status)
	}
}

// TestReplyFromOtherGoroutine checks that a response may be written after Handle has returned,
// and that the connection then serves the next request, even if it arrived before the response.
func TestReplyFromOtherGoroutine(t *testing.T) {
	addr := startServer(t, Options{
		Handle: func(e *Exchange, _ *Loop) { go e.Reply(nil, okResponse) },
	})
	conn := dial(t, addr)
	if _, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	const want = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok" +
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	if string(got) != want {
		t.Errorf("received %q, want %q", got, want)
	}
}

// TestTimeouts checks that connections are closed when they are idle for too long, or when a
// request stays incomplete for too long. It takes at least tickInterval, the interval at which
// the timeouts are checked.
func TestTimeouts(t *testing.T) {
	const short = 50 * micros.Millisecond
	tests := []struct {
		name       string
		opts       Options
		input      string
		wantClosed bool
	}{
		{"idle", Options{IdleTimeout: short}, "", true},
		{"partial request", Options{RequestTimeout: short}, "GET / HT", true},
		{"partial request of an idle connection", Options{IdleTimeout: short}, "GET / HT", false},
		{"idle without a partial request", Options{RequestTimeout: short}, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, startServer(t, tt.opts))
			if _, err := io.WriteString(conn, tt.input); err != nil {
				t.Fatal(err)
			}
			if !tt.wantClosed { // otherwise the deadline set by dial leaves enough time on a busy machine
				if err := conn.SetDeadline(time.Now().Add(2 * tickInterval)); err != nil {
					t.Fatal(err)
				}
			}
			_, err := conn.Read(make([]byte, 1))
			if closed := errors.Is(err, io.EOF); closed != tt.wantClosed {
				t.Errorf("closed %t, want %t: %v", closed, tt.wantClosed, err)
			}
		})
	}
}

// TestStopBeforeStart checks that a server does not start if its context is cancelled before the
// loop has started.
func TestStopBeforeStart(t *testing.T) {
	s := &server{}
	s.stop()
	if got := s.OnBoot(gnet.Engine{}); got != gnet.Shutdown {
		t.Errorf("OnBoot returns %v after stop, want Shutdown", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 { // the order of the loop's start and the stop of the server varies
		served := make(chan error, 1)
		go func() {
			served <- Serve(ctx, Options{Addrs: []string{"127.0.0.1:0"}, Log: slog.New(slog.DiscardHandler)})
		}()
		select {
		case err := <-served:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("Serve does not return after its context has ended")
		}
	}
}

func TestInvalidRequests(t *testing.T) {
	addr := startServer(t, Options{})
	tests := []struct{ name, request, want string }{
		{
			"malformed", "GET / HTTP/2.0\r\n\r\n",
			"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		},
		{
			"too large", "POST / HTTP/1.1\r\nContent-Length: 1025\r\n\r\n",
			"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn := dial(t, addr)
			if _, err := io.WriteString(conn, tt.request); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != tt.want {
				t.Errorf("received %q, want %q", got, tt.want)
			}
		})
	}
}
