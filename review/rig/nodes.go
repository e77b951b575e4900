package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"tamarindlead/internal/fake"
)

// node is a controller: its addresses, and its process while it runs.
type node struct {
	rig          *Rig
	name, zone   string
	users, peers string // addresses on which it listens
	store, cloud string // addresses of the stand-ins
	settings     string // path
	command      *exec.Cmd
	exited       chan struct{}
}

func nodeName(i int) string { return fmt.Sprintf("berth-%d", i) }

func (r *Rig) nodeIndex(name string) (int, bool) {
	for i := range r.config.Controllers {
		if nodeName(i) == name {
			return i, true
		}
	}
	return 0, false
}

// freeAddrs returns a number of free addresses in a loopback network of their own, so that no stand-in can
// take one of them before a controller listens there.
func freeAddrs(number int) (addrs []string, err error) {
	host := fmt.Sprintf("127.%d.%d.1:0", 1+rand.IntN(250), 1+rand.IntN(250))
	var listeners []net.Listener
	for range number {
		listener, err := net.Listen("tcp4", host)
		if err != nil {
			return nil, fmt.Errorf("free port: %w", err)
		}
		listeners = append(listeners, listener)
		addrs = append(addrs, listener.Addr().String())
	}
	for _, listener := range listeners {
		err = errors.Join(err, listener.Close())
	}
	return addrs, err
}

// makeNodes starts the stand-ins of each controller and writes its settings.
func (r *Rig) makeNodes() error {
	addrs, err := freeAddrs(2 * r.config.Controllers)
	if err != nil {
		return err
	}
	for i := range r.config.Controllers {
		n := &node{rig: r, name: nodeName(i), zone: r.config.Zones[i%len(r.config.Zones)], settings: filepath.Join(r.dir, nodeName(i)+".toml")}
		executeKV := func(abandoned <-chan struct{}, method, target string, body []byte) fake.Response {
			return r.executeKV(i, abandoned, method, target, body)
		}
		if n.store, err = r.serve(executeKV); err != nil {
			return err
		}
		if n.cloud, err = r.serve(r.executeCloud); err != nil {
			return err
		}
		n.users, n.peers = addrs[2*i], addrs[2*i+1]
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		if err := os.WriteFile(n.settings, []byte(n.text()), 0o644); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	return nil
}

// text returns the settings file of a controller.
func (n *node) text() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	c := &n.rig.config
	line("node = %q\nzone = %q\nlisten = %q\ncluster_listen = %q", n.name, n.zone, n.users, n.peers)
	for _, sibling := range n.rig.nodes {
		if sibling != n {
			line("[[siblings]]\nnode = %q\nzone = %q\nendpoint = %q", sibling.name, sibling.zone, sibling.peers)
		}
	}
	line("[services]\ncloud = %q\nstate = %q", n.cloud, n.store)
	line("[params]\ncount = %d\nzones = [%s]\ntime_bound_ms = 250.0", c.Controllers, `"`+strings.Join(c.Zones, `", "`)+`"`)
	for _, team := range c.Teams {
		line("[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0", team.Name, team.CPUs, team.CPUsMax)
	}
	line("[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f",
		c.ReportS, c.LeaseS, c.GangWaitS, c.PeerS, c.CancelS)
	line("[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d", c.RPS, c.WriteRPS, c.ValueKB, c.TxnOps)
	line("[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f", c.CloudRPS, c.ListLag)
	line("[params.quota]\ncores = 0.18\nram_mb = 125.0\nsockets = 1200")
	return b.String()
}

// StartControllers starts all controllers.
func (r *Rig) StartControllers() error {
	for i := range r.nodes {
		if err := r.StartController(i); err != nil {
			return err
		}
	}
	return nil
}

// StartController starts a controller with the command of the deploy file.
func (r *Rig) StartController(i int) error {
	n := r.nodes[i]
	logFile, err := os.OpenFile(filepath.Join(r.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer func() { _ = logFile.Close() }() // the process keeps its own descriptor
	n.command = exec.Command(r.runArgs[0], slices.Concat(r.runArgs[1:], []string{n.settings})...)
	n.command.Stdout, n.command.Stderr = logFile, logFile
	// The controller ends with the thread that starts it, which Main keeps until the end of the case.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	exited := make(chan struct{})
	n.exited = exited
	go func(command *exec.Cmd) {
		_ = command.Wait() // ended by a signal
		close(exited)
	}(n.command)
	r.Log("controller %s is started", n.name)
	return nil
}

func (n *node) kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill() // fails if it has ended
	<-n.exited
}

// Signal sends a signal to a controller.
func (r *Rig) Signal(i int, signal os.Signal) {
	r.Log("controller %s gets signal %v", r.nodes[i].name, signal)
	_ = r.nodes[i].command.Process.Signal(signal) // fails if it has ended
}

// LogDir returns the folder with the controllers' logs.
func (r *Rig) LogDir() string { return r.dir }
