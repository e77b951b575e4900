package frontend

import (
	"testing"

	"tamarindlead/internal/dag"
	"tamarindlead/internal/jobview"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

func (f *fixture) query() { f.request("GET", "/api/jobs/"+testJobID, nil) }

// TestQuery checks the response to a query for different responses of the key-value store, the view
// and the peers.
func TestQuery(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(f *fixture)
		want wire.JobStatus // zero: the request is refused
	}{
		{"version compared", func(f *fixture) {
			f.graph.versions[testJobID] = 7
			f.query()
			f.flush()
			f.respondKV(commitTarget, kv.OK, nil)
		}, wire.JobStatus{ID: testJobID, Status: wire.JobQueued}},
		{"own counts override counts of peers", func(f *fixture) {
			f.ownedVersions[testJobID] = 7
			f.ownedCounts[testJobID], f.peerCounts[testJobID] = TaskCounts{2, 1}, TaskCounts{1, 2}
			f.query()
			f.flush()
			f.respondKV(commitTarget, kv.OK, nil)
		}, wire.JobStatus{ID: testJobID, Status: wire.JobRunning, Done: 2, Running: 1}},
		{"counts of peers", func(f *fixture) {
			f.peerCounts[testJobID] = TaskCounts{1, 2}
			f.query()
			f.flush()
			f.respondKV(activeTarget, kv.OK, activeEntry())
		}, wire.JobStatus{ID: testJobID, Status: wire.JobRunning, Done: 1, Running: 2}},
		{"version outdated, done meanwhile", func(f *fixture) {
			f.graph.versions[testJobID] = 7
			f.query()
			f.flush()
			f.respondKV(commitTarget, kv.PreconditionFailed, kv.TransactionResult{FailedPreconditions: []string{record.ActiveJobKey(testJobID)}})
			f.respondKV(activeTarget, kv.NotFound, nil)
			f.respondKV(terminalTarget, kv.OK, terminalEntry(record.StatusDone))
		}, wire.JobStatus{ID: testJobID, Status: wire.JobDone}},
		{"cancelled, acknowledged", func(f *fixture) {
			f.query()
			f.flush()
			f.respondKV(activeTarget, kv.NotFound, nil)
			f.respondKV(terminalTarget, kv.OK, terminalEntry(record.StatusCancelled))
			f.announcements[0](true)
		}, wire.JobStatus{ID: testJobID, Status: wire.JobCancelled}},
		{"cancelled, not acknowledged", func(f *fixture) {
			f.query()
			f.flush()
			f.respondKV(activeTarget, kv.NotFound, nil)
			f.respondKV(terminalTarget, kv.OK, terminalEntry(record.StatusCancelled))
			f.announcements[0](false)
		}, wire.JobStatus{}},
		{"cancelled since the read was sent", func(f *fixture) {
			f.query()
			f.flush()
			f.cancelled[testJobID] = true
			f.respondKV(activeTarget, kv.OK, activeEntry())
			f.graph.ForgetVersion(testJobID)
			f.flush()
			f.respondKV(activeTarget, kv.NotFound, nil)
			f.respondKV(terminalTarget, kv.OK, terminalEntry(record.StatusCancelled))
			f.announcements[0](true)
		}, wire.JobStatus{ID: testJobID, Status: wire.JobCancelled}},
		{"blocked", func(f *fixture) {
			f.graph.blocked[testJobID] = &dag.BlockedJob{ID: testJobID, Version: 7}
			f.query()
			f.flush()
			f.refreshes[0](true)
		}, wire.JobStatus{ID: testJobID, Status: wire.JobQueued}},
		{"blocked, view not refreshed", func(f *fixture) {
			f.graph.blocked[testJobID] = &dag.BlockedJob{ID: testJobID, Version: 7}
			f.query()
			f.flush()
			f.refreshes[0](false)
		}, wire.JobStatus{}},
		{"depends on a cancelled job", func(f *fixture) {
			f.graph.blocked[testJobID] = &dag.BlockedJob{ID: testJobID, Version: 7, CancelledRoot: "req-000002"}
			f.query()
			f.flush()
			f.refreshes[0](true)
			f.announcements[0](true)
		}, wire.JobStatus{ID: testJobID, Status: wire.JobCancelled}},
		{"no budget before the deadline", func(f *fixture) {
			f.noRequests = true
			f.query()
			f.flush()
			f.time += lookupTimeout
			f.flush()
		}, wire.JobStatus{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.run(f)
			if c.want.ID == "" {
				f.checkResponse(wire.StatusUnavailable, "state service does not answer")
			} else if got := f.onlyResponse(); got.status != wire.StatusOK || got.body != any(c.want) {
				t.Errorf("response %+v, want %+v", got, c.want)
			}
			if f.violations != 0 || len(f.calls) != 0 || f.frontend.lookups.inFlight != 0 || f.frontend.HasPending() {
				t.Errorf("%d violations, %d calls without a response and %d lookups in flight, want none", f.violations, len(f.calls), f.frontend.lookups.inFlight)
			}
		})
	}
}

// TestLookupCount checks that each lookup is counted once.
func TestLookupCount(t *testing.T) {
	f := newFixture(t)
	f.query()
	f.query()
	if first, second := f.frontend.TakeLookupCount(), f.frontend.TakeLookupCount(); first != 2 || second != 0 {
		t.Errorf("counted %d and then %d lookups, want 2 and 0", first, second)
	}
}

// TestLookupsAreBounded checks that lookups beyond the bound are refused at once.
func TestLookupsAreBounded(t *testing.T) {
	f := newFixture(t)
	for range maxPendingLookups {
		f.query()
	}
	if len(f.responses) != 0 {
		t.Fatalf("%d responses before the bound of pending lookups is exceeded, want none", len(f.responses))
	}
	f.query()
	f.checkResponse(wire.StatusUnavailable, "state service does not answer")
}

// TestEnumTextsAreDistinct checks that the texts of enumeration values are distinct.
func TestEnumTextsAreDistinct(t *testing.T) {
	seen := map[string]bool{"invalid": true}
	for _, s := range []string{
		jobview.DependenciesUnknown.String(), jobview.DependenciesNeverAccepted.String(), jobview.DependenciesOpen.String(), jobview.DependenciesCancelled.String(),
		lookupFailed.String(), lookupNotFound.String(), lookupFound.String(),
	} {
		if seen[s] {
			t.Errorf("two values have the text %q, or a value has the text of invalid values", s)
		}
		seen[s] = true
	}
}
