package frontend

import (
	"slices"

	"tamarindlead/internal/freshness"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds of the stage of submissions. What is beyond them is refused at once, so that the
// waiting happens with the users.
const (
	maxPendingSubmissions = 128           // that wait for their commit
	SubmissionTimeout     = micros.Second // a submission is given up after this
)

// submissionQueue is the stage of submissions that wait to be recorded.
type submissionQueue struct {
	c                    *Frontend
	pending              []*submission
	byJob                map[string]*submission
	committing           bool
	checkingDependencies int // submissions whose awaited jobs are looked up
	nextCommit           micros.Micros
}

// submission is a job that waits to be recorded, with the requests that submitted it.
type submission struct {
	job        *sched.Job
	requests   []userRequest
	receivedAt micros.Micros
	writeCount int // that its records take
	// dependenciesReadAt is when the jobs that it awaits were last looked up, 0: they were not.
	dependenciesReadAt micros.Micros
	// status is what users are told once it is accepted. It may be cancelled already, with a
	// job before it, the root.
	status        wire.JobPhase
	cancelledRoot string
}

func newSubmissionQueue(c *Frontend) submissionQueue {
	return submissionQueue{c: c, byJob: map[string]*submission{}}
}

// handleSubmission handles the submission of a job.
func (c *Frontend) handleSubmission(r Request) {
	job, err := wire.DecodeJob(r.Body)
	if err != nil {
		c.Log.Info("submission refused as malformed", "error", err)
		c.writer.Respond(r.ID, wire.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	if len(c.Host.MachineTypes()) == 0 {
		c.writer.Refuse(r.ID, wire.StatusUnavailable, reasonTypesUnknown)
		return
	}
	if c.KV.Unavailable() {
		c.writer.Refuse(r.ID, wire.StatusUnavailable, reasonKVUnresponsive)
		return
	}
	writes, size := record.JobWrites(job, c.Host.WallClock(), c.Settings.MaxValueBytes)
	refused := c.checkPlaceable(job)
	if c.exceedsRecordLimits(writes, size) {
		refused = &refusal{wire.StatusBadRequest, reasonTooLong}
	}
	if refused != nil {
		c.refuseSubmission(c.newUserRequest(r), job.ID, refused)
		return
	}
	c.submissions.add(c.newUserRequest(r), job, len(writes))
}

// refuseSubmission refuses a submission for good, unless the job is known: the types on offer,
// and the limits, may have changed since it was accepted.
func (c *Frontend) refuseSubmission(r userRequest, job string, refused *refusal) {
	c.lookup(job, func(result lookupResult) { c.respondWithLookup(r, job, result, refused) })
}

// respondWithLookup answers a submission by what was found out about its job, and else refuses it.
func (c *Frontend) respondWithLookup(r userRequest, job string, result lookupResult, refused *refusal) {
	switch {
	case result.outcome == lookupFound:
		c.respondSubmission(r, wire.StatusOK, job, result.status, result.evidence)
	case result.outcome == lookupNotFound && refused.isPermanent():
		c.respondNeverAccepted(r, job, refused, result.evidence)
	case refused.isPermanent():
		c.writer.Refuse(r.id, wire.StatusUnavailable, reasonKVUnresponsive)
	default:
		c.writer.Refuse(r.id, wire.StatusUnavailable, refused.reason)
	}
}

// exceedsRecordLimits tells that the records of a job exceed the limits of the state service.
func (c *Frontend) exceedsRecordLimits(writes []kv.Write, size int) bool {
	return len(writes) > c.Settings.MaxTransactionOps || size > c.MaxTransactionBytes || kv.EncodedSizeBound(writes[0].Value) > c.Settings.MaxValueBytes
}

// checkPlaceable tells why a job could never run, or returns nil.
func (c *Frontend) checkPlaceable(job *sched.Job) *refusal {
	team, ok := c.Settings.Team(job.Team)
	if !ok {
		return permanentRefusal(reasonUnknownTeam)
	}
	if !job.FitsAny(c.Host.MachineTypes()) {
		return permanentRefusal(reasonFitsNoType)
	}
	need := job.Need
	if job.Gang {
		need = need.Times(job.Tasks)
	}
	if !withinQuotaLimit(need, team.QuotaLimit) {
		return permanentRefusal(reasonAboveQuotaLimit)
	}
	return nil
}

func withinQuotaLimit(used, limit sched.Resources) bool {
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.GPU == 0 || used.GPU <= limit.GPU)
}

// add takes a submission, or adds the request to that of the same job. Whether what answers that
// one may also answer the request is decided once the answer is there: see answer.
func (s *submissionQueue) add(request userRequest, job *sched.Job, writes int) {
	if known := s.byJob[job.ID]; known != nil {
		known.requests = append(known.requests, request)
		return
	}
	if len(s.pending)+s.checkingDependencies >= maxPendingSubmissions {
		s.c.writer.Refuse(request.id, wire.StatusTooManyRequests, reasonTooManySubmissions)
		return
	}
	added := &submission{job: job, requests: []userRequest{request}, receivedAt: s.c.now(), writeCount: writes, status: wire.JobQueued}
	s.byJob[job.ID] = added
	if len(job.Dependencies) > 0 {
		s.checkDependencies(added)
		return
	}
	s.pending = append(s.pending, added)
}

// checkDependencies checks that all jobs that a submission awaits were accepted, and how they stand.
// That a job was accepted is final, so a read before the commit suffices.
func (s *submissionQueue) checkDependencies(sub *submission) {
	c, id := s.c, sub.job.ID
	switch {
	case slices.Contains(sub.job.Dependencies, id):
		s.answerDuplicateOrRefuse(sub, permanentRefusal(reasonDependsOnItself))
		return
	case c.TerminalStates.Of(id) != "" || c.knownVersion(id) != 0:
		s.answerDuplicateOrRefuse(sub, temporaryRefusal(reasonKVUnresponsive))
		return
	case !c.Graph.IsSynced():
		s.answerDuplicateOrRefuse(sub, temporaryRefusal(reasonJobsUnknown))
		return
	}
	s.checkingDependencies++
	sub.dependenciesReadAt = c.now()
	c.JobView.CheckDependencies(sub.job.Dependencies, c.now()+SubmissionTimeout, func(result DependencyResult) {
		s.checkingDependencies--
		s.dependenciesChecked(sub, result)
	})
}

// dependenciesChecked goes on once it is known how the jobs stand that a submission awaits.
func (s *submissionQueue) dependenciesChecked(sub *submission, result DependencyResult) {
	switch result.Status {
	case DependenciesUnknown:
		s.answerDuplicateOrRefuse(sub, temporaryRefusal(reasonKVUnresponsive))
		return
	case DependenciesNeverAccepted:
		s.answerDuplicateOrRefuse(sub, permanentRefusal(reasonDependencyNotAccepted))
		return
	case DependenciesCancelled:
		sub.status, sub.cancelledRoot = wire.JobCancelled, result.CancelledRoot
	}
	s.pending = append(s.pending, sub)
}

// answerDuplicateOrRefuse answers a submission with the state of the job if it was accepted before,
// whatever became of those that it awaits, and else with a refusal.
func (s *submissionQueue) answerDuplicateOrRefuse(sub *submission, refused *refusal) {
	s.c.lookup(sub.job.ID, func(result lookupResult) {
		answer := func(r userRequest) { s.c.respondWithLookup(r, sub.job.ID, result, refused) }
		if result.outcome == lookupFailed {
			s.finish(sub, answer)
			return
		}
		evidence := result.evidence
		if result.outcome == lookupNotFound && sub.dependenciesReadAt != 0 { // the refusal rests on them too
			evidence.SentAt = min(evidence.SentAt, sub.dependenciesReadAt)
		}
		s.answer(sub, evidence, answer)
	})
}

// answer ends a submission whose requests are answered by what the evidence shows. Requests
// that joined it too late for that, after the read or commit was sent, are looked up by
// themselves: meanwhile another node may have told users something newer.
func (s *submissionQueue) answer(sub *submission, evidence freshness.Evidence, answer func(r userRequest)) {
	job := sub.job.ID
	var late []userRequest
	s.finish(sub, func(r userRequest) {
		if s.c.mayRespond(r, job, evidence) {
			answer(r)
		} else {
			late = append(late, r)
		}
	})
	if len(late) == 0 {
		return
	}
	s.c.lookup(job, func(result lookupResult) {
		for _, r := range late {
			s.c.respondWithLookup(r, job, result, temporaryRefusal(reasonKVUnresponsive))
		}
	})
}

// finish ends a submission: all its requests are answered.
func (s *submissionQueue) finish(sub *submission, answer func(r userRequest)) {
	delete(s.byJob, sub.job.ID)
	for _, r := range sub.requests {
		answer(r)
	}
}

// refuseRequests ends a submission that cannot be recorded now.
func (s *submissionQueue) refuseRequests(sub *submission, reason RefusalReason) {
	s.finish(sub, func(r userRequest) { s.c.writer.Refuse(r.id, wire.StatusUnavailable, reason) })
}
