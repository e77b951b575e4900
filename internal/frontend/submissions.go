package frontend

import (
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// maxPendingSubmissions bounds the submissions that are pending or whose dependencies are being
// checked. Further submissions are refused at once: users retry, and the queue does not
// grow further.
const maxPendingSubmissions = 128

// SubmissionTimeout is the time after which a pending submission or cancellation is refused.
const SubmissionTimeout = micros.Second

// submissionQueue holds the submissions that have not been committed.
type submissionQueue struct {
	node      *node
	responder *responder
	lookups   *lookupQueue

	pending              []*submission          // submissions to be committed
	byJob                map[string]*submission // all submissions without a response
	committing           bool
	checkingDependencies int // number of submissions whose dependencies are being checked
	nextCommit           micros.Micros
}

// submission is a job that is to be recorded, with the requests that submitted it.
type submission struct {
	job        *sched.Job
	requests   []userRequest
	receivedAt micros.Micros
	writeCount int // number of writes of its records
	// dependenciesReadAt is when the last read of its dependencies was sent, or 0 if none was sent.
	dependenciesReadAt micros.Micros
	// phase is the job's state when it is accepted. The job may already be cancelled, because the
	// upstream job cancelledRoot is.
	phase         wire.JobPhase
	cancelledRoot string
}

func newSubmissionQueue(n *node, r *responder, lookups *lookupQueue) *submissionQueue {
	return &submissionQueue{node: n, responder: r, lookups: lookups, byJob: map[string]*submission{}}
}

// add adds a submission, or adds the request to the pending submission of the same job. Whether the
// response to that submission may also be sent for this request is decided when the response is
// known: see respondOrLookUp.
func (s *submissionQueue) add(request userRequest, job *sched.Job, writes int) {
	if known := s.byJob[job.ID]; known != nil {
		known.requests = append(known.requests, request)
		return
	}
	if len(s.pending)+s.checkingDependencies >= maxPendingSubmissions {
		s.responder.refuseOverload(request, reasonTooManySubmissions)
		return
	}
	added := &submission{
		job: job, requests: []userRequest{request}, receivedAt: s.node.now(), writeCount: writes,
		phase: wire.JobQueued,
	}
	s.byJob[job.ID] = added
	if len(job.Dependencies) > 0 {
		s.checkDependencies(added)
		return
	}
	s.pending = append(s.pending, added)
}

// refuseUnlessAccepted responds to a submission with the state of the job if the job was accepted
// before, whatever the state of its dependencies, and otherwise with a refusal.
func (s *submissionQueue) refuseUnlessAccepted(sub *submission, refused *refusal) {
	s.lookups.add(sub.job.ID, func(result lookupResult) {
		respond := func(r userRequest) { s.responder.respondDuplicateOrRefuse(r, sub.job.ID, result, refused) }
		if result.outcome == lookupFailed {
			s.finish(sub, respond)
			return
		}
		evidence := result.evidence
		if result.outcome == lookupNotFound && sub.dependenciesReadAt != 0 { // the refusal is also based on that read
			evidence.SentAt = min(evidence.SentAt, sub.dependenciesReadAt)
		}
		s.respondOrLookUp(sub, evidence, respond)
	})
}

// respondOrLookUp ends a submission. It responds to the requests for which the evidence is recent
// enough. The job of requests that joined the submission after the read or commit was sent is looked
// up again, since another node may have sent users a more recent response in the meantime.
func (s *submissionQueue) respondOrLookUp(sub *submission, evidence freshness.Evidence, respond func(r userRequest)) {
	job := sub.job.ID
	var stale []userRequest
	s.finish(sub, func(r userRequest) {
		if s.responder.mayRespond(r, job, evidence) {
			respond(r)
		} else {
			stale = append(stale, r)
		}
	})
	if len(stale) == 0 {
		return
	}
	s.lookups.add(job, func(result lookupResult) {
		for _, r := range stale {
			s.responder.respondDuplicateOrRefuse(r, job, result, temporaryRefusal(reasonKVUnresponsive))
		}
	})
}

// finish ends a submission by responding to all its requests.
func (s *submissionQueue) finish(sub *submission, respond func(r userRequest)) {
	delete(s.byJob, sub.job.ID)
	for _, r := range sub.requests {
		respond(r)
	}
}

// refuse ends a submission that cannot be committed now by refusing its requests.
func (s *submissionQueue) refuse(sub *submission, reason wire.RefusalReason) {
	s.finish(sub, func(r userRequest) { s.responder.refuse(r, reason) })
}
