package soaktest

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// linearizabilityTimeout limits the check of one job's history.
const linearizabilityTimeout = 5 * time.Second

// registerState is a job's state as users can observe it.
type registerState int

// The states of a job.
const (
	stateUnknown registerState = iota // not accepted
	stateActive                       // queued or running
	stateDone
	stateCancelled
)

// outcome is the state that the response to an operation shows.
type outcome int

// The outcomes of an operation.
const (
	outcomeNone outcome = iota // there was no conclusive response
	outcomeUnknown
	outcomeActive
	outcomeDone
	outcomeCancelled
)

func outcomeOf(o *operation) outcome {
	switch {
	case !o.accepted():
		return outcomeUnknown
	case o.phase == wire.JobDone:
		return outcomeDone
	case o.phase == wire.JobCancelled:
		return outcomeCancelled
	}
	return outcomeActive
}

// jobModel models a job as a register. An active job may be done at any time, since its tasks complete
// without an operation of a user.
var jobModel = porcupine.Model{
	Init: func() any { return stateUnknown },
	Step: func(state, input, output any) (bool, any) {
		next, possible := stepJob(state.(registerState), input.(operationKind), output.(outcome))
		return possible, next
	},
}

// stepJob returns the state after an operation, and reports whether its outcome is possible.
func stepJob(state registerState, kind operationKind, observed outcome) (next registerState, possible bool) {
	switch kind {
	case opSubmit:
		if state == stateUnknown && observed != outcomeUnknown {
			state = stateActive
		}
	case opCancel:
		if state == stateActive && observed != outcomeDone {
			state = stateCancelled
		}
	case opQuery: // has no effect
	}
	switch observed {
	case outcomeUnknown:
		return state, state == stateUnknown
	case outcomeActive:
		return state, state == stateActive
	case outcomeDone:
		return stateDone, state == stateActive || state == stateDone
	case outcomeCancelled:
		return state, state == stateCancelled
	case outcomeNone: // every state is possible
	}
	return state, true
}

// checkLinearizability checks that the operations of each job are linearizable: that they have an
// order, consistent with the times of requests and responses, in which every response is correct.
func (c *checker) checkLinearizability() {
	for _, id := range c.jobIDs {
		history := c.jobs[id]
		switch porcupine.CheckOperationsTimeout(jobModel, history.linearizableOperations(), linearizabilityTimeout) {
		case porcupine.Illegal:
			c.reportViolation(RuleNotLinearizable, "no order of the operations explains the %d responses about %s", len(history.operations), id)
		case porcupine.Unknown:
			c.stats.Undecided++
		case porcupine.Ok:
		}
	}
}

// linearizableOperations returns the operations for the check. The operations without a conclusive
// response are represented by one submission and one cancellation that may take effect at any time
// after the first of them was sent: more of them would have no further effect.
func (j *jobHistory) linearizableOperations() []porcupine.Operation {
	var list []porcupine.Operation
	for i := range j.operations {
		o := &j.operations[i]
		list = append(list, porcupine.Operation{
			ClientId: len(list), Input: o.kind, Output: outcomeOf(o), Call: int64(o.sentAt), Return: int64(o.respondedAt),
		})
	}
	addPending := func(kind operationKind, since micros.Micros) {
		if since == 0 {
			return
		}
		list = append(list, porcupine.Operation{
			ClientId: len(list), Input: kind, Output: outcomeNone, Call: int64(since), Return: math.MaxInt64,
		})
	}
	addPending(opSubmit, j.pending.submit)
	addPending(opCancel, j.pending.cancel)
	return list
}
