package cluster

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const testTTL = 9 * micros.Second

// fakeCall is a pending call.
type fakeCall struct {
	request kv.Request
	done    func(micros.Micros, kv.Result)
}

// fakeKVClient records calls until a test completes them.
type fakeKVClient struct {
	calls   []fakeCall
	watches []fakeCall
}

// Call implements KVClient.
func (s *fakeKVClient) Call(request kv.Request, done func(micros.Micros, kv.Result)) {
	s.calls = append(s.calls, fakeCall{request, done})
}

// Watch implements KVClient.
func (s *fakeKVClient) Watch(prefix string, after uint64, done func(micros.Micros, kv.Result)) {
	s.watches = append(s.watches, fakeCall{kv.Watch(prefix, after, 0), done})
}

// fakeHost is a Host that counts notifications.
type fakeHost struct {
	ownershipChanges int
	viewChanges      int
	unreachable      bool
}

// OwnershipChanged implements Host.
func (h *fakeHost) OwnershipChanged() { h.ownershipChanges++ }

// ViewChanged implements Host.
func (h *fakeHost) ViewChanged() { h.viewChanges++ }

// UnreachableByWorkers implements Host.
func (h *fakeHost) UnreachableByWorkers() bool { return h.unreachable }

// fixture is node n0 of a cluster of three nodes, with fakes of its KVClient and its Host.
type fixture struct {
	t        *testing.T
	now      micros.Micros
	kvClient *fakeKVClient
	host     *fakeHost
	node     *Node
}

// testSettings returns the settings of node n0 in a cluster with some teams.
func testSettings(teams ...string) *config.Settings {
	settings := &config.Settings{
		Node: "n0", Siblings: []config.Sibling{{Node: "n1"}, {Node: "n2"}}, MaxTransactionOps: 16,
		Tuning: config.Tuning{LeaderTTL: testTTL},
	}
	for _, name := range teams {
		settings.Teams = append(settings.Teams, config.Team{Name: name})
	}
	return settings
}

