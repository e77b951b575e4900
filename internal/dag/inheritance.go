package dag

import (
	"container/heap"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file is priority inheritance among jobs that wait for others: a job is treated as
// having the highest priority of itself and of all active jobs that need it, directly or
// through others, and it must end early enough for each of those to meet its deadline. What is
// inherited is kept for all jobs that others await, of any team and owner.
//
// An event costs those whose inheritance it changes, and what they await. A job is accepted
// after those that it awaits, so that its record's version is higher than theirs: taken from
// the highest version down, each job is looked at once for an event, in whatever shape the
// jobs depend on each other.

// Inheritance is what a job has from those that need it.
type Inheritance struct {
	Priority     sched.Priority
	LatestFinish micros.Micros // the latest end that lets all of them meet their deadlines, 0 for none
}

// merge is what is inherited from two.
func (a Inheritance) merge(b Inheritance) Inheritance {
	return Inheritance{max(a.Priority, b.Priority), EarlierDeadline(a.LatestFinish, b.LatestFinish)}
}

// mayDetermine tells whether what one passed may have been the reason for what is inherited, and
// is not any more with what it passes now.
func (a Inheritance) mayDetermine(all, now Inheritance) bool {
	return a.Priority == all.Priority && now.Priority < a.Priority ||
		a.LatestFinish != 0 && a.LatestFinish == all.LatestFinish && EarlierDeadline(a.LatestFinish, now.LatestFinish) != now.LatestFinish
}

// EarlierDeadline is the earlier of two times, of which 0 stands for none.
func EarlierDeadline(a, b micros.Micros) micros.Micros {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// AbsoluteDeadline is when a job of its own must have ended, 0 for never. It counts from the submission,
// however long the job waits.
func AbsoluteDeadline(accepted, deadline micros.Micros) micros.Micros {
	if deadline == 0 {
		return 0
	}
	return accepted + deadline
}

// Inherited returns what a job inherits; awaited tells whether active jobs need it.
func (g *Graph) Inherited(id string) (inherited Inheritance, awaited bool) {
	inherited, awaited = g.inherited[id]
	return inherited, awaited
}

// propagatedBy is what a job passes on to those that it awaits.
func (g *Graph) propagatedBy(job *BlockedJob) Inheritance {
	own := Inheritance{job.priority, AbsoluteDeadline(job.accepted, job.deadline)}
	all := own.merge(g.inherited[job.ID])
	if all.LatestFinish != 0 {
		all.LatestFinish = max(1, all.LatestFinish-job.correctedEstimate)
	}
	return all
}

// latestFirst is a queue of jobs of which each is taken before those that it awaits.
type latestFirst []*BlockedJob

func (l latestFirst) Len() int           { return len(l) }
func (l latestFirst) Less(i, k int) bool { return l[i].Version > l[k].Version }
func (l latestFirst) Swap(i, k int)      { l[i], l[k] = l[k], l[i] }
func (l *latestFirst) Push(job any)      { *l = append(*l, job.(*BlockedJob)) }

func (l *latestFirst) Pop() any {
	last := len(*l) - 1
	job := (*l)[last]
	*l = (*l)[:last]
	return job
}

// propagateFrom has a job pass on what it does by now, and so on for all for which that changes
// something.
func (g *Graph) propagateFrom(job *BlockedJob) {
	if !job.propagating {
		job.correctedEstimate = g.observer.EstimateOf(job)
	}
	g.propagate(job, true)
}

// stopPropagating has a job that is over or cancelled pass on nothing any more.
func (g *Graph) stopPropagating(job *BlockedJob) {
	if job.propagating {
		g.propagate(job, false)
	}
}

// propagate carries a change from a job to those that it needs.
func (g *Graph) propagate(first *BlockedJob, passing bool) {
	for queue := (latestFirst{first}); len(queue) > 0; {
		job := heap.Pop(&queue).(*BlockedJob)
		job.queued = false
		before, now, passedBefore := job.propagated, g.propagatedBy(job), job.propagating
		job.propagating = job != first || passing
		job.propagated = now
		if passedBefore && job.propagating && now == before {
			continue
		}
		change := propagationChange{propagatedBefore: passedBefore, propagates: job.propagating, before: before}
		if job.propagating {
			change.now = now
		}
		// The order does not matter: each job awaited takes the change for itself.
		for id := range job.pendingDependencies {
			if !g.applyPropagation(id, change) {
				continue
			}
			if next := g.blocked[id]; next != nil && next.propagating && !next.queued {
				next.queued = true
				heap.Push(&queue, next)
			}
		}
	}
}

// propagationChange is how what a job passes on has changed.
type propagationChange struct {
	propagatedBefore, propagates bool
	before, now                  Inheritance
}

// applyPropagation has a job inherit what one that awaits it passes on; it tells whether that
// changed what the job inherits.
func (g *Graph) applyPropagation(id string, change propagationChange) bool {
	g.work.Edges++
	before, known := g.inherited[id]
	now := before
	if change.propagates {
		now = before.merge(change.now)
	}
	if change.propagatedBefore && change.before.mayDetermine(before, change.now) {
		now = g.inheritedBy(id, before)
	}
	if known && now == before || !known && !change.propagates {
		return false
	}
	g.inherited[id] = now
	g.observer.InheritanceChanged(id)
	return true
}

// inheritedBy is what a job inherits from all that await it; the search ends where it is as
// much as it was.
func (g *Graph) inheritedBy(id string, most Inheritance) Inheritance {
	var all Inheritance
	for _, dependent := range g.dependents[id] {
		g.work.Edges++
		if !dependent.propagating {
			continue
		}
		if all = all.merge(dependent.propagated); all == most {
			break
		}
	}
	return all
}

// disinherit forgets what a job inherits: nobody awaits it any more.
func (g *Graph) disinherit(id string) {
	if _, known := g.inherited[id]; known {
		delete(g.inherited, id)
		g.observer.InheritanceChanged(id)
	}
}
