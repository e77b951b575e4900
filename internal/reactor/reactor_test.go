package reactor

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"tamarindlead/internal/httpwire"
	"tamarindlead/micros"
)

// TestManyConnections guards against workers that take all connections: beyond a bound each is told
// to connect anew, and when all are taken an idle one is ended for a user.
func TestManyConnections(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	const keep, most = 5, 8
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() {
		served <- Serve(ctx, Options{
			Addrs: []string{addr}, MaxConns: most, KeepConns: keep,
			Evictable: func(r *httpwire.Request) bool { return r.Path == "/report" },
			MaxBody:   func(string) int { return 1024 },
			Idle:      micros.Minute, Partial: micros.Minute,
			Handle: func(x *Exchange, loop *Loop) { x.Reply(loop, 200, "text/plain", []byte("ok"), 0) },
			Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
	}()
	defer func() { stop(); <-served }()
	connect := func() net.Conn {
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			c, err := net.Dial("tcp4", addr)
			if err == nil {
				c.SetDeadline(time.Now().Add(10 * time.Second))
				return c
			}
			if time.Now().After(end) {
				t.Fatal(err)
			}
		}
	}
	// ask tells the status, and whether the connection stays.
	ask := func(c net.Conn, path string) (int, bool) {
		io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, !resp.Close
	}
	for i := range keep {
		if status, stays := ask(connect(), "/report"); status != 200 || !stays {
			t.Fatalf("report %d: %d, stays %t", i, status, stays)
		}
	}
	for range 3 * most { // each ends with its answer, so there is room for the next
		c := connect()
		if status, stays := ask(c, "/report"); status != 200 || stays {
			t.Fatalf("report beyond the bound: %d, stays %t", status, stays)
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("the connection was not ended: %v", err)
		}
	}
	// Users take the place of idle reports, up to the last; then there is no room.
	for i := range most {
		if status, stays := ask(connect(), "/jobs"); status != 200 || !stays {
			t.Fatalf("user %d: %d, stays %t", i, status, stays)
		}
	}
	if status, _ := ask(connect(), "/jobs"); status != 503 {
		t.Fatalf("beyond all connections: %d", status)
	}
}
