package frontend

import (
	"log/slog"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/jobview"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const testJobID = "req-000001"

// newSmallJob returns a job that fits the fixture's machine type.
func newSmallJob() *sched.Job {
	return &sched.Job{
		ID: testJobID, Class: "work", Team: "red", Priority: sched.Normal, Tasks: 1,
		Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: 10 * micros.Second,
	}
}

// response is a response to a user.
type response struct {
	request    uint64
	status     wire.Status
	body       any
	retryAfter bool // with Retry-After
}

// reason returns the reason for which a request was refused, or "".
func (r response) reason() string {
	if body, ok := r.body.(wire.ErrorResponse); ok {
		return body.Error
	}
	return ""
}

// kvCall is a call to the key-value store that has not had its response yet.
type kvCall struct {
	request kv.Request
	done    func(kv.Result)
}

// fixture is a frontend on a fake node, which is connected, knows one machine type and has no jobs. It
// implements the interfaces of the node whose methods have distinct names; the other interfaces have
// fakes of their own.
type fixture struct {
	t        *testing.T
	frontend *Frontend

	time     micros.Micros
	isolated bool
	types    []sched.MachineType
	// confirm replaces ConfirmMachineTypes. If it is nil, the machine types are confirmed unchanged.
	confirm    func(done func(confirmed bool))
	violations int
	responses  []response

	// The key-value store and the budget of calls to it.
	unavailable bool
	calls       []kvCall
	writes      int  // the available writes
	noRequests  bool // the budget allows no requests

	graph           *fakeGraph
	dependencyCheck func(jobview.DependencyResult) // callback of the latest call of CheckDependencies
	refreshes       []func(ok bool)                // callbacks of the calls of Refresh
	terminal        map[string]wire.JobPhase
	cancelled       map[string]bool
	announcements   []func(mayAcknowledge bool) // callbacks of the calls of Announce
	ownedVersions   map[string]uint64
	ownedCounts     map[string]TaskCounts
	peerCounts      map[string]TaskCounts
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		t: t, time: micros.Hour, writes: 12,
		types:    []sched.MachineType{{Name: "mid", Size: sched.NewResources(28, 0, 112), Zones: []string{"a"}}},
		graph:    &fakeGraph{synced: true, versions: map[string]uint64{}, blocked: map[string]*dag.BlockedJob{}},
		terminal: map[string]wire.JobPhase{}, cancelled: map[string]bool{}, ownedVersions: map[string]uint64{},
		ownedCounts: map[string]TaskCounts{}, peerCounts: map[string]TaskCounts{},
	}
	settings := &config.Settings{
		Zones: []string{"a"}, MaxTransactionOps: 12, MaxValueBytes: 8 << 10,
		Teams: []config.Team{{Name: "red", QuotaLimit: sched.NewResources(20, 0, 0)}},
	}
	f.frontend = New(
		Config{Settings: settings, MaxTransactionBytes: 60 << 10, Log: slog.New(slog.DiscardHandler)},
		Services{
			Host: f, KV: f, Budget: f, Graph: f.graph, JobView: f, TerminalStates: fakeTerminalStates{f},
			Cancellations: f, Owner: fakeOwner{f}, Peers: fakePeers{f},
		}, f)
	return f
}

// onlyResponse returns the one response that was sent.
func (f *fixture) onlyResponse() response {
	f.t.Helper()
	if len(f.responses) != 1 {
		f.t.Fatalf("%d responses, want 1: %+v", len(f.responses), f.responses)
	}
	return f.responses[0]
}

// checkResponse checks that one response was sent, its status, and its reason if it refuses.
func (f *fixture) checkResponse(status wire.Status, reason wire.RefusalReason) {
	f.t.Helper()
	got := f.onlyResponse()
	if got.status != status || got.reason() != string(reason) {
		f.t.Errorf("response %d %q, want %d %q", got.status, got.reason(), status, reason)
	}
	temporary := status == wire.StatusUnavailable || status == wire.StatusTooManyRequests
	if got.retryAfter != temporary {
		f.t.Errorf("response %d with Retry-After %t, want it exactly in temporary refusals", got.status, got.retryAfter)
	}
}

// request sends a request with ID 1.
func (f *fixture) request(method, path string, body []byte) {
	f.frontend.HandleRequest(Request{ID: 1, Method: method, Path: path, Body: body})
}

// flush advances the time by LookupBatchInterval and sends the pending submissions and lookups.
func (f *fixture) flush() {
	f.time += LookupBatchInterval
	f.frontend.FlushSubmissions()
	f.frontend.FlushLookups()
}

// respondKV checks the target of the oldest call to the key-value store and responds to it. The
// response has a body unless body is nil.
func (f *fixture) respondKV(target string, outcome kv.Outcome, body any) {
	f.t.Helper()
	if len(f.calls) == 0 {
		f.t.Fatalf("no call to the key-value store, want a call of %s", target)
	}
	call := f.calls[0]
	f.calls = f.calls[1:]
	if call.request.Target != target {
		f.t.Fatalf("call of %s, want %s", call.request.Target, target)
	}
	result := kv.Result{Outcome: outcome}
	if body != nil {
		result.Body = wire.Encode(body)
	}
	call.done(result)
}

