package scheduler

import (
	"cmp"
	"slices"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

const (
	// urgentSlack is the deadline slack below which a job precedes others of its priority.
	urgentSlack = 30 * micros.Second
	// minQueueingDelay is the maximum queueing delay of a job that cannot meet its deadline any
	// more. Such a job is placed as soon as possible.
	minQueueingDelay = micros.Second
)

// schedulingOrder returns the jobs in the order in which they are placed. Starving jobs come first,
// whatever their priority, so that every job starts even under sustained overload. Among jobs of equal
// priority, jobs within their teams' guaranteed quotas come first, because they need not wait for other
// teams, then jobs with urgent deadlines, then the jobs that became ready first.
func (s *Scheduler) schedulingOrder() []*inventory.Job {
	guaranteed, wallClock := s.JobsWithinGuarantee(), s.host.WallClock()
	list := slices.Clone(s.inventory.Queue)
	slices.SortStableFunc(list, func(a, b *inventory.Job) int {
		x, y := s.isStarving(a, wallClock), s.isStarving(b, wallClock)
		switch {
		case x != y:
			return compareTrueFirst(x)
		case x:
			return cmp.Compare(a.ReadyAt, b.ReadyAt)
		case a.Priority == b.Priority && guaranteed[a] != guaranteed[b]:
			return compareTrueFirst(guaranteed[a])
		case a.Priority == b.Priority:
			return cmp.Or(s.compareUrgency(a, b, wallClock), inventory.CompareQueueOrder(a, b))
		}
		return inventory.CompareQueueOrder(a, b)
	})
	return list
}

// isStarving reports whether a job was never placed and has been ready for longer than StarvationTimeout.
func (s *Scheduler) isStarving(j *inventory.Job, wallClock micros.Micros) bool {
	return !j.EverPlaced && j.State == inventory.JobActive && wallClock-j.ReadyAt > s.settings.Tuning.StarvationTimeout
}

// compareTrueFirst orders two values if exactly one of them has a property: the one with the property
// comes first. has reports whether that is the first value.
func compareTrueFirst(has bool) int {
	if has {
		return -1
	}
	return 1
}

// deadlineSlack returns how much later than now a job may start and still meet its deadline.
func (s *Scheduler) deadlineSlack(j *inventory.Job, wallClock micros.Micros) micros.Micros {
	return j.EffectiveDeadline - wallClock - s.EstimatedRunTime(j)
}

// IsUrgent reports whether a job must start soon so that it, or a job downstream of it, meets its
// deadline.
func (s *Scheduler) IsUrgent(j *inventory.Job) bool { return s.isUrgent(j, s.host.WallClock()) }

func (s *Scheduler) isUrgent(j *inventory.Job, wallClock micros.Micros) bool {
	return j.EffectiveDeadline != 0 && s.deadlineSlack(j, wallClock) < urgentSlack
}

// compareUrgency orders jobs of the same priority: urgent ones first, by their slack.
func (s *Scheduler) compareUrgency(a, b *inventory.Job, wallClock micros.Micros) int {
	if a.EffectiveDeadline == 0 && b.EffectiveDeadline == 0 {
		return 0
	}
	aUrgent, bUrgent := s.isUrgent(a, wallClock), s.isUrgent(b, wallClock)
	switch {
	case aUrgent != bUrgent:
		return compareTrueFirst(aUrgent)
	case aUrgent:
		return cmp.Compare(s.deadlineSlack(a, wallClock), s.deadlineSlack(b, wallClock))
	}
	return 0
}

// ClassWaitTarget returns how long a job may wait according to the SLOs of its class.
func (s *Scheduler) ClassWaitTarget(j *inventory.Job) micros.Micros {
	return autoscaler.WaitTarget(s.settings.SLOs, j.Class, j.Gang, s.EstimatedRunTime(j), s.settings.Tuning.QueueTarget)
}

// MaxQueueingDelay returns how long a job may wait: the wait target of its class, or the time until it
// must start to meet its deadline if that is shorter.
func (s *Scheduler) MaxQueueingDelay(j *inventory.Job) micros.Micros {
	if j.EffectiveDeadline == 0 {
		return s.ClassWaitTarget(j)
	}
	return min(s.ClassWaitTarget(j), max(minQueueingDelay, s.deadlineSlack(j, s.host.WallClock())))
}

// ApplyInheritance updates a job's priority and deadline according to what it inherits from its
// downstream jobs, and its position in the queue.
func (s *Scheduler) ApplyInheritance(j *inventory.Job) {
	inherited, inPipeline := s.host.Inherited(j.ID)
	priority, deadline := max(j.SubmittedPriority, inherited.Priority), micros.Micros(0)
	if inPipeline { // deadlines apply only in pipelines
		deadline = dag.EarlierDeadline(dag.AbsoluteDeadline(j.Accepted, j.Deadline), inherited.LatestFinish)
	}
	if priority == j.Priority && deadline == j.EffectiveDeadline {
		return
	}
	j.EffectiveDeadline = deadline
	s.inventory.SchedulingNeeded = true
	if priority == j.Priority {
		return
	}
	s.log.Debug("priority inherited", "job", j.ID, "submitted", j.SubmittedPriority, "priority", priority)
	at := slices.Index(s.inventory.Queue, j)
	if at >= 0 {
		s.inventory.Queue = slices.Delete(s.inventory.Queue, at, at+1)
	}
	j.Priority = priority
	if at >= 0 {
		s.inventory.QueueJob(j)
	}
}
