package standin

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
)

// maxBody limits the size of any message.
const maxBody = 16 << 20

// Node is a controller: its settings, its stand-ins' addresses and its process.
type Node struct {
	Name, Zone string
	Index      int
	world      *World
	listen     string
	peerListen string
	kv, cloud  string
	settings   string
	mu         sync.Mutex
	command    *exec.Cmd
	exited     chan struct{}
	killed     bool
}

// controllerPort and peerPort are the ports of the controllers. They are below the range from which the
// system takes the ports of outgoing connections, and each run has a loopback network of its own.
const (
	controllerPort = 8080
	peerPort       = 8081
	firstHost      = 10 // of the controllers, in the network
)

// errNoNetwork reports that every network that was tried is in use.
var errNoNetwork = errors.New("no loopback network is free")

// findNetwork returns the first three parts of the addresses of a loopback network that is not in use.
func findNetwork(nodes int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		if networkIsFree(network, nodes) {
			return network, nil
		}
	}
	return "", errNoNetwork
}

func networkIsFree(network string, nodes int) bool {
	for i := range nodes {
		for _, port := range []int{controllerPort, peerPort} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, firstHost+i, port))
			if err != nil {
				return false
			}
			if l.Close() != nil {
				return false
			}
		}
	}
	return true
}

func (w *World) newNode(i int) (*Node, error) {
	n := &Node{Name: fmt.Sprintf("berth-%d", i), Zone: w.Limits.Zones[i%len(w.Limits.Zones)], Index: i, world: w}
	n.listen = fmt.Sprintf("%s.%d:%d", w.network, firstHost+i, controllerPort)
	n.peerListen = fmt.Sprintf("%s.%d:%d", w.network, firstHost+i, peerPort)
	var err error
	if n.kv, err = w.serve(n.handleKV); err != nil {
		return nil, err
	}
	if n.cloud, err = w.serve(n.handleCloud); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(w.dir, n.Name+".toml")
	return n, nil
}

// serve serves a stand-in at a free loopback address.
func (w *World) serve(handle http.HandlerFunc) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handle, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // always returns an error
	go func() {
		<-w.ctx.Done()
		_ = server.Close() // the process ends anyway
	}()
	return l.Addr().String(), nil
}

// writeSettings writes the settings file.
func (n *Node) writeSettings() error {
	l := &n.world.Limits
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node = %q\nzone = %q\nlisten = %q\ncluster_listen = %q", n.Name, n.Zone, n.listen, n.peerListen)
	for _, other := range n.world.Nodes {
		if other != n {
			line("[[siblings]]\nnode = %q\nzone = %q\nendpoint = %q", other.Name, other.Zone, other.peerListen)
		}
	}
	line("[services]\ncloud = %q\nstate = %q", n.cloud, n.kv)
	line("[params]\ncount = %d\nzones = [%q]\ntime_bound_ms = %.1f", l.Nodes, strings.Join(l.Zones, `", "`), l.TimeBoundMS)
	text := strings.ReplaceAll(b.String(), `\"`, `"`)
	b.Reset()
	b.WriteString(text)
	for _, t := range l.Teams {
		line("[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0", t.Name, t.CPUs, t.CPUsMax)
	}
	line("[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f",
		l.ReportS, l.LeaseS, l.WaitS, l.PeerS, l.CancelS)
	line("[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d", l.RPS, l.WriteRPS, l.ValueKB, l.TxnOps)
	line("[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f", l.CloudRPS, l.ListLagS)
	line("[params.quota]\ncores = %.2f\nram_mb = %.1f\nsockets = %d", l.Cores, l.RAMMB, l.Sockets)
	return os.WriteFile(n.settings, []byte(b.String()), 0o600)
}

// runCommand returns the words of the command in the deploy file that starts a controller.
func runCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if found == nil {
		return nil, fmt.Errorf("deploy/service.toml has no run command")
	}
	return strings.Fields(string(found[1])), nil
}

// Start starts the process.
func (n *Node) Start() error {
	words, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command = exec.Command(words[0], append(words[1:], n.settings)...)
	n.command.Stderr = log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with the test
	if err := n.command.Start(); err != nil {
		return err
	}
	n.killed, n.exited = false, make(chan struct{})
	n.world.Rec.Printf("controller %s started", n.Name)
	go n.wait(n.command, n.exited)
	return nil
}

func (n *Node) wait(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.killed {
		n.world.Rec.Printf("controller %s ended by itself: %v", n.Name, err)
	}
	close(exited)
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	command, exited := n.command, n.exited
	n.killed = true
	n.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // fails if it has ended
	<-exited
	n.world.Rec.Printf("controller %s killed", n.Name)
}

// Freeze stops the process; Resume lets it go on.
func (n *Node) Freeze() { n.signal(syscall.SIGSTOP, "stopped (SIGSTOP)") }

// Resume lets a stopped process go on.
func (n *Node) Resume() { n.signal(syscall.SIGCONT, "goes on (SIGCONT)") }

func (n *Node) signal(s syscall.Signal, what string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.world.Rec.Printf("controller %s %s", n.Name, what)
	_ = n.command.Process.Signal(s) // fails if it has ended, which wait records
}

// Log returns the controller's log.
func (n *Node) Log() string {
	data, _ := os.ReadFile(n.settings + ".log") // empty if it was not started
	return string(data)
}

func readBody(r *http.Request) []byte {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxBody)) // a partial body is refused by the fakes
	return body
}

func writeResponse(rw http.ResponseWriter, r fake.Response) {
	rw.Header().Set("Content-Type", wire.ContentType)
	rw.WriteHeader(r.Status)
	_, _ = rw.Write(r.Body) // fails if the caller has given up
}

// handleKV executes a request to the key-value store. A watch waits for events.
func (n *Node) handleKV(rw http.ResponseWriter, r *http.Request) {
	w := n.world
	body := readBody(r)
	waitMS, _ := strconv.ParseFloat(r.URL.Query().Get("waitMs"), 64) // only watches have it
	deadline := time.Now().Add(time.Duration(waitMS * float64(time.Millisecond)))
	for {
		w.Mu.Lock()
		w.KV.Now = w.Now()
		response, ok := w.KV.Handle(n.Name, r.Method, r.RequestURI, body, time.Now().After(deadline))
		w.Mu.Unlock()
		if ok {
			writeResponse(rw, response)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(stepInterval):
		}
	}
}

// handleCloud executes a request to the cloud.
func (n *Node) handleCloud(rw http.ResponseWriter, r *http.Request) {
	w := n.world
	body := readBody(r)
	w.Mu.Lock()
	w.Cloud.Now = w.Now()
	if r.Method == http.MethodPost {
		var request map[string]any
		_ = wire.Decode(body, &request) // recorded as far as it can be read
		w.Rec.Printf("cloud: %s sends %s %s %v", n.Name, r.Method, r.RequestURI, request)
	}
	if w.OnCloud != nil {
		w.OnCloud(n, r.Method, r.RequestURI, body)
	}
	response := w.Cloud.Handle(r.Method, r.RequestURI, body)
	w.Mu.Unlock()
	writeResponse(rw, response)
}
