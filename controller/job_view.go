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

// jobViewHost implements jobview.Host.
type jobViewHost struct{ c *Core }

func (h jobViewHost) Now() micros.Micros { return h.c.now }

func (h jobViewHost) WallClock() micros.Micros { return h.c.wallClock }

func (h jobViewHost) After(d micros.Micros, do func()) { h.c.after(d, do) }

func (h jobViewHost) WatchWait() micros.Micros { return h.c.watchWait() }

func (h jobViewHost) OwnsTeams() bool { return h.c.owner != nil }

// jobObserver implements jobview.Observer: it forwards changes of the active jobs to the owner, if this
// node has one.
type jobObserver struct{ c *Core }

func (b jobObserver) JobPut(key string, value []byte, version uint64) {
	if o := b.c.owner; o != nil && o.jobsListed {
		o.recoverJob(key, value, version)
	}
}

func (b jobObserver) JobDeleted(id string) {
	if o := b.c.owner; o != nil && o.jobsListed {
		// The cancellation may have been acknowledged to a user at any time after the last watch with
		// a response was sent.
		o.handleJobRemoved(id, o.cancellationsKnownUntil)
	}
}

func (b jobObserver) JobReady(job *dag.BlockedJob) {
	if o := b.c.owner; o != nil {
		o.unblockJob(job)
	}
}

func (b jobObserver) JobCancelled(id string) {
	if o := b.c.owner; o != nil {
		o.queueCascadedCancellation(id)
	}
}

func (b jobObserver) InheritanceChanged(id string) {
	o := b.c.owner
	if o == nil {
		return
	}
	if j := o.Jobs[id]; j != nil && j.State != inventory.JobEnded {
		o.scheduler.ApplyInheritance(j)
	}
}

func (b jobObserver) EstimateOf(job *dag.BlockedJob) micros.Micros {
	if o := b.c.owner; o != nil {
		return o.classes.CorrectedEstimate(job.Class, job.Estimate)
	}
	return job.Estimate
}

func (b jobObserver) ChangesMissed() {
	if o := b.c.owner; o != nil && o.jobsListed {
		o.restartRecovery("job changes missed")
	}
}
