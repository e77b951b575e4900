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

// This file handles an owner's blocked jobs: jobs with dependencies that are not done. They are not
// in the queue: placement, demand and quotas ignore them. Only unblockJob unblocks a job: after the
// terminal states of all its dependencies were read as done, or after a record has shown that an
// earlier owner placed the job.

// addBlockedJob adds a blocked job of one of this owner's teams.
func (o *owner) addBlockedJob(j *inventory.Job) {
	o.SetJobState(j, inventory.JobBlocked)
	o.BlockedJobs[j.ID] = j
	switch o.c.graph.State(j.ID) {
	case dag.JobCancelled:
		o.queueCascadedCancellation(j.ID)
	case dag.JobReady:
		o.unblockJob(o.c.graph.Blocked(j.ID))
	case dag.JobNotActive: // its record is already deleted, which the watch will report
	case dag.JobBlocked, dag.JobIndependent:
	}
}

// unblockJob enqueues a blocked job whose dependencies are done. Its queueing delay is measured from
// the completion of the last dependency, or from the job's acceptance if that is later.
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

// unblockPlacedJob returns a job that is placed according to an earlier owner's record, or nil if the
// job is unknown. A blocked job is unblocked first: the earlier owner has read that its dependencies
// are done, and done is a terminal state.
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

// queueCascadedCancellation queues the write that records a blocked job as cancelled because an
// upstream job was cancelled. The status that users get is derived from the records of the upstream
// jobs, so it does not depend on this write.
func (o *owner) queueCascadedCancellation(id string) {
	if j := o.BlockedJobs[id]; j != nil && !j.CancelQueued {
		j.CancelQueued = true
		o.cascadedCancellations = append(o.cascadedCancellations, id)
	}
}

// advanceBlockedJobs reads the records of the blocked jobs' dependencies.
func (o *owner) advanceBlockedJobs() { o.c.jobView.ResolveBlockedJobs() }

// flushCascadedCancellations adds queued cancellations to a transaction until it is full. Later
// transactions write the rest: no user waits for these records.
func (o *owner) flushCascadedCancellations(t *transaction, full func() bool) {
	for len(o.cascadedCancellations) > 0 && !full() {
		id := o.cascadedCancellations[0]
		o.cascadedCancellations = o.cascadedCancellations[1:]
		j := o.BlockedJobs[id]
		if j == nil {
			continue
		}
		j.CancelQueued = false
		if o.c.graph.State(id) == dag.JobCancelled && !j.RecordStale {
			o.recordCascadedCancellation(t, j, o.c.graph.Blocked(id).CancelledRoot)
		}
	}
}

// recordCascadedCancellation adds to a transaction the writes that record a blocked job as cancelled
// because the upstream job root was cancelled.
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

// removeBlockedJob removes a blocked job whose record was deleted.
func (o *owner) removeBlockedJob(j *inventory.Job) {
	delete(o.BlockedJobs, j.ID)
	o.deleteDependencyParts(j)
	o.SetJobState(j, inventory.JobEnded)
}

// deleteDependencyParts queues the deletion of the keys that continue a job's list of dependencies.
// They are needed only while the job's record exists.
func (o *owner) deleteDependencyParts(j *inventory.Job) {
	for i := range j.DependencyParts {
		o.commits.DeleteLater(record.DependencyPartKey(j.ID, i))
	}
	j.DependencyParts = 0
}

// recheckDelay is the pause before a failed cancellation of a blocked job is queued again. Within it,
// the watch can report the change of the job's record.
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
			if !o.superseded() && o.c.graph.State(j.ID) == dag.JobCancelled {
				o.queueCascadedCancellation(j.ID)
			}
		})
	})
}

// partsSweepDelay is the pause between the activation of an owner and its search for orphaned
// dependency parts. It leaves the request budget right after a failover to more urgent purposes.
const partsSweepDelay = 20 * micros.Second

// sweepOrphanedParts searches for orphaned dependency parts, which were not deleted when their jobs
// ended. It reads one page of keys at a time.
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

// deleteOrphanedParts queues the deletion of dependency parts whose jobs have ended. The parts are
// written in one transaction with the job's record: if a view that is newer than the parts does not
// contain the job, the job has ended.
func (o *owner) deleteOrphanedParts(entries []kv.Entry) {
	for _, e := range entries {
		id, _, _ := strings.Cut(strings.TrimPrefix(e.Key, record.DependencyPartPrefix), "/")
		if !o.c.graph.IsActive(id) && !o.commits.IsObsolete(e.Key) {
			o.commits.DeleteLater(e.Key)
		}
	}
}
