// Package standin runs a small deployment for the cases of the review: the controllers as processes,
// started by the command of the deploy file, and stand-ins for the key-value store, the cloud, the
// workers and the users on loopback addresses. The key-value store, the cloud and the workers are the
// project's own fakes; this package gives them a network and the real clock.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// startTime is the time of a world at its start: a time of 0 means "never" in the fakes.
	startTime = micros.Hour
	// stepInterval is the time between two steps of the fakes.
	stepInterval = 10 * time.Millisecond
)

// Limits are the parts of the settings that a case may choose. Default returns those of the first
// deployment of the brief.
type Limits struct {
	Nodes                                  int
	Zones                                  []string
	Teams                                  []Team
	ReportS, LeaseS, WaitS, PeerS, CancelS float64
	RPS, WriteRPS, ValueKB                 float64
	TxnOps                                 int
	CloudRPS, ListLagS                     float64
	Cores, RAMMB                           float64
	Sockets                                int
	Types                                  []wire.MachineType
	RestartDelay                           time.Duration
	TimeBoundMS                            float64
}

// Team is a team of the settings. A value of 0 means none.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
}

// Default returns the settings of the first deployment of the brief (site eyjafold-sched).
func Default() Limits {
	zones := []string{"reykjavik-hall", "akureyri-vault"}
	return Limits{
		Nodes: 3, Zones: zones, Teams: []Team{{Name: "records-desk"}},
		ReportS: 3, LeaseS: 17, WaitS: 50, PeerS: 8, CancelS: 47,
		RPS: 150, WriteRPS: 20, ValueKB: 8, TxnOps: 16,
		CloudRPS: 2, ListLagS: 8, Cores: 0.18, RAMMB: 125, Sockets: 1200,
		RestartDelay: 8 * time.Second, TimeBoundMS: 250,
		Types: []wire.MachineType{
			{Name: "lundi-small", CPUs: 16, MemGB: 32, CacheGB: 60, FetchGBPerS: 0.4, HourlyPrice: 0.88, SpotPrice: 0.19, BootS: 30, Zones: zones},
			{Name: "lundi-mid", CPUs: 32, MemGB: 128, CacheGB: 60, FetchGBPerS: 0.4, HourlyPrice: 1.76, SpotPrice: 0.38, BootS: 30, Zones: zones},
		},
	}
}

// World is a running deployment.
type World struct {
	Limits Limits
	Rec    *Recorder
	Nodes  []*Node

	// Mu guards the fields below and the state of the fakes.
	Mu    sync.Mutex
	KV    *fake.KVStore
	Cloud *fake.Cloud
	Fleet *fake.Fleet
	// OnCloud is called for each request to the cloud with the node that sent it. It may be nil.
	OnCloud func(node *Node, method, target string, body []byte)
	// OnStart and OnExit are called when a task starts on a machine and when it exits. They may be nil.
	OnStart func(machine, task string, attempt uint64)
	OnExit  func(machine, task string, cause wire.ExitCause)

	// Follows names, by machine, the node whose answer the worker accepted last.
	Follows map[string]string

	jobs    map[string]*Job
	started time.Time
	ctx     context.Context
	stop    context.CancelFunc
	client  *http.Client
	dir     string
	network string // the first three parts of the controllers' addresses
}

// Job is a job that a user submits.
type Job struct {
	Spec *sched.Job
	Info fake.TaskInfo
}

// ErrNotReady reports that no controller accepted requests in time.
var ErrNotReady = errors.New("no controller accepted requests in time")

// New returns a world with its stand-ins running and its controllers not started yet.
func New(limits Limits, rec *Recorder) (*World, error) {
	network, err := findNetwork(limits.Nodes)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &World{
		Limits: limits, Rec: rec, Follows: map[string]string{}, jobs: map[string]*Job{}, started: time.Now(), ctx: ctx, stop: stop, dir: dir, network: network,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}},
	}
	w.makeFakes()
	for i := range limits.Nodes {
		n, err := w.newNode(i)
		if err != nil {
			stop()
			return nil, err
		}
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		if err := n.writeSettings(); err != nil {
			stop()
			return nil, err
		}
	}
	go w.run()
	return w, nil
}

