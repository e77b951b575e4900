package controller

import (
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/internal/dag"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// inheritanceTest is a core that owns team red, and the jobs whose records were applied to it.
type inheritanceTest struct {
	*testing.T
	core     *Core
	owner    *owner
	jobs     map[string]*sched.Job // active
	accepted map[string]micros.Micros
}

func newInheritanceTest(t *testing.T) *inheritanceTest {
	o := testOwner()
	o.jobsListed = true
	o.c.graph.Reset(nil, 0)
	return &inheritanceTest{T: t, core: o.c, owner: o, jobs: map[string]*sched.Job{}, accepted: map[string]micros.Micros{}}
}

// submit adds the record of a job that was accepted at a time and depends on other jobs.
func (w *inheritanceTest) submit(j sched.Job, at micros.Micros, dependencies ...string) {
	j.Tasks, j.Class, j.Need, j.Image, j.Dependencies = 1, "stage", sched.NewResources(1, 0, 1), "img", dependencies
	if j.Team == "" {
		j.Team = "red"
	}
	rec := record.NewJob(&j, at)
	if len(dependencies) > 0 {
		rec.Ready, rec.Blocked = nil, rec.Ready
	}
	w.apply(kv.Change{Put: record.ActiveJobKey(j.ID), Value: wire.Encode(rec)})
	w.jobs[j.ID], w.accepted[j.ID] = &j, at
}

// apply applies a change of the jobs' records to the core's graph.
func (w *inheritanceTest) apply(change kv.Change) {
	w.Helper()
	after := w.core.graph.Revision()
	change.Version = after + 1
	if !w.core.graph.Apply(after, &kv.WatchResult{Revision: after + 1, Events: []kv.Change{change}}, w.core.wallClock) {
		w.Fatal("the graph rejected a change")
	}
}

func (w *inheritanceTest) finish(id string, status wire.JobPhase) {
	delete(w.jobs, id)
	w.apply(kv.Change{Delete: record.ActiveJobKey(id)})
	w.core.jobView.ApplyTerminalState(id, record.TerminalState{Status: record.Status(status), FinishedAt: 1})
}

// check checks the priority and the effective deadline of a job at its owner, and the queue's order.
func (w *inheritanceTest) check(id string, priority sched.Priority, effectiveDeadline float64) {
	w.Helper()
	j := w.owner.Jobs[id]
	if j == nil {
		w.Fatalf("%s is not a ready job of the owner", id)
	}
	if j.Priority != priority || j.EffectiveDeadline != micros.FromSeconds(effectiveDeadline) {
		w.Fatalf("%s has priority %d and effective deadline %v, want %d and %v", id, j.Priority, j.EffectiveDeadline, priority, effectiveDeadline)
	}
	if !slices.IsSortedFunc(w.owner.Queue, inventory.CompareQueueOrder) {
		w.Fatalf("the queue is out of order")
	}
}

func stage(id int, priority sched.Priority, estimate, deadline float64) sched.Job {
	return sched.Job{
		ID: jobName(id), Priority: priority,
		Estimate: micros.FromSeconds(estimate), Deadline: micros.FromSeconds(deadline),
	}
}

// TestInheritChain guards against a first stage that does not inherit from the last stage, which is of
// another team, and against a stage that still inherits after the last stage has ended. Covers
// dag.Graph.propagate.
func TestInheritChain(t *testing.T) {
	w := newInheritanceTest(t)
	w.submit(stage(9, 1, 10, 0), 0)
	w.submit(stage(1, 0, 10, 0), 0)
	w.submit(stage(2, 0, 20, 0), 0, jobName(1))
	w.check(jobName(1), 0, 0)
	last := stage(3, 2, 5, 100)
	last.Team = "blue"
	w.submit(last, 7*micros.Second, jobName(2))
	w.check(jobName(1), 2, 107-5-20)
	w.check(jobName(9), 1, 0)
	if w.owner.Queue[0].ID != jobName(1) {
		t.Fatalf("%s is first in the queue, want the first job of the chain", w.owner.Queue[0].ID)
	}
	w.finish(jobName(1), wire.JobDone)
	w.check(jobName(2), 2, 107-5)
	w.finish(jobName(3), wire.JobCancelled)
	w.check(jobName(2), 0, 0)
}

// TestInheritDiamond guards against an edge of the graph that is ignored: the highest priority and the
// earliest deadline may be inherited along different paths. Covers dag.Graph.inheritedBy.
func TestInheritDiamond(t *testing.T) {
	w := newInheritanceTest(t)
	w.submit(stage(1, 0, 10, 0), 0)
	w.submit(stage(2, 1, 50, 0), 0, jobName(1))
	w.submit(stage(3, 2, 5, 300), 0, jobName(1))
	w.submit(stage(4, 0, 5, 200), 0, jobName(2), jobName(3), jobName(1))
	w.check(jobName(1), 2, 200-5-50)
	w.finish(jobName(3), wire.JobCancelled) // cancels the last job too, which is not recorded yet
	w.check(jobName(1), 1, 0)
	w.submit(stage(5, 0, 7, 90), 0, jobName(2))
	w.check(jobName(1), 1, 90-7-50)
	w.finish(jobName(2), wire.JobCancelled)
	w.finish(jobName(4), wire.JobCancelled)
	w.finish(jobName(5), wire.JobCancelled)
	w.check(jobName(1), 0, 0)
}

// TestInheritOwnDeadline guards against deadlines that change the queue order of jobs outside of
// pipelines: a deadline counts only for a job that has dependencies or dependents. Covers
// scheduler.Scheduler.ApplyInheritance.
func TestInheritOwnDeadline(t *testing.T) {
	w := newInheritanceTest(t)
	w.submit(stage(1, 1, 10, 40), 3*micros.Second)
	w.check(jobName(1), 1, 0)
	w.submit(stage(2, 0, 1, 0), 0, jobName(1))
	w.check(jobName(1), 1, 43)
	w.finish(jobName(2), wire.JobCancelled)
	w.check(jobName(1), 1, 0)
}

// TestInheritRandomized compares the inheritance that the graph maintains with a computation from all
// records, after each of many random events.
func TestInheritRandomized(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 6))
		w := newInheritanceTest(t)
		cancelled := map[string]bool{} // jobs that are cancelled with an upstream job, but not recorded as cancelled
		g := w.core.graph
		for i := range 150 {
			ids := ordered.Keys(w.jobs)
			switch n := r.IntN(10); {
			case n < 6 || len(ids) == 0:
				var dependencies []string
				for range r.IntN(4) {
					if len(ids) > 0 {
						dependencies = append(dependencies, ids[len(ids)-1-r.IntN(min(len(ids), 12))])
					}
				}
				slices.Sort(dependencies)
				deadline := 0.0
				if r.IntN(3) == 0 {
					deadline = float64(1 + r.IntN(300))
				}
				j := stage(i, sched.Priority(r.IntN(3)), float64(r.IntN(30)), deadline)
				j.Team = []string{"red", "blue"}[r.IntN(2)]
				w.submit(j, micros.FromSeconds(float64(i)), slices.Compact(dependencies)...)
			case n < 8: // done, unless it is still blocked
				id := ids[r.IntN(len(ids))]
				if v := g.Blocked(id); v == nil || v.Ready() {
					w.finish(id, wire.JobDone)
				}
			default:
				w.finish(ids[r.IntN(len(ids))], wire.JobCancelled)
			}
			clear(cancelled)
			for id := range w.jobs {
				if v := g.Blocked(id); v != nil {
					cancelled[id] = v.Cancelled()
				}
			}
			w.checkAll(seed, cancelled)
		}
	}
}

