// Package rig runs a small deployment for the cases of the second review: controllers as processes of
// their own, started by the command of the deploy file, and stand-ins for the key-value store, the cloud,
// the workers and the users, on loopback addresses and the real clock. The state machines of the stand-ins
// are those of internal/fake; the rig serves them over HTTP.
package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// startTime is the time at which a run starts. It is not zero, because a time of zero means never.
const startTime = micros.Hour

// stepInterval is the time between two steps of the stand-ins.
const stepInterval = 10 * time.Millisecond

// Team is a team of the settings; 0 means none.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
}

// Config describes a deployment.
type Config struct {
	Controllers       int
	Zones             []string
	Teams             []Team
	Types             []wire.MachineType
	ReportS, LeaseS   float64
	GangWaitS, PeerS  float64
	CancelS           float64
	RPS, WriteRPS     float64
	ValueKB           float64
	TxnOps            int
	CloudRPS, ListLag float64
}

// Rig is a running deployment.
type Rig struct {
	config    Config
	startedAt time.Time
	dir       string // settings and logs of the controllers
	runArgs   []string
	nodes     []*node
	done      chan struct{}
	closers   []func()
	finished  sync.Once

	mu     sync.Mutex // guards the fields below, and the stand-ins
	store  *fake.KVStore
	cloud  *fake.Cloud
	fleet  *fake.Fleet
	tasks  map[string]fake.TaskInfo // by job
	starts map[string]int           // number of started tasks, by job
	record *os.File
	// cutFromWorkers are the controllers that no worker reaches, and that reach no worker.
	cutFromWorkers map[int]bool
	// kvDelay returns by how long the answer to a request to the key-value store is delayed; nil: not at all.
	kvDelay func(method, target string) time.Duration
}

// New makes the stand-ins of a deployment, and writes the settings of its controllers to a temporary
// folder. It is called in the folder of a case, two levels below the root of the repository.
func New(config Config) (*Rig, error) {
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	r := &Rig{
		config: config, startedAt: time.Now(), dir: dir, record: record, done: make(chan struct{}),
		tasks: map[string]fake.TaskInfo{}, starts: map[string]int{}, cutFromWorkers: map[int]bool{},
	}
	r.makeStandIns()
	if r.runArgs, err = runCommand(filepath.Join("..", "..")); err != nil {
		return nil, err
	}
	if err := r.makeNodes(); err != nil {
		return nil, err
	}
	go r.runSteps()
	return r, nil
}

// runCommand returns the command of the deploy file that starts a controller.
func runCommand(root string) ([]string, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	for line := range strings.Lines(string(deploy)) {
		if command, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			args := strings.Fields(strings.TrimSuffix(command, `"`))
			args[0] = filepath.Join(root, args[0])
			return args, nil
		}
	}
	return nil, fmt.Errorf("deploy file: %w", os.ErrNotExist)
}

// makeStandIns makes the key-value store, the cloud and the fleet of workers.
func (r *Rig) makeStandIns() {
	c := &r.config
	r.store = fake.NewKVStore()
	r.store.MaxOps, r.store.MaxValueBytes = c.TxnOps, int(c.ValueKB*1024)
	r.store.RequestRate, r.store.WriteRate = c.RPS, c.WriteRPS
	r.cloud = fake.NewCloud()
	r.cloud.Now, r.cloud.ListDelay, r.cloud.Types = r.Now(), micros.FromSeconds(c.ListLag), c.Types
	r.cloud.Endpoint = r.serveWorker
	r.fleet = fake.NewFleet(fake.FleetTimeouts{
		Lease: micros.FromSeconds(c.LeaseS), GangPeerTimeout: micros.FromSeconds(c.PeerS), GangWaitTimeout: micros.FromSeconds(c.GangWaitS),
	})
	r.fleet.Info = func(task string) (fake.TaskInfo, bool) {
		job, _, _ := wire.SplitTaskName(task)
		info, ok := r.tasks[job]
		return info, ok
	}
	r.fleet.OnStart = func(w *fake.Worker, task string, attempt uint64) {
		job, _, _ := wire.SplitTaskName(task)
		r.starts[job]++
		r.write("start %s try %d on %s", task, attempt, w.Machine.Name)
	}
	r.fleet.OnExit = func(w *fake.Worker, task string, cause wire.ExitCause) {
		r.write("exit %s on %s: %s", task, w.Machine.Name, cause)
	}
	r.fleet.OnDone = func(string) {}
}

// Now returns the time of the run.
func (r *Rig) Now() micros.Micros { return startTime + micros.FromDuration(time.Since(r.startedAt)) }

// Elapsed returns the time since the start of the run.
func (r *Rig) Elapsed() time.Duration { return time.Since(r.startedAt) }