func (w *World) makeFakes() {
	l := &w.Limits
	w.KV = fake.NewKVStore()
	w.KV.MaxOps, w.KV.MaxValueBytes = l.TxnOps, int(l.ValueKB*1024)
	w.KV.RequestRate, w.KV.WriteRate = l.RPS, l.WriteRPS
	w.KV.Now = w.Now()
	w.Fleet = fake.NewFleet(fake.FleetTimeouts{
		Lease: micros.FromSeconds(l.LeaseS), GangPeerTimeout: micros.FromSeconds(l.PeerS), GangWaitTimeout: micros.FromSeconds(l.WaitS),
	})
	w.Fleet.Info = func(task string) (fake.TaskInfo, bool) {
		id, _, ok := wire.SplitTaskName(task)
		job := w.jobs[id]
		if !ok || job == nil {
			return fake.TaskInfo{}, false
		}
		return job.Info, true
	}
	w.Fleet.OnStart = func(worker *fake.Worker, task string, attempt uint64) {
		w.Rec.Printf("run: %s starts on %s, attempt %d", task, worker.Machine.Name, attempt)
		if w.OnStart != nil {
			w.OnStart(worker.Machine.Name, task, attempt)
		}
	}
	w.Fleet.OnExit = func(worker *fake.Worker, task string, cause wire.ExitCause) {
		w.Rec.Printf("run: %s exits on %s: %s", task, worker.Machine.Name, cause)
		if w.OnExit != nil {
			w.OnExit(worker.Machine.Name, task, cause)
		}
	}
	w.Fleet.OnDone = func(string) {}
	w.Cloud = fake.NewCloud()
	w.Cloud.Now, w.Cloud.ListDelay = w.Now(), micros.FromSeconds(l.ListLagS)
	w.Cloud.Types = l.Types
	w.Cloud.Endpoint = w.serveWorker
}

// Now returns the time of the world.
func (w *World) Now() micros.Micros { return startTime + micros.FromDuration(time.Since(w.started)) }

// Sleep waits.
func (w *World) Sleep(d time.Duration) { time.Sleep(d) }

// Until waits until the condition holds, at most for d, and reports whether it does. The condition is
// called with Mu held.
func (w *World) Until(d time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(d); ; time.Sleep(20 * time.Millisecond) {
		w.Mu.Lock()
		ok := condition()
		w.Mu.Unlock()
		if ok || time.Now().After(deadline) {
			return ok
		}
	}
}

// AddMachine adds a machine that is up already.
func (w *World) AddMachine(machineType, zone string, spot bool) string {
	w.Mu.Lock()
	defer w.Mu.Unlock()
	w.Cloud.Now = w.Now()
	return w.Cloud.Add(machineType, zone, spot, 0).Name
}

// Start starts all controllers and waits until all of them answer the health check.
func (w *World) Start() error {
	for _, n := range w.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.Nodes {
			if w.Send(n, "GET", wire.PathHealth, nil, time.Second).Status == wire.StatusOK {
				ready++
			}
		}
		if ready == len(w.Nodes) {
			return nil
		}
	}
	return ErrNotReady
}

// Close ends all processes and stand-ins and removes the temporary folder, unless REVIEW_KEEP is set.
func (w *World) Close() {
	for _, n := range w.Nodes {
		n.Kill()
	}
	w.stop()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(w.dir) // a file that stays behind does no harm
	}
}

// Owner returns the node that owns the team according to the key-value store, or nil. The caller holds Mu.
func (w *World) Owner(team string) *Node {
	value, ok := w.KV.Get("c/t/" + url.PathEscape(team))
	if !ok {
		return nil
	}
	var record struct {
		Owner string `cbor:"o"`
	}
	if wire.Decode(value, &record) != nil {
		return nil
	}
	for _, n := range w.Nodes {
		if n.Name == record.Owner {
			return n
		}
	}
	return nil
}

// run advances the fakes until the world is closed.
func (w *World) run() {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
			w.step()
		}
	}
}

func (w *World) step() {
	w.Mu.Lock()
	defer w.Mu.Unlock()
	now := w.Now()
	w.KV.Advance(now)
	w.Cloud.Now = now
	for _, name := range w.Cloud.MachineNames() {
		m := w.Cloud.Machines[name]
		if m.Started || m.Gone || m.UpAt == 0 || now < m.UpAt {
			continue
		}
		m.Started = true
		w.Rec.Printf("cloud: %s (%s, %s, spot %t) is up", m.Name, m.Type, m.Zone, m.Spot)
		w.Fleet.Boot(m, *w.Cloud.TypeOf(m.Type), len(w.Fleet.Workers)%len(w.Nodes), now)
	}
	for _, name := range w.Fleet.WorkerNames() {
		w.stepWorker(w.Fleet.Workers[name], now)
	}
}

// Result is the answer to a request. Status is 0 if there was none.
type Result struct {
	Status     int
	Body       []byte
	RetryAfter int
}

// State returns the job's status in an answer to a user, or "".
func (r Result) State() string {
	var state wire.JobStatus
	if wire.Decode(r.Body, &state) != nil {
		return ""
	}
	return string(state.Status)
}

// retryAfter returns the value of a Retry-After header.
func retryAfter(h http.Header) int {
	n, _ := strconv.Atoi(h.Get("Retry-After")) // 0 if absent
	return n
}

func describe(r Result) string {
	if r.Status == 0 {
		return "no answer"
	}
	return fmt.Sprintf("%d %s", r.Status, r.State())
}
