package soaktest

import (
	"testing"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// newOperation returns an operation on testJob.
func newOperation(kind operationKind, sent, responded float64, status wire.Status, phase wire.JobPhase) operation {
	return operation{kind: kind, job: testJob, sentAt: atSecond(sent), respondedAt: atSecond(responded), status: status, phase: phase}
}

// TestCheckerResponses checks which rules the responses to users violate.
func TestCheckerResponses(t *testing.T) {
	accepted := newOperation(opSubmit, 1, 1.1, wire.StatusCreated, wire.JobQueued)
	cancelled := newOperation(opCancel, 2, 2.1, wire.StatusOK, wire.JobCancelled)
	unknownJob := newOperation(opQuery, 3, 3.1, wire.StatusOK, wire.JobQueued)
	unknownJob.job = "req-900001"
	for _, test := range []struct {
		name       string
		operations []operation
		want       []Rule
	}{
		{"valid", []operation{accepted, cancelled, newOperation(opQuery, 2.2, 2.3, wire.StatusOK, wire.JobCancelled)}, nil},
		{"query concurrent with the cancellation", []operation{accepted, cancelled, newOperation(opQuery, 2.05, 2.3, wire.StatusOK, wire.JobRunning)}, nil},
		{"running after cancelled", []operation{accepted, cancelled, newOperation(opSubmit, 2.2, 2.3, wire.StatusOK, wire.JobRunning)}, []Rule{RuleWentBack, RuleNotLinearizable}},
		{"accepted after cancelled", []operation{accepted, cancelled, newOperation(opSubmit, 2.2, 2.3, wire.StatusCreated, wire.JobQueued)}, []Rule{RuleWentBack, RuleNotLinearizable}},
		{"done after cancelled", []operation{accepted, cancelled, newOperation(opQuery, 2.05, 2.3, wire.StatusOK, wire.JobDone)}, []Rule{RuleWentBack, RuleNotLinearizable}},
		{"unknown after accepted", []operation{accepted, newOperation(opQuery, 1.2, 1.3, wire.StatusNotFound, "")}, []Rule{RuleForgotten, RuleNotLinearizable}},
		{"valid submission refused as unprocessable", []operation{newOperation(opSubmit, 1, 1.1, wire.StatusUnprocessable, "")}, []Rule{RuleForgotten}},
		{"done without its tasks", []operation{accepted, newOperation(opQuery, 2, 2.1, wire.StatusOK, wire.JobDone)}, []Rule{RuleNotDone}},
		{"known though nobody submitted it", []operation{unknownJob}, []Rule{RuleInvented}},
		{"refused without Retry-After", []operation{accepted, newOperation(opQuery, 2, 2.1, wire.StatusUnavailable, "")}, []Rule{RuleMissingRetryAfter}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, history := newTestHarness()
			history.cancelRequested = true
			for _, o := range test.operations {
				h.checker.handleResponse(o, callResult{status: o.status})
			}
			h.checker.checkLinearizability()
			checkRules(t, h.checker, test.want)
		})
	}
}

// TestCheckerCancellation checks that a cancellation without a request of the user is detected.
func TestCheckerCancellation(t *testing.T) {
	h, _ := newTestHarness()
	h.checker.handleResponse(newOperation(opQuery, 1, 1.1, wire.StatusOK, wire.JobCancelled), callResult{status: wire.StatusOK})
	checkRules(t, h.checker, []Rule{RuleWentBack})
}

// TestCheckerUnansweredJobs checks that an unfinished job is detected if users get no response about
// it for too long after the end of the faults.
func TestCheckerUnansweredJobs(t *testing.T) {
	h, history := newTestHarness()
	history.acceptedAt, history.lastResponseAt = atSecond(1), atSecond(1)
	h.checker.faultsEndedAt = h.now() - maxUnansweredTime - micros.Second
	h.checker.checkUnansweredJobs()
	checkRules(t, h.checker, []Rule{RuleForgotten})
}

// TestLinearizabilityOfPendingOperations checks that a cancelled job is possible after a cancellation
// without a response, but not if no cancellation was sent.
func TestLinearizabilityOfPendingOperations(t *testing.T) {
	submit := newOperation(opSubmit, 1, 1.1, wire.StatusCreated, wire.JobQueued)
	cancelWithoutResponse := newOperation(opCancel, 2, 4, 0, "")
	query := newOperation(opQuery, 5, 5.1, wire.StatusOK, wire.JobCancelled)
	for _, test := range []struct {
		name       string
		operations []operation
		want       []Rule
	}{
		{"cancellation sent", []operation{submit, cancelWithoutResponse, query}, nil},
		{"cancellation not sent", []operation{submit, query}, []Rule{RuleNotLinearizable}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, history := newTestHarness()
			history.cancelRequested = true
			for _, o := range test.operations {
				result := callResult{status: o.status}
				if o.status == 0 {
					result.failure = failureTimeout
				}
				h.checker.handleResponse(o, result)
			}
			h.checker.checkLinearizability()
			checkRules(t, h.checker, test.want)
		})
	}
}