// Log writes a line to the record and to standard output.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
	fmt.Printf("%7.2f "+format+"\n", append([]any{r.Elapsed().Seconds()}, args...)...)
}

// write writes a line to the record. The caller holds the lock.
func (r *Rig) write(format string, args ...any) {
	// A record that cannot be written does not change the verdict.
	_, _ = fmt.Fprintf(r.record, "%7.2f "+format+"\n", append([]any{r.Elapsed().Seconds()}, args...)...)
}

// AddMachines adds machines that are up already, and that no controller has requested.
func (r *Rig) AddMachines(machineType, zone string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.Now = r.Now()
	for range number {
		m := r.cloud.Add(machineType, zone, false, 0)
		r.write("machine %s of type %s is up in %s", m.Name, machineType, zone)
	}
}

// SetCapacity sets how many more machines of a type the cloud has in a zone, on demand.
func (r *Rig) SetCapacity(machineType, zone string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.Capacity[fake.CapacityKey(machineType, zone, false)] = number
}

// Room is the state of a machine as its worker knows it.
type Room struct {
	Machine, Type, Zone string
	Tasks               int     // tasks that have not exited
	FreeCPUs, FreeMem   float64 // resources that these tasks leave
}

// Rooms returns the state of all machines that are up, sorted by name.
func (r *Rig) Rooms() []Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rooms []Room
	for _, name := range r.fleet.WorkerNames() {
		w := r.fleet.Workers[name]
		if w.Machine.Gone {
			continue
		}
		room := Room{Machine: name, Type: w.Machine.Type, Zone: w.Machine.Zone, FreeCPUs: w.CPU, FreeMem: w.Mem}
		for task := range w.Tasks {
			if !w.IsLive(task) {
				continue
			}
			info, _ := r.fleet.Info(task)
			room.Tasks++
			room.FreeCPUs -= info.CPU
			room.FreeMem -= info.Mem
		}
		rooms = append(rooms, room)
	}
	return rooms
}

// Starts returns how many tasks of a job were started.
func (r *Rig) Starts(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[job]
}

// SetOutage begins or ends an outage of the key-value store.
func (r *Rig) SetOutage(on bool) {
	r.Log("outage of the key-value store: %t", on)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Unavailable = on
}

// SetKVDelay sets by how long answers of the key-value store are delayed. The function must not block.
func (r *Rig) SetKVDelay(delay func(method, target string) time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kvDelay = delay
}

// CutFromWorkers begins or ends a cut between a controller and all workers: messages between them are lost.
func (r *Rig) CutFromWorkers(i int, on bool) {
	r.Log("cut between controller %s and the workers: %t", nodeName(i), on)
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.cutFromWorkers[i] = true
	} else {
		delete(r.cutFromWorkers, i)
	}
}

// Hang makes a machine hang until the end of the run.
func (r *Rig) Hang(machine string) {
	r.Log("machine %s hangs", machine)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.Workers[machine].Hung = true
}

// MachineOf returns the machine on which a task is, or "" if it is on none that the cloud still has.
func (r *Rig) MachineOf(task string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.fleet.WorkerNames() {
		if w := r.fleet.Workers[name]; !w.Machine.Gone && w.IsLive(task) {
			return name
		}
	}
	return ""
}

// Owner returns the controller to which the worker of a machine reports.
func (r *Rig) Owner(machine string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Workers[machine].Controller
}

// runSteps advances the stand-ins until the run ends.
func (r *Rig) runSteps() {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.step()
		case <-r.done:
			return
		}
	}
}

func (r *Rig) step() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.store.Advance(now)
	r.cloud.Now = now
	for _, name := range r.cloud.MachineNames() {
		m := r.cloud.Machines[name]
		if m.Started || m.Gone || m.UpAt == 0 || now < m.UpAt {
			continue
		}
		m.Started = true
		r.fleet.Boot(m, *r.cloud.TypeOf(m.Type), len(r.fleet.Workers)%r.config.Controllers, now)
	}
	for _, name := range r.fleet.WorkerNames() {
		r.stepWorker(r.fleet.Workers[name], now)
	}
}

// Close ends all processes and servers. The logs of the controllers are removed unless keepLogs is set.
func (r *Rig) Close(keepLogs bool) {
	for _, n := range r.nodes {
		n.kill()
	}
	close(r.done)
	for _, closer := range r.closers {
		closer()
	}
	_ = r.record.Close() // nothing is written after the verdict
	if !keepLogs {
		_ = os.RemoveAll(r.dir) // a temporary folder that stays does no harm
	}
}

// CutMachines begins or ends a cut between all machines of a zone and everything else.
func (r *Rig) CutMachines(zone string, on bool) {
	r.Log("cut between the machines of %s and everything else: %t", zone, on)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.fleet.Workers {
		if w.Machine.Zone == zone {
			w.Partitioned = on
		}
	}
}
