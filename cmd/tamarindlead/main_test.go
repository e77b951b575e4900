package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestMain lets the test binary be the program itself.
func TestMain(m *testing.M) {
	if os.Getenv("TAMARINDLEAD_BE_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func program(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "TAMARINDLEAD_BE_PROGRAM=1", "LOG_LEVEL=error")
	return cmd
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func settings(t *testing.T, listen, state, cloud string) string {
	text := fmt.Sprintf(`
node = "n0"
zone = "a"
listen = "%s"
cluster_listen = "%s"
[services]
cloud = "%s"
state = "%s"
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
`, listen, freeAddr(t), cloud, state)
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func serve(t *testing.T, handle http.HandlerFunc) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: handle}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// TestProgram starts the real program on loopback against the stand-ins: it accepts a
// job, rents nothing it does not need, and keeps answering after bad input.
func TestProgram(t *testing.T) {
	var mu sync.Mutex
	state, cloud := fake.NewKVStore(), fake.NewCloud()
	start := time.Now()
	now := func() micros.Micros { return micros.FromDuration(time.Since(start)) }
	cloud.Types = []wire.MachineType{{Name: "small", CPUs: 8, MemGB: 32, HourlyPrice: 1, BootS: 1, Zones: []string{"a"}}}
	cloud.Capacity["small a false"] = 2
	stateAddr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		for since := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			mu.Lock()
			state.Advance(now())
			ans, ok := state.Handle("n0", r.Method, r.URL.RequestURI(), body, time.Since(since) > time.Second)
			mu.Unlock()
			if ok {
				w.WriteHeader(ans.Status)
				w.Write(ans.Body)
				return
			}
		}
	})
	cloudAddr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		cloud.Now = now()
		ans := cloud.Handle(r.Method, r.URL.RequestURI(), body)
		mu.Unlock()
		w.WriteHeader(ans.Status)
		w.Write(ans.Body)
	})
	listen := freeAddr(t)
	cmd := program("--config", settings(t, listen, stateAddr, cloudAddr))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	call := func(method, path string, body []byte) (int, []byte) {
		req, err := http.NewRequest(method, "http://"+listen+path, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, nil
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, data
	}
	waitFor(t, "the node to be up", func() bool { s, _ := call("GET", "/up", nil); return s == 200 })

	conn, err := net.Dial("tcp4", listen)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "POST /api/jobs HTTP/1.1\r\nContent-Length: 999999\r\n\r\n")
	answer, _ := io.ReadAll(conn)
	if !strings.HasPrefix(string(answer), "HTTP/1.1 413 ") {
		t.Fatalf("a body over the limit is answered %q", answer)
	}

	job := wire.Encode(map[string]any{
		"ref": "req-000001", "queue": "q", "desk": "red", "shape": "array", "urgency": "normal", "legs": 2,
		"cpus": 1.0, "cards": 0.0, "memGb": 1.0, "bundle": "i", "sizeGb": 0.1, "samePlace": false, "apart": false,
		"loaners": false, "expectS": 30.0, "snapshotS": 0.0, "stowS": 0.0,
	})
	waitFor(t, "the job to be accepted", func() bool { s, _ := call("POST", "/api/jobs", job); return s == 201 })
	for _, c := range []struct {
		method, path string
		body         []byte
		want         int
	}{
		{"POST", "/api/jobs", job, 200}, {"POST", "/api/jobs", []byte("{}"), 400}, {"GET", "/api/jobs/req-000001", nil, 200},
		{"GET", "/api/jobs/req-000002", nil, 404}, {"DELETE", "/api/jobs", nil, 405}, {"GET", "/nowhere", nil, 404},
	} {
		// A node may refuse for a moment, as its users know.
		got := 503
		waitFor(t, c.method+" "+c.path, func() bool { got, _ = call(c.method, c.path, c.body); return got != 503 })
		if got != c.want {
			t.Errorf("%s %s is answered %d, want %d", c.method, c.path, got, c.want)
		}
	}
	waitFor(t, "a machine to be rented", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(cloud.Machines) > 0
	})
	waitFor(t, "the cancellation", func() bool { s, _ := call("POST", "/api/jobs/req-000001/cancel", nil); return s == 200 })
	mu.Lock()
	_, kept := state.Get("f/req-000001")
	mu.Unlock()
	if !kept {
		t.Error("the final state was not recorded")
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("waited in vain for %s", what)
}

func TestBadSettings(t *testing.T) {
	path := settings(t, "nowhere", "127.0.0.1:1", "127.0.0.1:2")
	for _, args := range [][]string{{"--config", path}, {"check", "--config", path}} {
		out, err := program(args...).CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "listen") {
			t.Errorf("%v: %v, %q", args, err, out)
		}
	}
	if out, err := program("check", "--config", settings(t, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2")).CombinedOutput(); err != nil {
		t.Errorf("valid settings: %v, %q", err, out)
	}
}
