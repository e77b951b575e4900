package frontend

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// CancellationWrites is the number of writes in the transaction that cancels a job.
const CancellationWrites = 2

// cancellation is a user's request to cancel a job.
type cancellation struct {
	node      *node
	responder *responder
	lookups   *lookupQueue

	request  userRequest
	job      string
	deadline micros.Micros // for further attempts to commit
}

// handleCancellation handles a user's request to cancel a job. A job that has ended keeps
// its terminal state, which the response contains.
func (f *Frontend) handleCancellation(request userRequest, job string) {
	if !wire.ValidJobID(job) {
		f.responder.reject(request, noSuchJob())
		return
	}
	if phase := f.node.TerminalStates.Of(job); phase != "" {
		f.responder.respondCancellation(request, job, phase)
		return
	}
	if f.node.KV.Unavailable() {
		f.responder.refuse(request, reasonKVUnresponsive)
		return
	}
	if f.node.Budget.AvailableWrites(budget.UserRequests, f.node.now()) < CancellationWrites {
		f.responder.refuseOverload(request, reasonTooManyCancellations) // reading the record would be wasted
		return
	}
	c := &cancellation{
		node: f.node, responder: f.responder, lookups: f.lookups,
		request: request, job: job, deadline: f.node.now() + SubmissionTimeout,
	}
	if version := f.node.knownVersion(job); version != 0 {
		c.commit(version)
		return
	}
	c.readRecord()
}

// readRecord reads the version of the job's record, and then commits the cancellation.
func (c *cancellation) readRecord() {
	c.node.KV.Get(budget.UserRequests, record.ActiveJobKey(c.job), func(outcome kv.Outcome, entry kv.Entry) {
		switch outcome {
		case kv.OK:
			c.commit(entry.Version)
		case kv.NotFound:
			c.lookups.add(c.job, c.handleNotActive)
		default:
			c.refuse(reasonKVUnresponsive)
		}
	})
}

// handleNotActive responds after the lookup of a job that has no record of an active job.
func (c *cancellation) handleNotActive(result lookupResult) {
	switch {
	case result.outcome == lookupNotFound:
		c.responder.rejectUnaccepted(c.request, c.job, noSuchJob(), result.evidence)
	case result.outcome == lookupFound && result.isTerminal():
		c.respond(result.phase)
	default:
		c.refuse(reasonKVUnresponsive)
	}
}

// commit records that the job is cancelled, provided that its record still has the given version.
func (c *cancellation) commit(version uint64) {
	terminal := record.TerminalState{Status: record.StatusCancelled, FinishedAt: c.node.Host.WallClock()}
	preconditions := []kv.Precondition{{Key: record.ActiveJobKey(c.job), Version: version}}
	writes := []kv.Write{
		{Put: record.TerminalStateKey(c.job), Value: terminal},
		{Delete: record.ActiveJobKey(c.job)},
	}
	c.node.KV.Do(budget.UserRequests, kv.Transaction(preconditions, writes), func(result kv.Result) {
		c.handleCommitResult(result.Outcome)
	})
}

// handleCommitResult announces a committed cancellation, or retries one whose outcome is in doubt.
func (c *cancellation) handleCommitResult(outcome kv.Outcome) {
	// The job has ended or its record has changed meanwhile, or the transaction may have been executed.
	inDoubt := outcome == kv.PreconditionFailed || outcome == kv.Unknown
	switch {
	case outcome == kv.OK:
		c.node.Cancellations.Announce(c.job, c.node.now()+SubmissionTimeout, c.handleAnnounced)
	case inDoubt && c.node.now() < c.deadline:
		c.readRecord()
	default:
		c.refuse(reasonKVUnresponsive)
	}
}

// handleAnnounced responds to the user. A cancellation that may not be acknowledged yet stays in
// effect; the user is told of it when the request is sent again.
func (c *cancellation) handleAnnounced(mayAcknowledge bool) {
	if !mayAcknowledge {
		c.refuse(reasonUnacknowledged)
		return
	}
	c.respond(wire.JobCancelled)
}

func (c *cancellation) respond(phase wire.JobPhase) {
	c.responder.respondCancellation(c.request, c.job, phase)
}

func (c *cancellation) refuse(reason wire.RefusalReason) { c.responder.refuse(c.request, reason) }
