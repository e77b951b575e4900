package scheduler

import (
	"slices"
	"testing"

	"tamarindlead/internal/dag"
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// addOrderedJob adds a job with a priority that was accepted the given time ago.
func (f *fixture) addOrderedJob(n int, priority sched.Priority, age micros.Micros) *inventory.Job {
	return f.addJob(&sched.Job{
		ID: jobName(n), Class: "work", Tasks: 1, Priority: priority, Need: sched.NewResources(4, 0, 4), Estimate: 30 * micros.Second,
	}, f.fake.now-age)
}

// TestSchedulingOrder checks the order of the criteria: starvation, priority, guaranteed quota, urgency,
// time of acceptance.
func TestSchedulingOrder(t *testing.T) {
	starving := newFixture(t).settings.Tuning.StarvationTimeout + micros.Second
	tests := []struct {
		name  string
		setUp func(f *fixture)
		want  []int
	}{
		{"priority, then time", func(f *fixture) {
			f.addOrderedJob(1, sched.Low, 9*micros.Second)
			f.addOrderedJob(2, sched.High, micros.Second)
			f.addOrderedJob(3, sched.High, 2*micros.Second)
		}, []int{3, 2, 1}},
		{"starving jobs first, by time", func(f *fixture) {
			f.addOrderedJob(1, sched.High, 0)
			f.addOrderedJob(2, sched.Low, starving)
			f.addOrderedJob(3, sched.Low, starving+micros.Second)
		}, []int{3, 2, 1}},
		{"a job that was placed does not starve", func(f *fixture) {
			f.addOrderedJob(1, sched.High, 0)
			f.addOrderedJob(2, sched.Low, starving).EverPlaced = true
		}, []int{1, 2}},
		{"jobs within the guaranteed quota before others of the same priority", func(f *fixture) {
			f.inventory.Teams["red"].GuaranteedQuota = sched.NewResources(4, 0, 0)
			f.addOrderedJob(1, sched.Low, 2*micros.Second) // uses up the quota
			f.addOrderedJob(2, sched.Low, 3*micros.Second).Team = "blue"
			f.addOrderedJob(3, sched.High, 0)
		}, []int{3, 1, 2}},
		{"urgent jobs by their slack", func(f *fixture) {
			f.addOrderedJob(1, sched.Low, 3*micros.Second)
			f.addOrderedJob(2, sched.Low, 2*micros.Second).EffectiveDeadline = f.fake.now + 50*micros.Second
			f.addOrderedJob(3, sched.Low, micros.Second).EffectiveDeadline = f.fake.now + 40*micros.Second
			f.addOrderedJob(4, sched.Low, 0).EffectiveDeadline = f.fake.now + micros.Hour
		}, []int{3, 2, 1, 4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			test.setUp(f)
			var got, want []string
			for _, j := range f.schedulingOrder() {
				got = append(got, j.ID)
			}
			for _, n := range test.want {
				want = append(want, jobName(n))
			}
			if !slices.Equal(got, want) {
				t.Errorf("order is %v, want %v", got, want)
			}
		})
	}
}

// TestApplyInheritance guards against a job whose position in the queue does not match its priority, and
// against deadlines that apply outside pipelines.
func TestApplyInheritance(t *testing.T) {
	f := newFixture(t)
	first, second := f.addOrderedJob(1, sched.Low, 2*micros.Second), f.addOrderedJob(2, sched.Low, micros.Second)
	second.Deadline = micros.Minute
	f.ApplyInheritance(second)
	if second.EffectiveDeadline != 0 {
		t.Errorf("the deadline applies outside a pipeline: %v", second.EffectiveDeadline)
	}
	f.inventory.SchedulingNeeded = false
	latest := f.fake.now + 40*micros.Second
	f.fake.inherited[second.ID] = dag.Inheritance{Priority: sched.High, LatestFinish: latest}
	f.ApplyInheritance(second)
	if second.Priority != sched.High || second.EffectiveDeadline != latest || !f.inventory.SchedulingNeeded {
		t.Errorf("with inheritance, the job has priority %v and deadline %v, want the inherited ones, and scheduling needed",
			second.Priority, second.EffectiveDeadline)
	}
	if want := []*inventory.Job{second, first}; !slices.Equal(f.inventory.Queue, want) {
		t.Error("the queue is out of order")
	}
	if delay := f.MaxQueueingDelay(second); delay != 10*micros.Second {
		t.Errorf("a job with 40 s until its deadline and an estimate of 30 s may wait %v, want 10 s", delay)
	}
	delete(f.fake.inherited, second.ID)
	f.ApplyInheritance(second)
	if second.Priority != sched.Low || second.EffectiveDeadline != 0 || f.inventory.Queue[0] != first {
		t.Errorf("without inheritance, the job has priority %v and deadline %v, want its own and none, and the other job first in the queue",
			second.Priority, second.EffectiveDeadline)
	}
}
