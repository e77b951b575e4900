package jobview

import (
	"context"
	"fmt"
	"log/slog"

	"tamarindlead/internal/budget"
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
type dependencyCheck struct {
	view     *View
	ids      []string
	deadline micros.Micros
	resets   int // count of the graph's resets when the view was refreshed
	done     func(DependencyResult)

	refreshedRevision uint64   // the graph's revision after the refresh
	activeAtRefresh   []string // dependencies that were active at that revision
}

// CheckDependencies determines the state of the dependencies of a submission, by reads that are sent
// after this call.
func (v *View) CheckDependencies(ids []string, deadline micros.Micros, done func(DependencyResult)) {
	check := &dependencyCheck{view: v, ids: ids, deadline: deadline, done: done}
	v.Refresh(check.handleRefreshed)
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
	for _, id := range d.activeAtRefresh {
		if !d.view.graph.IsActive(id) {
			endedSinceRefresh = append(endedSinceRefresh, id)
		}
	}
	log.Debug("dependencies checked", "dependencies", d.ids, "status", result.Status, "upstream", result.CancelledRoot,
		"refreshed_revision", d.refreshedRevision, "revision", d.view.graph.Revision(), "ended_since_refresh", endedSinceRefresh)
}

// handleRefreshed reads the terminal states of the dependencies that are not active.
func (d *dependencyCheck) handleRefreshed(ok bool) {
	if !ok {
		d.fail()
		return
	}
	d.resets = d.view.graph.Resets()
	d.refreshedRevision = d.view.graph.Revision()
	var inactive []string
	for _, id := range d.ids {
		switch {
		case d.view.graph.IsActive(id):
			d.activeAtRefresh = append(d.activeAtRefresh, id)
		case d.view.terminalStates.Of(id) != wire.JobDone:
			inactive = append(inactive, id)
		}
	}
	d.view.readTerminalStates(budget.UserRequests, inactive, d.deadline, func(found map[string]record.TerminalState, ok bool) {
		if !ok {
			d.fail()
			return
		}
		d.handleTerminalStatesRead(inactive, found)
	})
}

// handleTerminalStatesRead ends the check if a terminal state decides it, and otherwise resolves the
// upstream jobs of the active dependencies.
func (d *dependencyCheck) handleTerminalStatesRead(inactive []string, found map[string]record.TerminalState) {
	root := ""
	for _, id := range inactive {
		rec, accepted := found[id]
		if !accepted {
			d.finish(DependencyResult{Status: DependenciesNeverAccepted})
			return
		}
		if rec.Status == record.StatusCancelled && root == "" {
			root = rec.CancelledRoot(id)
		}
	}
	if root != "" {
		d.finish(DependencyResult{Status: DependenciesCancelled, CancelledRoot: root})
		return
	}
	d.view.resolveDependenciesSince(d.resets, d.ids, d.deadline, d.handleResolved)
}

// handleResolved ends the check with the state that the graph shows.
func (d *dependencyCheck) handleResolved(ok bool) {
	if !ok {
		d.fail()
		return
	}
	for _, id := range d.ids {
		if job := d.view.graph.Blocked(id); job != nil && job.Cancelled() {
			d.finish(DependencyResult{Status: DependenciesCancelled, CancelledRoot: job.CancelledRoot})
			return
		}
	}
	d.finish(DependencyResult{Status: DependenciesOpen})
}
