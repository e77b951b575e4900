package jobview

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"testing"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// testSettings are the intervals of a controller.
var testSettings = Settings{
	RequestTimeout: micros.Second,
	TickInterval:   50 * micros.Millisecond,
	ReadRetryDelay: 250 * micros.Millisecond,
}

// Names of jobs in tests, in the form that submissions require.
const (
	jobA         = "req-000001"
	jobB         = "req-000002"
	jobC         = "req-000003"
	dependentOfA = "req-000011"
	dependentOfB = "req-000012"
	dependentOfC = "req-000013"
)

func jobName(i int) string { return fmt.Sprintf("req-%06d", i) }

// testNode is a Host and an Observer with a key-value store of its own. Requests get a response when
// the test calls respondFirst or respondAll.
type testNode struct {
	t              testing.TB
	now            micros.Micros
	timers         []testTimer
	kvStore        *fake.KVStore
	unanswered     []sentRequest
	requests       int // sent
	throttledUntil micros.Micros
	ownsTeams      bool

	ready         []string
	cancelled     []string
	changesMissed int
}

type testTimer struct {
	at micros.Micros
	do func()
}

type sentRequest struct {
	request kv.Request
	done    func(kv.Response)
}

// newTestView returns a view that is not synced, with limits that no test reaches.
func newTestView(t testing.TB) (*View, *testNode) {
	return newLimitedView(t, budget.Limits{Requests: 1e6, Writes: 1e6})
}

// newLimitedView returns a view that is not synced, with the given limits.
func newLimitedView(t testing.TB, limits budget.Limits) (*View, *testNode) {
	node := &testNode{t: t, now: micros.Hour, kvStore: fake.NewKVStore()}
	log := slog.New(slog.NewTextHandler(t.Output(), nil))
	limit := budget.New(limits, 1)
	return New(node, node, testSettings, kv.New(node, limit, record.LeaderKey, log), limit, log), node
}

// newSyncedView returns a view that has listed the active jobs after the given writes.
func newSyncedView(t testing.TB, writes ...kv.Write) (*View, *testNode) {
	t.Helper()
	v, node := newTestView(t)
	node.commit(writes...)
	v.Tick()
	node.respondAll()
	if !v.Graph().IsSynced() {
		t.Fatal("the active jobs were not listed")
	}
	node.requests = 0
	return v, node
}

// acceptanceWrites returns the writes that accept a job. If valueBytes is small, its
// dependencies are stored in parts.
func acceptanceWrites(id string, valueBytes int, dependencies ...string) []kv.Write {
	writes, _ := record.JobWrites(&sched.Job{
		ID: id, Class: "work", Team: "red", Priority: sched.Normal, Tasks: 3, Need: sched.NewResources(2, 0, 2),
		Image: "img", ImageGB: 1, Estimate: 10 * micros.Second, Dependencies: dependencies,
	}, 1, valueBytes)
	return writes
}

// terminalStateWrites returns the writes that replace the record of an active job by its terminal state.
func terminalStateWrites(id string, state record.TerminalState) []kv.Write {
	return []kv.Write{
		{Delete: record.ActiveJobKey(id)},
		{Put: record.TerminalStateKey(id), Value: state},
	}
}

// commit writes to the key-value store.
func (n *testNode) commit(writes ...kv.Write) {
	n.t.Helper()
	request := kv.Transaction(nil, writes)
	response, _ := n.kvStore.Handle("n1", request.Method, request.Target, request.Body, true)
	if response.Status != http.StatusOK {
		n.t.Fatalf("transaction: status %d", response.Status)
	}
}

// respondAll responds to all requests, including those that are sent because of the responses.
func (n *testNode) respondAll() {
	for len(n.unanswered) > 0 {
		n.respondFirst()
	}
}

// respondFirst responds to the oldest request.
func (n *testNode) respondFirst() {
	n.t.Helper()
	n.respond(0)
}

// respondLast responds to the newest request.
func (n *testNode) respondLast() {
	n.t.Helper()
	n.respond(len(n.unanswered) - 1)
}

// respond responds to the request at an index of unanswered.
func (n *testNode) respond(index int) {
	n.t.Helper()
	sent := n.unanswered[index]
	n.unanswered = slices.Delete(n.unanswered, index, index+1)
	if n.now < n.throttledUntil {
		sent.done(kv.Response{Status: http.StatusTooManyRequests, Sent: true})
		return
	}
	response, _ := n.kvStore.Handle("n0", sent.request.Method, sent.request.Target, sent.request.Body, true)
	sent.done(kv.Response{Status: response.Status, Body: response.Body, Sent: true})
}

// advance advances the time and calls the timers that are due, in the order in which they were set.
func (n *testNode) advance(d micros.Micros) {
	n.now += d
	timers := n.timers
	n.timers = nil
	for _, timer := range timers {
		if n.now < timer.at {
			n.timers = append(n.timers, timer)
			continue
		}
		timer.do()
	}
}

// Now implements Host and kv.Host.
func (n *testNode) Now() micros.Micros { return n.now }

// WallClock implements Host.
func (n *testNode) WallClock() micros.Micros { return n.now }

// After implements Host and kv.Host.
func (n *testNode) After(d micros.Micros, do func()) {
	n.timers = append(n.timers, testTimer{n.now + d, do})
}

// WatchWait implements Host.
func (n *testNode) WatchWait() micros.Micros { return kv.WatchWait }

// OwnsTeams implements Host.
func (n *testNode) OwnsTeams() bool { return n.ownsTeams }

// Send implements kv.Host.
func (n *testNode) Send(request kv.Request, _ micros.Micros, done func(kv.Response)) {
	n.requests++
	n.unanswered = append(n.unanswered, sentRequest{request, done})
}

// ConnectedPeer implements kv.Host.
func (n *testNode) ConnectedPeer() string { return "" }

// SendViaPeer implements kv.Host.
func (n *testNode) SendViaPeer(peer string, _ kv.Request, _ micros.Micros, _ func(kv.Response)) {
	n.t.Errorf("request relayed by peer %q", peer)
}

// JobPut implements Observer.
func (n *testNode) JobPut(string, []byte, uint64) {}

// JobDeleted implements Observer.
func (n *testNode) JobDeleted(string) {}

// JobReady implements Observer.
func (n *testNode) JobReady(job *dag.BlockedJob) { n.ready = append(n.ready, job.ID) }

// JobCancelled implements Observer.
func (n *testNode) JobCancelled(id string) { n.cancelled = append(n.cancelled, id) }

// InheritanceChanged implements Observer.
func (n *testNode) InheritanceChanged(string) {}

// EstimateOf implements Observer.
func (n *testNode) EstimateOf(job *dag.BlockedJob) micros.Micros { return job.Estimate }

// ChangesMissed implements Observer.
func (n *testNode) ChangesMissed() { n.changesMissed++ }
