package frontend

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// compareVersions compares the versions of jobs' records with those that this node knows.
func (q *lookupQueue) compareVersions(batch *lookupBatch) {
	q.inFlight += len(batch.compared)
	q.recordReadSent(batch.compared...)
	comparison := kv.Transaction(kv.SortedPreconditions(batch.versions), nil)
	q.node.KV.Do(budget.Reads, comparison, func(result kv.Result) {
		var committed kv.TransactionResult
		switch {
		case result.Outcome == kv.OK:
			q.applyComparison(batch, nil)
		case result.Outcome == kv.PreconditionFailed && result.Decode(&committed) == nil && len(committed.FailedPreconditions) > 0:
			q.applyComparison(batch, committed.FailedPreconditions)
		default:
			for _, l := range batch.compared {
				q.finish(l, lookupResult{})
			}
		}
	})
}

// applyComparison finishes the lookups of a batch if no key failed. Otherwise it reads the records
// whose keys failed, and queues the other lookups again, since the list of failed keys may be
// incomplete.
func (q *lookupQueue) applyComparison(batch *lookupBatch, failedKeys []string) {
	failed := map[string]bool{}
	for _, key := range failedKeys {
		failed[key] = true
	}
	var requeued []*lookup
	for _, l := range batch.compared {
		key := record.ActiveJobKey(l.job)
		switch {
		case failed[key]:
			if q.node.Graph.Version(l.job) == batch.versions[key] {
				q.node.Graph.ForgetVersion(l.job)
			}
			q.readActive(l)
		case len(failed) > 0:
			q.inFlight--
			requeued = append(requeued, l)
		default:
			q.finish(l, activeResult(batch.versions[key], l.readEvidence))
		}
	}
	q.pending = append(requeued, q.pending...)
}

// recordReadSent records that a read is sent for lookups now, or as soon as the budget allows. The
// result may combine this read with later ones, such as that of the terminal state, so it is
// guaranteed to reflect only the changes before this read.
func (q *lookupQueue) recordReadSent(lookups ...*lookup) {
	for _, l := range lookups {
		l.readEvidence = q.node.evidenceNow(freshness.RecordRead)
	}
}

// readActive reads the record that a job has while it is active, and then the terminal state if there
// is no such record.
func (q *lookupQueue) readActive(l *lookup) {
	q.recordReadSent(l)
	q.node.KV.Get(budget.Reads, record.ActiveJobKey(l.job), func(outcome kv.Outcome, entry kv.Entry) {
		switch outcome {
		case kv.OK:
			q.handleActiveRead(l, entry)
		case kv.NotFound:
			q.readTerminalState(l)
		default:
			q.finish(l, lookupResult{})
		}
	})
}

// handleActiveRead finishes a lookup from the record of an active job, unless the job's state depends
// on that of other jobs.
func (q *lookupQueue) handleActiveRead(l *lookup, entry kv.Entry) {
	hasDependencies, err := dag.HasDependencies(entry.Value)
	if err != nil {
		q.finish(l, lookupResult{})
		return
	}
	if hasDependencies && q.node.Graph.State(l.job) != dag.JobReady {
		q.retryDerivation(l) // this node's view is not up to date
		return
	}
	q.node.Graph.SetVersion(l.job, entry.Version)
	q.finish(l, activeResult(entry.Version, l.readEvidence))
}

// readTerminalState reads the terminal state of a job that is not active.
func (q *lookupQueue) readTerminalState(l *lookup) {
	q.node.KV.Get(budget.Reads, record.TerminalStateKey(l.job), func(outcome kv.Outcome, entry kv.Entry) {
		var terminal record.TerminalState
		switch {
		case outcome == kv.NotFound:
			q.finish(l, lookupResult{outcome: lookupNotFound, evidence: l.readEvidence})
		case outcome == kv.OK && wire.Decode(entry.Value, &terminal) == nil:
			q.finishTerminal(l, wire.JobPhase(terminal.Status), terminal.CancelledRoot(l.job))
		default:
			q.finish(l, lookupResult{})
		}
	})
}
