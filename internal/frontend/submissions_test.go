package frontend

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"tamarindlead/internal/jobview"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

func (f *fixture) submit(job *sched.Job) {
	f.request("POST", "/api/jobs", wire.Encode(wire.FromJob(job)))
}

// respondNeverAccepted responds to the lookup of the fixture's job that the job has no records, as if
// it was never accepted.
func (f *fixture) respondNeverAccepted() {
	f.flush()
	f.respondKV(activeTarget, kv.NotFound, nil)
	f.respondKV(terminalTarget, kv.NotFound, nil)
}

// TestSubmission checks the response to a submission for different responses of the key-value store.
func TestSubmission(t *testing.T) {
	known := kv.TransactionResult{FailedPreconditions: []string{record.TerminalStateKey(testJobID)}}
	for _, c := range []struct {
		name   string
		run    func(f *fixture)
		status wire.Status
		reason wire.RefusalReason
	}{
		{"accepted", func(f *fixture) {
			f.submit(newSmallJob())
			f.flush()
			f.respondKV(commitTarget, kv.OK, nil)
		}, wire.StatusCreated, ""},
		{"in doubt, and executed", func(f *fixture) {
			f.submit(newSmallJob())
			f.flush()
			f.respondKV(commitTarget, kv.Unknown, nil)
			f.flush()
			f.respondKV(commitTarget, kv.PreconditionFailed, kv.TransactionResult{FailedPreconditions: []string{record.ActiveJobKey(testJobID)}})
			f.flush()
			f.respondKV(activeTarget, kv.OK, activeEntry())
		}, wire.StatusOK, ""},
		{"duplicate of a job that has ended", func(f *fixture) {
			f.submit(newSmallJob())
			f.flush()
			f.respondKV(commitTarget, kv.PreconditionFailed, known)
			f.flush()
			f.respondKV(activeTarget, kv.NotFound, nil)
			f.respondKV(terminalTarget, kv.OK, terminalEntry(record.StatusDone))
		}, wire.StatusOK, ""},
		{"throttled", func(f *fixture) {
			f.submit(newSmallJob())
			f.flush()
			f.respondKV(commitTarget, kv.Throttled, nil)
			f.flush()
			if len(f.calls) != 0 {
				f.t.Error("the commit is retried without a pause")
			}
			f.time += kv.ThrottledRetryDelay
			f.flush()
			f.respondKV(commitTarget, kv.OK, nil)
		}, wire.StatusCreated, ""},
		{"refused by the key-value store", func(f *fixture) {
			f.submit(newSmallJob())
			f.flush()
			f.respondKV(commitTarget, kv.InvalidRequest, nil)
		}, wire.StatusUnavailable, "state service refuses"},
		{"no writes available before the timeout", func(f *fixture) {
			f.writes = 0
			f.submit(newSmallJob())
			f.flush()
			f.time += SubmissionTimeout
			f.flush()
		}, wire.StatusUnavailable, "state service does not answer"},
		{"types unknown", func(f *fixture) {
			f.types = nil
			f.submit(newSmallJob())
		}, wire.StatusUnavailable, "machine types are not known yet"},
		{"key-value store unavailable", func(f *fixture) {
			f.unavailable = true
			f.submit(newSmallJob())
		}, wire.StatusUnavailable, "state service does not answer"},
		{"no longer acceptable, but accepted before", func(f *fixture) {
			job := newSmallJob()
			job.Team = "blue"
			f.submit(job)
			f.flush()
			f.respondKV(activeTarget, kv.OK, activeEntry())
		}, wire.StatusOK, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.run(f)
			f.checkResponse(c.status, c.reason)
			f.checkIdle()
		})
	}
}

// checkIdle checks that nothing is pending and that there was no violation.
func (f *fixture) checkIdle() {
	f.t.Helper()
	submissions := f.frontend.submissions
	if f.violations != 0 || len(f.calls) != 0 || f.frontend.HasPending() || len(submissions.byJob) != 0 || submissions.checkingDependencies != 0 {
		f.t.Errorf("%d violations, %d calls without a response and %d submissions left, want none", f.violations, len(f.calls), len(submissions.byJob))
	}
}

