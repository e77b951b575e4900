package controller

import (
	"tamarindlead/internal/dag"
	"tamarindlead/internal/frontend"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/jobview"
	"tamarindlead/micros"
)

// This file connects package jobview, the view of the active jobs, with this node and its owner.

func newJobView(c *Core) *jobview.View {
	settings := jobview.Settings{
		RequestTimeout: frontend.SubmissionTimeout,
		TickInterval:   fastTickInterval,
		ReadRetryDelay: readRetryDelay,
	}
	return jobview.New(jobViewHost{c}, jobObserver{c}, settings, c.store, c.budget, c.log)
}

// jobViewHost gives the view this node's time and timers.
type jobViewHost struct{ c *Core }

// Now implements jobview.Host.
func (h jobViewHost) Now() micros.Micros { return h.c.now }

// WallClock implements jobview.Host.
func (h jobViewHost) WallClock() micros.Micros { return h.c.wallClock }

// After implements jobview.Host.
func (h jobViewHost) After(d micros.Micros, do func()) { h.c.after(d, do) }

// WatchWait implements jobview.Host.
func (h jobViewHost) WatchWait() micros.Micros { return h.c.watchWait() }

// OwnsTeams implements jobview.Host.
func (h jobViewHost) OwnsTeams() bool { return h.c.owner != nil }

// jobObserver forwards changes of the active jobs to the owner, if this node has one.
type jobObserver struct{ c *Core }

// JobPut implements jobview.Observer.
func (w jobObserver) JobPut(key string, value []byte, version uint64) {
	if o := w.c.owner; o != nil && o.jobsListed {
		o.recoverJob(key, value, version)
	}
}

// JobDeleted implements jobview.Observer.
func (w jobObserver) JobDeleted(id string) {
	if o := w.c.owner; o != nil && o.jobsListed {
		// Users may have been told as early as the last answered watch began.
		o.handleJobRemoved(id, o.cancellationsKnownUntil)
	}
}

// JobReady implements jobview.Observer.
func (w jobObserver) JobReady(job *dag.BlockedJob) {
	if o := w.c.owner; o != nil {
		o.jobReady(job)
	}
}

// JobCancelled implements jobview.Observer.
func (w jobObserver) JobCancelled(id string) {
	if o := w.c.owner; o != nil {
		o.queueCascadedCancellation(id)
	}
}

// InheritanceChanged implements jobview.Observer.
func (w jobObserver) InheritanceChanged(id string) {
	o := w.c.owner
	if o == nil {
		return
	}
	if j := o.Jobs[id]; j != nil && j.State != inventory.JobEnded {
		o.inheritPriority(j)
	}
}

// EstimateOf implements jobview.Observer.
func (w jobObserver) EstimateOf(job *dag.BlockedJob) micros.Micros {
	if o := w.c.owner; o != nil {
		return o.classes.CorrectedEstimate(job.Class, job.Estimate)
	}
	return job.Estimate
}

// ChangesMissed implements jobview.Observer.
func (w jobObserver) ChangesMissed() {
	if o := w.c.owner; o != nil && o.jobsListed {
		o.restartRecovery("changes of jobs were missed")
	}
}
