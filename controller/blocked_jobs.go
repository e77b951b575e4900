package controller

import (
	"strings"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// This file is the owner's part in jobs that wait for others. They are kept apart from the
// jobs that are placed: what looks for room, counts demand or shares out a guarantee does not
// see them. A job leaves this state in one way, by jobReady, when the final records of all
// that it awaits were read as done, or when a record shows that an earlier owner placed it.

// addBlockedJob takes a job of an own team that awaits others.
func (o *owner) addBlockedJob(j *inventory.Job) {
	o.SetJobState(j, inventory.JobBlocked)
	o.BlockedJobs[j.ID] = j
	switch waiting := o.c.graph.Blocked(j.ID); {
	case waiting == nil: // its record is gone already; the watch will tell
	case waiting.Cancelled():
		o.queueCascadedCancellation(j.ID)
	case waiting.Ready():
		o.jobReady(waiting)
	}
}

// jobReady lets a job be placed: all that it awaits is done. Its times count from then.
func (o *owner) jobReady(waiting *dag.BlockedJob) {
	j := o.BlockedJobs[waiting.ID]
	if j == nil {
		return
	}
	delete(o.BlockedJobs, j.ID)
	j.ReadyAt = max(j.Accepted, waiting.LatestDependencyDone)
	o.SetJobState(j, inventory.JobActive)
	o.c.log.Info("job is ready", "job", j.ID, "class", j.Class, "waited_s", (o.c.wallClock - j.Accepted).Seconds())
	o.enqueue(j)
}

// unblockPlacedJob finds a job that a record of an earlier owner names as placed. That owner had
// read that all that the job awaits is done, which never changes.
func (o *owner) unblockPlacedJob(id string) *inventory.Job {
	if o.BlockedJobs[id] != nil {
		waiting := o.c.graph.Blocked(id)
		if waiting == nil {
			return nil
		}
		o.c.graph.AssumeDone(waiting)
		o.jobReady(waiting)
	}
	return o.Jobs[id]
}

// queueCascadedCancellation notes that a waiting job is cancelled with one before it, which must be
// recorded. Users are told by what the records before it say, recorded or not.
func (o *owner) queueCascadedCancellation(id string) {
	if j := o.BlockedJobs[id]; j != nil && !j.CancelQueued {
		j.CancelQueued = true
		o.cascadedCancellations = append(o.cascadedCancellations, id)
	}
}

// advanceBlockedJobs reads what blocked jobs need to proceed.
func (o *owner) advanceBlockedJobs() { o.c.jobView.ResolveBlockedJobs() }

// flushCascadedCancellations records jobs that are cancelled with one before them, a few with each
// commit: nobody waits for it.
func (o *owner) flushCascadedCancellations(t *transaction, full func() bool) {
	for len(o.cascadedCancellations) > 0 && !full() {
		id := o.cascadedCancellations[0]
		o.cascadedCancellations = o.cascadedCancellations[1:]
		j, waiting := o.BlockedJobs[id], o.c.graph.Blocked(id)
		if j == nil {
			continue
		}
		j.CancelQueued = false
		if waiting != nil && waiting.Cancelled() && !j.RecordStale {
			o.recordCascadedCancellation(t, j, waiting.CancelledRoot)
		}
	}
}

// recordCascadedCancellation adds to a commit that a waiting job is cancelled with one before it.
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
			o.c.log.Info("job cancelled with one before it", "job", j.ID, "before", root)
			o.removeBlockedJob(j)
		}
	})
}

// removeBlockedJob forgets a waiting job whose record is gone.
func (o *owner) removeBlockedJob(j *inventory.Job) {
	delete(o.BlockedJobs, j.ID)
	o.dropParts(j)
	o.SetJobState(j, inventory.JobEnded)
}

// dropParts has the further keys of a job's list deleted: they serve while its record exists.
func (o *owner) dropParts(j *inventory.Job) {
	for i := range j.DependencyParts {
		o.commits.DeleteLater(record.DependencyPartKey(j.ID, i))
	}
	j.DependencyParts = 0
}

// recheckDelay lets the watch show how a job's record changed before it is written again.
const recheckDelay = micros.Second

// recheckBlockedJob handles a waiting job's record that is not as it was: it was cancelled.
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
			if waiting := o.c.graph.Blocked(j.ID); !o.superseded() && waiting != nil && waiting.Cancelled() {
				o.queueCascadedCancellation(j.ID)
			}
		})
	})
}

// partsSweepDelay lets a takeover do first what is urgent.
const partsSweepDelay = 20 * micros.Second

// sweepParts finds keys of lists whose jobs were over before an owner could have them
// deleted.
func (o *owner) sweepParts() {
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
				o.dropLeftoverParts(page.Entries)
				if page.More && len(page.Entries) > 0 { // the next page comes with a later tick
					o.partsSweepCursor, o.partsSwept = page.Entries[len(page.Entries)-1].Key, false
				}
			}
		})
	})
}

// dropLeftoverParts has parts of lists deleted whose jobs are over. A list is accepted with its
// job in one commit: where a view that is newer than the list lacks the job, it is over.
func (o *owner) dropLeftoverParts(entries []kv.Entry) {
	for _, e := range entries {
		id, _, _ := strings.Cut(strings.TrimPrefix(e.Key, record.DependencyPartPrefix), "/")
		if !o.c.graph.IsActive(id) && !o.commits.IsObsolete(e.Key) {
			o.commits.DeleteLater(e.Key)
		}
	}
}