// mergeInherited returns the inheritance from two jobs.
func mergeInherited(a, b dag.Inheritance) dag.Inheritance {
	return dag.Inheritance{Priority: max(a.Priority, b.Priority), LatestFinish: dag.EarlierDeadline(a.LatestFinish, b.LatestFinish)}
}

// checkAll computes from the records what each active job inherits, and compares it with the graph.
func (w *inheritanceTest) checkAll(seed uint64, cancelled map[string]bool) {
	w.Helper()
	ids := ordered.Keys(w.jobs)
	want := map[string]dag.Inheritance{}
	for i := len(ids) - 1; i >= 0; i-- { // from the latest submission to the earliest
		j := w.jobs[ids[i]]
		if cancelled[j.ID] {
			continue
		}
		if w.core.graph.Blocked(j.ID) == nil {
			continue
		}
		in := mergeInherited(dag.Inheritance{Priority: j.Priority, LatestFinish: dag.AbsoluteDeadline(w.accepted[j.ID], j.Deadline)}, want[j.ID])
		if in.LatestFinish != 0 {
			in.LatestFinish = max(1, in.LatestFinish-j.Estimate)
		}
		for _, x := range j.Dependencies {
			if w.jobs[x] != nil {
				want[x] = mergeInherited(want[x], in)
			}
		}
	}
	for _, id := range ids {
		got, _ := w.core.graph.Inherited(id)
		if !cancelled[id] && got != want[id] {
			w.Fatalf("seed %d: %s inherits %v, want %v", seed, id, got, want[id])
		}
		if j := w.owner.Jobs[id]; j != nil && j.Priority != max(w.jobs[id].Priority, want[id].Priority) {
			w.Fatalf("seed %d: %s has priority %d at its owner, want the higher of its own and the inherited one", seed, id, j.Priority)
		}
	}
	if !slices.IsSortedFunc(w.owner.Queue, inventory.CompareQueueOrder) {
		w.Fatalf("seed %d: the queue is out of order", seed)
	}
}

// TestDeadlineDemand guards against two faults in the computation of demand: work of the lowest priority
// waits for cheaper machines although the deadline of its pipeline is near, and a gang may wait longer
// (MaxWait) than the slack to that deadline. Covers scheduler.Scheduler.IsUrgent and MaxQueueingDelay as
// used in fleet.Fleet.demands.
func TestDeadlineDemand(t *testing.T) {
	for _, deadline := range []float64{0, 400, 50} {
		w := newInheritanceTest(t)
		w.submit(stage(1, 0, 10, 0), w.core.wallClock)
		w.submit(stage(2, 0, 25, deadline), w.core.wallClock, jobName(1))
		g := w.owner.fleet.Demands()[0]
		want := w.owner.scheduler.ClassWaitTarget(w.owner.Jobs[g.Representative.ID])
		if deadline == 50 {
			want = 15 * micros.Second // 50 s less both estimates
		}
		if g.MaxWait != want || (g.LowPriorityCPUSeconds == 0) != (deadline == 50) {
			t.Errorf("deadline in %v s: MaxWait %v, %v of %v pending CPU seconds have low priority, want 15 s and 0 only for 50 s",
				deadline, g.MaxWait, g.LowPriorityCPUSeconds, g.PendingCPUSeconds)
		}
	}
}
