package dag

import (
	"container/heap"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file implements priority inheritance along dependencies: a job gets the highest priority
// of itself and all its active downstream jobs, and a latest finish time that lets each of them
// meet its deadline. Inheritance is computed for all dependencies, of any team and owner.
//
// An event visits the jobs whose inheritance it changes, and the dependencies of these jobs. A job
// is accepted after its dependencies, so its record has a higher version than theirs. Jobs are
// visited in descending order of versions; therefore each job is visited once per event, regardless
// of the shape of the graph.

// Inheritance is what a job inherits from its downstream jobs.
type Inheritance struct {
	Priority     sched.Priority
	LatestFinish micros.Micros // latest finish time that lets them meet their deadlines, 0 for none
}

// merge returns the inheritance from two sources.
func (i Inheritance) merge(other Inheritance) Inheritance {
	return Inheritance{max(i.Priority, other.Priority), EarlierDeadline(i.LatestFinish, other.LatestFinish)}
}

// mayDetermine reports whether i, the former contribution of a dependent, may have determined the
// merged priority or latest finish while its replacement does not, so that the merged inheritance
// must be computed again.
func (i Inheritance) mayDetermine(merged, replacement Inheritance) bool {
	if i.Priority == merged.Priority && replacement.Priority < i.Priority {
		return true
	}
	return i.LatestFinish != 0 && i.LatestFinish == merged.LatestFinish &&
		EarlierDeadline(i.LatestFinish, replacement.LatestFinish) != replacement.LatestFinish
}

// EarlierDeadline returns the earlier of two times, where 0 means none. It returns 0 if both are 0.
func EarlierDeadline(a, b micros.Micros) micros.Micros {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// AbsoluteDeadline returns the time by which a job must have ended, or 0 for no deadline. The
// deadline is relative to the acceptance of the job, regardless of how long the job is blocked.
func AbsoluteDeadline(accepted, deadline micros.Micros) micros.Micros {
	if deadline == 0 {
		return 0
	}
	return accepted + deadline
}

// Inherited returns a job's inheritance, and whether active jobs depend on the job.
func (g *Graph) Inherited(id string) (inherited Inheritance, isDependency bool) {
	inherited, isDependency = g.inherited[id]
	return inherited, isDependency
}

// propagatedBy returns the inheritance that a job propagates to its dependencies.
func (g *Graph) propagatedBy(job *BlockedJob) Inheritance {
	own := Inheritance{job.priority, AbsoluteDeadline(job.accepted, job.deadline)}
	merged := own.merge(g.inherited[job.ID])
	if merged.LatestFinish != 0 {
		merged.LatestFinish = max(1, merged.LatestFinish-job.correctedEstimate) // 0 means none
	}
	return merged
}

// propagationQueue is a heap of jobs in descending order of versions, so that each job is visited
// before its dependencies.
type propagationQueue []*BlockedJob

// Len implements heap.Interface.
func (q propagationQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q propagationQueue) Less(i, k int) bool { return q[i].Version > q[k].Version }

// Swap implements heap.Interface.
func (q propagationQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *propagationQueue) Push(job any) { *q = append(*q, job.(*BlockedJob)) }

// Pop implements heap.Interface.
func (q *propagationQueue) Pop() any {
	last := len(*q) - 1
	job := (*q)[last]
	*q = (*q)[:last]
	return job
}

// startPropagating makes a job propagate its priority, deadline and inheritance upstream.
func (g *Graph) startPropagating(job *BlockedJob) {
	if !job.propagating {
		job.correctedEstimate = g.observer.EstimateOf(job)
	}
	g.propagate(job, true)
}

// stopPropagating makes a job that has ended or is cancelled propagate nothing.
func (g *Graph) stopPropagating(job *BlockedJob) {
	if job.propagating {
		g.propagate(job, false)
	}
}

// propagate applies a change of a job's inheritance or state to its upstream jobs.
func (g *Graph) propagate(first *BlockedJob, propagates bool) {
	queue := propagationQueue{first}
	for len(queue) > 0 {
		job := heap.Pop(&queue).(*BlockedJob)
		job.queued = false
		change := g.updatePropagated(job, job != first || propagates)
		if change.isEmpty() {
			continue
		}
		// The order does not matter, because the change is applied to each dependency
		// independently.
		for id := range job.pendingDependencies {
			if !g.applyPropagation(id, change) {
				continue
			}
			if dependency := g.blocked[id]; dependency != nil && dependency.propagating && !dependency.queued {
				dependency.queued = true
				heap.Push(&queue, dependency)
			}
		}
	}
}

// propagationChange is a change of the inheritance that a job propagates.
type propagationChange struct {
	propagatedBefore, propagates bool
	before                       Inheritance // valid if propagatedBefore
	after                        Inheritance // zero if the job no longer propagates
}

// isEmpty reports whether the job propagates the same inheritance as before.
func (c propagationChange) isEmpty() bool {
	return c.propagatedBefore && c.propagates && c.before == c.after
}

// updatePropagated recomputes the inheritance that a job propagates and returns the change.
func (g *Graph) updatePropagated(job *BlockedJob, propagates bool) propagationChange {
	change := propagationChange{
		propagatedBefore: job.propagating,
		propagates:       propagates,
		before:           job.propagated,
	}
	job.propagating = propagates
	job.propagated = g.propagatedBy(job)
	if propagates {
		change.after = job.propagated
	}
	return change
}

// applyPropagation applies a change of the inheritance that one dependent of a job propagates. It
// reports whether the job's inheritance changed.
func (g *Graph) applyPropagation(id string, change propagationChange) bool {
	g.work.Edges++
	before, known := g.inherited[id]
	after := before
	if change.propagates {
		after = before.merge(change.after)
	}
	if change.propagatedBefore && change.before.mayDetermine(before, change.after) {
		after = g.inheritedBy(id, before)
	}
	if known && after == before || !known && !change.propagates {
		return false
	}
	g.inherited[id] = after
	g.observer.InheritanceChanged(id)
	return true
}

// inheritedBy returns a job's inheritance from all its dependents after the contribution of one of
// them became lower. limit is the previous inheritance, which the result cannot exceed: the loop
// ends early when it reaches the limit.
func (g *Graph) inheritedBy(id string, limit Inheritance) Inheritance {
	var merged Inheritance
	for _, dependent := range g.dependents[id] {
		g.work.Edges++
		if !dependent.propagating {
			continue
		}
		merged = merged.merge(dependent.propagated)
		if merged == limit {
			break
		}
	}
	return merged
}

// disinherit removes the inheritance of a job that has no more dependents.
func (g *Graph) disinherit(id string) {
	if _, known := g.inherited[id]; known {
		delete(g.inherited, id)
		g.observer.InheritanceChanged(id)
	}
}
