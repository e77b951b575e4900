package soaktest

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file judges what users were told about each job as a whole: there must be one order of
// all requests, in keeping with when they were sent and answered, in which each answer is right.

// registerState is a job's state as users may see it.
type registerState int

const (
	stateUnknown registerState = iota // not accepted
	stateActive                       // queued or running
	stateDone
	stateCancelled
)

// outcome is what an operation's answer says. outcomeOpen: there is none.
type outcome int

const (
	outcomeOpen outcome = iota
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

// jobModel is a job as a register. Its tasks may complete at any time while it is active.
var jobModel = porcupine.Model{
	Init: func() any { return stateUnknown },
	Step: func(state, input, output any) (bool, any) {
		next, ok := stepJob(state.(registerState), input.(operationKind), output.(outcome))
		return ok, next
	},
}

// stepJob tells which state follows from an operation, and whether its answer is possible.
func stepJob(state registerState, kind operationKind, told outcome) (registerState, bool) {
	switch kind {
	case opSubmit:
		if state == stateUnknown && told != outcomeUnknown {
			state = stateActive
		}
	case opCancel:
		if state == stateActive && told != outcomeDone {
			state = stateCancelled
		}
	}
	switch told {
	case outcomeUnknown:
		return state, state == stateUnknown
	case outcomeActive:
		return state, state == stateActive
	case outcomeDone:
		return stateDone, state == stateActive || state == stateDone
	case outcomeCancelled:
		return state, state == stateCancelled
	}
	return state, true
}

// linearizabilityTimeout bounds the check of one history.
const linearizabilityTimeout = 5 * time.Second

// checkHistories checks the history of each job.
func (c *checker) checkHistories() {
	for _, id := range c.order {
		truth := c.jobs[id]
		switch porcupine.CheckOperationsTimeout(jobModel, operations(truth), linearizabilityTimeout) {
		case porcupine.Illegal:
			c.reportViolation(RuleNotLinear, "no order of its %d answers explains all that users were told of %s", len(truth.operations), id)
		case porcupine.Unknown:
			c.stats.Undecided++
		}
	}
}

// operations are the requests for a job. All that got no answer which decides count as one
// submission and one cancellation that may take effect at any time: more would have none.
func operations(truth *jobHistory) []porcupine.Operation {
	var list []porcupine.Operation
	for client := range truth.operations {
		o := &truth.operations[client]
		list = append(list, porcupine.Operation{
			ClientId: client, Input: o.kind, Output: outcomeOf(o), Call: int64(o.sentAt), Return: int64(o.respondedAt),
		})
	}
	pending := func(kind operationKind, since micros.Micros) {
		if since != 0 {
			list = append(list, porcupine.Operation{
				ClientId: len(list), Input: kind, Output: outcomeOpen, Call: int64(since), Return: math.MaxInt64,
			})
		}
	}
	pending(opSubmit, truth.pending.submit)
	pending(opCancel, truth.pending.cancel)
	return slices.Clip(list)
}
