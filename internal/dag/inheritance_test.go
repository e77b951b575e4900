package dag

import (
	"testing"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// inheritanceFixture is a graph whose observer returns the submitted estimates of jobs.
type inheritanceFixture struct {
	*testing.T
	graph *Graph
}

func newInheritanceFixture(t *testing.T) *inheritanceFixture {
	g, _ := newSyncedGraph(t)
	return &inheritanceFixture{t, g}
}

// submit applies the record of a job that is accepted at time 0.
func (f *inheritanceFixture) submit(job sched.Job, dependencies ...string) {
	f.Helper()
	job.Tasks, job.Class, job.Need, job.Image, job.Team = 1, "stage", sched.NewResources(1, 0, 1), "img", "red"
	job.Dependencies = dependencies
	submit(f, f.graph, &job, 0)
}

// done ends a job as done.
func (f *inheritanceFixture) done(id string) {
	f.Helper()
	end(f, f.graph, id)
	f.graph.MarkDone(id, 1)
}

// cancelled ends a job as cancelled by its user.
func (f *inheritanceFixture) cancelled(id string) {
	f.Helper()
	end(f, f.graph, id)
	f.graph.MarkCancelled(id, id)
}

// checkInherited checks a job's inheritance; the latest finish is in seconds.
func (f *inheritanceFixture) checkInherited(id string, priority sched.Priority, latestFinish float64) {
	f.Helper()
	want := Inheritance{priority, micros.FromSeconds(latestFinish)}
	if got, _ := f.graph.Inherited(id); got != want {
		f.Fatalf("%s inherits %v; want %v", id, got, want)
	}
}

// checkCost checks that an operation visits at most limit edges.
func (f *inheritanceFixture) checkCost(limit int, name string, operation func()) {
	f.Helper()
	before := f.graph.work.Edges
	operation()
	if edges := f.graph.work.Edges - before; edges > limit {
		f.Errorf("%s: %d edges visited; want at most %d", name, edges, limit)
	}
}

// stage returns a job with an estimate and a deadline in seconds.
func stage(id int, priority sched.Priority, estimate, deadline float64) sched.Job {
	return sched.Job{
		ID: jobName(id), Priority: priority,
		Estimate: micros.FromSeconds(estimate), Deadline: micros.FromSeconds(deadline),
	}
}

// fan is the number of jobs in a fan-in or fan-out.
const fan = 600

// TestInheritanceCostOfFans checks the cost of an event for a job with 600 dependencies, and for
// 600 jobs with one common dependency. It fails without the early exit of the loop in inheritedBy.
func TestInheritanceCostOfFans(t *testing.T) {
	f := newInheritanceFixture(t)
	var dependencies []string
	for i := range fan {
		f.submit(stage(i, 0, 10, 0))
		dependencies = append(dependencies, jobName(i))
	}
	shared, fanIn := jobName(7), jobName(1000)
	f.checkCost(fan, "fan-in", func() { f.submit(stage(1000, 2, 10, 100), dependencies...) })
	f.checkInherited(shared, 2, 90)
	f.checkCost(1, "one dependency done", func() { f.done(dependencies[0]) })
	f.checkCost(2*fan, "fan-in cancelled", func() { f.cancelled(fanIn) })
	f.checkInherited(shared, 0, 0)

	f.checkCost(fan, "fan-out", func() {
		for i := range fan {
			f.submit(stage(2000+i, 1, 10, 100), shared)
		}
	})
	f.checkCost(20*fan, "fan-out cancelled one by one", func() {
		for i := range fan - 1 {
			f.cancelled(jobName(2000 + i))
			f.checkInherited(shared, 1, 90)
		}
	})
	f.checkCost(2, "last of the fan-out cancelled", func() { f.cancelled(jobName(2000 + fan - 1)) })
	f.checkInherited(shared, 0, 0)
}

// TestInheritanceCostOfDiamonds checks the cost of an event in a chain of diamonds, where each
// diamond doubles the number of paths. It fails if propagationQueue is not ordered by versions.
func TestInheritanceCostOfDiamonds(t *testing.T) {
	const diamonds = 40
	f := newInheritanceFixture(t)
	f.submit(stage(0, 0, 1, 0))
	for i := range diamonds {
		top := 3 * i
		f.submit(stage(top+1, 0, 1, 0), jobName(top))
		f.submit(stage(top+2, 0, 2, 0), jobName(top))
		f.submit(stage(top+3, 0, 1, 0), jobName(top+1), jobName(top+2))
	}
	bottom := 3 * diamonds
	f.checkCost(4*diamonds+1, "submission", func() { f.submit(stage(bottom+1, 2, 1, 500), jobName(bottom)) })
	f.checkInherited(jobName(0), 2, 500-1-3*diamonds)
	f.checkCost(12*diamonds, "cancellation", func() { f.cancelled(jobName(bottom + 1)) })
	f.checkInherited(jobName(0), 0, 0)
}
