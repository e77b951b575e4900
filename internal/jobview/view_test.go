package jobview

import (
	"slices"
	"testing"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// TestWatch checks that a node without teams lists the active jobs and applies their changes, and that
// it does neither while it owns teams.
func TestWatch(t *testing.T) {
	v, node := newSyncedView(t, acceptanceWrites(jobA, 8<<10)...)
	if !v.Graph().IsActive(jobA) || v.CancellationsKnownUntil() != node.now {
		t.Fatalf("listed: %v, known until %v, want true and the present time", v.Graph().IsActive(jobA), v.CancellationsKnownUntil())
	}
	node.commit(acceptanceWrites(jobB, 8<<10)...)
	node.advance(watchInterval)
	sentAt := node.now
	node.advance(micros.Second)
	node.respondAll()
	if !v.Graph().IsActive(jobB) || v.CancellationsKnownUntil() != sentAt {
		t.Fatalf("watched: %v, known until %v, want true and %v", v.Graph().IsActive(jobB), v.CancellationsKnownUntil(), sentAt)
	}
	node.ownsTeams = true
	requests := node.requests
	for range 3 {
		node.advance(watchInterval)
		v.Tick()
	}
	if node.requests != requests || len(node.timers) > 0 {
		t.Fatalf("an owner sent %d requests and has %d timers, want none", node.requests-requests, len(node.timers))
	}
	node.ownsTeams = false
	v.Tick()
	node.advance(watchInterval)
	if node.requests != requests+1 {
		t.Fatal("the watch was not resumed with one request after the node stopped owning teams")
	}
}

// TestWatchAfterFailure checks that a watch whose changes were compacted is replaced by a listing
// after a pause.
func TestWatchAfterFailure(t *testing.T) {
	v, node := newSyncedView(t)
	node.kvStore.CompactHistory = true
	node.commit(acceptanceWrites(jobA, 8<<10)...)
	node.advance(watchInterval)
	node.respondAll()
	if v.Graph().IsSynced() {
		t.Fatal("still synced after missed changes")
	}
	v.Tick()
	if len(node.unanswered) > 0 {
		t.Fatal("listed again without a pause")
	}
	node.advance(watchInterval)
	v.Tick()
	node.respondAll()
	if !v.Graph().IsSynced() || !v.Graph().IsActive(jobA) || node.changesMissed > 0 {
		t.Fatalf("synced: %v, active: %v, %d calls of ChangesMissed, want true, true and none", v.Graph().IsSynced(), v.Graph().IsActive(jobA), node.changesMissed)
	}
}

// TestRefreshSharesReads checks that one read serves all queries that were queued before it was sent,
// and that later queries get a newer read.
func TestRefreshSharesReads(t *testing.T) {
	v, node := newSyncedView(t)
	var order []string
	refresh := func(name, job string) {
		v.Refresh(func(ok bool) {
			if !ok || !v.Graph().IsActive(job) {
				t.Errorf("%s: ok %v, job %s active %v", name, ok, job, v.Graph().IsActive(job))
			}
			order = append(order, name)
		})
	}
	node.commit(acceptanceWrites(jobA, 8<<10)...)
	refresh("first", jobA)
	node.commit(acceptanceWrites(jobB, 8<<10)...)
	refresh("second", jobB)
	refresh("third", jobB)
	if node.requests != 1 {
		t.Fatalf("%d requests before the first response, want 1", node.requests)
	}
	node.respondAll()
	if want := []string{"first", "second", "third"}; !slices.Equal(order, want) || node.requests != 2 {
		t.Fatalf("callbacks %v after %d requests, want first, second, third after 2", order, node.requests)
	}
}

// TestRefreshFails checks that the callback is called even if the present state cannot be read.
func TestRefreshFails(t *testing.T) {
	tests := []struct {
		name       string
		prepare    func(v *View, node *testNode)
		wantMissed int
	}{
		{"not synced", func(v *View, _ *testNode) { v.Graph().MarkUnsynced() }, 0},
		{"compacted", func(_ *View, node *testNode) { node.kvStore.CompactHistory = true }, 1},
		{"unavailable", func(_ *View, node *testNode) { node.kvStore.Unavailable = true }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, node := newSyncedView(t)
			node.commit(acceptanceWrites(jobA, 8<<10)...)
			test.prepare(v, node)
			var results []bool
			v.Refresh(func(ok bool) { results = append(results, ok) })
			node.respondAll()
			if !slices.Equal(results, []bool{false}) || node.changesMissed != test.wantMissed {
				t.Fatalf("results %v, %d calls of ChangesMissed, want one false, and one call only if the history was compacted", results, node.changesMissed)
			}
		})
	}
}

