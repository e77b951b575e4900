package commit

import (
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/budget"
	"tamarindlead/internal/cluster"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// testOwner is an owner of one team that consists of a pipeline only. It records the pipeline's
// calls, and its calls to the key-value store stay open until the test responds to them.
type testOwner struct {
	*Pipeline
	now, wallClock micros.Micros
	superseded     bool
	lastNumber     uint64
	typicalTasks   int
	successorLive  bool // whether the new owner of transferred machines is live
	// reactions are the calls of the host's methods that react to results.
	reactions []string
	timers    []func()
	calls     []storeCall
}

// storeCall is an open call to the key-value store: of Do, or of ListAll if listed is set.
type storeCall struct {
	purpose budget.Purpose
	request kv.Request
	done    func(kv.Result)
	listed  func(kv.Listing, error)
}

// newTestOwner returns an owner of team red without machines and jobs.
func newTestOwner(tb testing.TB) *testOwner {
	tb.Helper()
	settings := &config.Settings{
		Node: "n0", Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "red"}},
		HeartbeatInterval: 3 * micros.Second, WorkerLease: 15 * micros.Second,
		MaxValueBytes: 8 << 10, MaxTransactionOps: 16,
	}
	o := &testOwner{now: micros.Hour, wallClock: micros.Hour, typicalTasks: 14}
	log := slog.New(slog.DiscardHandler)
	inv := inventory.New(o, log)
	inv.Teams["red"] = &inventory.Team{Record: cluster.Team{Version: 1}, Team: settings.Teams[0]}
	o.Pipeline = New(Dependencies{
		Settings: settings, Log: log, Store: o, Member: o, Inventory: inv, Host: o, Transfers: o,
		Budget:  budget.New(budget.Limits{Requests: 1e6, Writes: 1e6, MinWriteBurst: 16}, 1),
		Sources: Sources{CascadedCancellations: noWrites, ScaleOutRequests: noWrites, Reservations: noWrites},
	})
	return o
}

func noWrites(*Transaction, func() bool) {}

func (o *testOwner) react(format string, args ...any) {
	o.reactions = append(o.reactions, fmt.Sprintf(format, args...))
}

// The methods of Host.

func (o *testOwner) Now() micros.Micros       { return o.now }
func (o *testOwner) WallClock() micros.Micros { return o.wallClock }
func (o *testOwner) Superseded() bool         { return o.superseded }
func (o *testOwner) TypicalTasks(string) int  { return o.typicalTasks }

func (o *testOwner) After(_ micros.Micros, do func()) { o.timers = append(o.timers, do) }

func (o *testOwner) NextNumber() uint64 {
	o.lastNumber++
	return o.lastNumber
}

func (o *testOwner) JobDone(j *inventory.Job) {
	o.react("done %s", j.ID)
	o.inv.SetJobState(j, inventory.JobEnded)
	o.inv.Queue = slices.DeleteFunc(o.inv.Queue, func(q *inventory.Job) bool { return q == j })
}

func (o *testOwner) AttemptRecorded(a *inventory.Attempt) {
	o.react("recorded %s", a.TaskName())
	if a.State == inventory.AttemptAssumed {
		o.inv.SetAttemptState(a, inventory.AttemptRecorded)
	}
}

func (o *testOwner) MachineClaimed(m *inventory.Machine) { o.react("claimed %s", m.Name) }

func (o *testOwner) MachineRemoved(m *inventory.Machine) {
	o.react("removed %s", m.Name)
	o.inv.RemoveMachine(m)
}

func (o *testOwner) MachineOwnedElsewhere(m *inventory.Machine, block string) {
	o.react("%s owned elsewhere in %s", m.Name, block)
	o.inv.RemoveMachine(m)
}

func (o *testOwner) JobRecordChanged(id string)    { o.react("job record changed %s", id) }
func (o *testOwner) MemberRecordLost()             { o.react("member record lost") }
func (o *testOwner) RestartRecovery(reason string) { o.react("recovery restarted: %s", reason) }

// The methods of Transfers.

func (o *testOwner) Successor(m *inventory.Machine) (kv.Precondition, bool) {
	return kv.Precondition{Key: record.MemberKey(m.TransferTo.Node()), Version: 5}, o.successorLive
}

func (o *testOwner) AddTo(t *Transaction, m *inventory.Machine) { t.Put("transfer/"+m.Name, m.Name) }

func (o *testOwner) Recorded(m *inventory.Machine) {
	o.react("transferred %s", m.Name)
	o.inv.RemoveMachine(m)
}

