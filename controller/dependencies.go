package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file finds out, by reads made for the question, how the jobs stand that a job or a
// submission awaits.

// maxResolutionAttempts bounds how often a question looks for what is not known yet: each look may
// show more.
const maxResolutionAttempts = 8

// dependencyResolution is a question that goes on until it is known how all jobs ended that some jobs
// depend on, directly or through others, and that are over.
type dependencyResolution struct {
	c            *Core
	ids          []string
	deadline     micros.Micros
	resets       int // of the graph, as the question began: it continues that view
	attemptsLeft int // left
	done         func(ok bool)
}

// resolveDependencies starts a settlement. It continues a view that was refreshed.
func (c *Core) resolveDependencies(ids []string, until micros.Micros, done func(ok bool)) {
	c.resolveDependenciesSince(c.graph.Resets(), ids, until, done)
}

// resolveDependenciesSince is settle for a question that began at a count of resets.
func (c *Core) resolveDependenciesSince(resets int, ids []string, until micros.Micros, done func(ok bool)) {
	s := &dependencyResolution{c: c, ids: ids, deadline: until, resets: resets, attemptsLeft: maxResolutionAttempts, done: done}
	s.step()
}

func (s *dependencyResolution) step() {
	graph := s.c.graph
	if !graph.IsSynced() || graph.Resets() != s.resets || s.attemptsLeft == 0 || s.c.now > s.deadline {
		s.done(false)
		return
	}
	switch partial, unresolved := graph.FindUnresolved(s.ids); {
	case partial != nil:
		s.c.readDependencyParts(partial, s.retry)
	case unresolved:
		s.c.resolveTerminalStates(s.retry)
	default:
		s.done(true)
	}
}

func (s *dependencyResolution) retry(ok bool) {
	if !ok {
		s.done(false)
		return
	}
	s.attemptsLeft--
	s.step()
}

// readDependencyParts reads a list that is kept under several keys.
func (c *Core) readDependencyParts(job *dag.BlockedJob, done func(ok bool)) {
	c.store.Do(budget.UserRequests, kv.List(record.DependencyPartsPrefix(job.ID), ""), func(r kv.Result) {
		var page kv.Page
		if err := r.DecodeOK(&page); err != nil {
			done(false)
			return
		}
		if c.graph.Blocked(job.ID) != job || job.DependenciesKnown() {
			done(true)
			return
		}
		ids, ok := c.joinDependencyParts(page.Entries)
		if !ok || len(page.Entries) != job.DependencyParts { // the job is over, which the view will show
			done(false)
			return
		}
		c.graph.SetDependencies(job, ids)
		done(true)
	})
}

// joinDependencyParts joins the parts of a list; false: one cannot be read.
func (c *Core) joinDependencyParts(entries []kv.Entry) (ids []string, ok bool) {
	for _, e := range entries {
		var rec record.DependencyPart
		if err := wire.Decode(e.Value, &rec); err != nil {
			c.log.Error("record cannot be read", "key", e.Key, "error", err)
			return nil, false
		}
		ids = append(ids, rec.JobIDs...)
	}
	return ids, true
}

// dependencyStatus is how the jobs stand that a submission awaits.
type dependencyStatus int

const (
	dependenciesUnknown       dependencyStatus = iota // cannot be told now
	dependenciesNeverAccepted                         // some job was never accepted
	dependenciesOpen                                  // all were accepted, none is known to be cancelled
	dependenciesCancelled                             // some job before it is cancelled
)

// dependencyResult is a dependency status, with the job that its user cancelled if one was.
type dependencyResult struct {
	status        dependencyStatus
	cancelledRoot string
}

// dependencyCheck looks at the jobs that a submission awaits, by reads made for it.
type dependencyCheck struct {
	c        *Core
	ids      []string
	deadline micros.Micros
	resets   int
	done     func(dependencyResult)
}

// checkDependencies tells how the jobs stand that a submission awaits.
func (c *Core) checkDependencies(ids []string, until micros.Micros, done func(dependencyResult)) {
	check := &dependencyCheck{c: c, ids: ids, deadline: until, done: done}
	c.refresh(check.handleRefreshed)
}

// handleRefreshed reads the final records of those that are not active.
func (d *dependencyCheck) handleRefreshed(ok bool) {
	if !ok {
		d.done(dependencyResult{})
		return
	}
	d.resets = d.c.graph.Resets()
	var inactive []string
	for _, id := range d.ids {
		if !d.c.graph.IsActive(id) && d.c.terminalStates.of(id) != wire.JobDone {
			inactive = append(inactive, id)
		}
	}
	d.c.readTerminalStates(budget.UserRequests, inactive, d.deadline, func(found map[string]record.TerminalState, ok bool) {
		if !ok {
			d.done(dependencyResult{})
			return
		}
		d.handleTerminalStatesRead(inactive, found)
	})
}

// handleTerminalStatesRead answers if a final record decides, and else finds out what is before the active.
func (d *dependencyCheck) handleTerminalStatesRead(inactive []string, found map[string]record.TerminalState) {
	root := ""
	for _, id := range inactive {
		rec, accepted := found[id]
		if !accepted {
			d.done(dependencyResult{status: dependenciesNeverAccepted})
			return
		}
		if rec.Status == record.StatusCancelled && root == "" {
			root = rec.CancelledRoot(id)
		}
	}
	if root != "" {
		d.done(dependencyResult{dependenciesCancelled, root})
		return
	}
	d.c.resolveDependenciesSince(d.resets, d.ids, d.deadline, d.handleResolved)
}

func (d *dependencyCheck) handleResolved(ok bool) {
	if !ok {
		d.done(dependencyResult{})
		return
	}
	for _, id := range d.ids {
		if job := d.c.graph.Blocked(id); job != nil && job.Cancelled() {
			d.done(dependencyResult{dependenciesCancelled, job.CancelledRoot})
			return
		}
	}
	d.done(dependencyResult{status: dependenciesOpen})
}
