package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"tamarindlead/config"
	"tamarindlead/internal/wire"
)

// testTimeout bounds every wait of a test; on an idle machine each takes milliseconds.
const testTimeout = 10 * time.Second

// testSettings are the settings of a node without siblings, as a format for the addresses.
const testSettings = `
node = "n0"
zone = "a"
listen = %q
cluster_listen = %q
[services]
cloud = %q
state = %q
[params]
count = 1
zones = ["a"]
time_bound_ms = 100.0
[[params.teams]]
name = "red"
[params.workers]
report_s = 0.5
lease_s = 10.0
gang_wait_s = 20.0
gang_peer_s = 5.0
cancel_s = 20.0
[params.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 5.0
list_lag_s = 2.0
[params.quota]
cores = 0.5
ram_mb = 200.0
sockets = 200
`

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

// startRecorder starts a key-value store that responds to all requests with 503 and sends the
// first request to a channel.
func startRecorder(t *testing.T) (addr string, requests <-chan *http.Request) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan *http.Request, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case received <- r:
		default: // the test needs only the first request
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = server.Serve(listener) }() // returns when the test closes the server
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), received
}

// startNode runs a node until the test ends and returns its settings.
func startNode(t *testing.T, kvAddr string) *config.Settings {
	t.Helper()
	// Run changes these for the whole process.
	processors, memoryLimit := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(processors)
		debug.SetMemoryLimit(memoryLimit)
	})
	text := fmt.Sprintf(testSettings, freeAddr(t), freeAddr(t), freeAddr(t), kvAddr)
	cfg, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Tuning = config.DefaultTuning()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, cfg, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("Run: %v", err)
			}
		case <-time.After(testTimeout):
			t.Error("Run does not return after its context has ended")
		}
	})
	return cfg
}

// roundTrip sends a request on a new connection and returns the response's status, and
// whether the connection is kept alive. It waits until something listens on the address.
func roundTrip(t *testing.T, addr, request string) (status int, keptAlive bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	conn, err := net.Dial("tcp4", addr)
	for ; err != nil && time.Now().Before(deadline); conn, err = net.Dial("tcp4", addr) {
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, !resp.Close
}

func post(size int) string {
	return fmt.Sprintf("POST /nowhere HTTP/1.1\r\nContent-Length: %d\r\n\r\n", size)
}

// TestRun checks that the core is connected to the sockets: the core responds to requests on both
// listeners, up to each listener's limit on bodies; the core's calls are sent; and Run returns
// after its context is cancelled.
func TestRun(t *testing.T) {
	kvAddr, kvRequests := startRecorder(t)
	cfg := startNode(t, kvAddr)
	tests := []struct {
		name, addr, request string
		want                int
		wantKeptAlive       bool // the core responded, not the HTTP parser, which closes the connection
	}{
		{"health", cfg.Listen, "GET /up HTTP/1.1\r\n\r\n", http.StatusOK, true},
		{"unknown path", cfg.Listen, "GET /nowhere HTTP/1.1\r\n\r\n", http.StatusNotFound, true},
		{"body over the limit", cfg.Listen, post(wire.MaxBody + 1), http.StatusRequestEntityTooLarge, false},
		{
			"peer's body of that size", cfg.PeerListen,
			post(wire.MaxBody+1) + strings.Repeat("x", wire.MaxBody+1), http.StatusBadRequest, true,
		},
		{"peer's body over the limit", cfg.PeerListen, post(maxPeerBody + 1), http.StatusRequestEntityTooLarge, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, keptAlive := roundTrip(t, tt.addr, tt.request)
			if got != tt.want || keptAlive != tt.wantKeptAlive {
				t.Errorf("status %d, kept alive %t, want %d, %t", got, keptAlive, tt.want, tt.wantKeptAlive)
			}
		})
	}
	select {
	case r := <-kvRequests:
		if r.Host != kvAddr {
			t.Errorf("the key-value store is called as %q, want %q", r.Host, kvAddr)
		}
	case <-time.After(testTimeout):
		t.Error("the key-value store is not called")
	}
}
