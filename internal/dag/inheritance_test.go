package dag

import (
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// fanFixture is a graph of jobs that all run for as long as estimated.
type fanFixture struct {
	*testing.T
	g *Graph
}

func newFanFixture(t *testing.T) *fanFixture {
	g := newTestGraph(t)
	g.Reset(nil, 0)
	return &fanFixture{t, g}
}

// submit has a job accepted at a time, which awaits others.
func (f *fanFixture) submit(job sched.Job, at micros.Micros, awaits ...string) {
	f.Helper()
	job.Tasks, job.Class, job.Need, job.Image, job.Team = 1, "stage", sched.NewResources(1, 0, 1), "img", "red"
	job.Dependencies = awaits
	submit(f, f.g, &job, at)
}

const (
	done      = true
	cancelled = false
)

func (f *fanFixture) end(id string, isDone bool) {
	f.Helper()
	apply(f, f.g, kv.Change{Delete: record.ActiveJobKey(id)})
	if isDone {
		f.g.MarkDone(id, 1)
	} else {
		f.g.MarkCancelled(id, id)
	}
}

// check holds what a job of the lowest priority and without deadline inherits against what is
// expected.
func (f *fanFixture) check(id string, priority sched.Priority, mustEnd float64) {
	f.Helper()
	want := Inheritance{priority, micros.FromSeconds(mustEnd)}
	if got, _ := f.g.Inherited(id); got != want {
		f.Fatalf("%s inherits %v, want %v", id, got, want)
	}
}

func stage(id int, priority sched.Priority, estimate, deadline float64) sched.Job {
	return sched.Job{ID: jobName(id), Priority: priority,
		Estimate: micros.FromSeconds(estimate), Deadline: micros.FromSeconds(deadline)}
}

// TestInheritFans guards against a pass over all jobs for each event: 600 jobs that one
// awaits, 600 that await one, and a ladder of diamonds in which ways double with each step.
// Guards: the versions' order in propagate, the early end in inheritedBy.
func TestInheritFans(t *testing.T) {
	const many = 600
	f := newFanFixture(t)
	var all []string
	for i := range many {
		f.submit(stage(i, 0, 10, 0), 0)
		all = append(all, jobName(i))
	}
	g := f.g
	cost := func(most int, what string, do func()) {
		t.Helper()
		before := g.work.Edges
		do()
		if n := g.work.Edges - before; n > most {
			t.Errorf("%s: %d edges looked at, want %d at most", what, n, most)
		}
	}
	cost(many, "fan-in", func() { f.submit(stage(1000, 2, 10, 100), 0, all...) })
	f.check(jobName(7), 2, 90)
	cost(1, "one of them done", func() { f.end(all[0], done) })
	cost(2*many, "fan-in cancelled", func() { f.end(jobName(1000), cancelled) })
	f.check(jobName(7), 0, 0)

	cost(many, "fan-out", func() {
		for i := range many {
			f.submit(stage(2000+i, 1, 10, 100), 0, jobName(7))
		}
	})
	cost(20*many, "fan-out cancelled one by one", func() {
		for i := range many - 1 {
			f.end(jobName(2000+i), cancelled)
			f.check(jobName(7), 1, 90)
		}
	})
	cost(2, "last of them cancelled", func() { f.end(jobName(2000+many-1), cancelled) })
	f.check(jobName(7), 0, 0)

	const steps = 40
	f.submit(stage(5000, 0, 1, 0), 0)
	for i := range steps {
		at := 5000 + 3*i
		f.submit(stage(at+1, 0, 1, 0), 0, jobName(at))
		f.submit(stage(at+2, 0, 2, 0), 0, jobName(at))
		f.submit(stage(at+3, 0, 1, 0), 0, jobName(at+1), jobName(at+2))
	}
	last := 5000 + 3*steps
	cost(4*steps+1, "ladder", func() { f.submit(stage(last+1, 2, 1, 500), 0, jobName(last)) })
	f.check(jobName(5000), 2, 500-1-3*steps)
	cost(12*steps, "ladder's last cancelled", func() { f.end(jobName(last+1), cancelled) })
	f.check(jobName(5000), 0, 0)
}
