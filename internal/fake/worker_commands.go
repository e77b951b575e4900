package fake

import (
	"slices"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// roundingTolerance is how far a sum of resources may exceed the machine's by rounding.
const roundingTolerance = 1e-6

// Execute executes commands in order. It ignores a start of an attempt that the worker already knows,
// and all other commands about an attempt that it does not know.
func (w *Worker) Execute(now micros.Micros, commands []wire.Command) {
	for _, c := range commands {
		t := w.findAttempt(c.Task, c.Attempt)
		switch {
		case c.Verb == wire.VerbStart && t == nil:
			w.start(now, c)
		case c.Verb == wire.VerbForget && t != nil:
			w.forget(t)
		case c.Verb == wire.VerbStop && t != nil:
			w.stop(now, t, c.GraceS)
		}
	}
}

// ExecuteDirect executes commands that a controller sends directly instead of in the response to a
// heartbeat. Their fencing token must not be lower than the highest one observed, and their agent
// epoch must be the current one.
func (w *Worker) ExecuteDirect(now micros.Micros, body []byte) Response {
	var request wire.CommandsRequest
	if wire.Decode(body, &request) != nil || request.FencingToken == 0 || request.AgentEpoch == 0 {
		return newErrorResponse(wire.StatusBadRequest, "orders")
	}
	w.resume(now)
	if request.FencingToken < w.FencingToken || request.AgentEpoch != w.AgentEpoch {
		return newResponse(wire.StatusConflict, w.BuildHeartbeat())
	}
	w.observeFencingToken(now, request.FencingToken)
	w.Execute(now, request.Commands)
	return newResponse(wire.StatusOK, w.BuildHeartbeat())
}

// Knows reports whether the worker has an attempt of a task, in any phase.
func (w *Worker) Knows(task string, attempt uint64) bool { return w.findAttempt(task, attempt) != nil }

// findAttempt returns an attempt of a task in any phase, including refused and past ones, or nil.
func (w *Worker) findAttempt(task string, attempt uint64) *Task {
	if t := w.Tasks[task]; t != nil && t.Attempt == attempt {
		return t
	}
	for _, t := range w.PastAttempts {
		if t.Name == task && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

// start starts an attempt that the worker does not know, or refuses it. An exited attempt that it
// replaces is reported in heartbeats until a controller sends VerbForget for it.
func (w *Worker) start(now micros.Micros, c wire.Command) {
	attempt := &Task{Name: c.Task, Attempt: c.Attempt, Phase: wire.PhaseExited}
	previous := w.Tasks[c.Task]
	w.Changed = true
	if previous != nil && previous.Phase != wire.PhaseExited {
		attempt.Cause = wire.CauseBusy
		w.PastAttempts = append(w.PastAttempts, attempt)
		return
	}
	info, known := w.Info(c.Task)
	switch {
	case !known:
		attempt.Cause = wire.CauseUnknownTask
	case !w.fits(info):
		attempt.Cause = wire.CauseInsufficientResources
	default:
		attempt.Phase, attempt.phaseEndsAt = wire.PhaseFetching, now+info.Fetch
		w.OnStart(w, c.Task, c.Attempt)
	}
	if previous != nil {
		w.PastAttempts = append(w.PastAttempts, previous)
	}
	w.Tasks[c.Task] = attempt
}

// fits reports whether a task fits into the resources that the live tasks do not use.
func (w *Worker) fits(info TaskInfo) bool {
	cpu, mem := info.CPU, info.Mem
	for name, t := range w.Tasks {
		if t.Phase != wire.PhaseExited {
			other, _ := w.Info(name)
			cpu, mem = cpu+other.CPU, mem+other.Mem
		}
	}
	return cpu <= w.CPU+roundingTolerance && mem <= w.Mem+roundingTolerance
}

// stop stops an attempt. A running task saves a checkpoint first if the grace period is long enough.
// A task that is already saving a checkpoint is stopped only by a command without a grace period.
func (w *Worker) stop(now micros.Micros, t *Task, graceS *float64) {
	if t.Phase == wire.PhaseExited {
		return
	}
	info, _ := w.Info(t.Name)
	switch {
	case t.Phase == wire.PhaseRunning && info.Saves && graceS != nil && micros.FromSeconds(*graceS) >= info.Save:
		t.Phase, t.StopRequestedAt, t.phaseEndsAt, w.Changed = wire.PhaseCheckpointing, now, now+info.Save, true
	case t.Phase != wire.PhaseCheckpointing || graceS == nil || *graceS == 0:
		w.exit(t, wire.CauseStopped)
	}
}

// forget removes an attempt that has exited.
func (w *Worker) forget(t *Task) {
	if t.Phase != wire.PhaseExited {
		return
	}
	w.PastAttempts = slices.DeleteFunc(w.PastAttempts, func(p *Task) bool { return p == t })
	if w.Tasks[t.Name] == t {
		delete(w.Tasks, t.Name)
	}
	w.Changed = true
}
