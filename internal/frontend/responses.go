package frontend

import (
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// userRequest is a user's request without a response.
type userRequest struct {
	id         uint64
	receivedAt micros.Micros
}

// responder sends the responses to users' requests. Every response that contains the state of a job
// passes checkResponse, whichever handler it comes from. A request is refused if it may be sent again
// later, and rejected if it will never be served.
type responder struct {
	node   *node
	writer ResponseWriter
	debug  bool // whether debug messages are logged
}

// mayRespond reports whether evidence about a job is recent enough for the response to a request: the
// read must not have been sent before the request was received, and a job that is known to be
// cancelled must be in a terminal state. If the evidence is not recent enough, the job of a submission
// is looked up again, and other requests are refused by checkResponse.
func (r *responder) mayRespond(request userRequest, job string, evidence freshness.Evidence) bool {
	if evidence.Basis != freshness.TerminalState && r.node.Cancellations.IsCancelled(job) {
		return false
	}
	return evidence.Covers(request.receivedAt)
}

// checkResponse asserts mayRespond for a response that is about to be sent. If it fails, the request
// is refused, and the violation is logged and counted.
func (r *responder) checkResponse(request userRequest, job, answer string, evidence freshness.Evidence) bool {
	if r.mayRespond(request, job, evidence) {
		if r.debug {
			r.node.Log.Debug("job answered", "job", job, "answer", answer, "basis", evidence.Basis, "received_us", int64(request.receivedAt),
				"read_sent_us", int64(evidence.SentAt), "via_peer", evidence.ViaPeer, "version", evidence.Version)
		}
		return true
	}
	r.node.Host.ReportViolation("stale answer about a job", "job", job, "request", request.id, "answer", answer, "basis", evidence.Basis,
		"received_us", int64(request.receivedAt), "read_sent_us", int64(evidence.SentAt), "cancelled", r.node.Cancellations.IsCancelled(job))
	r.refuse(request, reasonKVUnresponsive)
	return false
}

// respondSubmission responds to a submission with the state of its job.
func (r *responder) respondSubmission(request userRequest, httpStatus wire.Status, job string, phase wire.JobPhase, evidence freshness.Evidence) {
	shown := r.node.userFacingStatus(job, phase).Status
	if r.checkResponse(request, job, string(shown), evidence) {
		r.writer.Respond(request.id, httpStatus, wire.JobState{ID: job, Status: shown})
	}
}

// respondQuery responds to a query with the state of a job and the counts of its tasks.
func (r *responder) respondQuery(request userRequest, job string, result lookupResult) {
	shown := r.node.userFacingStatus(job, result.phase)
	if r.checkResponse(request, job, string(shown.Status), result.evidence) {
		r.writer.Respond(request.id, wire.StatusOK, shown)
	}
}

// respondCancellation responds to a cancellation with the terminal state of its job.
func (r *responder) respondCancellation(request userRequest, job string, phase wire.JobPhase) {
	if r.checkResponse(request, job, string(phase), freshness.TerminalStateEvidence()) {
		r.writer.Respond(request.id, wire.StatusOK, wire.JobState{ID: job, Status: phase})
	}
}

// rejectUnaccepted rejects a request because its job was never accepted.
func (r *responder) rejectUnaccepted(request userRequest, job string, refused *refusal, evidence freshness.Evidence) {
	if r.checkResponse(request, job, string(refused.reason), evidence) {
		r.reject(request, refused)
	}
}

// respondHealthy responds to a successful health check.
func (r *responder) respondHealthy(request userRequest) {
	r.writer.Respond(request.id, wire.StatusOK, nil)
}

// reject responds that a request will never be served.
func (r *responder) reject(request userRequest, refused *refusal) {
	r.writer.Respond(request.id, refused.status, wire.ErrorResponse{Error: string(refused.reason)})
}

// refuse responds that a request cannot be served now.
func (r *responder) refuse(request userRequest, reason wire.RefusalReason) {
	r.writer.Refuse(request.id, wire.StatusUnavailable, reason)
}

// refuseOverload responds that there are too many requests of a kind.
func (r *responder) refuseOverload(request userRequest, reason wire.RefusalReason) {
	r.writer.Refuse(request.id, wire.StatusTooManyRequests, reason)
}