// The methods of Member.

func (o *testOwner) ID() record.OwnerID { return record.NewOwnerID("n0", 1) }

func (o *testOwner) OwnPrecondition() kv.Precondition {
	return kv.Precondition{Key: record.MemberKey("n0"), Version: 3}
}

// The methods of Store.

func (o *testOwner) Do(purpose budget.Purpose, request kv.Request, done func(kv.Result)) {
	o.calls = append(o.calls, storeCall{purpose: purpose, request: request, done: done})
}

func (o *testOwner) ListAll(_ string, done func(kv.Listing, error)) {
	o.calls = append(o.calls, storeCall{listed: done})
}

// The methods of inventory.Host.

func (o *testOwner) EntryChanged(m *inventory.Machine)                { o.MarkDirty(m) }
func (o *testOwner) AttemptClosed(*inventory.Attempt)                 {}
func (o *testOwner) CompletionUnrecorded(j *inventory.Job, chunk int) { o.MarkChunkDirty(j, chunk) }
func (o *testOwner) CommandsNeeded(*inventory.Machine)                {}

// nextCall returns the oldest open call to the key-value store.
func (o *testOwner) nextCall(tb testing.TB) storeCall {
	tb.Helper()
	if len(o.calls) == 0 {
		tb.Fatal("no call is open")
	}
	c := o.calls[0]
	o.calls = o.calls[1:]
	return c
}

// respond responds to the oldest open transaction.
func (o *testOwner) respond(tb testing.TB, outcome kv.Outcome, result kv.TransactionResult) {
	tb.Helper()
	o.nextCall(tb).done(kv.Result{Outcome: outcome, Body: wire.Encode(result)})
}

// runTimers calls the functions given to After.
func (o *testOwner) runTimers() {
	timers := o.timers
	o.timers = nil
	for _, do := range timers {
		do()
	}
}

// addJob adds an active job of team red whose tasks need as many processors as GiB of memory.
func (o *testOwner) addJob(id string, tasks int, cpus float64) *inventory.Job {
	j := inventory.NewJob(&sched.Job{
		ID: id, Class: "render", Team: "red", Priority: sched.Normal, Tasks: tasks,
		Need: sched.NewResources(cpus, 0, cpus), Image: "img", Spot: true, Estimate: 30 * micros.Second,
	}, uint64(len(o.inv.Jobs)+1), 0)
	o.inv.Jobs[id] = j
	o.inv.QueueJob(j)
	return j
}

// addMachine adds a machine that is ready and claimed.
func (o *testOwner) addMachine(b *inventory.Block, info inventory.MachineInfo, fencingToken uint64) *inventory.Machine {
	m := o.inv.AddMachine(b, info, sched.NewResources(28, 0, 112))
	m.Claim(fencingToken)
	m.State, m.LastHeartbeat = inventory.MachineReady, o.now
	return m
}

// The size of a large owner.
const (
	largeMachines = 2000
	largeTasks    = 12 // running on each machine
	largeJobs     = 300
)

// newLargeOwner returns an owner of many machines on which tasks of most jobs run. Each machine has
// free resources for two more tasks.
func newLargeOwner(tb testing.TB) *testOwner {
	tb.Helper()
	o := newTestOwner(tb)
	for i := range largeJobs {
		o.addJob(fmt.Sprintf("req-%06d", i), 150, 2)
	}
	for i := range largeMachines {
		zone := o.settings.Zones[i%2]
		info := inventory.MachineInfo{Name: fmt.Sprintf("m-%06d", i), Type: "mid", Zone: zone, Spot: i%3 == 0, Endpoint: "worker"}
		m := o.addMachine(o.BlockFor(info.Type, info.Zone), info, 1)
		for n := range largeTasks {
			at := i*largeTasks + n
			o.inv.AddAttempt(o.inv.Queue[at/100], at%100, 7, m, inventory.AttemptLive).HeartbeatSeen = true
		}
	}
	return o
}

// newSmallOwner returns an owner of two claimed machines in one block, which is recorded.
func newSmallOwner(tb testing.TB) *testOwner {
	tb.Helper()
	o := newTestOwner(tb)
	for i := range 2 {
		info := inventory.MachineInfo{Name: "m-" + strconv.Itoa(i), Type: "mid", Zone: "a", Endpoint: "worker"}
		m := o.addMachine(o.BlockFor(info.Type, info.Zone), info, 7)
		m.Dirty, m.Recorded = false, true
	}
	o.blocks[0].Dirty, o.blocks[0].Version = false, 7
	return o
}
