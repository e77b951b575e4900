package jobview

import (
	"context"
	"fmt"
	"log/slog"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// DependencyStatus is the state of the dependencies of a submission as a whole.
type DependencyStatus int

// The states of a submission's dependencies.
const (
	DependenciesUnknown       DependencyStatus = iota // cannot be determined now
	DependenciesNeverAccepted                         // some dependency was never accepted
	DependenciesOpen                                  // all were accepted, none is known to be cancelled
	DependenciesCancelled                             // some upstream job is cancelled
)

// String returns the status in words.
func (s DependencyStatus) String() string {
	switch s {
	case DependenciesUnknown:
		return "unknown"
	case DependenciesNeverAccepted:
		return "never accepted"
	case DependenciesOpen:
		return "open"
	case DependenciesCancelled:
		return "cancelled"
	}
	return fmt.Sprintf("DependencyStatus(%d)", int(s))
}

// DependencyResult is the result of a check of dependencies.
type DependencyResult struct {
	Status DependencyStatus
	// CancelledRoot is the upstream job that its user cancelled, if Status is
	// DependenciesCancelled.
	CancelledRoot string
}

// dependencyCheck determines the state of a submission's dependencies by reads that are sent after the
// check began.
//
// Dependencies may end while the check waits for a read. The graph then no longer shows whether they
// are cancelled, so the check reads the terminal state of each dependency that is not active.
type dependencyCheck struct {
	view     *View
	ids      []string // the dependencies, sorted
	deadline micros.Micros
	resets   int // count of the graph's resets when the view was refreshed
	done     func(DependencyResult)

	refreshedRevision uint64          // the graph's revision after the refresh
	seenActive        map[string]bool // dependencies that the graph showed as active
	terminalRead      map[string]bool // dependencies whose terminal states were read
}

// CheckDependencies determines the state of the dependencies of a submission, which must be sorted, by
// reads that are sent after this call.
func (v *View) CheckDependencies(ids []string, deadline micros.Micros, done func(DependencyResult)) {
	check := &dependencyCheck{
		view: v, ids: ids, deadline: deadline, done: done,
		seenActive: map[string]bool{}, terminalRead: map[string]bool{},
	}
	v.Refresh(check.handleRefreshed)
}

// handleRefreshed begins with the dependencies that are not active.
func (d *dependencyCheck) handleRefreshed(ok bool) {
	if !ok {
		d.fail()
		return
	}
	d.resets = d.view.graph.Resets()
	d.refreshedRevision = d.view.graph.Revision()
	for _, id := range d.ids {
		if d.view.graph.IsActive(id) {
			d.seenActive[id] = true
		}
	}
	d.readEnded(d.unreadEnded())
}

// unreadEnded returns the dependencies that are neither active nor known to be done, and whose terminal
// states this check has not read, sorted. The graph must be synced.
func (d *dependencyCheck) unreadEnded() []string {
	var ended []string
	for _, id := range d.ids {
		known := d.terminalRead[id] || d.view.terminalStates.Of(id) == wire.JobDone
		if !known && !d.view.graph.IsActive(id) {
			ended = append(ended, id)
		}
	}
	return ended
}

// readEnded reads the terminal states of dependencies that are not active.
func (d *dependencyCheck) readEnded(ended []string) {
	d.view.readTerminalStates(budget.UserRequests, ended, d.deadline, func(found map[string]record.TerminalState, ok bool) {
		if !ok {
			d.fail()
			return
		}
		d.handleTerminalStatesRead(ended, found)
	})
}

// handleTerminalStatesRead ends the check if a terminal state decides it, and otherwise resolves the
// upstream jobs of the active dependencies.
func (d *dependencyCheck) handleTerminalStatesRead(ended []string, found map[string]record.TerminalState) {
	root := ""
	for _, id := range ended {
		rec, accepted := found[id]
		if !accepted {
			d.finishWithoutTerminalState(id)
			return
		}
		if rec.Status == record.StatusCancelled && root == "" {
			root = rec.CancelledRoot(id)
		}
		d.terminalRead[id] = true
	}
	if root != "" {
		d.finish(DependencyResult{Status: DependenciesCancelled, CancelledRoot: root})
		return
	}
	d.view.resolveDependenciesSince(d.resets, d.ids, d.deadline, d.handleResolved)
}

// finishWithoutTerminalState ends the check because a dependency is neither active nor has a terminal
// state. A job that was active before was accepted, so the submission must not be rejected for it.
func (d *dependencyCheck) finishWithoutTerminalState(id string) {
	if d.seenActive[id] {
		d.view.log.Error("a job that was active has no terminal state", "job", id)
		d.fail()
		return
	}
	d.finish(DependencyResult{Status: DependenciesNeverAccepted})
}

// handleResolved ends the check with the state that the graph shows, unless a dependency has ended
// while the upstream jobs were read.
func (d *dependencyCheck) handleResolved(ok bool) {
	if !ok {
		d.fail()
		return
	}
	if ended := d.unreadEnded(); len(ended) > 0 {
		d.readEnded(ended)
		return
	}
	for _, id := range d.ids {
		if d.view.graph.State(id) == dag.JobCancelled {
			d.finish(DependencyResult{Status: DependenciesCancelled, CancelledRoot: d.view.graph.Blocked(id).CancelledRoot})
			return
		}
	}
	d.finish(DependencyResult{Status: DependenciesOpen})
}

// fail ends the check with an unknown state.
func (d *dependencyCheck) fail() { d.finish(DependencyResult{Status: DependenciesUnknown}) }

// finish ends the check.
func (d *dependencyCheck) finish(result DependencyResult) {
	d.logResult(result)
	d.done(result)
}

// logResult logs the result, and which dependencies left the graph between the refresh and the result.
func (d *dependencyCheck) logResult(result DependencyResult) {
	log := d.view.log
	if !log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var endedSinceRefresh []string
	for _, id := range d.ids {
		if d.seenActive[id] && !d.view.graph.IsActive(id) {
			endedSinceRefresh = append(endedSinceRefresh, id)
		}
	}
	log.Debug("dependencies checked", "dependencies", d.ids, "status", result.Status, "upstream", result.CancelledRoot,
		"refreshed_revision", d.refreshedRevision, "revision", d.view.graph.Revision(), "ended_since_refresh", endedSinceRefresh)
}
