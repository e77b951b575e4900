package frontend

import (
	"testing"

	"tamarindlead/internal/freshness"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestCheckResponseRejectsStaleRead sees that an answer which rests on a read from before
// the request is refused instead, and counted as a violation.
func TestCheckResponseRejectsStaleRead(t *testing.T) {
	const job = "req-000001"
	read := func(at micros.Micros) lookupResult {
		return activeResult(7, freshness.Evidence{Basis: freshness.RecordRead, SentAt: at})
	}
	for _, c := range []struct {
		name       string
		result     lookupResult
		ended      bool
		status     int
		violations int
	}{
		{"read after the request", read(101), false, wire.StatusOK, 0},
		{"read before the request", read(99), false, wire.StatusUnavailable, 1},
		{"no read at all", lookupResult{outcome: lookupFound, status: wire.JobQueued}, false, wire.StatusUnavailable, 1},
		{"a peer says that it is cancelled", read(101), true, wire.StatusUnavailable, 1},
		{"final state of a job that is over", terminalResult(wire.JobCancelled), true, wire.StatusOK, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			core := f.frontend
			f.ended[job] = c.ended
			core.respondQuery(userRequest{id: 1, receivedAt: 100}, job, c.result)
			if status := f.responseStatus(); status != c.status || f.violations != c.violations {
				t.Errorf("answered %d with %d violations, want %d and %d", status, f.violations, c.status, c.violations)
			}
		})
	}
}

// TestLateDuplicateRequestsAreLookedUp sees that of the requests that joined a submission only those are
// answered by its commit that came before the commit was sent.
func TestLateDuplicateRequestsAreLookedUp(t *testing.T) {
	f := newFixture(t)
	core := f.frontend
	job := newSmallJob()
	sub := &submission{job: job, requests: []userRequest{{1, f.time - 1}, {2, f.time + 1}}, status: wire.JobQueued}
	core.submissions.byJob[job.ID] = sub
	core.submissions.handleAccepted(sub, freshness.Evidence{Basis: freshness.OwnTransaction, SentAt: f.time})
	if status := f.responseStatus(); status != wire.StatusAccepted {
		t.Errorf("the request that came before the commit is answered %d", status)
	}
	if waiting := core.lookups.pending; len(waiting) != 1 || waiting[0].id != job.ID {
		t.Errorf("%d lookups wait for the other request, want 1", len(waiting))
	}
	if f.violations != 0 || core.submissions.byJob[job.ID] != nil {
		t.Errorf("%d violations, or the submission is not over", f.violations)
	}
}

// TestRefusalRequiresCurrentDependencies sees that a refusal because of an awaited job answers only
// requests that came before that job was looked up, though the job itself is looked up later.
func TestRefusalRequiresCurrentDependencies(t *testing.T) {
	for _, c := range []struct {
		name   string
		cameAt micros.Micros // from the look at the awaited job
		status int           // 0: it is looked up again
	}{
		{"came before", -1, wire.StatusUnprocessable},
		{"joined after", 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			core := f.frontend
			asked := f.time - micros.Second
			sub := &submission{job: newSmallJob(), requests: []userRequest{{1, asked + c.cameAt}}, dependenciesReadAt: asked}
			core.submissions.byJob[sub.job.ID] = sub
			core.submissions.answerDuplicateOrRefuse(sub, permanentRefusal(reasonDependencyNotAccepted))
			lookup := core.lookups.pending[0]
			core.lookups.pending = nil
			lookup.done(lookupResult{outcome: lookupNotFound, evidence: freshness.Evidence{Basis: freshness.RecordRead, SentAt: f.time}})
			if status := f.responseStatus(); status != c.status || f.violations != 0 {
				t.Errorf("answered %d with %d violations, want %d", status, f.violations, c.status)
			}
			if again := len(core.lookups.pending); again != 1 && c.status == 0 {
				t.Errorf("%d lookups follow, want 1", again)
			}
		})
	}
}
