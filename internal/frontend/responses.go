package frontend

import (
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file answers users' requests with the state of a job. Every such answer passes
// checkResponse, whatever asked for it: a submission, a question or a cancellation.

// userRequest is a request of a user that waits for its answer.
type userRequest struct {
	id         uint64
	receivedAt micros.Micros
}

// newUserRequest is the user's request of the present event.
func (c *Frontend) newUserRequest(r Request) userRequest { return userRequest{r.ID, c.now()} }

// mayRespond decides whether knowledge about a job may answer a request: it must have been asked
// for after the request came, and a job of which a peer told us that it is cancelled has no
// state that is not final. Where it may not, the job is looked up again.
func (c *Frontend) mayRespond(r userRequest, job string, evidence freshness.Evidence) bool {
	if evidence.Basis != freshness.TerminalState && c.Cancellations.HasEnded(job) {
		return false
	}
	return evidence.Covers(r.receivedAt)
}

// checkResponse asserts mayRespond for an answer that is about to be sent. If it fails, the request
// is refused, and the violation is logged and counted.
func (c *Frontend) checkResponse(r userRequest, job string, told string, evidence freshness.Evidence) bool {
	if c.mayRespond(r, job, evidence) {
		if c.debug {
			c.Log.Debug("job answered", "job", job, "told", told, "basis", evidence.Basis, "came_us", int64(r.receivedAt),
				"sent_us", int64(evidence.SentAt), "through_peer", evidence.ViaPeer, "version", evidence.Version)
		}
		return true
	}
	c.Host.ReportViolation("an answer about a job rests on old knowledge", "job", job, "request", r.id, "told", told, "basis", evidence.Basis,
		"came_us", int64(r.receivedAt), "sent_us", int64(evidence.SentAt), "ended", c.Cancellations.HasEnded(job))
	c.writer.Refuse(r.id, wire.StatusUnavailable, reasonKVUnresponsive)
	return false
}

// respondSubmission answers a submission with the state of its job.
func (c *Frontend) respondSubmission(r userRequest, httpStatus wire.Status, job string, status wire.JobPhase, evidence freshness.Evidence) {
	shown := c.userFacingStatus(job, status).Status
	if c.checkResponse(r, job, string(shown), evidence) {
		c.writer.Respond(r.id, httpStatus, wire.JobState{ID: job, Status: shown})
	}
}

// respondQuery answers a question with the state of a job and the counts of its tasks.
func (c *Frontend) respondQuery(r userRequest, job string, result lookupResult) {
	shown := c.userFacingStatus(job, result.status)
	if c.checkResponse(r, job, string(shown.Status), result.evidence) {
		c.writer.Respond(r.id, wire.StatusOK, shown)
	}
}

// respondCancellation answers a cancellation with the final state of its job.
func (c *Frontend) respondCancellation(r userRequest, job string, status wire.JobPhase) {
	if c.checkResponse(r, job, string(status), freshness.OfTerminalState()) {
		c.writer.Respond(r.id, wire.StatusOK, wire.JobState{ID: job, Status: status})
	}
}

// respondNeverAccepted refuses a request for good since its job was never accepted.
func (c *Frontend) respondNeverAccepted(r userRequest, job string, refused *refusal, evidence freshness.Evidence) {
	if c.checkResponse(r, job, string(refused.reason), evidence) {
		c.reject(r.id, refused.status, refused.reason)
	}
}

// noSuchJob refuses a request that names a job which was never accepted.
func noSuchJob() *refusal { return &refusal{wire.StatusNotFound, reasonNoSuchJob} }