// TestSubmissionNeverAccepted checks the refusals of jobs that can never be accepted.
func TestSubmissionNeverAccepted(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(job *sched.Job)
		status wire.Status
		reason wire.RefusalReason
	}{
		{"unknown team", func(job *sched.Job) { job.Team = "blue" }, wire.StatusUnprocessable, "unknown team"},
		{"too large for any type", func(job *sched.Job) { job.Need = sched.NewResources(1, 0, 200) }, wire.StatusUnprocessable, "a task fits no allowed machine type"},
		{"above the quota limit", func(job *sched.Job) { job.Need = sched.NewResources(21, 0, 1) }, wire.StatusUnprocessable, "more than the team's limit"},
		{"gang above the quota limit", func(job *sched.Job) { job.Gang, job.Tasks = true, 21 }, wire.StatusUnprocessable, "more than the team's limit"},
		{"description too long", func(job *sched.Job) { job.Types = slices.Repeat([]string{strings.Repeat("x", 150)}, 40) }, wire.StatusBadRequest, "description too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			job := newSmallJob()
			c.change(job)
			f.submit(job)
			f.respondNeverAccepted()
			f.checkResponse(c.status, c.reason)
			f.checkIdle()
		})
	}
}

// TestSubmissionWithDependencies checks the response to a submission for each result of the check of
// its dependencies.
func TestSubmissionWithDependencies(t *testing.T) {
	const root = "req-000002"
	for _, c := range []struct {
		name   string
		run    func(f *fixture, job *sched.Job)
		status wire.Status
		reason wire.RefusalReason
	}{
		{"open", func(f *fixture, job *sched.Job) {
			f.submit(job)
			f.dependencyCheck(jobview.DependencyResult{Status: jobview.DependenciesOpen})
			f.flush()
			f.respondKV(commitTarget, kv.OK, nil)
		}, wire.StatusCreated, ""},
		{"cancelled, acknowledged", func(f *fixture, job *sched.Job) {
			f.submit(job)
			f.dependencyCheck(jobview.DependencyResult{Status: jobview.DependenciesCancelled, CancelledRoot: root})
			f.flush()
			f.respondKV(commitTarget, kv.OK, nil)
			f.announcements[0](true)
		}, wire.StatusCreated, ""},
		{"cancelled, not acknowledged", func(f *fixture, job *sched.Job) {
			f.submit(job)
			f.dependencyCheck(jobview.DependencyResult{Status: jobview.DependenciesCancelled, CancelledRoot: root})
			f.flush()
			f.respondKV(commitTarget, kv.OK, nil)
			f.announcements[0](false)
		}, wire.StatusUnavailable, "a controller has not confirmed yet"},
		{"never accepted", func(f *fixture, job *sched.Job) {
			f.submit(job)
			f.dependencyCheck(jobview.DependencyResult{Status: jobview.DependenciesNeverAccepted})
			f.respondNeverAccepted()
		}, wire.StatusUnprocessable, "awaits a job that was never accepted"},
		{"unknown", func(f *fixture, job *sched.Job) {
			f.submit(job)
			f.dependencyCheck(jobview.DependencyResult{})
			f.respondNeverAccepted()
		}, wire.StatusUnavailable, "state service does not answer"},
		{"view not synced", func(f *fixture, job *sched.Job) {
			f.graph.synced = false
			f.submit(job)
			f.respondNeverAccepted()
		}, wire.StatusUnavailable, "the jobs are not known yet"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			job := newSmallJob()
			job.Dependencies = []string{root}
			c.run(f, job)
			f.checkResponse(c.status, c.reason)
			f.checkIdle()
		})
	}
}

