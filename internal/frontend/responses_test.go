package frontend

import (
	"testing"

	"tamarindlead/internal/freshness"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestCheckResponseRejectsStaleRead checks that an answer which rests on a read from before the
// request is refused instead, and counted as a violation.
func TestCheckResponseRejectsStaleRead(t *testing.T) {
	const job = testJobID
	read := func(at micros.Micros) lookupResult {
		return activeResult(7, freshness.Evidence{Basis: freshness.RecordRead, SentAt: at})
	}
	for _, c := range []struct {
		name       string
		result     lookupResult
		ended      bool
		status     wire.Status
		violations int
	}{
		{"read after the request", read(101), false, wire.StatusOK, 0},
		{"read before the request", read(99), false, wire.StatusUnavailable, 1},
		{"no read at all", lookupResult{outcome: lookupFound, phase: wire.JobQueued}, false, wire.StatusUnavailable, 1},
		{"a peer says that it is cancelled", read(101), true, wire.StatusUnavailable, 1},
		{"final state of a job that is over", terminalResult(wire.JobCancelled), true, wire.StatusOK, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.cancelled[job] = c.ended
			f.frontend.responder.respondQuery(userRequest{id: 1, receivedAt: 100}, job, c.result)
			if status := f.onlyResponse().status; status != c.status || f.violations != c.violations {
				t.Errorf("answered %d with %d violations, want %d and %d", status, f.violations, c.status, c.violations)
			}
		})
	}
}

// TestLateDuplicateRequestsAreLookedUp checks that of the requests that joined a submission only those
// are answered by its commit that were received before the commit was sent.
func TestLateDuplicateRequestsAreLookedUp(t *testing.T) {
	f := newFixture(t)
	job, submissions := newSmallJob(), f.frontend.submissions
	sub := &submission{job: job, requests: []userRequest{{1, f.time - 1}, {2, f.time + 1}}, phase: wire.JobQueued}
	submissions.byJob[job.ID] = sub
	submissions.handleAccepted(sub, freshness.Evidence{Basis: freshness.OwnTransaction, SentAt: f.time})
	if got := f.onlyResponse(); got.status != wire.StatusCreated || got.request != 1 {
		t.Errorf("request %d is answered %d, want request 1 to be answered %d", got.request, got.status, wire.StatusCreated)
	}
	if pending := f.frontend.lookups.pending; len(pending) != 1 || pending[0].job != job.ID {
		t.Errorf("%d lookups are pending for the other request, want 1", len(pending))
	}
	if f.violations != 0 || submissions.byJob[job.ID] != nil {
		t.Errorf("%d violations, or the submission has not ended", f.violations)
	}
}

// TestRefusalRequiresCurrentDependencies checks that a refusal because of a dependency answers
// only requests that were received before the dependency was read, though the job itself is
// looked up later.
func TestRefusalRequiresCurrentDependencies(t *testing.T) {
	for _, c := range []struct {
		name       string
		receivedAt micros.Micros // since the read of the dependency
		status     wire.Status   // 0: it is looked up again
	}{
		{"came before", -1, wire.StatusUnprocessable},
		{"joined after", 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			readAt := f.time - micros.Second
			sub := &submission{job: newSmallJob(), requests: []userRequest{{1, readAt + c.receivedAt}}, dependenciesReadAt: readAt}
			f.frontend.submissions.byJob[sub.job.ID] = sub
			f.frontend.submissions.answerDuplicateOrRefuse(sub, permanentRefusal(reasonDependencyNotAccepted))
			lookup := f.frontend.lookups.pending[0]
			f.frontend.lookups.pending = nil
			if len(f.responses) != 0 {
				t.Fatalf("answered %+v before the lookup", f.responses)
			}
			lookup.done(lookupResult{outcome: lookupNotFound, evidence: freshness.Evidence{Basis: freshness.RecordRead, SentAt: f.time}})
			if c.status != 0 {
				f.checkResponse(c.status, reasonDependencyNotAccepted)
			} else if len(f.responses) != 0 {
				t.Errorf("answered %+v, want another lookup", f.responses)
			}
			if again := len(f.frontend.lookups.pending); again != 1 && c.status == 0 {
				t.Errorf("%d lookups follow, want 1", again)
			}
			if f.violations != 0 {
				t.Errorf("%d violations", f.violations)
			}
		})
	}
}
