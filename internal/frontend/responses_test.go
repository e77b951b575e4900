package frontend

import (
	"testing"

	"tamarindlead/internal/freshness"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestCheckResponseRefusesStaleRead checks that a response that is based on a read from before the
// request is replaced by a refusal, and counted as a violation.
func TestCheckResponseRefusesStaleRead(t *testing.T) {
	const job = testJobID
	read := func(at micros.Micros) lookupResult {
		return activeResult(7, freshness.Evidence{Basis: freshness.RecordRead, SentAt: at})
	}
	for _, c := range []struct {
		name         string
		result       lookupResult
		jobCancelled bool
		status       wire.Status
		violations   int
	}{
		{"read after the request", read(101), false, wire.StatusOK, 0},
		{"read before the request", read(99), false, wire.StatusUnavailable, 1},
		{"no read at all", lookupResult{outcome: lookupFound, phase: wire.JobQueued}, false, wire.StatusUnavailable, 1},
		{"known to be cancelled", read(101), true, wire.StatusUnavailable, 1},
		{"terminal state of a cancelled job", terminalResult(wire.JobCancelled), true, wire.StatusOK, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.cancelled[job] = c.jobCancelled
			f.frontend.responder.respondQuery(userRequest{id: 1, receivedAt: 100}, job, c.result)
			if status := f.onlyResponse().status; status != c.status || f.violations != c.violations {
				t.Errorf("response %d with %d violations, want %d and %d", status, f.violations, c.status, c.violations)
			}
		})
	}
}

// TestLateDuplicateRequestsAreLookedUp checks that the result of a submission's commit is the response
// only to requests that were received before the commit was sent. For later requests, the job is
// looked up.
func TestLateDuplicateRequestsAreLookedUp(t *testing.T) {
	f := newFixture(t)
	job, submissions := newSmallJob(), f.frontend.submissions
	sub := &submission{job: job, requests: []userRequest{{1, f.time - 1}, {2, f.time + 1}}, phase: wire.JobQueued}
	submissions.byJob[job.ID] = sub
	submissions.handleAccepted(sub, freshness.Evidence{Basis: freshness.OwnTransaction, SentAt: f.time})
	if got := f.onlyResponse(); got.status != wire.StatusCreated || got.request != 1 {
		t.Errorf("response %[2]d to request %[1]d, want %[3]d to request 1", got.request, got.status, wire.StatusCreated)
	}
	if pending := f.frontend.lookups.pending; len(pending) != 1 || pending[0].job != job.ID {
		t.Errorf("%d lookups are pending for the later request, want 1", len(pending))
	}
	if f.violations != 0 || submissions.byJob[job.ID] != nil {
		t.Errorf("%d violations, want none, and the submission no longer pending", f.violations)
	}
}

// TestRefusalRequiresCurrentDependencies checks that a refusal because of a dependency is sent only for
// requests that were received before the dependency was read, even though the job itself is looked up
// later.
func TestRefusalRequiresCurrentDependencies(t *testing.T) {
	for _, c := range []struct {
		name       string
		receivedAt micros.Micros // relative to the read of the dependency
		status     wire.Status   // 0: the job is looked up again
	}{
		{"received before the read", -1, wire.StatusUnprocessable},
		{"received after the read", 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			readAt := f.time - micros.Second
			sub := &submission{job: newSmallJob(), requests: []userRequest{{1, readAt + c.receivedAt}}, dependenciesReadAt: readAt}
			f.frontend.submissions.byJob[sub.job.ID] = sub
			f.frontend.submissions.refuseUnlessAccepted(sub, permanentRefusal(reasonDependencyNotAccepted))
			lookup := f.frontend.lookups.pending[0]
			f.frontend.lookups.pending = nil
			if len(f.responses) != 0 {
				t.Fatalf("response %+v before the lookup", f.responses)
			}
			lookup.done(lookupResult{outcome: lookupNotFound, evidence: freshness.Evidence{Basis: freshness.RecordRead, SentAt: f.time}})
			if c.status != 0 {
				f.checkResponse(c.status, reasonDependencyNotAccepted)
			} else if len(f.responses) != 0 {
				t.Errorf("response %+v, want another lookup", f.responses)
			}
			if again := len(f.frontend.lookups.pending); again != 1 && c.status == 0 {
				t.Errorf("%d further lookups, want 1", again)
			}
			if f.violations != 0 {
				t.Errorf("%d violations, want none", f.violations)
			}
		})
	}
}
