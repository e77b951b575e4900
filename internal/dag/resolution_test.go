package dag

import (
	"slices"
	"testing"

	"tamarindlead/sched"
)

// TestIsDone checks that a dependency does not block a job if the observer reports it as done.
func TestIsDone(t *testing.T) {
	g, observer := newSyncedGraph(t)
	a, b, c := jobName(1), jobName(2), jobName(3)
	submit(t, g, testJob(a), 1)
	submit(t, g, testJob(b, a), 2)
	observer.done[a] = true
	end(t, g, a)
	submit(t, g, testJob(c, a), 3)
	if !slices.Equal(observer.ready, []string{b, c}) || g.HasUnresolvedJobs() || g.Blocked(b).LatestDependencyDone != wallClock {
		t.Fatalf("ready %v, unresolved %v; want both dependents ready and none unresolved", observer.ready, g.UnresolvedJobs())
	}
}

// TestIncompleteDependencies checks that the state of a job stays unknown until its dependencies
// were read.
func TestIncompleteDependencies(t *testing.T) {
	g, observer := newSyncedGraph(t)
	a, b, c := jobName(1), jobName(2), jobName(3)
	submit(t, g, testJob(a), 1)
	submitIncomplete(t, g, b)
	submit(t, g, testJob(c, b), 3)
	incomplete, unresolved := g.FindUnresolved([]string{c})
	if incomplete == nil || incomplete.ID != b || unresolved || incomplete.Ready() || g.FirstIncomplete() != incomplete {
		t.Fatalf("before its dependencies are set: incomplete %+v, unresolved %t; want the job with the dependency part, false", incomplete, unresolved)
	}
	g.SetDependencies(incomplete, []string{a})
	if incomplete, unresolved = g.FindUnresolved([]string{c}); incomplete != nil || unresolved || g.FirstIncomplete() != nil {
		t.Fatalf("after its dependencies are set: incomplete %+v, unresolved %t; want none, false", incomplete, unresolved)
	}
	end(t, g, a)
	if _, unresolved = g.FindUnresolved([]string{c}); !unresolved {
		t.Fatal("an indirect dependency that ended is not reported as unresolved")
	}
	g.AssumeDone(g.Blocked(b))
	if !g.Blocked(b).Ready() || g.HasUnresolvedJobs() || len(observer.ready) > 0 {
		t.Fatalf("assumed done: ready %t, observer notified of %v; want true, none", g.Blocked(b).Ready(), observer.ready)
	}
}

// TestAssumeDone checks that AssumeDone makes a job ready whose dependencies were not read.
func TestAssumeDone(t *testing.T) {
	g, _ := newSyncedGraph(t)
	id := jobName(1)
	submitIncomplete(t, g, id)
	g.AssumeDone(g.Blocked(id))
	if !g.Blocked(id).Ready() || g.FirstIncomplete() != nil {
		t.Error("a job is not ready after AssumeDone")
	}
}

// TestCancelledDependent checks that a job that was cancelled with its upstream jobs is not
// reported as unresolved when it ends, and that a cancelled job propagates no inheritance.
func TestCancelledDependent(t *testing.T) {
	g, _ := newSyncedGraph(t)
	a, b, c, d := jobName(1), jobName(2), jobName(3), jobName(4)
	submit(t, g, testJob(a), 1)
	submit(t, g, testJob(b), 1)
	submit(t, g, testJob(c, a, b), 1)
	submit(t, g, testJob(d, c), 1)
	if inherited, isDependency := g.Inherited(b); !isDependency || inherited.Priority != sched.Normal {
		t.Fatalf("inherits %v, is a dependency: %t; want the normal priority, true", inherited, isDependency)
	}
	end(t, g, a)
	g.MarkCancelled(a, a)
	if inherited, isDependency := g.Inherited(b); !isDependency || inherited != (Inheritance{}) {
		t.Errorf("inherits %v from a cancelled job, is a dependency: %t; want nothing, true", inherited, isDependency)
	}
	end(t, g, c)
	if g.HasUnresolvedJobs() {
		t.Errorf("unresolved: %v; want none", g.UnresolvedJobs())
	}
	if _, isDependency := g.Inherited(b); isDependency {
		t.Error("a job without dependents is a dependency")
	}
}
