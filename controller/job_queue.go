package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// recoverJob takes an accepted job from its record, unless it is known or of another owner's team.
func (o *owner) recoverJob(key string, value []byte, version uint64) {
	id := strings.TrimPrefix(key, record.ActiveJobPrefix)
	if o.Jobs[id] != nil || o.BlockedJobs[id] != nil || o.c.cancellations.HasEnded(id) {
		return
	}
	var rec record.Job
	if err := wire.Decode(value, &rec); err != nil {
		o.c.log.Error("record cannot be read", "key", key, "error", err)
		return
	}
	spec, err := rec.Description()
	if err != nil {
		o.c.log.Error("record cannot be read", "key", key, "error", err)
		return
	}
	if o.Teams[spec.Team] == nil {
		return // another owner's
	}
	j := inventory.NewJob(spec, version, rec.AcceptedAt)
	if rec.Blocked != nil {
		j.DependencyParts = rec.DependencyParts
		o.addBlockedJob(j)
		return
	}
	o.enqueue(j)
}

// enqueue adds a job to those that are placed.
func (o *owner) enqueue(j *inventory.Job) {
	j.IdleSince = o.c.now
	o.Jobs[j.ID] = j
	o.inheritPriority(j)
	o.QueueJob(j)
	o.classes.RecordSubmission(o.c.now, j.Job, o.c.catalog())
	o.SchedulingNeeded = true
}

// watchJobs follows jobs that are accepted, and those that are over.
func (o *owner) watchJobs(after uint64) {
	c := o.c
	asked := c.now
	c.store.Watch(budget.Ownership, record.ActiveJobPrefix, after, c.watchWait(), func(r kv.Result) {
		if o.superseded() {
			return
		}
		switch {
		case r.Outcome == kv.Compacted:
			o.restartRecovery("the watch fell behind")
			return
		case r.Outcome != kv.OK:
			o.retryWatch(after)
			return
		case !c.jobView.ApplyWatchResult(after, r):
			o.restartRecovery("the watch cannot be followed")
			return
		}
		o.cancellationsKnownUntil = asked
		o.watchJobs(c.graph.Revision())
	})
}

// retryWatch watches again after a pause, which the slow tick ends.
func (o *owner) retryWatch(after uint64) {
	o.watchRevision, o.watchDown, o.retryAt = after, true, o.c.now+readRetryDelay
}

// handleJobRemoved handles a job that is over: by our own commit, or cancelled, of which users were
// told at since or later.
func (o *owner) handleJobRemoved(id string, since micros.Micros) {
	if j := o.BlockedJobs[id]; j != nil && !j.Writing {
		o.c.log.Info("job cancelled while it waits", "job", id)
		o.removeBlockedJob(j)
		return
	}
	j := o.Jobs[id]
	if j == nil || j.State == inventory.JobEnded || j.State == inventory.JobFinishing && j.Writing {
		return // the watch may tell of our own commit before its answer comes
	}
	o.c.log.Info("job cancelled", "job", id, "attempts", len(j.Attempts))
	o.endJob(j)
	j.EndedAt = since
	o.StopJob(j, 0, "cancelled")
}

// endJob takes a job out of the queue; its record is gone.
func (o *owner) endJob(j *inventory.Job) {
	o.SetJobState(j, inventory.JobEnded)
	o.Queue = slices.DeleteFunc(o.Queue, func(q *inventory.Job) bool { return q == j })
	o.dropChunks(j)
	o.dropParts(j)
	if len(j.Attempts) == 0 {
		delete(o.Jobs, j.ID)
	}
	for _, a := range j.SortedAttempts() {
		if a.State != inventory.AttemptCompleted {
			continue
		}
		if o.Machines[a.Machine.Name] == a.Machine {
			o.SetAttemptState(a, inventory.AttemptRemoving)
		} else {
			o.SetAttemptState(a, inventory.AttemptClosed)
		}
	}
	o.SchedulingNeeded = true
}

// maxJobCounts bounds the counts in a heartbeat: the jobs that are placed first are told of.
const maxJobCounts = 200

// jobCounts tells peers what to show their users.
func (o *owner) jobCounts() []*peer.JobCount {
	var list []*peer.JobCount
	for _, j := range o.Queue {
		if len(list) == maxJobCounts {
			break
		}
		if len(j.Attempts) > 0 || j.CompletedCount > 0 {
			list = append(list, &peer.JobCount{Id: j.ID, Done: uint32(j.CompletedCount), Running: uint32(j.RunningTasks)})
		}
	}
	return list
}

// countsOf tells how many tasks of a job are done and run.
func (o *owner) countsOf(id string) (done, running int) {
	if j := o.Jobs[id]; j != nil {
		return j.CompletedCount, j.RunningTasks
	}
	return 0, 0
}
