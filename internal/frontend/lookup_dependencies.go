package frontend

import (
	"tamarindlead/internal/dag"
	"tamarindlead/internal/wire"
)

// deriveStates looks up blocked jobs, whose states are derived from the terminal states of their
// dependencies. One refresh of the view serves them all.
func (q *lookupQueue) deriveStates(lookups []*lookup) {
	q.inFlight += len(lookups)
	q.recordReadSent(lookups...)
	q.node.JobView.Refresh(func(ok bool) {
		for _, l := range lookups {
			if !ok {
				q.finish(l, lookupResult{})
				continue
			}
			q.node.JobView.ResolveDependencies([]string{l.job}, l.deadline(), func(ok bool) { q.finishDerived(l, ok) })
		}
	})
}

// retryDerivation derives the state of a job from the view, after its record was read and showed that
// the job has dependencies.
func (q *lookupQueue) retryDerivation(l *lookup) {
	if l.expired(q.node.now()) {
		q.finish(l, lookupResult{})
		return
	}
	q.inFlight-- // deriveStates counts it again
	q.deriveStates([]*lookup{l})
}

// finishDerived finishes a lookup from the view, after the job's dependencies were resolved.
func (q *lookupQueue) finishDerived(l *lookup, ok bool) {
	if !ok {
		q.finish(l, lookupResult{})
		return
	}
	job := q.node.Graph.Blocked(l.job)
	switch q.node.Graph.State(l.job) {
	case dag.JobNotActive, dag.JobIndependent:
		q.readActive(l) // the job has ended meanwhile
	case dag.JobCancelled:
		q.finishTerminal(l, wire.JobCancelled, job.CancelledRoot)
	case dag.JobBlocked, dag.JobReady:
		q.finish(l, activeResult(job.Version, l.readEvidence))
	}
}
