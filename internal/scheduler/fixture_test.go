package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// fixture is a scheduler of one team with a fake host. The record of a machine has space for
// inventory.MaxEntryTasks tasks.
type fixture struct {
	*Scheduler
	fake *fakeHost
}

// fakeHost is a Host that records its calls.
type fakeHost struct {
	inventory *inventory.Inventory
	types     []sched.MachineType
	now       micros.Micros
	numbers   uint64
	changed   []string // machines whose entries changed
	evicted   []string // tasks
	requested []string // jobs for which machines were requested
	commanded []string // machines that may need commands
	inherited map[string]dag.Inheritance
}

func (h *fakeHost) Now() micros.Micros       { return h.now }
func (h *fakeHost) WallClock() micros.Micros { return h.now }
func (h *fakeHost) Committing() bool         { return false }

func (h *fakeHost) NextNumber() uint64 {
	h.numbers++
	return h.numbers
}

func (h *fakeHost) FreeBytes(*inventory.Block) float64 { return 1 << 20 }

func (h *fakeHost) EntryChanged(m *inventory.Machine) { h.changed = append(h.changed, m.Name) }

func (h *fakeHost) CommandsNeeded(m *inventory.Machine) { h.commanded = append(h.commanded, m.Name) }

func (h *fakeHost) AttemptClosed(*inventory.Attempt) {}

func (h *fakeHost) CompletionUnrecorded(*inventory.Job, int) {}

func (h *fakeHost) Evict(a *inventory.Attempt, reason string) {
	h.evicted = append(h.evicted, a.TaskName())
	h.inventory.StopAttempt(a, 0, reason)
}

func (h *fakeHost) Catalog() autoscaler.Catalog {
	return autoscaler.Catalog{Types: h.types, MaxTasks: inventory.MaxEntryTasks}
}

func (h *fakeHost) Market() autoscaler.Market {
	return autoscaler.Market{Catalog: h.Catalog(), Now: h.now}
}

func (h *fakeHost) RequestMachines(job *sched.Job, _ int, _ bool) {
	h.requested = append(h.requested, job.ID)
}

func (h *fakeHost) Inherited(job string) (inherited dag.Inheritance, inPipeline bool) {
	inherited, inPipeline = h.inherited[job]
	return inherited, inPipeline
}

func (h *fakeHost) UnblockPlacedJob(job string) *inventory.Job { return h.inventory.Jobs[job] }

func (h *fakeHost) findType(name string) *sched.MachineType {
	for i := range h.types {
		if h.types[i].Name == name {
			return &h.types[i]
		}
	}
	return nil
}

// newFixture returns a scheduler without machines and jobs.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	zones := []string{"a", "b"}
	settings := &config.Settings{
		Node: "n0", Zone: "a", Zones: zones, Teams: []config.Team{{Name: "red"}},
		HeartbeatInterval: 3 * micros.Second, MaxValueBytes: 8 << 10, MaxTransactionOps: 16,
		Tuning: config.DefaultTuning(),
	}
	host := &fakeHost{
		now:       micros.Hour,
		types:     []sched.MachineType{{Name: "mid", Size: sched.NewResources(28, 0, 112), Price: 1, SpotPrice: 0.3, Zones: zones}},
		inherited: map[string]dag.Inheritance{},
	}
	log := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError}))
	host.inventory = inventory.New(host, log)
	host.inventory.Teams["red"] = &inventory.Team{Team: settings.Teams[0]}
	s := New(Dependencies{
		Host: host,
		Machines: MachineFuncs{
			FreeSlots: func(m *inventory.Machine, _ map[*inventory.Block]float64) int {
				return inventory.MaxEntryTasks - len(m.Attempts)
			},
			Size:     func(m *inventory.Machine) sched.Resources { return m.Size },
			FindType: host.findType,
			RemainingRunTime: func(a *inventory.Attempt) micros.Micros {
				if a.RunningSince == 0 {
					return a.Job.Estimate
				}
				return max(a.Job.Estimate-(host.now-a.RunningSince), micros.Second)
			},
		},
		Inventory: host.inventory,
		Classes:   autoscaler.NewClasses(),
		SpotRisk:  &autoscaler.SpotRisk{},
		Settings:  settings,
		Log:       log,
	})
	return &fixture{Scheduler: s, fake: host}
}

func jobName(n int) string { return fmt.Sprintf("req-%06d", n) }

// addJob adds an active job of team red that was accepted at the given time.
func (f *fixture) addJob(spec *sched.Job, accepted micros.Micros) *inventory.Job {
	spec.Team, spec.Image = "red", "img"
	j := inventory.NewJob(spec, uint64(len(f.inventory.Jobs)+1), accepted)
	j.IdleSince = f.fake.now
	f.inventory.Jobs[j.ID] = j
	f.ApplyInheritance(j)
	f.inventory.QueueJob(j)
	f.classes.RecordSubmission(f.fake.now, spec, f.fake.Catalog())
	f.inventory.SchedulingNeeded = true
	return j
}

// addMachine adds a ready machine of type "mid" in zone a, with an entry in a block of its own.
func (f *fixture) addMachine(n int, spot bool) *inventory.Machine {
	info := inventory.MachineInfo{Name: fmt.Sprintf("m-%06d", n), Type: "mid", Zone: "a", Spot: spot, Endpoint: "worker"}
	m := f.inventory.AddMachine(&inventory.Block{Name: info.Name}, info, f.fake.types[0].Size)
	m.Claim(7)
	m.AgentEpoch, m.TokenConfirmed, m.LastHeartbeat, m.State = 1, true, f.fake.now, inventory.MachineReady
	return m
}

// advance advances the time and records a heartbeat of each machine at the new time.
func (f *fixture) advance(by micros.Micros) {
	f.fake.now += by
	for _, m := range f.inventory.SortedMachines {
		m.LastHeartbeat = f.fake.now
	}
}

// fakeTransaction collects what a scheduler writes.
type fakeTransaction struct {
	required map[string]uint64
	put      map[string]any
	deleted  []string
	results  []func(ok bool, revision uint64)
}

func newFakeTransaction() *fakeTransaction {
	return &fakeTransaction{required: map[string]uint64{}, put: map[string]any{}}
}

func (t *fakeTransaction) Require(key string, version uint64) { t.required[key] = version }

func (t *fakeTransaction) Put(key string, value any) { t.put[key] = value }

func (t *fakeTransaction) Delete(key string) { t.deleted = append(t.deleted, key) }

func (t *fakeTransaction) OnResult(handle func(ok bool, revision uint64)) {
	t.results = append(t.results, handle)
}

// finish calls the result handlers of the transaction.
func (t *fakeTransaction) finish(ok bool) {
	for _, handle := range t.results {
		handle(ok, 10)
	}
}
