package controller

import (
	"cmp"
	"slices"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/dag"
	"tamarindlead/micros"
)

// This file is what an owner makes of inherited priorities and deadlines (package jobgraph):
// the order in which jobs are placed, and how long they may wait.

// inheritPriority has a job take its place in the order by what it inherits.
func (o *owner) inheritPriority(j *inventory.Job) {
	inherited, awaited := o.c.graph.Inherited(j.ID)
	priority, mustEnd := max(j.SubmittedPriority, inherited.Priority), micros.Micros(0)
	if awaited || o.c.graph.Blocked(j.ID) != nil { // deadlines count in pipelines only
		mustEnd = dag.EarlierDeadline(dag.AbsoluteDeadline(j.Accepted, j.Deadline), inherited.LatestFinish)
	}
	if priority == j.Priority && mustEnd == j.EffectiveDeadline {
		return
	}
	j.EffectiveDeadline = mustEnd
	o.SchedulingNeeded = true
	if priority == j.Priority {
		return
	}
	o.c.log.Debug("job inherits", "job", j.ID, "own", j.SubmittedPriority, "priority", priority)
	at := slices.Index(o.Queue, j)
	if at >= 0 {
		o.Queue = slices.Delete(o.Queue, at, at+1)
	}
	j.Priority = priority
	if at >= 0 {
		o.QueueJob(j)
	}
}

// urgentSlack is the slack below which a job goes before others of its priority.
const urgentSlack = 30 * micros.Second

// minWaitLimit is left to a job that cannot end in time any more: it is placed as soon as
// that is possible.
const minWaitLimit = micros.Second

// deadlineSlack is how much later than now a job may begin and still end in time.
func (o *owner) deadlineSlack(j *inventory.Job) micros.Micros {
	return j.EffectiveDeadline - o.c.wallClock - o.estimatedRunTime(j)
}

// isUrgent tells that a job must begin soon for it, or for some job that needs it, to end in
// time.
func (o *owner) isUrgent(j *inventory.Job) bool {
	return j.EffectiveDeadline != 0 && o.deadlineSlack(j) < urgentSlack
}

// compareUrgency orders jobs of the same priority: first the urgent ones, by their slack.
func (o *owner) compareUrgency(a, b *inventory.Job) int {
	if a.EffectiveDeadline == 0 && b.EffectiveDeadline == 0 {
		return 0
	}
	aUrgent, bUrgent := o.isUrgent(a), o.isUrgent(b)
	switch {
	case aUrgent != bUrgent:
		return compareTrueFirst(aUrgent)
	case aUrgent:
		return cmp.Compare(o.deadlineSlack(a), o.deadlineSlack(b))
	}
	return 0
}

// maxQueueingDelay is how long a job may wait: by its class, and until it must begin to end in time.
func (o *owner) maxQueueingDelay(j *inventory.Job) micros.Micros {
	if j.EffectiveDeadline == 0 {
		return o.maxWait(j)
	}
	return min(o.maxWait(j), max(minWaitLimit, o.deadlineSlack(j)))
}
