package soak

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
	kind     operationKind
	job      string
	node     int
	sent     micros.Micros
	answered micros.Micros
	status   int           // 0: no answer
	phase    wire.JobPhase // that the answer tells
}

// known tells whether the answer says that the job was accepted.
func (o *operation) known() bool {
	return o.status == wire.StatusOK || o.status == wire.StatusAccepted
}

// decided tells whether the answer says anything about the job.
func (o *operation) decided() bool {
	return o.known() || o.status == wire.StatusNotFound || o.status == wire.StatusBadRequest || o.status == wire.StatusUnprocessable
}

// pendingOperations are when requests were first sent that got no answer which decides: they may
// have taken effect at any time since. 0: there are none.
type pendingOperations struct{ submit, cancel micros.Micros }

func isFinal(phase wire.JobPhase) bool { return phase == wire.JobDone || phase == wire.JobCancelled }

// answered takes a user's request that is over.
func (c *checker) answered(o operation, a answer) {
	truth := c.jobs[o.job]
	if truth == nil {
		c.answeredUnknown(o)
		return
	}
	if (o.status == wire.StatusTooManyRequests || o.status == wire.StatusUnavailable) && a.retryAfter == "" {
		c.broke(RuleRefusal, "%v of %s at %s is answered %d without Retry-After", o.kind, o.job, controllerName(o.node), o.status)
	}
	if !o.decided() {
		c.notDecided(truth, o)
		return
	}
	c.figures.Answers++
	truth.answeredAt = o.answered
	truth.history = append(truth.history, o)
	if !o.known() {
		c.notKnown(truth, o)
		return
	}
	c.checkPhase(truth, o)
}

// notDecided takes a request that got no answer, or a refusal for now.
func (c *checker) notDecided(truth *jobTruth, o operation) {
	if o.status == 0 {
		c.figures.Unanswered++
	} else {
		c.figures.Refused++
	}
	first := func(at *micros.Micros) {
		if *at == 0 || o.sent < *at {
			*at = o.sent
		}
	}
	switch o.kind {
	case opSubmit:
		first(&truth.unansweredAt.submit)
	case opCancel:
		first(&truth.unansweredAt.cancel)
	}
}

// answeredUnknown checks an answer about a job that nobody submitted.
func (c *checker) answeredUnknown(o operation) {
	if o.known() {
		c.broke(RuleInvented, "%v of %s at %s is answered %d, which nobody submitted", o.kind, o.job, controllerName(o.node), o.status)
	}
}

// notKnown checks an answer that the job was never accepted.
func (c *checker) notKnown(truth *jobTruth, o operation) {
	if truth.acceptedAt != 0 && truth.acceptedAt < o.sent {
		c.broke(RuleForgotten, "%v of %s at %s, sent at %v, is answered %d: it was accepted at %v",
			o.kind, o.job, controllerName(o.node), o.sent-micros.Hour, o.status, truth.acceptedAt-micros.Hour)
	}
	if o.kind == opSubmit {
		c.broke(RuleForgotten, "a valid submission of %s is answered %d", o.job, o.status)
	}
}

// checkPhase checks the state that an answer tells against what was told before it was asked.
func (c *checker) checkPhase(truth *jobTruth, o operation) {
	if truth.acceptedAt == 0 {
		truth.acceptedAt = o.answered
		c.figures.Accepted++
	}
	differs := truth.final != "" && truth.final != o.phase
	if differs && (isFinal(o.phase) || truth.finalAt < o.sent) {
		c.broke(RuleWentBack, "%s was %s at %v, is %s by a %v at %s, sent at %v and answered at %v", o.job, truth.final,
			truth.finalAt-micros.Hour, o.phase, o.kind, controllerName(o.node), o.sent-micros.Hour, o.answered-micros.Hour)
	}
	if truth.final != "" || !isFinal(o.phase) {
		return
	}
	truth.final, truth.finalAt, truth.stalledThen = o.phase, o.answered, c.stalled
	if o.phase == wire.JobDone {
		c.figures.Done++
		c.checkDone(truth)
		return
	}
	c.figures.Cancelled++
	if !truth.cancelAsked {
		c.broke(RuleWentBack, "%s is cancelled, which its user did not ask for", o.job)
	}
}

// checkDone checks that all tasks of a job completed that is said to be done.
func (c *checker) checkDone(truth *jobTruth) {
	for i := range truth.job.Tasks {
		if task := wire.TaskName(truth.job.ID, i); !c.site.fleet.Done[task] {
			c.broke(RuleNotDone, "%s is said to be done without %s", truth.job.ID, task)
			return
		}
	}
}