func newFixture(t *testing.T, settings *config.Settings) *fixture {
	f := &fixture{t: t, now: micros.Hour, kvClient: &fakeKVClient{}, host: &fakeHost{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f.node = New(settings, f.kvClient, f.host, rand.New(rand.NewPCG(1, 2)), log)
	return f
}

// tick advances the time and calls the node's Tick.
func (f *fixture) tick(after micros.Micros) {
	f.now += after
	f.node.Tick(f.now)
}

// expect removes the earliest pending call and returns it. It fails the test if the call has
// another method or target.
func (f *fixture) expect(method, target string) fakeCall {
	f.t.Helper()
	if len(f.kvClient.calls) == 0 {
		f.t.Fatalf("no call is pending; want %s %s", method, target)
	}
	call := f.kvClient.calls[0]
	f.kvClient.calls = f.kvClient.calls[1:]
	if call.request.Method != method || call.request.Target != target {
		f.t.Fatalf("call %s %s; want %s %s", call.request.Method, call.request.Target, method, target)
	}
	return call
}

func (f *fixture) expectNoCall() {
	f.t.Helper()
	if len(f.kvClient.calls) > 0 {
		request := f.kvClient.calls[0].request
		f.t.Fatalf("unexpected call %s %s", request.Method, request.Target)
	}
}

// respond completes a call successfully, with a body.
func (f *fixture) respond(call fakeCall, body any) {
	call.done(f.now, kv.Result{Outcome: kv.OK, Body: wire.Encode(body)})
}

// fail completes a call with an outcome other than success.
func (f *fixture) fail(call fakeCall, outcome kv.Outcome) {
	call.done(f.now, kv.Result{Outcome: outcome})
}

// transactionBody is the body of the request for a transaction.
type transactionBody struct {
	Preconditions []kv.Precondition `cbor:"guards"`
	Writes        []struct {
		Put   string         `cbor:"put"`
		Lease uint64         `cbor:"tenancy"`
		Value map[string]any `cbor:"data"`
	} `cbor:"writes"`
}

// expectTransaction removes the earliest pending call, which must be a transaction, and returns it
// with its body.
func (f *fixture) expectTransaction() (fakeCall, transactionBody) {
	f.t.Helper()
	call := f.expect("POST", "/commit")
	var body transactionBody
	if err := wire.Decode(call.request.Body, &body); err != nil {
		f.t.Fatal(err)
	}
	return call, body
}

const (
	memberTarget = "/kv/c/n/n0"
	leaderTarget = "/kv/c/leader"
	testLease    = 5

	joinRevision   = 10 // revision of the transaction that makes the node a member
	leaderRevision = 20 // revision of the transaction that makes the node the leader
)

// listTarget is the target of the request that lists the cluster's records.
var listTarget = kv.List(record.ClusterPrefix, "").Target

// join makes the node a member. Its listing contains its own record and the given entries.
func (f *fixture) join(entries ...kv.Entry) {
	f.t.Helper()
	f.tick(0)
	read := f.expect("GET", memberTarget)
	list := f.expect("GET", listTarget)
	f.fail(read, kv.NotFound)
	f.respond(f.expect("POST", "/leases"), kv.LeaseGrant{Lease: testLease})
	transaction, _ := f.expectTransaction()
	f.respond(transaction, kv.TransactionResult{Revision: joinRevision})
	entries = append([]kv.Entry{f.ownEntry()}, entries...)
	f.respond(list, kv.Page{Entries: entries, Revision: joinRevision})
}

// lead makes the node a member and the leader.
func (f *fixture) lead(entries ...kv.Entry) {
	f.t.Helper()
	f.join(entries...)
	f.tick(campaignJitter)
	transaction, _ := f.expectTransaction()
	f.respond(transaction, kv.TransactionResult{Revision: leaderRevision})
	if !f.node.IsLeader() {
		f.t.Fatal("the node does not lead")
	}
}

func (f *fixture) ownEntry() kv.Entry {
	return memberEntry("n0", f.node.Incarnation(), joinRevision)
}

func memberEntry(node string, incarnation, version uint64) kv.Entry {
	return kv.Entry{
		Key: record.MemberKey(node), Value: wire.Encode(record.Member{Incarnation: incarnation}), Version: version,
	}
}

func leaderEntry(node string, incarnation, version uint64) kv.Entry {
	leader := record.Leader{Node: node, Incarnation: incarnation}
	return kv.Entry{Key: record.LeaderKey, Value: wire.Encode(leader), Version: version}
}

func teamEntry(name string, team record.Team, version uint64) kv.Entry {
	return kv.Entry{Key: record.TeamKey(name), Value: wire.Encode(team), Version: version}
}

// put completes the pending watch with writes of records.
func (f *fixture) put(entries ...kv.Entry) {
	f.t.Helper()
	var changes kv.WatchResult
	for _, entry := range entries {
		changes.Events = append(changes.Events, kv.Change{Put: entry.Key, Value: entry.Value, Version: entry.Version})
		changes.Revision = max(changes.Revision, entry.Version)
	}
	f.respondToWatch(changes)
}

// delete completes the pending watch with the deletion of a record.
func (f *fixture) delete(key string, revision uint64) {
	f.t.Helper()
	f.respondToWatch(kv.WatchResult{Events: []kv.Change{{Delete: key, Version: revision}}, Revision: revision})
}

// respondToWatch completes the pending watch.
func (f *fixture) respondToWatch(changes kv.WatchResult) {
	f.t.Helper()
	if len(f.kvClient.watches) != 1 {
		f.t.Fatalf("%d watches are pending; want 1", len(f.kvClient.watches))
	}
	watch := f.kvClient.watches[0]
	f.kvClient.watches = nil
	f.respond(watch, changes)
}
