package frontend

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// This file commits submissions. The acceptance of a job is acknowledged to users only after its
// records have been committed.

// maxSubmissionCommitBytes bounds the size of the records of one commit that accepts several jobs.
const maxSubmissionCommitBytes = wire.MaxBody / 2

// flush commits as many pending submissions as fit into one transaction and the budget.
func (s *submissionQueue) flush() {
	if s.committing || len(s.pending) == 0 {
		return
	}
	s.refuseExpired()
	availableWrites := min(s.node.Budget.AvailableWrites(budget.UserRequests, s.node.now()), s.node.Settings.MaxTransactionOps)
	if s.node.now() < s.nextCommit || availableWrites == 0 || len(s.pending) == 0 {
		return
	}
	if batch := s.takeBatch(availableWrites); len(batch) > 0 {
		s.commit(batch)
	}
}

// refuseExpired refuses the submissions that have been pending for longer than SubmissionTimeout.
func (s *submissionQueue) refuseExpired() {
	var remaining []*submission
	for _, sub := range s.pending {
		if s.node.now()-sub.receivedAt > SubmissionTimeout {
			s.refuse(sub, reasonKVUnresponsive)
			continue
		}
		remaining = append(remaining, sub)
	}
	s.pending = remaining
}

// takeBatch removes from the queue the submissions whose writes are available, in the order in which
// they were received. A first submission that needs more writes than the budget's burst is taken when
// the full burst is available; its other writes become a debt of the budget.
func (s *submissionQueue) takeBatch(availableWrites int) []*submission {
	if first := s.pending[0]; first.writeCount > availableWrites && availableWrites >= s.node.Budget.WriteBurst() {
		availableWrites = first.writeCount
	}
	var batch, rest []*submission
	for _, sub := range s.pending {
		if sub.writeCount <= availableWrites {
			availableWrites -= sub.writeCount
			batch = append(batch, sub)
		} else {
			rest = append(rest, sub)
		}
	}
	s.pending = rest
	return batch
}

// commit commits the records of a batch of submissions. Submissions that would make the transaction
// too large are queued again.
func (s *submissionQueue) commit(batch []*submission) {
	var preconditions []kv.Precondition
	var writes []kv.Write
	size := 0
	for i, sub := range batch {
		puts, bytes := record.JobWrites(sub.job, s.node.Host.WallClock(), s.node.Settings.MaxValueBytes)
		if size += bytes; i > 0 && size > maxSubmissionCommitBytes {
			s.requeue(batch[i:])
			batch = batch[:i]
			break
		}
		job := sub.job.ID
		preconditions = append(preconditions, kv.Precondition{Key: record.ActiveJobKey(job)}, kv.Precondition{Key: record.TerminalStateKey(job)})
		writes = append(writes, puts...)
	}
	s.committing = true
	evidence := s.node.evidenceNow(freshness.OwnTransaction)
	s.node.KV.Do(budget.UserRequests, kv.Transaction(preconditions, writes), func(result kv.Result) {
		s.committing = false
		s.handleCommitResult(batch, result, evidence)
	})
}

// requeue puts submissions back at the front of the queue.
func (s *submissionQueue) requeue(batch []*submission) {
	s.pending = append(batch[:len(batch):len(batch)], s.pending...)
}

// handleCommitResult handles the result of the commit of a batch.
func (s *submissionQueue) handleCommitResult(batch []*submission, result kv.Result, evidence freshness.Evidence) {
	switch result.Outcome {
	case kv.OK:
		for _, sub := range batch {
			s.node.Log.Debug("job accepted", "job", sub.job.ID, "phase", sub.phase, "dependencies_read_us", int64(sub.dependenciesReadAt))
			s.handleAccepted(sub, evidence)
		}
	case kv.PreconditionFailed:
		s.handlePreconditionFailed(batch, result)
	case kv.Throttled:
		s.requeue(batch)
		s.nextCommit = s.node.now() + kv.ThrottledRetryDelay
	case kv.Unknown:
		// The transaction may have been executed. If it was, the preconditions of the repeated
		// commit fail.
		s.requeue(batch)
	default:
		for _, sub := range batch {
			s.refuse(sub, reasonKVRefuses)
		}
	}
}

// handlePreconditionFailed looks up the jobs of a batch that were accepted before and queues the
// others again.
func (s *submissionQueue) handlePreconditionFailed(batch []*submission, result kv.Result) {
	var committed kv.TransactionResult
	_ = result.Decode(&committed) // without a list of keys, all jobs are looked up
	failed := map[string]bool{}
	for _, key := range committed.FailedPreconditions {
		failed[key] = true
	}
	for _, sub := range batch {
		known := failed[record.ActiveJobKey(sub.job.ID)] || failed[record.TerminalStateKey(sub.job.ID)]
		if known || len(failed) == 0 {
			s.refuseUnlessAccepted(sub, temporaryRefusal(reasonKVUnresponsive))
		} else {
			s.pending = append(s.pending, sub)
		}
	}
}

// handleAccepted responds to a submission that was just committed. If its job is cancelled because of
// an upstream job, the response is sent after the cancellation may be acknowledged.
func (s *submissionQueue) handleAccepted(sub *submission, evidence freshness.Evidence) {
	if sub.phase != wire.JobCancelled {
		s.respondAccepted(sub, evidence)
		return
	}
	s.node.Cancellations.Announce(sub.cancelledRoot, s.node.now()+SubmissionTimeout, func(mayAcknowledge bool) {
		if !mayAcknowledge {
			s.refuse(sub, reasonUnacknowledged)
			return
		}
		s.node.TerminalStates.Remember(sub.job.ID, wire.JobCancelled)
		s.respondAccepted(sub, freshness.TerminalStateEvidence())
	})
}

// respondAccepted responds to the requests of a submission that was accepted.
func (s *submissionQueue) respondAccepted(sub *submission, evidence freshness.Evidence) {
	s.respondOrLookUp(sub, evidence, func(r userRequest) {
		s.responder.respondSubmission(r, wire.StatusCreated, sub.job.ID, sub.phase, evidence)
	})
}
