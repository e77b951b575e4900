package frontend

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// This file records submissions: a user is told that a job is accepted only after the commit
// of its records.

// maxSubmissionCommitBytes bounds the size of the records of one commit that accepts several jobs.
const maxSubmissionCommitBytes = wire.MaxBody / 2

// flush records waiting submissions, as many as one commit takes.
func (s *submissionQueue) flush() {
	if s.committing || len(s.pending) == 0 {
		return
	}
	s.refuseExpired()
	room := min(s.c.Budget.AvailableWrites(budget.UserRequests, s.c.now()), s.c.Settings.MaxTransactionOps)
	if s.c.now() < s.nextCommit || room == 0 || len(s.pending) == 0 {
		return
	}
	if batch := s.takeBatch(room); len(batch) > 0 {
		s.commit(batch)
	}
}

// refuseExpired refuses submissions that have waited for too long.
func (s *submissionQueue) refuseExpired() {
	var waiting []*submission
	for _, sub := range s.pending {
		if s.c.now()-sub.receivedAt > SubmissionTimeout {
			s.refuseRequests(sub, reasonKVUnresponsive)
			continue
		}
		waiting = append(waiting, sub)
	}
	s.pending = waiting
}

// takeBatch takes the submissions whose writes have room, in the order in which they came. One
// that needs more than there ever is room for is taken when there is as much as can be: its
// writes beyond that are owed to the budget.
func (s *submissionQueue) takeBatch(room int) []*submission {
	if first := s.pending[0]; first.writeCount > room && room >= s.c.Budget.WriteBurst() {
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

// commit records a batch of submissions. What would make the commit too large waits again.
func (s *submissionQueue) commit(batch []*submission) {
	var guards []kv.Precondition
	var writes []kv.Write
	size := 0
	for i, sub := range batch {
		puts, bytes := record.JobWrites(sub.job, s.c.Host.WallClock(), s.c.Settings.MaxValueBytes)
		if size += bytes; i > 0 && size > maxSubmissionCommitBytes {
			s.requeue(batch[i:])
			batch = batch[:i]
			break
		}
		id := sub.job.ID
		guards = append(guards, kv.Precondition{Key: record.ActiveJobKey(id)}, kv.Precondition{Key: record.TerminalStateKey(id)})
		writes = append(writes, puts...)
	}
	s.committing = true
	sent := freshness.Evidence{Basis: freshness.OwnTransaction, SentAt: s.c.now(), ViaPeer: s.c.KV.UsesPeerRoute()}
	s.c.KV.Do(budget.UserRequests, kv.Transaction(guards, writes), func(reply kv.Result) {
		s.committing = false
		s.handleCommitResult(batch, reply, sent)
	})
}

// requeue puts submissions back before those that came later.
func (s *submissionQueue) requeue(batch []*submission) {
	s.pending = append(batch[:len(batch):len(batch)], s.pending...)
}

// handleCommitResult takes the answer to the commit of a batch.
func (s *submissionQueue) handleCommitResult(batch []*submission, reply kv.Result, commit freshness.Evidence) {
	switch reply.Outcome {
	case kv.OK:
		for _, sub := range batch {
			s.c.Log.Debug("job accepted", "job", sub.job.ID)
			s.handleAccepted(sub, commit)
		}
	case kv.PreconditionFailed:
		s.handlePreconditionFailed(batch, reply)
	case kv.Throttled:
		s.requeue(batch)
		s.nextCommit = s.c.now() + kv.ThrottledPause
	case kv.Unknown:
		// It may have been executed: the same commit again tells by its guards.
		s.requeue(batch)
	default:
		for _, sub := range batch {
			s.refuseRequests(sub, reasonKVRefuses)
		}
	}
}

// handlePreconditionFailed goes on when some job of a batch is known already: those are looked up, the rest is
// tried again.
func (s *submissionQueue) handlePreconditionFailed(batch []*submission, reply kv.Result) {
	var committed kv.TransactionResult
	reply.Decode(&committed)
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

// handleAccepted answers a submission that was recorded by a commit just now. One that was cancelled
// with a job before it is answered once users may be told of that.
func (s *submissionQueue) handleAccepted(sub *submission, commit freshness.Evidence) {
	if sub.status != wire.JobCancelled {
		s.respondAccepted(sub, commit)
		return
	}
	s.c.Cancellations.Announce(sub.cancelledRoot, s.c.now()+SubmissionTimeout, func(mayTell bool) {
		if !mayTell {
			s.refuseRequests(sub, reasonUnacknowledged)
			return
		}
		s.c.TerminalStates.Remember(sub.job.ID, wire.JobCancelled)
		s.respondAccepted(sub, freshness.OfTerminalState())
	})
}

func (s *submissionQueue) respondAccepted(sub *submission, evidence freshness.Evidence) {
	s.answer(sub, evidence, func(r userRequest) {
		s.c.respondSubmission(r, wire.StatusAccepted, sub.job.ID, sub.status, evidence)
	})
}
