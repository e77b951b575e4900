package frontend

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// This file records submissions: the acceptance of a job is acknowledged to its users only after
// the commit of its records.

// maxSubmissionCommitBytes bounds the size of the records of one commit that accepts several jobs.
const maxSubmissionCommitBytes = wire.MaxBody / 2

// flush commits pending submissions, as many as one transaction takes.
func (s *submissionQueue) flush() {
	if s.committing || len(s.pending) == 0 {
		return
	}
	s.refuseExpired()
	room := min(s.node.Budget.AvailableWrites(budget.UserRequests, s.node.now()), s.node.Settings.MaxTransactionOps)
	if s.node.now() < s.nextCommit || room == 0 || len(s.pending) == 0 {
		return
	}
	if batch := s.takeBatch(room); len(batch) > 0 {
		s.commit(batch)
	}
}

// refuseExpired refuses the submissions that have waited for too long.
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

// takeBatch takes the submissions whose writes have room, in the order in which they were
// received. One that needs more room than there can ever be is taken when the room is largest:
// its writes beyond that are a debt of the budget.
func (s *submissionQueue) takeBatch(room int) []*submission {
	if first := s.pending[0]; first.writeCount > room && room >= s.node.Budget.WriteBurst() {
		room = first.writeCount
	}
	var batch, rest []*submission
	for _, sub := range s.pending {
		if sub.writeCount <= room {
			room -= sub.writeCount
			batch = append(batch, sub)
		} else {
			rest = append(rest, sub)
		}
	}
	s.pending = rest
	return batch
}

// commit records a batch of submissions. Those that would make the transaction too large are
// queued again.
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

// requeue puts submissions back before those that were received later.
func (s *submissionQueue) requeue(batch []*submission) {
	s.pending = append(batch[:len(batch):len(batch)], s.pending...)
}

// handleCommitResult handles the result of the commit of a batch.
func (s *submissionQueue) handleCommitResult(batch []*submission, result kv.Result, evidence freshness.Evidence) {
	switch result.Outcome {
	case kv.OK:
		for _, sub := range batch {
			s.node.Log.Debug("job accepted", "job", sub.job.ID)
			s.handleAccepted(sub, evidence)
		}
	case kv.PreconditionFailed:
		s.handlePreconditionFailed(batch, result)
	case kv.Throttled:
		s.requeue(batch)
		s.nextCommit = s.node.now() + kv.ThrottledRetryDelay
	case kv.Unknown:
		// It may have been executed: the preconditions of the same commit show whether it was.
		s.requeue(batch)
	default:
		for _, sub := range batch {
			s.refuse(sub, reasonKVRefuses)
		}
	}
}

// handlePreconditionFailed looks up the jobs of a batch that are known already and queues the
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
			s.answerDuplicateOrRefuse(sub, temporaryRefusal(reasonKVUnresponsive))
		} else {
			s.pending = append(s.pending, sub)
		}
	}
}

// handleAccepted answers a submission that was just committed. One that is cancelled because of an
// upstream job is answered once that cancellation may be acknowledged.
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
		s.respondAccepted(sub, freshness.OfTerminalState())
	})
}

// respondAccepted answers the requests of a submission that was accepted.
func (s *submissionQueue) respondAccepted(sub *submission, evidence freshness.Evidence) {
	s.answer(sub, evidence, func(r userRequest) {
		s.responder.respondSubmission(r, wire.StatusCreated, sub.job.ID, sub.phase, evidence)
	})
}
