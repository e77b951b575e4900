package scheduler

import (
	"cmp"
	"slices"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/dag"
	"tamarindlead/micros"
)

// This file is what an owner makes of inherited priorities and deadlines (package jobgraph):
// the order in which jobs are placed, and how long they may wait.

// inheritPriority has a job take its place in the order by what it inherits.
func (s *Scheduler) InheritPriority(j *inventory.Job) {
	inherited, inPipeline := s.host.Inherited(j.ID)
	priority, mustEnd := max(j.SubmittedPriority, inherited.Priority), micros.Micros(0)
	if inPipeline { // deadlines count in pipelines only
		mustEnd = dag.EarlierDeadline(dag.AbsoluteDeadline(j.Accepted, j.Deadline), inherited.LatestFinish)
	}
	if priority == j.Priority && mustEnd == j.EffectiveDeadline {
		return
	}
	j.EffectiveDeadline = mustEnd
	s.inventory.SchedulingNeeded = true
	if priority == j.Priority {
		return
	}
	s.log.Debug("job inherits", "job", j.ID, "own", j.SubmittedPriority, "priority", priority)
	at := slices.Index(s.inventory.Queue, j)
	if at >= 0 {
		s.inventory.Queue = slices.Delete(s.inventory.Queue, at, at+1)
	}
	j.Priority = priority
	if at >= 0 {
		s.inventory.QueueJob(j)
	}
}

// urgentSlack is the slack below which a job goes before others of its priority.
const urgentSlack = 30 * micros.Second

// minWaitLimit is left to a job that cannot end in time any more: it is placed as soon as
// that is possible.
const minWaitLimit = micros.Second

// deadlineSlack is how much later than now a job may begin and still end in time.
func (s *Scheduler) deadlineSlack(j *inventory.Job) micros.Micros {
	return j.EffectiveDeadline - s.host.WallClock() - s.EstimatedRunTime(j)
}

// isUrgent tells that a job must begin soon for it, or for some job that needs it, to end in
// time.
func (s *Scheduler) IsUrgent(j *inventory.Job) bool {
	return j.EffectiveDeadline != 0 && s.deadlineSlack(j) < urgentSlack
}

// compareUrgency orders jobs of the same priority: first the urgent ones, by their slack.
func (s *Scheduler) compareUrgency(a, b *inventory.Job) int {
	if a.EffectiveDeadline == 0 && b.EffectiveDeadline == 0 {
		return 0
	}
	aUrgent, bUrgent := s.IsUrgent(a), s.IsUrgent(b)
	switch {
	case aUrgent != bUrgent:
		return compareTrueFirst(aUrgent)
	case aUrgent:
		return cmp.Compare(s.deadlineSlack(a), s.deadlineSlack(b))
	}
	return 0
}

// maxQueueingDelay is how long a job may wait: by its class, and until it must begin to end in time.
func (s *Scheduler) MaxQueueingDelay(j *inventory.Job) micros.Micros {
	if j.EffectiveDeadline == 0 {
		return s.ClassWaitTarget(j)
	}
	return min(s.ClassWaitTarget(j), max(minWaitLimit, s.deadlineSlack(j)))
}

// ClassWaitTarget tells how long a job may wait by its class's objectives.
func (s *Scheduler) ClassWaitTarget(j *inventory.Job) micros.Micros {
	return autoscaler.WaitTarget(s.settings.SLOs, j.Class, j.Gang, s.EstimatedRunTime(j), s.settings.Tuning.QueueTarget)
}
