package frontend

import "tamarindlead/internal/wire"

// deriveStates looks up blocked jobs, whose state follows from the terminal states of their
// dependencies: one read serves them all.
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

// retryDerivation derives the state of a job whose record was read before the view held it.
func (q *lookupQueue) retryDerivation(l *lookup) {
	if l.expired(q.node.now()) {
		q.finish(l, lookupResult{})
		return
	}
	q.inFlight-- // deriveStates counts it again
	q.deriveStates([]*lookup{l})
}

// finishDerived answers from the view, once it holds what the job's state depends on.
func (q *lookupQueue) finishDerived(l *lookup, ok bool) {
	switch job := q.node.Graph.Blocked(l.job); {
	case !ok:
		q.finish(l, lookupResult{})
	case job == nil:
		q.readActive(l) // it has ended meanwhile
	case job.Cancelled():
		q.finishTerminal(l, wire.JobCancelled, job.CancelledRoot)
	default:
		q.finish(l, activeResult(job.Version, l.readEvidence))
	}
}
