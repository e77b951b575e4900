package controller

import (
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// tree is a core that owns team red, and the jobs whose records it was given.
type tree struct {
	*testing.T
	c       *Core
	o       *owner
	version uint64
	jobs    map[string]*sched.Job // active
}

func newTree(t *testing.T) *tree {
	o := testOwner()
	o.listed = true
	o.c.jobs.whole = true
	return &tree{T: t, c: o.c, o: o, jobs: map[string]*sched.Job{}}
}

// submit has a job accepted at a second, which awaits others.
func (w *tree) submit(j sched.Job, at micros.Micros, awaits ...string) {
	j.Tasks, j.Class, j.Need, j.Image, j.Awaits = 1, "stage", sched.NewResources(1, 0, 1), "img", awaits
	if j.Team == "" {
		j.Team = "red"
	}
	rec := plainRecord(&j, at)
	if len(awaits) > 0 {
		rec.Job, rec.Waiting = nil, rec.Job
	}
	w.version++
	w.c.jobPut(activeKey(j.ID), wire.Encode(rec), w.version)
	w.jobs[j.ID] = &j
}

func (w *tree) over(id, status string) {
	delete(w.jobs, id)
	w.c.jobDeleted(id)
	w.c.awaitedOver(id, finalRecord{Status: status, At: 1})
}

// check holds what the owner makes of a job against what is expected.
func (w *tree) check(id string, priority sched.Priority, mustEnd float64) {
	w.Helper()
	j := w.o.jobs[id]
	if j == nil {
		w.Fatalf("%s is not placed", id)
	}
	if j.Priority != priority || j.mustEnd != micros.FromSeconds(mustEnd) {
		w.Fatalf("%s has priority %d and must end at %v, want %d and %v", id, j.Priority, j.mustEnd, priority, mustEnd)
	}
	if !slices.IsSortedFunc(w.o.queue, queueOrder) {
		w.Fatalf("the queue is out of order")
	}
}

func stage(id int, priority sched.Priority, estimate, deadline float64) sched.Job {
	return sched.Job{ID: jobName(id), Priority: priority,
		Estimate: micros.FromSeconds(estimate), Deadline: micros.FromSeconds(deadline)}
}

// TestInheritChain guards against a first stage that does not inherit from the last, of
// another team, and against one that goes on doing so after the last is over. Guard: passOn.
func TestInheritChain(t *testing.T) {
	w := newTree(t)
	w.submit(stage(9, 1, 10, 0), 0)
	w.submit(stage(1, 0, 10, 0), 0)
	w.submit(stage(2, 0, 20, 0), 0, jobName(1))
	w.check(jobName(1), 0, 0)
	last := stage(3, 2, 5, 100)
	last.Team = "blue"
	w.submit(last, 7*micros.Second, jobName(2))
	w.check(jobName(1), 2, 107-5-20)
	w.check(jobName(9), 1, 0)
	if w.o.queue[0].ID != jobName(1) {
		t.Fatalf("%s is first", w.o.queue[0].ID)
	}
	w.over(jobName(1), wire.JobDone)
	w.check(jobName(2), 2, 107-5)
	w.over(jobName(3), wire.JobCancelled)
	w.check(jobName(2), 0, 0)
}

// TestInheritDiamond guards against an edge that is left out: the highest priority may come
// by one way and the earliest end by another. Guard: inheritedBy.
func TestInheritDiamond(t *testing.T) {
	w := newTree(t)
	w.submit(stage(1, 0, 10, 0), 0)
	w.submit(stage(2, 1, 50, 0), 0, jobName(1))
	w.submit(stage(3, 2, 5, 300), 0, jobName(1))
	w.submit(stage(4, 0, 5, 200), 0, jobName(2), jobName(3), jobName(1))
	w.check(jobName(1), 2, 200-5-50)
	w.over(jobName(3), wire.JobCancelled) // and the last with it, which is not recorded yet
	w.check(jobName(1), 1, 0)
	w.submit(stage(5, 0, 7, 90), 0, jobName(2))
	w.check(jobName(1), 1, 90-7-50)
	w.over(jobName(2), wire.JobCancelled)
	w.over(jobName(4), wire.JobCancelled)
	w.over(jobName(5), wire.JobCancelled)
	w.check(jobName(1), 0, 0)
}

// TestInheritOwnDeadline guards against an order that changes without pipelines: a deadline
// counts only for a job that others await or that awaits some. Guard: inherit.
func TestInheritOwnDeadline(t *testing.T) {
	w := newTree(t)
	w.submit(stage(1, 1, 10, 40), 3*micros.Second)
	w.check(jobName(1), 1, 0)
	w.submit(stage(2, 0, 1, 0), 0, jobName(1))
	w.check(jobName(1), 1, 43)
	w.over(jobName(2), wire.JobCancelled)
	w.check(jobName(1), 1, 0)
}

// TestInheritFans guards against a pass over all jobs for each event: 600 jobs that one
// awaits, 600 that await one, and a ladder of diamonds in which ways double with each step.
// Guards: the versions' order in passOn, the early end in inheritedBy.
func TestInheritFans(t *testing.T) {
	const many = 600
	w := newTree(t)
	var all []string
	for i := range many {
		w.submit(stage(i, 0, 10, 0), 0)
		all = append(all, jobName(i))
	}
	g := &w.c.jobs
	cost := func(most int, what string, do func()) {
		t.Helper()
		before := g.walked
		do()
		if n := g.walked - before; n > most {
			t.Errorf("%s: %d edges looked at, want %d at most", what, n, most)
		}
	}
	cost(many, "fan-in", func() { w.submit(stage(1000, 2, 10, 100), 0, all...) })
	w.check(jobName(7), 2, 90)
	cost(1, "one of them done", func() { w.over(all[0], wire.JobDone) })
	cost(2*many, "fan-in cancelled", func() { w.over(jobName(1000), wire.JobCancelled) })
	w.check(jobName(7), 0, 0)

	cost(many, "fan-out", func() {
		for i := range many {
			w.submit(stage(2000+i, 1, 10, 100), 0, jobName(7))
		}
	})
	cost(20*many, "fan-out cancelled one by one", func() {
		for i := range many - 1 {
			w.over(jobName(2000+i), wire.JobCancelled)
			w.check(jobName(7), 1, 90)
		}
	})
	cost(2, "last of them cancelled", func() { w.over(jobName(2000+many-1), wire.JobCancelled) })
	w.check(jobName(7), 0, 0)

	const steps = 40
	w.submit(stage(5000, 0, 1, 0), 0)
	for i := range steps {
		at := 5000 + 3*i
		w.submit(stage(at+1, 0, 1, 0), 0, jobName(at))
		w.submit(stage(at+2, 0, 2, 0), 0, jobName(at))
		w.submit(stage(at+3, 0, 1, 0), 0, jobName(at+1), jobName(at+2))
	}
	last := 5000 + 3*steps
	cost(4*steps+1, "ladder", func() { w.submit(stage(last+1, 2, 1, 500), 0, jobName(last)) })
	w.check(jobName(5000), 2, 500-1-3*steps)
	cost(12*steps, "ladder's last cancelled", func() { w.over(jobName(last+1), wire.JobCancelled) })
	w.check(jobName(5000), 0, 0)
}

// TestInheritDrawn holds what is kept against what all records say, after each of many drawn
// events.
func TestInheritDrawn(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 6))
		w := newTree(t)
		withdrawn := map[string]bool{} // with one before them, which is not recorded yet
		g := &w.c.jobs
		for i := range 150 {
			ids := sortedKeys(w.jobs)
			switch n := r.IntN(10); {
			case n < 6 || len(ids) == 0:
				var awaits []string
				for range r.IntN(4) {
					if len(ids) > 0 {
						awaits = append(awaits, ids[len(ids)-1-r.IntN(min(len(ids), 12))])
					}
				}
				slices.Sort(awaits)
				due := 0.0
				if r.IntN(3) == 0 {
					due = float64(1 + r.IntN(300))
				}
				j := stage(i, sched.Priority(r.IntN(3)), float64(r.IntN(30)), due)
				j.Team = []string{"red", "blue"}[r.IntN(2)]
				w.submit(j, micros.FromSeconds(float64(i)), slices.Compact(awaits)...)
			case n < 8: // done, if it may be
				id := ids[r.IntN(len(ids))]
				if v := g.waiting[id]; v == nil || v.ready() {
					w.over(id, wire.JobDone)
				}
			default:
				w.over(ids[r.IntN(len(ids))], wire.JobCancelled)
			}
			clear(withdrawn)
			for id, v := range g.waiting {
				withdrawn[id] = v.root != ""
			}
			w.checkAll(seed, withdrawn)
		}
	}
}

