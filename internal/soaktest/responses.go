package soaktest

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// operationKind is what a user asks for.
type operationKind int

// The kinds of users' requests.
const (
	opSubmit operationKind = iota
	opQuery
	opCancel
)

func (k operationKind) String() string { return [...]string{"submit", "poll", "cancel"}[k] }

// operation is a user's request with its answer.
type operation struct {
	kind        operationKind
	job         string
	node        int
	sentAt      micros.Micros
	respondedAt micros.Micros
	status      int           // 0: no answer
	phase       wire.JobPhase // that the answer tells
}

// accepted tells whether the answer says that the job was accepted.
func (o *operation) accepted() bool {
	return o.status == wire.StatusOK || o.status == wire.StatusAccepted
}

// conclusive tells whether the answer says anything about the job.
func (o *operation) conclusive() bool {
	return o.accepted() || o.status == wire.StatusNotFound || o.status == wire.StatusBadRequest || o.status == wire.StatusUnprocessable
}

// pendingOperations are when requests were first sent that got no answer which decides: they may
// have taken effect at any time since. 0: there are none.
type pendingOperations struct{ submit, cancel micros.Micros }

func isTerminal(phase wire.JobPhase) bool { return phase == wire.JobDone || phase == wire.JobCancelled }

// handleResponse takes a user's request that is over.
func (c *checker) handleResponse(o operation, a callResult) {
	truth := c.jobs[o.job]
	if truth == nil {
		c.checkUnknownJob(o)
		return
	}
	if (o.status == wire.StatusTooManyRequests || o.status == wire.StatusUnavailable) && a.retryAfter == "" {
		c.reportViolation(RuleRefusal, "%v of %s at %s is answered %d without Retry-After", o.kind, o.job, controllerName(o.node), o.status)
	}
	if !o.conclusive() {
		c.handleInconclusive(truth, o)
		return
	}
	c.stats.Answers++
	truth.answeredAt = o.respondedAt
	truth.operations = append(truth.operations, o)
	if !o.accepted() {
		c.checkNotAccepted(truth, o)
		return
	}
	c.checkPhase(truth, o)
}

// handleInconclusive takes a request that got no answer, or a refusal for now.
func (c *checker) handleInconclusive(truth *jobHistory, o operation) {
	if o.status == 0 {
		c.stats.Unanswered++
	} else {
		c.stats.Refused++
	}
	first := func(at *micros.Micros) {
		if *at == 0 || o.sentAt < *at {
			*at = o.sentAt
		}
	}
	switch o.kind {
	case opSubmit:
		first(&truth.pending.submit)
	case opCancel:
		first(&truth.pending.cancel)
	}
}

// checkUnknownJob checks an answer about a job that nobody submitted.
func (c *checker) checkUnknownJob(o operation) {
	if o.accepted() {
		c.reportViolation(RuleInvented, "%v of %s at %s is answered %d, which nobody submitted", o.kind, o.job, controllerName(o.node), o.status)
	}
}

// checkNotAccepted checks an answer that the job was never accepted.
func (c *checker) checkNotAccepted(truth *jobHistory, o operation) {
	if truth.acceptedAt != 0 && truth.acceptedAt < o.sentAt {
		c.reportViolation(RuleForgotten, "%v of %s at %s, sent at %v, is answered %d: it was accepted at %v",
			o.kind, o.job, controllerName(o.node), o.sentAt-micros.Hour, o.status, truth.acceptedAt-micros.Hour)
	}
	if o.kind == opSubmit {
		c.reportViolation(RuleForgotten, "a valid submission of %s is answered %d", o.job, o.status)
	}
}

// checkPhase checks the state that an answer tells against what was told before it was asked.
func (c *checker) checkPhase(truth *jobHistory, o operation) {
	if truth.acceptedAt == 0 {
		truth.acceptedAt = o.respondedAt
		c.stats.Accepted++
	}
	differs := truth.terminalPhase != "" && truth.terminalPhase != o.phase
	if differs && (isTerminal(o.phase) || truth.terminalAt < o.sentAt) {
		c.reportViolation(RuleWentBack, "%s was %s at %v, is %s by a %v at %s, sent at %v and answered at %v", o.job, truth.terminalPhase,
			truth.terminalAt-micros.Hour, o.phase, o.kind, controllerName(o.node), o.sentAt-micros.Hour, o.respondedAt-micros.Hour)
	}
	if truth.terminalPhase != "" || !isTerminal(o.phase) {
		return
	}
	truth.terminalPhase, truth.terminalAt, truth.stalledAtTerminal = o.phase, o.respondedAt, c.stalled
	if o.phase == wire.JobDone {
		c.stats.Done++
		c.checkDone(truth)
		return
	}
	c.stats.Cancelled++
	if !truth.cancelRequested {
		c.reportViolation(RuleWentBack, "%s is cancelled, which its user did not ask for", o.job)
	}
}

// checkDone checks that all tasks of a job completed that is said to be done.
func (c *checker) checkDone(truth *jobHistory) {
	for i := range truth.job.Tasks {
		if task := wire.TaskName(truth.job.ID, i); !c.site.fleet.Done[task] {
			c.reportViolation(RuleNotDone, "%s is said to be done without %s", truth.job.ID, task)
			return
		}
	}
}
