package main

import (
	"bytes"
	"errors"
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

// runProgramVariable is the environment variable that makes the test binary run the program.
const runProgramVariable = "TAMARINDLEAD_BE_PROGRAM"

// TestMain runs the program instead of the tests if runProgramVariable is set, so that tests can
// start the test binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv(runProgramVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// newProgram returns a command that runs the program.
func newProgram(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runProgramVariable+"=1", "LOG_LEVEL=error")
	return cmd
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// writeSettings writes a settings file with the given addresses and returns its path.
func writeSettings(t *testing.T, listenAddr, kvAddr, cloudAddr string) string {
	t.Helper()
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
`, listenAddr, freeAddr(t), cloudAddr, kvAddr)
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// serveHTTP serves on a loopback address until the test ends.
func serveHTTP(t *testing.T, handler http.HandlerFunc) (addr string) {
	t.Helper()
	listener := listen(t)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// services are the fakes that the program is run against.
type services struct {
	start time.Time

	mu    sync.Mutex // guards the fakes
	kv    *fake.KVStore
	cloud *fake.Cloud
}

func newServices() *services {
	s := &services{start: time.Now(), kv: fake.NewKVStore(), cloud: fake.NewCloud()}
	s.cloud.Types = []wire.MachineType{{Name: "small", CPUs: 8, MemGB: 32, HourlyPrice: 1, BootS: 1, Zones: []string{"a"}}}
	s.cloud.Capacity["small a false"] = 2
	return s
}

func (s *services) now() micros.Micros { return micros.FromDuration(time.Since(s.start)) }

// serveKV responds to a request to the key-value store. A watch waits for a change, for at most
// a second.
func (s *services) serveKV(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the program has closed the connection
	}
	for since := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		s.kv.Advance(s.now())
		response, ok := s.kv.Handle("n0", r.Method, r.URL.RequestURI(), body, time.Since(since) > time.Second)
		s.mu.Unlock()
		if ok {
			writeResponse(w, response.Status, response.Body)
			return
		}
	}
}

func (s *services) serveCloud(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the program has closed the connection
	}
	s.mu.Lock()
	s.cloud.Now = s.now()
	response := s.cloud.Handle(r.Method, r.URL.RequestURI(), body)
	s.mu.Unlock()
	writeResponse(w, response.Status, response.Body)
}

func writeResponse(w http.ResponseWriter, status int, body []byte) {
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the program has closed the connection
}

func (s *services) hasMachines() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cloud.Machines) > 0
}

func (s *services) hasRecord(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.kv.Get(key)
	return ok
}

// runningProgram is a started program, with the address on which it serves users.
type runningProgram struct{ addr string }

// startProgram starts the program against the services and kills it when the test ends.
func startProgram(t *testing.T, s *services) *runningProgram {
	t.Helper()
	kvAddr, cloudAddr := serveHTTP(t, s.serveKV), serveHTTP(t, s.serveCloud)
	p := &runningProgram{addr: freeAddr(t)}
	cmd := newProgram("--config", writeSettings(t, p.addr, kvAddr, cloudAddr))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := cmd.Process.Kill(); err != nil {
			t.Errorf("the program ended before it was killed: %v", err)
		}
		_ = cmd.Wait() // returns that the program was killed
	})
	return p
}

// call makes a request and returns status 0 if there is no response.
func (p *runningProgram) call(t *testing.T, method, path string, body []byte) (status int) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+p.addr+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	// The connection is reused for the next call only if the body has been read.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// exchange sends a request on a new connection and returns all bytes that are received.
func (p *runningProgram) exchange(t *testing.T, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp4", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(response)
}

// newSubmission returns the submission of a job of two tasks.
func newSubmission(id string) []byte {
	return wire.Encode(map[string]any{
		"ref": id, "queue": "q", "desk": "red", "shape": "array", "urgency": "normal", "legs": 2,
		"cpus": 1.0, "cards": 0.0, "memGb": 1.0, "bundle": "i", "sizeGb": 0.1, "samePlace": false, "apart": false,
		"loaners": false, "expectS": 30.0, "snapshotS": 0.0, "stowS": 0.0,
	})
}

// TestProgram starts the real program on loopback with fake services. It checks that the program
// accepts a job, requests a machine for it, records its cancellation, and keeps responding after
// invalid requests.
func TestProgram(t *testing.T) {
	s := newServices()
	p := startProgram(t, s)
	waitFor(t, "the node to be ready", func() bool { return p.call(t, "GET", "/up", nil) == 200 })

	response := p.exchange(t, "POST /api/jobs HTTP/1.1\r\nContent-Length: 999999\r\n\r\n")
	if !strings.HasPrefix(response, "HTTP/1.1 413 ") {
		t.Fatalf("the response to a body over the limit is %q", response)
	}

	job := newSubmission("req-000001")
	waitFor(t, "the job to be accepted", func() bool { return p.call(t, "POST", "/api/jobs", job) == 201 })
	tests := []struct {
		name, method, path string
		body               []byte
		want               int
	}{
		{"duplicate submission", "POST", "/api/jobs", job, 200},
		{"invalid submission", "POST", "/api/jobs", []byte("{}"), 400},
		{"known job", "GET", "/api/jobs/req-000001", nil, 200},
		{"unknown job", "GET", "/api/jobs/req-000002", nil, 404},
		{"wrong method", "DELETE", "/api/jobs", nil, 405},
		{"unknown path", "GET", "/nowhere", nil, 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// A node may refuse requests for a short time; clients are expected to retry.
			got := 503
			waitFor(t, tt.method+" "+tt.path, func() bool {
				got = p.call(t, tt.method, tt.path, tt.body)
				return got != 503
			})
			if got != tt.want {
				t.Errorf("%s %s: status %d, want %d", tt.method, tt.path, got, tt.want)
			}
		})
	}
	waitFor(t, "a machine to be requested", s.hasMachines)
	waitFor(t, "the cancellation", func() bool { return p.call(t, "POST", "/api/jobs/req-000001/cancel", nil) == 200 })
	if !s.hasRecord("f/req-000001") {
		t.Error("the terminal state was not recorded")
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// TestInvalidSettings checks that the program and its check command reject invalid settings with
// one line that names the setting, and that the check command accepts valid settings.
func TestInvalidSettings(t *testing.T) {
	invalid := writeSettings(t, "nowhere", "127.0.0.1:1", "127.0.0.1:2")
	valid := writeSettings(t, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2")
	tests := []struct {
		name         string
		args         []string
		env          string
		wantExitCode int
		want         string // in the output
	}{
		{"run", []string{"--config", invalid}, "", 1, "listen"},
		{"check", []string{"check", "--config", invalid}, "", 1, "listen"},
		{"no settings", []string{"check"}, "", 1, "tamarindlead: --config: missing"},
		{"log level", []string{"--config", valid}, "LOG_LEVEL=loud", 1, "tamarindlead: LOG_LEVEL: must be error, info or debug"},
		{"valid", []string{"check", "--config", valid}, "", 0, "n0: settings are valid (0 siblings, 1 teams)"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cmd := newProgram(tt.args...)
			if tt.env != "" {
				cmd.Env = append(cmd.Env, tt.env)
			}
			out, err := cmd.CombinedOutput()
			var exitErr *exec.ExitError
			if err != nil && !errors.As(err, &exitErr) {
				t.Fatal(err)
			}
			if got := cmd.ProcessState.ExitCode(); got != tt.wantExitCode {
				t.Errorf("exit code %d, want %d", got, tt.wantExitCode)
			}
			if strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), tt.want) {
				t.Errorf("output %q, want one line with %q", out, tt.want)
			}
		})
	}
}
