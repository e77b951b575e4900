package recovery

import (
	"log/slog"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	self  record.OwnerID = "n0/2"
	other record.OwnerID = "n1/7"

	retryDelay = 250 * micros.Millisecond
)

// testOwner is an owner of team red that consists of a recovery only. It records the recovery's
// calls, and its calls to the key-value store stay open until the test responds to them.
type testOwner struct {
	*Recovery
	now, wallClock micros.Micros
	superseded     bool
	ownsAllTeams   bool
	blocked        *inventory.Job // a job that PlacedJob unblocks

	// actions are the calls of the recovery, in order.
	actions  []string
	jobs     jobsCall
	lists    []func(kv.Listing, error)
	gets     []func(kv.Outcome, kv.Entry)
	segments []*inventory.CompletionSegment
	blocks   []*inventory.Block
}

// jobsCall is a call of RecoverJobs.
type jobsCall struct {
	entries     []kv.Entry
	revision    uint64
	requestedAt micros.Micros
}

// newTestOwner returns an owner that has recovered nothing yet.
func newTestOwner(t *testing.T) *testOwner {
	t.Helper()
	o := &testOwner{now: micros.Hour, wallClock: 1000 * micros.Hour}
	inv := inventory.New(o, slog.New(slog.DiscardHandler))
	inv.Teams["red"] = &inventory.Team{}
	o.Recovery = New(Dependencies{
		Host: o, Pipeline: o, Store: o, Inventory: inv, Log: slog.New(slog.DiscardHandler), RetryDelay: retryDelay,
		Settings: &config.Settings{CancellationDeadline: 40 * micros.Second},
	})
	return o
}

func (o *testOwner) record(action string) { o.actions = append(o.actions, action) }

// The methods of inventory.Host.

func (o *testOwner) EntryChanged(*inventory.Machine) {}

func (o *testOwner) AttemptClosed(*inventory.Attempt) {}

func (o *testOwner) CompletionUnrecorded(*inventory.Job, int) {}

func (o *testOwner) CommandsNeeded(m *inventory.Machine) { o.record("command " + m.Name) }

// The methods of Host.

func (o *testOwner) Now() micros.Micros { return o.now }

func (o *testOwner) WallClock() micros.Micros { return o.wallClock }

func (o *testOwner) Superseded() bool { return o.superseded }

func (o *testOwner) OwnsRecordsOf(owner record.OwnerID) bool { return owner == self }

func (o *testOwner) Reset() { o.record("reset") }

func (o *testOwner) RecoverJobs(entries []kv.Entry, revision uint64, requestedAt micros.Micros) {
	o.record("jobs")
	o.jobs = jobsCall{entries, revision, requestedAt}
}

func (o *testOwner) RecoverScaleOutRequests([]kv.Entry) { o.record("scale-out requests") }

func (o *testOwner) RecoverReservations([]kv.Entry) { o.record("reservations") }

func (o *testOwner) PlacedJob(id string) *inventory.Job {
	if o.blocked != nil && o.blocked.ID == id {
		o.inv.Jobs[id] = o.blocked
	}
	return o.inv.Jobs[id]
}

func (o *testOwner) AddMachine(b *inventory.Block, info inventory.MachineInfo) *inventory.Machine {
	return o.inv.AddMachine(b, info, sched.NewResources(28, 0, 112))
}

func (o *testOwner) RecoveryComplete() { o.record("complete") }

// The methods of Pipeline.

func (o *testOwner) OwnsAllTeams() bool { return o.ownsAllTeams }

func (o *testOwner) NewBlock(name string) *inventory.Block {
	o.record("block " + name)
	b := &inventory.Block{Name: name}
	o.blocks = append(o.blocks, b)
	return b
}

func (o *testOwner) AddSegment(s *inventory.CompletionSegment) {
	o.record("segment " + s.Name)
	o.segments = append(o.segments, s)
}

func (o *testOwner) MoveChunk(from, to *inventory.CompletionSegment, j *inventory.Job, chunk int) {
	o.record("move chunk of " + j.ID + " from " + from.Name + " to " + to.Name)
	from.RemoveChunk(j, chunk)
	to.AddChunk(j, chunk)
}

func (o *testOwner) EmptyOversizedSegments() { o.record("empty oversized segments") }

func (o *testOwner) DeleteLater(keys ...string) {
	for _, key := range keys {
		o.record("delete " + key)
	}
}

// The methods of Store.

func (o *testOwner) ListAll(prefix string, done func(kv.Listing, error)) {
	o.record("list " + prefix)
	o.lists = append(o.lists, done)
}

func (o *testOwner) Get(purpose budget.Purpose, key string, done func(kv.Outcome, kv.Entry)) {
	if purpose != budget.Reads {
		o.record("wrong purpose")
	}
	o.record("get " + key)
	o.gets = append(o.gets, done)
}

// takeActions returns the actions since the last call.
func (o *testOwner) takeActions() []string {
	actions := o.actions
	o.actions = nil
	return actions
}

// respondToList responds to the open listing.
func (o *testOwner) respondToList(t *testing.T, listing kv.Listing, err error) {
	t.Helper()
	if len(o.lists) != 1 {
		t.Fatalf("%d listings are open, want 1", len(o.lists))
	}
	done := o.lists[0]
	o.lists = nil
	done(listing, err)
}

// taskNeed is what a task of the jobs of addJob needs.
var taskNeed = sched.NewResources(2, 0, 4)

func newJob(id string, tasks int, gang bool) *inventory.Job {
	return inventory.NewJob(&sched.Job{ID: id, Team: "red", Tasks: tasks, Need: taskNeed, Gang: gang}, 5, 0)
}

// addJob adds an active job.
func (o *testOwner) addJob(id string, tasks int, gang bool) *inventory.Job {
	j := newJob(id, tasks, gang)
	o.inv.Jobs[id] = j
	return j
}

// placement is an attempt in the record of a machine.
type placement struct {
	job   *inventory.Job
	index int
}

// blockEntry returns the record of a block with one machine, which has attempts with number 1.
func blockEntry(owner record.OwnerID, name string, version uint64, machine string, placements ...placement) kv.Entry {
	data := &record.BlockData{
		MachineTypes: []record.BlockMachineType{{Type: "small", Zone: "a"}},
		Machines:     []record.BlockMachine{{Name: machine, Endpoint: "worker:" + machine}},
	}
	addPlacements(data, placements)
	return kv.Entry{Key: record.BlockKey(name), Value: wire.Encode(data.Block(owner)), Version: version}
}

// addPlacements adds attempts to the first machine of a block.
func addPlacements(data *record.BlockData, placements []placement) {
	for i, p := range placements {
		data.Jobs = append(data.Jobs, record.BlockJob{
			ID: p.job.ID, Team: p.job.Team, Tasks: p.job.Tasks,
			CPU: p.job.Need.CPU, GPU: p.job.Need.GPU, Mem: p.job.Need.Mem,
		})
		data.Pack(&data.Machines[0], []record.BlockTask{{Job: i, Index: p.index, Attempt: 1}})
	}
}