// TestRefreshWaitsForBudget checks that a refresh waits for the budget, and fails after the timeout of a
// user's request.
func TestRefreshWaitsForBudget(t *testing.T) {
	tests := []struct {
		name     string
		rate     float64
		wantOK   bool
		wantWait micros.Micros
	}{
		{"regained before the timeout", 2, true, 500 * micros.Millisecond},
		{"regained after the timeout", 0.5, false, micros.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, node := newLimitedView(t, budget.Limits{Requests: test.rate, Writes: 1})
			v.Graph().Reset(nil, 0)
			for v.budget.Take(budget.UserRequests, 0, node.now) {
			}
			start, endedAt, ended := node.now, micros.Micros(0), 0
			v.Refresh(func(ok bool) {
				ended++
				endedAt = node.now
				if ok != test.wantOK {
					t.Errorf("ok %v, want the opposite", ok)
				}
			})
			for node.now < start+3*micros.Second {
				node.advance(testSettings.TickInterval)
				node.respondAll()
			}
			if ended != 1 || endedAt != start+test.wantWait {
				t.Fatalf("%d callbacks, after %v, want 1 as soon as the budget is regained, or at the timeout", ended, endedAt-start)
			}
		})
	}
}

// TestResolveBlockedJobs checks that an owner reads which blocked jobs are ready and which are cancelled,
// with at most one read in flight, and with a pause after a read that found nothing.
func TestResolveBlockedJobs(t *testing.T) {
	v, node := newSyncedView(t, slices.Concat(
		acceptanceWrites(jobA, 8<<10), acceptanceWrites(jobB, 8<<10), acceptanceWrites(jobC, 8<<10),
		acceptanceWrites(dependentOfA, 8<<10, jobA), acceptanceWrites(dependentOfB, 8<<10, jobB), acceptanceWrites(dependentOfC, 1, jobC),
	)...)
	step := func() {
		t.Helper()
		v.ResolveBlockedJobs()
		v.ResolveBlockedJobs()
		if len(node.unanswered) > 1 {
			t.Fatalf("%d reads in flight, want at most 1", len(node.unanswered))
		}
		node.respondAll()
	}
	step() // reads the parts of dependentOfC
	if v.Graph().FirstIncomplete() != nil || node.requests != 1 {
		t.Fatalf("%d requests, incomplete job %v, want 1 and none", node.requests, v.Graph().FirstIncomplete())
	}
	node.commit(slices.Concat(
		terminalStateWrites(jobA, record.TerminalState{Status: record.StatusDone, FinishedAt: 1}),
		terminalStateWrites(jobB, record.TerminalState{Status: record.StatusCancelled}),
		[]kv.Write{{Delete: record.ActiveJobKey(jobC)}},
	)...)
	v.Refresh(func(bool) {})
	node.respondAll()
	step()
	if !slices.Equal(node.ready, []string{dependentOfA}) || !slices.Equal(node.cancelled, []string{dependentOfB}) {
		t.Fatalf("ready %v, cancelled %v, want the dependents of jobA and of jobB", node.ready, node.cancelled)
	}
	node.advance(testSettings.TickInterval)
	step() // finds no terminal state of jobC
	requests := node.requests
	node.advance(testSettings.TickInterval)
	step()
	if node.requests != requests {
		t.Fatal("read again before ReadRetryDelay had passed")
	}
	node.advance(testSettings.ReadRetryDelay)
	step()
	if node.requests != requests+1 {
		t.Fatal("not read again with one request after ReadRetryDelay")
	}
}