// checkAll computes anew what each active job inherits.
func (w *tree) checkAll(seed uint64, withdrawn map[string]bool) {
	w.Helper()
	ids := sortedKeys(w.jobs)
	want := map[string]inherited{}
	for i := len(ids) - 1; i >= 0; i-- { // those submitted last first
		j := w.jobs[ids[i]]
		if withdrawn[j.ID] {
			continue
		}
		rec := w.c.jobs.waiting[j.ID]
		if rec == nil {
			continue
		}
		in := inherited{j.Priority, dueAt(rec.accepted, j.Deadline)}
		if h, ok := want[j.ID]; ok {
			in = in.with(h)
		}
		if in.mustEnd != 0 {
			in.mustEnd = max(1, in.mustEnd-j.Estimate)
		}
		for _, x := range j.Awaits {
			if w.jobs[x] != nil {
				want[x] = want[x].with(in)
			}
		}
	}
	for _, id := range ids {
		got := w.c.jobs.inherited[id]
		if !withdrawn[id] && got != want[id] {
			w.Fatalf("seed %d: %s inherits %v, want %v", seed, id, got, want[id])
		}
		if j := w.o.jobs[id]; j != nil && j.Priority != max(w.jobs[id].Priority, want[id].priority) {
			w.Fatalf("seed %d: %s has priority %d at its owner", seed, id, j.Priority)
		}
	}
}

// TestDeadlineDemand guards against waiting for cheaper machines with work of the lowest
// priority whose pipeline must end soon, and against longer for a gang than its slack.
// Guards: pressing and mayWait in demands.
func TestDeadlineDemand(t *testing.T) {
	for _, due := range []float64{0, 400, 50} {
		w := newTree(t)
		w.submit(stage(1, 0, 10, 0), w.c.day)
		w.submit(stage(2, 0, 25, due), w.c.day, jobName(1))
		g := w.o.demands()[0]
		want := w.o.horizon(g.first)
		if due == 50 {
			want = 15 * micros.Second // 50 s less both estimates
		}
		if g.horizon != want || (g.low == 0) != (due == 50) {
			t.Errorf("due in %v s: horizon %v, low %v of %v", due, g.horizon, g.low, g.waiting)
		}
	}
}
