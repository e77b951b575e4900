package jobgraph

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
	Priority sched.Priority
	MustEnd  micros.Micros // the latest end that lets all of them meet their deadlines, 0 for none
}

// merge is what is inherited from two.
func (a Inheritance) merge(b Inheritance) Inheritance {
	return Inheritance{max(a.Priority, b.Priority), Earlier(a.MustEnd, b.MustEnd)}
}

// decides tells whether what one passed may have been the reason for what is inherited, and
// is not any more with what it passes now.
func (a Inheritance) decides(all, now Inheritance) bool {
	return a.Priority == all.Priority && now.Priority < a.Priority ||
		a.MustEnd != 0 && a.MustEnd == all.MustEnd && Earlier(a.MustEnd, now.MustEnd) != now.MustEnd
}

// Earlier is the earlier of two times, of which 0 stands for none.
func Earlier(a, b micros.Micros) micros.Micros {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// DueAt is when a job of its own must have ended, 0 for never. It counts from the submission,
// however long the job waits.
func DueAt(accepted, deadline micros.Micros) micros.Micros {
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

// passes is what a job passes on to those that it awaits.
func (g *Graph) passes(job *WaitingJob) Inheritance {
	own := Inheritance{job.priority, DueAt(job.accepted, job.deadline)}
	all := own.merge(g.inherited[job.ID])
	if all.MustEnd != 0 {
		all.MustEnd = max(1, all.MustEnd-job.corrected)
	}
	return all
}

// latestFirst is a queue of jobs of which each is taken before those that it awaits.
type latestFirst []*WaitingJob

func (l latestFirst) Len() int           { return len(l) }
func (l latestFirst) Less(i, k int) bool { return l[i].Version > l[k].Version }
func (l latestFirst) Swap(i, k int)      { l[i], l[k] = l[k], l[i] }
func (l *latestFirst) Push(job any)      { *l = append(*l, job.(*WaitingJob)) }

func (l *latestFirst) Pop() any {
	last := len(*l) - 1
	job := (*l)[last]
	*l = (*l)[:last]
	return job
}

// passOn has a job pass on what it does by now, and so on for all for which that changes
// something.
func (g *Graph) passOn(job *WaitingJob) {
	if !job.passing {
		job.corrected = g.observer.EstimateOf(job)
	}
	g.propagate(job, true)
}

// stopPassing has a job that is over or cancelled pass on nothing any more.
func (g *Graph) stopPassing(job *WaitingJob) {
	if job.passing {
		g.propagate(job, false)
	}
}

// propagate carries a change from a job to those that it needs.
func (g *Graph) propagate(first *WaitingJob, passing bool) {
	for queue := (latestFirst{first}); len(queue) > 0; {
		job := heap.Pop(&queue).(*WaitingJob)
		job.queued = false
		before, now, passedBefore := job.passed, g.passes(job), job.passing
		job.passing = job != first || passing
		job.passed = now
		if passedBefore && job.passing && now == before {
			continue
		}
		change := passedChange{passedBefore: passedBefore, passes: job.passing, before: before}
		if job.passing {
			change.now = now
		}
		// The order does not matter: each job awaited takes the change for itself.
		for id := range job.awaited {
			if !g.takeChange(id, change) {
				continue
			}
			if next := g.waiting[id]; next != nil && next.passing && !next.queued {
				next.queued = true
				heap.Push(&queue, next)
			}
		}
	}
}

// passedChange is how what a job passes on has changed.
type passedChange struct {
	passedBefore, passes bool
	before, now          Inheritance
}

// takeChange has a job inherit what one that awaits it passes on; it tells whether that
// changed what the job inherits.
func (g *Graph) takeChange(id string, change passedChange) bool {
	g.work.Edges++
	before, known := g.inherited[id]
	now := before
	if change.passes {
		now = before.merge(change.now)
	}
	if change.passedBefore && change.before.decides(before, change.now) {
		now = g.inheritedBy(id, before)
	}
	if known && now == before || !known && !change.passes {
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
		if !dependent.passing {
			continue
		}
		if all = all.merge(dependent.passed); all == most {
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
