package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file keeps the view of the active jobs (package jobgraph) up to date at every node. It
// is fed by a listing and by changes, whoever asked for them: the watch that a node without
// teams follows here, that of an owner, or a read made for an answer.

// followRetryDelay is the least time between two answers of the watch that the view follows at a
// node that owns nothing: it need not be up to date, since what it says is always confirmed.
const followRetryDelay = micros.Second

// jobView is how this node reads the active jobs and how they ended.
type jobView struct {
	following bool
	retryAt   micros.Micros
	// cancellationsKnownUntil is when what was read last by the watch was asked for.
	cancellationsKnownUntil micros.Micros

	refreshQueue refreshQueue
	resolution   terminalStateResolution
}

// jobObserver passes on to the owner what the graph of jobs tells.
type jobObserver struct{ c *Core }

func (w jobObserver) JobPut(key string, value []byte, version uint64) {
	if o := w.c.owner; o != nil && o.jobsListed {
		o.recoverJob(key, value, version)
	}
}

func (w jobObserver) JobDeleted(id string) {
	if o := w.c.owner; o != nil && o.jobsListed {
		// Users may have been told as early as what was known before ends.
		o.handleJobRemoved(id, o.cancellationsKnownUntil)
	}
}

func (w jobObserver) JobReady(job *dag.BlockedJob) {
	if o := w.c.owner; o != nil {
		o.jobReady(job)
	}
}

func (w jobObserver) JobCancelled(id string) {
	if o := w.c.owner; o != nil {
		o.queueCascadedCancellation(id)
	}
}

func (w jobObserver) InheritanceChanged(id string) {
	o := w.c.owner
	if o == nil {
		return
	}
	if j := o.Jobs[id]; j != nil && j.State != inventory.JobEnded {
		o.inheritPriority(j)
	}
}

func (w jobObserver) EstimateOf(job *dag.BlockedJob) micros.Micros {
	if o := w.c.owner; o != nil {
		return o.classes.CorrectedEstimate(job.Class, job.Estimate)
	}
	return job.Estimate
}

func (w jobObserver) IsDone(id string) bool { return w.c.terminalStates.of(id) == wire.JobDone }

// tickJobView follows the jobs at a node that does not own; an owner does so itself.
func (c *Core) tickJobView() {
	view := &c.jobView
	if view.following || c.now < view.retryAt || c.owner != nil {
		return
	}
	view.following = true
	if c.graph.IsSynced() {
		c.followJobs()
		return
	}
	asked := c.now
	c.store.ListAll(record.ActiveJobPrefix, func(listing kv.Listing, err error) {
		if err != nil {
			view.stopFollowing(c.now)
			return
		}
		if c.owner == nil { // else it lists, or has listed, itself
			c.graph.Reset(listing.Entries, listing.Revision)
			view.cancellationsKnownUntil = asked
		}
		c.followJobs()
	})
}

// followJobs watches the jobs from the graph's revision on.
func (c *Core) followJobs() {
	view := &c.jobView
	c.after(followRetryDelay, func() {
		if c.owner != nil { // it follows the jobs itself
			view.following = false
			return
		}
		asked, after := c.now, c.graph.Revision()
		c.store.Watch(budget.Reads, record.ActiveJobPrefix, after, c.watchWait(), func(r kv.Result) {
			if !c.applyJobChanges(after, r) {
				view.stopFollowing(c.now)
				return
			}
			view.cancellationsKnownUntil = asked
			c.followJobs()
		})
	})
}

// stopFollowing lets the next try begin after a pause.
func (v *jobView) stopFollowing(now micros.Micros) {
	v.following, v.retryAt = false, now+followRetryDelay
}

// applyJobChanges applies the answer of a watch; false: it does not continue what is known.
func (c *Core) applyJobChanges(after uint64, r kv.Result) bool {
	if r.Outcome == kv.Compacted {
		c.graph.MarkUnsynced()
	}
	var changes kv.WatchResult
	return r.DecodeOK(&changes) == nil && c.graph.Apply(after, &changes, c.wallClock)
}

// refreshQueue is the questions that need a view of the present state. One read serves all
// that ask before it is sent.
type refreshQueue struct {
	callbacks   []func(ok bool)
	requestedAt micros.Micros // the first of them
	reading     bool
}

// refresh hands over once this node's view is at least as new as the question; false: the
// present state cannot be known now.
func (c *Core) refresh(done func(ok bool)) {
	queue := &c.jobView.refreshQueue
	if len(queue.callbacks) == 0 {
		queue.requestedAt = c.now
	}
	queue.callbacks = append(queue.callbacks, done)
	c.sendRefresh()
}

func (c *Core) sendRefresh() {
	queue := &c.jobView.refreshQueue
	if queue.reading || len(queue.callbacks) == 0 {
		return
	}
	if !c.budget.MayRequest(budget.UserRequests, c.now) && c.now-queue.requestedAt < submissionTimeout {
		c.after(fastTickInterval, c.sendRefresh)
		return
	}
	batch, after := queue.callbacks, c.graph.Revision()
	queue.callbacks = nil
	if !c.graph.IsSynced() {
		notifyAll(batch, false)
		return
	}
	queue.reading = true
	c.store.Do(budget.UserRequests, kv.Watch(record.ActiveJobPrefix, after, 0), func(r kv.Result) {
		queue.reading = false
		queue.requestedAt = c.now // what came meanwhile goes out now
		ok := c.applyJobChanges(after, r)
		if r.Outcome == kv.Compacted && c.owner != nil && c.owner.jobsListed {
			c.owner.restartRecovery("changes of jobs were missed")
		}
		notifyAll(batch, ok)
		c.sendRefresh()
	})
}

func notifyAll(questions []func(ok bool), ok bool) {
	for _, answer := range questions {
		answer(ok)
	}
}
