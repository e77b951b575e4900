package fleet

import (
	"context"
	"log/slog"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// fakeHost is an active owner of all machines, without pending jobs. It records the reported
// violations and the requests to the cloud.
type fakeHost struct {
	now           micros.Micros
	activeSince   micros.Micros
	lastHeartbeat micros.Micros
	recovering    bool
	superseded    bool
	lastNumber    uint64
	types         []sched.MachineType
	inventory     *inventory.Inventory
	violations    []string
	calls         []cloudCall
	// onMachineState is called with a machine's name and the reason for its state change.
	onMachineState func(machine, reason string)
}

// logHandler passes state changes of machines to the host and discards all other log records.
type logHandler struct{ host *fakeHost }

func (logHandler) Enabled(context.Context, slog.Level) bool { return true }
func (h logHandler) WithAttrs([]slog.Attr) slog.Handler     { return h }
func (h logHandler) WithGroup(string) slog.Handler          { return h }

func (h logHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message != "machine state changed" || h.host.onMachineState == nil {
		return nil
	}
	values := map[string]string{}
	r.Attrs(func(a slog.Attr) bool {
		values[a.Key] = a.Value.String()
		return true
	})
	h.host.onMachineState(values["machine"], values["reason"])
	return nil
}

// cloudCall is a request to the cloud without a response yet.
type cloudCall struct {
	target string
	body   any
	done   func(status wire.Status, body []byte)
}

func (h *fakeHost) Now() micros.Micros                { return h.now }
func (h *fakeHost) WallClock() micros.Micros          { return h.now }
func (h *fakeHost) MachineTypes() []sched.MachineType { return h.types }
func (h *fakeHost) Superseded() bool                  { return h.superseded }
func (h *fakeHost) IsActive() bool                    { return !h.superseded && !h.recovering }
func (h *fakeHost) ActiveSince() micros.Micros        { return h.activeSince }
func (h *fakeHost) LastHeartbeat() micros.Micros      { return h.lastHeartbeat }
func (h *fakeHost) NextNumber() uint64                { h.lastNumber++; return h.lastNumber }

func (h *fakeHost) ReportViolation(violation string, _ ...any) {
	h.violations = append(h.violations, violation)
}

func (*fakeHost) ID() record.OwnerID                { return record.NewOwnerID("n0", 1) }
func (*fakeHost) OwnsRecordsOf(record.OwnerID) bool { return true }
func (*fakeHost) IsClaimedByPeer(string) bool       { return false }
func (*fakeHost) AdoptsOrphans() bool               { return true }

func (h *fakeHost) NewMachine(info inventory.MachineInfo) *inventory.Machine {
	return h.inventory.AddMachine(&inventory.Block{Name: "b-" + info.Name}, info, sched.Resources{})
}

func (h *fakeHost) NewAdoptedMachine(info inventory.MachineInfo) *inventory.Machine {
	return h.NewMachine(info)
}

func (*fakeHost) Allow() bool { return true }

func (h *fakeHost) Call(_, target string, body any, done func(status wire.Status, body []byte)) {
	h.calls = append(h.calls, cloudCall{target, body, done})
}

func (*fakeHost) QuotaHeadroom(*inventory.Job, sched.Resources) int  { return 0 }
func (*fakeHost) MaxQueueingDelay(*inventory.Job) micros.Micros      { return 0 }
func (*fakeHost) ClassWaitTarget(*inventory.Job) micros.Micros       { return 0 }
func (*fakeHost) EstimatedRunTime(j *inventory.Job) micros.Micros    { return j.Estimate }
func (*fakeHost) RemainingBusyTime(*inventory.Machine) micros.Micros { return 0 }
func (*fakeHost) IsUrgent(*inventory.Job) bool                       { return false }
func (*fakeHost) MinOnDemandTasks(*inventory.Job) int                { return 0 }
func (*fakeHost) HasReservation(string) bool                         { return false }
func (*fakeHost) IsReserved(string) bool                             { return false }
func (*fakeHost) HasNoSingleTypeTasks(*inventory.Machine) bool       { return true }
func (*fakeHost) RemainingRunTime(*inventory.Attempt) micros.Micros  { return 0 }
func (*fakeHost) Evict(*inventory.Attempt, string)                   {}
func (*fakeHost) RequestMachines(*sched.Job, int)                    {}
func (*fakeHost) RecordSpotUptime(micros.Micros)                     {}
func (*fakeHost) RecordSpotReclaimed(*inventory.Machine)             {}
func (*fakeHost) EntryChanged(*inventory.Machine)                    {}
func (*fakeHost) AttemptClosed(*inventory.Attempt)                   {}
func (*fakeHost) CompletionUnrecorded(*inventory.Job, int)           {}
func (*fakeHost) CommandsNeeded(*inventory.Machine)                  {}

// newTestFleet returns the fleet of an owner that became active at time 0, with claimed machines that
// are ready and sent a heartbeat at that time.
func newTestFleet(t *testing.T, machines ...string) (*Fleet, *fakeHost) {
	t.Helper()
	h := &fakeHost{types: []sched.MachineType{{Name: "small", Size: sched.NewResources(4, 0, 16), Boot: 40 * micros.Second}}}
	log := slog.New(logHandler{h})
	h.inventory = inventory.New(h, log)
	settings := &config.Settings{
		Node: "n0", Zones: []string{"a"}, HeartbeatInterval: 3 * micros.Second, WorkerLease: 15 * micros.Second,
		CancellationDeadline: 45 * micros.Second, CloudListLag: 5 * micros.Second, Tuning: config.DefaultTuning(),
	}
	f := New(Config{
		Inventory: h.inventory, Classes: autoscaler.NewClasses(), Settings: settings, Log: log,
		Host: h, Ownership: h, Cloud: h, Jobs: h,
	})
	for _, name := range machines {
		m := h.NewMachine(inventory.MachineInfo{Name: name, Type: "small", Zone: "a", Endpoint: "worker:" + name})
		m.Claim(7)
		m.State, m.TokenConfirmed, m.Recorded, m.AgentEpoch = inventory.MachineReady, true, true, 1
	}
	return f, h
}

// respond delivers the response to the only request to the cloud in flight, which must have the given
// target.
func (h *fakeHost) respond(t *testing.T, target string, status wire.Status, body any) {
	t.Helper()
	if len(h.calls) != 1 || h.calls[0].target != target {
		t.Fatalf("requests in flight: %+v, want one to %s", h.calls, target)
	}
	call := h.calls[0]
	h.calls = nil
	call.done(status, wire.Encode(body))
}

// fakeTransaction records the keys that are written and deleted.
type fakeTransaction struct {
	puts, deletes []string
	results       []func(committed bool, revision uint64)
}

func (x *fakeTransaction) Put(key string, _ any) { x.puts = append(x.puts, key) }
func (x *fakeTransaction) Delete(key string)     { x.deletes = append(x.deletes, key) }
func (x *fakeTransaction) OnResult(done func(committed bool, revision uint64)) {
	x.results = append(x.results, done)
}

// finish reports the result of the transaction to all callbacks.
func (x *fakeTransaction) finish(committed bool) {
	for _, done := range x.results {
		done(committed, 9)
	}
}
