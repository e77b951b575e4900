package frontend

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// CancellationWrites is how many writes a cancellation takes.
const CancellationWrites = 2

// cancellationRequest is a user's request to cancel a job.
type cancellationRequest struct {
	c        *Frontend
	request  userRequest
	job      string
	deadline micros.Micros
}

// cancel handles a user's request to cancel a job.
func (c *Frontend) cancel(request userRequest, job string) {
	if !wire.ValidJobID(job) {
		c.reject(request.id, wire.StatusNotFound, reasonNoSuchJob)
		return
	}
	if status := c.TerminalStates.Of(job); status != "" {
		c.respondCancellation(request, job, status)
		return
	}
	if c.KV.Unavailable() {
		c.writer.Refuse(request.id, wire.StatusUnavailable, reasonKVUnresponsive)
		return
	}
	if c.Budget.AvailableWrites(budget.UserRequests, c.now()) < CancellationWrites {
		c.writer.Refuse(request.id, wire.StatusTooManyRequests, reasonTooManyCancellations) // a read would be wasted
		return
	}
	cancel := &cancellationRequest{c, request, job, c.now() + SubmissionTimeout}
	if version := c.knownVersion(job); version != 0 {
		cancel.commit(version)
		return
	}
	cancel.readRecord()
}

// readRecord reads the job's record, and then cancels the job.
func (r *cancellationRequest) readRecord() {
	r.c.KV.Get(budget.UserRequests, record.ActiveJobKey(r.job), func(outcome kv.Outcome, entry kv.Entry) {
		switch outcome {
		case kv.OK:
			r.commit(entry.Version)
		case kv.NotFound:
			r.c.lookup(r.job, r.handleNotActive)
		default:
			r.refuse(reasonKVUnresponsive)
		}
	})
}

// handleNotActive answers about a job that has no record as an active one.
func (r *cancellationRequest) handleNotActive(result lookupResult) {
	switch {
	case result.outcome == lookupNotFound:
		r.c.respondNeverAccepted(r.request, r.job, noSuchJob(), result.evidence)
	case result.outcome == lookupFound && result.isTerminal():
		r.respond(result.status)
	default:
		r.refuse(reasonKVUnresponsive)
	}
}

// commit records that the job is cancelled, if its record still has a version.
func (r *cancellationRequest) commit(version uint64) {
	guards := []kv.Precondition{{Key: record.ActiveJobKey(r.job), Version: version}}
	writes := []kv.Write{
		{Put: record.TerminalStateKey(r.job), Value: record.TerminalState{Status: record.StatusCancelled, FinishedAt: r.c.Host.WallClock()}},
		{Delete: record.ActiveJobKey(r.job)},
	}
	r.c.KV.Do(budget.UserRequests, kv.Transaction(guards, writes), func(reply kv.Result) { r.handleCommitResult(reply.Outcome) })
}

func (r *cancellationRequest) handleCommitResult(outcome kv.Outcome) {
	inDoubt := outcome == kv.PreconditionFailed || outcome == kv.Unknown // over meanwhile, or perhaps executed
	switch {
	case outcome == kv.OK:
		r.c.Cancellations.Announce(r.job, r.c.now()+SubmissionTimeout, r.handleAcknowledged)
	case inDoubt && r.c.now() < r.deadline:
		r.readRecord()
	default:
		r.refuse(reasonKVUnresponsive)
	}
}

func (r *cancellationRequest) handleAcknowledged(mayTell bool) {
	if !mayTell {
		r.refuse(reasonUnacknowledged)
		return
	}
	r.respond(wire.JobCancelled)
}

func (r *cancellationRequest) respond(status wire.JobPhase) {
	r.c.respondCancellation(r.request, r.job, status)
}

func (r *cancellationRequest) refuse(reason RefusalReason) {
	r.c.writer.Refuse(r.request.id, wire.StatusUnavailable, reason)
}
