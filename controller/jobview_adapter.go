package controller

import (
	"tamarindlead/internal/jobview"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file keeps the former names of package jobview's methods for callers that are moved
// separately.

// terminalStates is jobview.TerminalStates under its former names.
type terminalStates struct{ states *jobview.TerminalStates }

func (t terminalStates) of(job string) wire.JobPhase { return t.states.Of(job) }

func (t terminalStates) remember(job string, status wire.JobPhase) { t.states.Remember(job, status) }

// dependencyStatus is jobview.DependencyStatus under its former name.
type dependencyStatus = jobview.DependencyStatus

const (
	dependenciesUnknown       = jobview.DependenciesUnknown
	dependenciesNeverAccepted = jobview.DependenciesNeverAccepted
	dependenciesCancelled     = jobview.DependenciesCancelled
)

// dependencyResult is jobview.DependencyResult with its former fields.
type dependencyResult struct {
	status        dependencyStatus
	cancelledRoot string
}

func (c *Core) refresh(done func(ok bool)) { c.jobView.Refresh(done) }

func (c *Core) applyJobChanges(after uint64, result kv.Result) bool {
	return c.jobView.ApplyWatchResult(after, result)
}

func (c *Core) resolveDependencies(ids []string, deadline micros.Micros, done func(ok bool)) {
	c.jobView.ResolveDependencies(ids, deadline, done)
}

func (c *Core) checkDependencies(ids []string, deadline micros.Micros, done func(dependencyResult)) {
	c.jobView.CheckDependencies(ids, deadline, func(result jobview.DependencyResult) {
		done(dependencyResult{result.Status, result.CancelledRoot})
	})
}
