package jobview

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// terminalStateResolution is the state of the reads of the terminal states of dependencies that are no
// longer active.
type terminalStateResolution struct {
	reading   bool
	callbacks []func(ok bool)
	retryAt   micros.Micros // earliest time of the next read by ResolveBlockedJobs
}

// ApplyTerminalState applies the terminal state of a job that others depend on to the graph.
func (v *View) ApplyTerminalState(id string, rec record.TerminalState) {
	switch rec.Status {
	case record.StatusDone:
		finishedAt := rec.FinishedAt
		if finishedAt == 0 { // records written by older versions do not contain the time
			finishedAt = v.host.WallClock()
		}
		v.graph.MarkDone(id, min(finishedAt, v.host.WallClock()))
	case record.StatusCancelled:
		v.graph.MarkCancelled(id, rec.CancelledRoot(id))
	}
}

// ResolveBlockedJobs reads what blocked jobs need to proceed: the terminal states of dependencies
// that are no longer active, and lists of dependencies that are stored in parts. An owner calls
// it with each tick; at most one read is in flight.
func (v *View) ResolveBlockedJobs() {
	resolution := &v.resolution
	if resolution.reading || v.host.Now() < resolution.retryAt || v.store.Unavailable() {
		return
	}
	if v.graph.HasUnresolvedJobs() {
		v.readUnresolved(budget.TaskUpdates)
		return
	}
	if incomplete := v.graph.FirstIncomplete(); incomplete != nil {
		resolution.retryAt = v.host.Now() + v.settings.ReadRetryDelay
		v.readDependencyParts(incomplete, func(ok bool) {
			if ok {
				resolution.retryAt = 0
			}
		})
	}
}

// resolveTerminalStates reads, for a query, the terminal states of dependencies that are no longer
// active. If such a read is in flight, the query shares it.
func (v *View) resolveTerminalStates(done func(ok bool)) {
	v.resolution.callbacks = append(v.resolution.callbacks, done)
	if !v.resolution.reading {
		v.readUnresolved(budget.UserRequests)
	}
}

// readUnresolved reads the terminal states of all unresolved jobs of the graph.
func (v *View) readUnresolved(purpose budget.Purpose) {
	v.resolution.reading = true
	deadline := v.host.Now() + v.settings.RequestTimeout
	v.readTerminalStates(purpose, v.graph.UnresolvedJobs(), deadline, v.handleUnresolvedRead)
}

// handleUnresolvedRead applies the terminal states that were found, even if the read failed before it
// was complete.
func (v *View) handleUnresolvedRead(found map[string]record.TerminalState, ok bool) {
	resolution := &v.resolution
	resolution.reading = false
	resolution.retryAt = v.host.Now() + v.settings.TickInterval
	for _, id := range ordered.Keys(found) {
		v.ApplyTerminalState(id, found[id])
	}
	if !ok || len(found) == 0 {
		resolution.retryAt = v.host.Now() + v.settings.ReadRetryDelay
	}
	callbacks := resolution.callbacks
	resolution.callbacks = nil
	callAll(callbacks, ok)
}
