package dag

import (
	"slices"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/sched"
)

// TestObserver checks that the observer is notified exactly once, and in order, of each job that
// becomes ready or is cancelled.
func TestObserver(t *testing.T) {
	g, observer := newTestGraph(t)
	if g.Apply(0, &kv.WatchResult{Revision: 1}, wallClock) || g.IsSynced() {
		t.Fatal("changes are applied without a listing")
	}
	g.Reset(nil, 0)
	a, b, c, d := jobName(1), jobName(2), jobName(3), jobName(4)
	submit(t, g, testJob(a), 1)
	submit(t, g, testJob(b, a), 2)
	submit(t, g, testJob(c, b), 3)
	submit(t, g, testJob(d, c, a), 4)
	if !g.HasOpenDependencies(b) || g.HasOpenDependencies(a) || g.Version(c) != 3 || len(observer.active) != 4 {
		t.Fatalf("after four submissions: observer %+v; want 4 active jobs, of which only those with dependencies have open ones", observer)
	}

	end(t, g, a)
	if got := g.UnresolvedJobs(); !slices.Equal(got, []string{a}) || len(observer.ready) > 0 {
		t.Fatalf("%s ended with an unknown terminal state: unresolved %v, ready %v; want it unresolved and no job ready", a, got, observer.ready)
	}
	g.MarkDone(a, 77)
	if !slices.Equal(observer.ready, []string{b}) || g.Blocked(b).LatestDependencyDone != 77 || g.HasUnresolvedJobs() {
		t.Fatalf("%s is done: ready %v, unresolved %v; want its only blocked dependent ready and none unresolved", a, observer.ready, g.UnresolvedJobs())
	}

	end(t, g, b)
	g.MarkCancelled(b, b)
	g.MarkCancelled(b, b)
	if !slices.Equal(observer.cancelled, []string{c, d}) || g.Blocked(d).CancelledRoot != b {
		t.Fatalf("%s is cancelled: cancelled %v; want both its downstream jobs, once each", b, observer.cancelled)
	}
	g.MarkUnsynced()
	if g.Apply(g.Revision(), &kv.WatchResult{Revision: g.Revision() + 1}, wallClock) {
		t.Fatal("changes are applied after some were missed")
	}
}

// TestReset checks that the known terminal states and dependencies are kept when a listing is
// applied. Only a cancelled dependency becomes unresolved again and its terminal state must be read
// again, because the listing does not show why its dependents are blocked.
func TestReset(t *testing.T) {
	g, _ := newTestGraph(t)
	a, b, c, d, e, other := jobName(1), jobName(2), jobName(3), jobName(4), jobName(5), jobName(9)
	entries := []kv.Entry{
		entryOf(testJob(a), 1), entryOf(testJob(b), 2), entryOf(testJob(other), 3),
		entryOf(testJob(c, a, other), 4),
		{Key: record.ActiveJobKey(d), Value: encodeIncompleteJob(testJob(d)), Version: 5},
		entryOf(testJob(e, b), 6),
	}
	g.Reset(entries, 6)
	g.SetDependencies(g.Blocked(d), []string{other})
	end(t, g, a)
	g.MarkDone(a, 55)
	end(t, g, b)
	g.MarkCancelled(b, b)

	g.Reset(entries[2:], 8)
	if job := g.Blocked(c); job.LatestDependencyDone != 55 || len(job.pendingDependencies) != 1 || !slices.Equal(g.UnresolvedJobs(), []string{b}) {
		t.Errorf("the terminal state of a done job is lost: %+v, unresolved %v", job, g.UnresolvedJobs())
	}
	if job := g.Blocked(d); !job.DependenciesKnown() || !job.pendingDependencies[other] {
		t.Errorf("dependencies are lost: %+v", job)
	}
	if job := g.Blocked(e); job.CancelledRoot != b {
		t.Errorf("a cancellation is lost: %+v", job)
	}

	entries[3].Version = 9 // a different job with the same name
	g.Reset(entries[2:], 9)
	if job := g.Blocked(c); job.LatestDependencyDone != 0 || len(job.pendingDependencies) != 2 {
		t.Errorf("the state of another job of the same name is kept: %+v", job)
	}
}

// TestVersions checks that at most maxVersions versions are kept, and that a version that is kept
// can be replaced and removed.
func TestVersions(t *testing.T) {
	g, _ := newTestGraph(t)
	for i := range maxVersions + 5 {
		g.SetVersion(jobName(i), 1)
	}
	if len(g.versions) != maxVersions {
		t.Errorf("%d versions are kept; want %d", len(g.versions), maxVersions)
	}
	if g.SetVersion(jobName(0), 7); g.Version(jobName(0)) != 7 {
		t.Error("a recorded version was not replaced")
	}
	if g.ForgetVersion(jobName(0)); g.Version(jobName(0)) != 0 {
		t.Error("a recorded version was not removed")
	}
}

// TestHasDependencies checks that records of jobs with and without dependencies are distinguished.
func TestHasDependencies(t *testing.T) {
	cases := []struct {
		name string
		job  *sched.Job
		want bool
	}{
		{"without", testJob(jobName(2)), false},
		{"with", testJob(jobName(2), jobName(1)), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, err := HasDependencies(encodeJob(c.job, 1)); err != nil || got != c.want {
				t.Errorf("%t, error %v; want %t", got, err, c.want)
			}
		})
	}
	if _, err := HasDependencies([]byte{0xff}); err == nil {
		t.Error("no error for a record that cannot be decoded")
	}
}

// TestJobStateString checks that every state has a text.
func TestJobStateString(t *testing.T) {
	texts := map[JobState]string{
		JobNotActive:     "not active",
		JobIndependent:   "independent",
		JobBlocked:       "blocked",
		JobReady:         "ready",
		JobCancelled:     "cancelled",
		JobCancelled + 1: "JobState(5)",
	}
	for state, want := range texts {
		if got := state.String(); got != want {
			t.Errorf("%d: %q, want %q", int(state), got, want)
		}
	}
}