// TestDuplicateRequestsShareOneCommit checks that several requests for the same job are served by one
// commit.
func TestDuplicateRequestsShareOneCommit(t *testing.T) {
	f := newFixture(t)
	f.submit(newSmallJob())
	f.submit(newSmallJob())
	if pending := f.frontend.PendingSubmissions(); pending != 1 {
		t.Fatalf("%d submissions are pending, want 1", pending)
	}
	f.flush()
	f.respondKV(commitTarget, kv.OK, nil)
	if len(f.responses) != 2 || f.responses[0].status != wire.StatusCreated || f.responses[1].status != wire.StatusCreated {
		t.Errorf("responses %+v, want two with status %d", f.responses, wire.StatusCreated)
	}
	f.checkIdle()
}

// TestSubmissionsAreBounded checks that submissions beyond the bound are refused at once.
func TestSubmissionsAreBounded(t *testing.T) {
	f := newFixture(t)
	for i := range maxPendingSubmissions + 1 {
		job := newSmallJob()
		job.ID = fmt.Sprintf("req-%06d", i)
		f.submit(job)
	}
	f.checkResponse(wire.StatusTooManyRequests, "too many submissions wait")
}

// TestTakeBatch checks which submissions one transaction takes.
func TestTakeBatch(t *testing.T) {
	for _, c := range []struct {
		name            string
		availableWrites int
		counts          []int // of writes, by pending submission
		taken           int
	}{
		{"all fit", 5, []int{1, 1, 3}, 3},
		{"a small submission passes a large one", 3, []int{1, 3, 2}, 2},
		{"the first waits for more available writes", 11, []int{20}, 0},
		{"the first needs more writes than the burst", 12, []int{20, 1}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			submissions := newFixture(t).frontend.submissions
			for i, count := range c.counts {
				submissions.pending = append(submissions.pending, &submission{writeCount: count, receivedAt: micros.Micros(i)})
			}
			if batch := submissions.takeBatch(c.availableWrites); len(batch) != c.taken || len(submissions.pending) != len(c.counts)-c.taken {
				t.Errorf("%d submissions taken and %d left, want %d taken of %d", len(batch), len(submissions.pending), c.taken, len(c.counts))
			}
		})
	}
}

// TestRefusalRequiresCurrentMachineTypes checks that a job that fits no machine type is refused permanently
// only if the types were read after the request arrived. If they cannot be read, the job is refused
// temporarily, unless it was accepted before.
func TestRefusalRequiresCurrentMachineTypes(t *testing.T) {
	for _, c := range []struct {
		name        string
		confirmed   bool
		offeredCPUs float64 // CPUs of the type that the read finds
		respondKV   func(f *fixture)
		status      wire.Status
		reason      wire.RefusalReason
	}{
		{"fits no type", true, 28, (*fixture).respondNeverAccepted, wire.StatusUnprocessable, reasonFitsNoType},
		{"fits a new type", true, 64, func(f *fixture) {
			f.flush()
			f.respondKV(commitTarget, kv.OK, nil)
		}, wire.StatusCreated, ""},
		{"cannot be read", false, 28, (*fixture).respondNeverAccepted, wire.StatusUnavailable, reasonTypesUnconfirmed},
		{"cannot be read, but accepted before", false, 28, func(f *fixture) {
			f.flush()
			f.respondKV(activeTarget, kv.OK, activeEntry())
		}, wire.StatusOK, ""},
		{"cannot be read, but a copy contains a new type", false, 64, func(f *fixture) {
			f.flush()
			f.respondKV(commitTarget, kv.OK, nil)
		}, wire.StatusCreated, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			var confirm func(bool)
			f.confirm = func(done func(bool)) { confirm = done }
			job := newSmallJob()
			job.Need = sched.NewResources(30, 0, 1)
			f.frontend.node.Settings.Teams[0].QuotaLimit = sched.Resources{}
			f.submit(job)
			f.flush()
			if confirm == nil || len(f.calls) > 0 || len(f.responses) > 0 {
				t.Fatalf("%d calls, responses %+v before the types are read", len(f.calls), f.responses)
			}
			f.types[0].Size = sched.NewResources(c.offeredCPUs, 0, 112)
			confirm(c.confirmed)
			c.respondKV(f)
			f.checkResponse(c.status, c.reason)
		})
	}
}
