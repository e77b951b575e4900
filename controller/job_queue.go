package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// recoverJob adds an accepted job from its record, unless the job is already known, is cancelled or
// belongs to another owner's team.
func (o *owner) recoverJob(key string, value []byte, version uint64) {
	id := strings.TrimPrefix(key, record.ActiveJobPrefix)
	if o.Jobs[id] != nil || o.BlockedJobs[id] != nil || o.c.cancellations.IsCancelled(id) {
		return
	}
	var job record.Job
	if err := wire.Decode(value, &job); err != nil {
		o.c.log.Error("record cannot be read", "key", key, "error", err)
		return
	}
	spec, err := job.Description()
	if err != nil {
		o.c.log.Error("record cannot be read", "key", key, "error", err)
		return
	}
	if o.Teams[spec.Team] == nil {
		return // the job belongs to another owner's team
	}
	j := inventory.NewJob(spec, version, job.AcceptedAt)
	if job.Blocked != nil {
		j.DependencyParts = job.DependencyParts
		o.addBlockedJob(j)
		return
	}
	o.enqueue(j)
}

// enqueue adds a job to the scheduling queue.
func (o *owner) enqueue(j *inventory.Job) {
	j.IdleSince = o.c.now
	o.Jobs[j.ID] = j
	o.scheduler.ApplyInheritance(j)
	o.QueueJob(j)
	o.classes.RecordSubmission(o.c.now, j.Job, o.c.catalog())
	o.SchedulingNeeded = true
}

// watchJobs watches for jobs that are accepted or removed after a revision.
func (o *owner) watchJobs(after uint64) {
	c := o.c
	sentAt := c.now
	c.store.Watch(budget.Ownership, record.ActiveJobPrefix, after, c.watchWait(), func(r kv.Result) {
		if o.superseded() {
			return
		}
		switch {
		case r.Outcome == kv.Compacted:
			o.restartRecovery("watch revision was compacted")
			return
		case r.Outcome != kv.OK:
			o.retryWatch(after)
			return
		case !c.jobView.ApplyWatchResult(after, r):
			o.restartRecovery("watch result does not continue the view")
			return
		}
		o.cancellationsKnownUntil = sentAt
		o.watchJobs(c.graph.Revision())
	})
}

// retryWatch schedules another watch: the first slow tick after readRetryDelay sends it.
func (o *owner) retryWatch(after uint64) {
	o.watchRevision, o.watchFailed, o.watchRetryAt = after, true, o.c.now+readRetryDelay
}

// handleJobRemoved handles the deletion of a job's record, either by this owner's own transaction or
// by a cancellation, which was acknowledged to users no earlier than the time since.
func (o *owner) handleJobRemoved(id string, since micros.Micros) {
	if j := o.BlockedJobs[id]; j != nil && !j.Writing {
		o.c.log.Info("blocked job cancelled", "job", id)
		o.removeBlockedJob(j)
		return
	}
	j := o.Jobs[id]
	if j == nil || j.State == inventory.JobEnded || j.State == inventory.JobFinishing && j.Writing {
		return // the watch may report the deletion before this owner's transaction is confirmed
	}
	o.c.log.Info("job cancelled", "job", id, "attempts", len(j.Attempts))
	o.endJob(j)
	j.CancelledAt = since
	o.StopJob(j, 0, "cancelled")
}

// endJob marks a job whose record was deleted as ended, and removes it from the queue.
func (o *owner) endJob(j *inventory.Job) {
	o.SetJobState(j, inventory.JobEnded)
	o.Queue = slices.DeleteFunc(o.Queue, func(queued *inventory.Job) bool { return queued == j })
	o.commits.DropChunks(j)
	o.deleteDependencyParts(j)
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

// maxJobCounts is the maximum number of jobs whose task counts are in a peer heartbeat: the first ones
// in the queue that have attempts or completed tasks.
const maxJobCounts = 200

// jobCounts returns the task counts of jobs, which peers report to their users.
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

// taskCounts returns how many tasks of a job are done and how many are running.
func (o *owner) taskCounts(id string) (done, running int) {
	if j := o.Jobs[id]; j != nil {
		return j.CompletedCount, j.RunningTasks
	}
	return 0, 0
}