// Now implements Host.
func (f *fixture) Now() micros.Micros { return f.time }

// WallClock implements Host.
func (f *fixture) WallClock() micros.Micros { return f.time }

// IsIsolated implements Host.
func (f *fixture) IsIsolated() bool { return f.isolated }

// MachineTypes implements Host.
func (f *fixture) MachineTypes() []sched.MachineType { return f.types }

// ConfirmMachineTypes implements Host.
func (f *fixture) ConfirmMachineTypes(done func(confirmed bool)) {
	if f.confirm == nil {
		done(true)
		return
	}
	f.confirm(done)
}

// MachineTypesOrigin implements Host.
func (f *fixture) MachineTypesOrigin() (source string, age micros.Micros) { return "cloud", 0 }

// ReportViolation implements Host.
func (f *fixture) ReportViolation(string, ...any) { f.violations++ }

// Respond implements ResponseWriter.
func (f *fixture) Respond(request uint64, status wire.Status, body any) {
	f.responses = append(f.responses, response{request, status, body, false})
}

// Refuse implements ResponseWriter.
func (f *fixture) Refuse(request uint64, status wire.Status, reason wire.RefusalReason) {
	f.responses = append(f.responses, response{request, status, wire.ErrorResponse{Error: string(reason)}, true})
}

// Do implements KVClient.
func (f *fixture) Do(_ budget.Purpose, request kv.Request, done func(kv.Result)) {
	f.calls = append(f.calls, kvCall{request, done})
}

// Get implements KVClient.
func (f *fixture) Get(purpose budget.Purpose, key string, done func(kv.Outcome, kv.Entry)) {
	f.Do(purpose, kv.Get(key), func(result kv.Result) {
		var entry kv.Entry
		if result.Outcome == kv.OK && result.Decode(&entry) != nil {
			f.t.Fatalf("entry of %s cannot be decoded", key)
		}
		done(result.Outcome, entry)
	})
}

// Unavailable implements KVClient.
func (f *fixture) Unavailable() bool { return f.unavailable }

// UsesPeerRoute implements KVClient.
func (f *fixture) UsesPeerRoute() bool { return false }

// MayRequest implements Budget.
func (f *fixture) MayRequest(budget.Purpose, micros.Micros) bool { return !f.noRequests }

// AvailableWrites implements Budget.
func (f *fixture) AvailableWrites(budget.Purpose, micros.Micros) int { return f.writes }

// WriteBurst implements Budget.
func (f *fixture) WriteBurst() int { return 12 }

// Refresh implements JobView.
func (f *fixture) Refresh(done func(ok bool)) { f.refreshes = append(f.refreshes, done) }

// ResolveDependencies implements JobView.
func (f *fixture) ResolveDependencies(_ []string, _ micros.Micros, done func(ok bool)) { done(true) }

// CheckDependencies implements JobView.
func (f *fixture) CheckDependencies(_ []string, _ micros.Micros, done func(jobview.DependencyResult)) {
	f.dependencyCheck = done
}

// IsCancelled implements Cancellations.
func (f *fixture) IsCancelled(job string) bool { return f.cancelled[job] }

// Announce implements Cancellations.
func (f *fixture) Announce(_ string, _ micros.Micros, done func(mayAcknowledge bool)) {
	f.announcements = append(f.announcements, done)
}

// fakeGraph implements Graph.
type fakeGraph struct {
	synced   bool
	versions map[string]uint64
	blocked  map[string]*dag.BlockedJob
}

func (g *fakeGraph) IsSynced() bool { return g.synced }

func (g *fakeGraph) State(job string) dag.JobState {
	if g.blocked[job] == nil {
		return dag.JobNotActive
	}
	return g.blocked[job].State()
}

func (g *fakeGraph) Blocked(job string) *dag.BlockedJob { return g.blocked[job] }

func (g *fakeGraph) HasOpenDependencies(job string) bool { return g.blocked[job] != nil }

func (g *fakeGraph) Version(job string) uint64 { return g.versions[job] }

func (g *fakeGraph) SetVersion(job string, version uint64) { g.versions[job] = version }

func (g *fakeGraph) ForgetVersion(job string) { delete(g.versions, job) }

// fakeTerminalStates implements TerminalStates.
type fakeTerminalStates struct{ f *fixture }

func (s fakeTerminalStates) Of(job string) wire.JobPhase { return s.f.terminal[job] }

func (s fakeTerminalStates) Remember(job string, state wire.JobPhase) { s.f.terminal[job] = state }

// fakeOwner implements OwnedJobs.
type fakeOwner struct{ f *fixture }

func (o fakeOwner) Version(job string) (version uint64, owned bool) {
	version, owned = o.f.ownedVersions[job]
	return version, owned
}

func (o fakeOwner) TaskCounts(job string) (counts TaskCounts, owned bool) {
	counts, owned = o.f.ownedCounts[job]
	return counts, owned
}

// fakePeers implements PeerJobs.
type fakePeers struct{ f *fixture }

func (p fakePeers) TaskCounts(job string) TaskCounts { return p.f.peerCounts[job] }
