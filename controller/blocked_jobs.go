package controller

import (
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// This file handles an owner's blocked jobs, those with dependencies that are not done. They are not
// in the queue: placement, demand and quotas ignore them. A job is unblocked by unblockJob alone, once
// the terminal states of all its dependencies were read as done, or once a record shows that an
// earlier owner has placed it.

// addBlockedJob adds a blocked job of an own team.
func (o *owner) addBlockedJob(j *inventory.Job) {
	o.SetJobState(j, inventory.JobBlocked)
	o.BlockedJobs[j.ID] = j
	switch blocked := o.c.graph.Blocked(j.ID); {
	case blocked == nil: // its record is gone already, which the watch will show
	case blocked.Cancelled():
		o.queueCascadedCancellation(j.ID)
	case blocked.Ready():
		o.unblockJob(blocked)
	}
}

// unblockJob enqueues a blocked job whose dependencies are done. Its queueing delay counts from then.
func (o *owner) unblockJob(blocked *dag.BlockedJob) {
	j := o.BlockedJobs[blocked.ID]
	if j == nil {
		return
	}
	delete(o.BlockedJobs, j.ID)
	j.ReadyAt = max(j.Accepted, blocked.LatestDependencyDone)
	o.SetJobState(j, inventory.JobActive)
	o.c.log.Info("job unblocked", "job", j.ID, "class", j.Class, "blocked_s", (o.c.wallClock - j.Accepted).Seconds())
	o.enqueue(j)
}

// unblockPlacedJob returns a job that was placed by an earlier owner's record, or nil if it is not
// known. If it is blocked, it is unblocked: the earlier owner has read that its dependencies are
// done, which never changes.
func (o *owner) unblockPlacedJob(id string) *inventory.Job {
	if o.BlockedJobs[id] != nil {
		blocked := o.c.graph.Blocked(id)
		if blocked == nil {
			return nil
		}
		o.c.graph.AssumeDone(blocked)
		o.unblockJob(blocked)
	}
	return o.Jobs[id]
}

// queueCascadedCancellation queues the record of a blocked job's cancellation with an upstream job.
// The status that users get follows from the upstream records, whether this one is written or not.
func (o *owner) queueCascadedCancellation(id string) {
	if j := o.BlockedJobs[id]; j != nil && !j.CancelQueued {
		j.CancelQueued = true
		o.cascadedCancellations = append(o.cascadedCancellations, id)
	}
}

// advanceBlockedJobs reads the records on which the blocked jobs depend.
func (o *owner) advanceBlockedJobs() { o.c.jobView.ResolveBlockedJobs() }

// flushCascadedCancellations adds queued cancellations to a transaction until it is full. The rest is
// left to the next ones: no user waits for these records.
func (o *owner) flushCascadedCancellations(t *transaction, full func() bool) {
	for len(o.cascadedCancellations) > 0 && !full() {
		id := o.cascadedCancellations[0]
		o.cascadedCancellations = o.cascadedCancellations[1:]
		j, blocked := o.BlockedJobs[id], o.c.graph.Blocked(id)
		if j == nil {
			continue
		}
		j.CancelQueued = false
		if blocked != nil && blocked.Cancelled() && !j.RecordStale {
			o.recordCascadedCancellation(t, j, blocked.CancelledRoot)
		}
	}
}

// recordCascadedCancellation adds the cancellation of a blocked job with an upstream job, root, to a
// transaction.
func (o *owner) recordCascadedCancellation(t *transaction, j *inventory.Job, root string) {
	j.Writing = true
	t.Require(record.ActiveJobKey(j.ID), j.Version)
	t.Delete(record.ActiveJobKey(j.ID))
	t.Put(record.TerminalStateKey(j.ID), record.TerminalState{Status: record.StatusCancelled, FinishedAt: o.c.wallClock, CancelledDependency: root})
	t.OnResult(func(ok bool, _ uint64) {
		j.Writing = false
		switch {
		case o.BlockedJobs[j.ID] != j:
		case !ok:
			o.queueCascadedCancellation(j.ID)
		default:
			o.c.log.Info("job cancelled with an upstream job", "job", j.ID, "upstream", root)
			o.removeBlockedJob(j)
		}
	})
}

// removeBlockedJob removes a blocked job whose record is gone.
func (o *owner) removeBlockedJob(j *inventory.Job) {
	delete(o.BlockedJobs, j.ID)
	o.deleteDependencyParts(j)
	o.SetJobState(j, inventory.JobEnded)
}

// deleteDependencyParts queues the deletion of the keys that continue a job's list of dependencies. They are of
// use only while the job's record exists.
func (o *owner) deleteDependencyParts(j *inventory.Job) {
	for i := range j.DependencyParts {
		o.commits.DeleteLater(record.DependencyPartKey(j.ID, i))
	}
	j.DependencyParts = 0
}

// recheckDelay gives the watch time to show a change of a job's record before it is written again.
const recheckDelay = micros.Second

// recheckBlockedJob handles a failed precondition on a blocked job's record, which means that a user
// has cancelled the job.
func (o *owner) recheckBlockedJob(j *inventory.Job) {
	j.RecordStale = true
	o.c.jobView.Refresh(func(ok bool) {
		if o.superseded() || o.BlockedJobs[j.ID] != j {
			return
		}
		j.RecordStale = false
		if ok && !o.c.graph.IsActive(j.ID) {
			o.removeBlockedJob(j)
			return
		}
		o.c.after(recheckDelay, func() {
			if blocked := o.c.graph.Blocked(j.ID); !o.superseded() && blocked != nil && blocked.Cancelled() {
				o.queueCascadedCancellation(j.ID)
			}
		})
	})
}

// partsSweepDelay leaves the requests after a failover to more urgent purposes.
const partsSweepDelay = 20 * micros.Second

// sweepOrphanedParts looks for keys of dependency lists whose jobs have ended without their deletion. It reads
// one page at a time.
func (o *owner) sweepOrphanedParts() {
	if o.partsSwept || o.c.now-o.activeSince < partsSweepDelay || !o.c.budget.MayRequest(budget.Cleanup, o.c.now) {
		return
	}
	o.partsSwept = true
	o.c.store.Do(budget.Cleanup, kv.List(record.DependencyPartPrefix, o.partsSweepCursor), func(r kv.Result) {
		var page kv.Page
		if o.superseded() {
			return
		}
		if err := r.DecodeOK(&page); err != nil {
			o.partsSwept = false
			return
		}
		o.c.jobView.Refresh(func(ok bool) {
			switch {
			case o.superseded():
			case !ok:
				o.partsSwept = false
			default:
				o.deleteOrphanedParts(page.Entries)
				if page.More && len(page.Entries) > 0 { // a later tick reads the next page
					o.partsSweepCursor, o.partsSwept = page.Entries[len(page.Entries)-1].Key, false
				}
			}
		})
	})
}

// deleteOrphanedParts queues the deletion of dependency lists whose jobs have ended. A list is written
// in one transaction with its job: if a view that is newer than the list lacks the job, it has ended.
func (o *owner) deleteOrphanedParts(entries []kv.Entry) {
	for _, e := range entries {
		id, _, _ := strings.Cut(strings.TrimPrefix(e.Key, record.DependencyPartPrefix), "/")
		if !o.c.graph.IsActive(id) && !o.commits.IsObsolete(e.Key) {
			o.commits.DeleteLater(e.Key)
		}
	}
}
