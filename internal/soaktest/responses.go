package soaktest

import (
	"fmt"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// operationKind is the kind of a user's request.
type operationKind int

// The kinds of users' requests.
const (
	opSubmit operationKind = iota
	opQuery
	opCancel
)

// String returns the name of the kind.
func (k operationKind) String() string {
	switch k {
	case opSubmit:
		return "submit"
	case opQuery:
		return "query"
	case opCancel:
		return "cancel"
	}
	return fmt.Sprintf("operationKind(%d)", int(k))
}

// operation is a user's request and its response.
type operation struct {
	kind        operationKind
	job         string
	controller  int
	sentAt      micros.Micros
	respondedAt micros.Micros
	status      wire.Status   // 0: no response
	phase       wire.JobPhase // of the job, as the response shows it
}

// String describes the request for violations.
func (o *operation) String() string {
	return fmt.Sprintf("%v of %s at %s", o.kind, o.job, controllerName(o.controller))
}

// accepted reports whether the response shows that the job was accepted.
func (o *operation) accepted() bool {
	return o.status == wire.StatusOK || o.status == wire.StatusCreated
}

// conclusive reports whether the response depends on the state of the job.
func (o *operation) conclusive() bool {
	return o.accepted() || o.status == wire.StatusNotFound || o.status == wire.StatusBadRequest || o.status == wire.StatusUnprocessable
}

// pendingOperations are the times at which the first submission and the first cancellation without a
// conclusive response were sent; 0: there is none. Such a request may take effect at any time after
// it was sent.
type pendingOperations struct{ submit, cancel micros.Micros }

func isTerminal(phase wire.JobPhase) bool { return phase == wire.JobDone || phase == wire.JobCancelled }

// handleResponse checks the response to a user's request, or its absence.
func (c *checker) handleResponse(o operation, response callResult) {
	history := c.jobs[o.job]
	if history == nil {
		c.checkUnknownJob(o)
		return
	}
	if (o.status == wire.StatusTooManyRequests || o.status == wire.StatusUnavailable) && response.retryAfter == "" {
		c.reportViolation(RuleMissingRetryAfter, "%v got status %d without Retry-After", &o, o.status)
	}
	if !o.conclusive() {
		c.handleInconclusive(history, o)
		return
	}
	c.stats.Responses++
	history.lastResponseAt = o.respondedAt
	history.operations = append(history.operations, o)
	if !o.accepted() {
		c.checkNotAccepted(history, o)
		return
	}
	c.checkPhase(history, o)
}

// handleInconclusive records a request that got no response, or was refused for a reason other than
// the job's state, such as an overload.
func (c *checker) handleInconclusive(history *jobHistory, o operation) {
	if o.status == 0 {
		c.stats.Unanswered++
	} else {
		c.stats.Refused++
	}
	switch o.kind {
	case opSubmit:
		history.pending.submit = earliest(history.pending.submit, o.sentAt)
	case opCancel:
		history.pending.cancel = earliest(history.pending.cancel, o.sentAt)
	case opQuery: // has no effect
	}
}

// earliest returns the earlier of two times. A known time of 0 means that there is none.
func earliest(known, at micros.Micros) micros.Micros {
	if known == 0 {
		return at
	}
	return min(known, at)
}

// checkUnknownJob checks a response about a job that nobody submitted.
func (c *checker) checkUnknownJob(o operation) {
	if o.accepted() {
		c.reportViolation(RuleInvented, "%v got status %d, but nobody submitted the job", &o, o.status)
	}
}

// checkNotAccepted checks a response that says that the job does not exist or is invalid.
func (c *checker) checkNotAccepted(history *jobHistory, o operation) {
	if history.acceptedAt != 0 && history.acceptedAt < o.sentAt {
		c.reportViolation(RuleForgotten, "%v, sent at %v, got status %d, but the job was accepted at %v",
			&o, sinceStart(o.sentAt), o.status, sinceStart(history.acceptedAt))
	}
	if o.kind == opSubmit {
		c.reportViolation(RuleForgotten, "a valid submission of %s got status %d", o.job, o.status)
	}
}

// checkPhase checks the phase in a response against the responses that were received before the
// request was sent.
func (c *checker) checkPhase(history *jobHistory, o operation) {
	if history.acceptedAt == 0 {
		history.acceptedAt = o.respondedAt
		c.stats.Accepted++
	}
	differs := history.terminalPhase != "" && history.terminalPhase != o.phase
	if differs && (isTerminal(o.phase) || history.terminalAt < o.sentAt) {
		c.reportViolation(RuleWentBack, "%s was reported as %s at %v, then as %s in the response to a %v at %s, sent at %v, received at %v",
			o.job, history.terminalPhase, sinceStart(history.terminalAt),
			o.phase, o.kind, controllerName(o.controller), sinceStart(o.sentAt), sinceStart(o.respondedAt))
	}
	if history.terminalPhase == "" && isTerminal(o.phase) {
		c.handleTerminalState(history, o)
	}
}

// handleTerminalState records and checks the first response that shows a terminal state of a job.
func (c *checker) handleTerminalState(history *jobHistory, o operation) {
	history.terminalPhase, history.terminalAt, history.stallTimeAtTerminal = o.phase, o.respondedAt, c.stallTime
	if o.phase == wire.JobDone {
		c.stats.Done++
		c.checkDone(history)
		return
	}
	c.stats.Cancelled++
	if !history.cancelRequested {
		c.reportViolation(RuleWentBack, "%s is reported as cancelled, but its user did not request it", o.job)
	}
}

// checkDone checks that all tasks of a job that is reported as done have completed.
func (c *checker) checkDone(history *jobHistory) {
	for i := range history.job.Tasks {
		if task := wire.TaskName(history.job.ID, i); !c.harness.fleet.CompletedTasks[task] {
			c.reportViolation(RuleNotDone, "%s is reported as done, but %s has not completed", history.job.ID, task)
			return
		}
	}
}
