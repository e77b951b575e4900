package controller

import (
	"cmp"
	"slices"
	"strings"

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
	if o.jobs[id] != nil || o.blockedJobs[id] != nil || o.c.cancellations.HasEnded(id) {
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
	if o.teams[spec.Team] == nil {
		return // another owner's
	}
	j := newJob(spec, version, rec.AcceptedAt)
	if rec.Blocked != nil {
		j.dependencyParts = rec.DependencyParts
		o.addBlockedJob(j)
		return
	}
	o.enqueue(j)
}

// enqueue adds a job to those that are placed.
func (o *owner) enqueue(j *job) {
	j.idleSince = o.c.now
	o.jobs[j.ID] = j
	o.inheritPriority(j)
	o.queueJob(j)
	o.classes.RecordSubmission(o.c.now, j.Job, o.c.catalog())
	o.schedulingNeeded = true
}

// queueJob puts a job at its place in the queue.
func (o *owner) queueJob(j *job) {
	i, _ := slices.BinarySearchFunc(o.queue, j, compareQueueOrder)
	o.queue = slices.Insert(o.queue, i, j)
}

// compareQueueOrder compares jobs in the queue: higher priority first, then who came, or was ready, first.
func compareQueueOrder(a, b *job) int {
	return cmp.Or(-cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.readyAt, b.readyAt), cmp.Compare(a.ID, b.ID))
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
		case !c.applyJobChanges(after, r):
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
	if j := o.blockedJobs[id]; j != nil && !j.writing {
		o.c.log.Info("job cancelled while it waits", "job", id)
		o.removeBlockedJob(j)
		return
	}
	j := o.jobs[id]
	if j == nil || j.state == jobEnded || j.state == jobFinishing && j.writing {
		return // the watch may tell of our own commit before its answer comes
	}
	o.c.log.Info("job cancelled", "job", id, "attempts", len(j.attempts))
	o.endJob(j)
	j.endedAt = since
	o.stopJob(j, 0, "cancelled")
}

// endJob takes a job out of the queue; its record is gone.
func (o *owner) endJob(j *job) {
	o.setJobState(j, jobEnded)
	o.queue = slices.DeleteFunc(o.queue, func(q *job) bool { return q == j })
	o.dropChunks(j)
	o.dropParts(j)
	if len(j.attempts) == 0 {
		delete(o.jobs, j.ID)
	}
	for _, a := range j.sortedAttempts() {
		if a.state != attemptCompleted {
			continue
		}
		if o.machines[a.machine.name] == a.machine {
			o.setAttemptState(a, attemptRemoving)
		} else {
			o.setAttemptState(a, attemptClosed)
		}
	}
	o.schedulingNeeded = true
}

// maxJobCounts bounds the counts in a heartbeat: the jobs that are placed first are told of.
const maxJobCounts = 200

// jobCounts tells peers what to show their users.
func (o *owner) jobCounts() []*peer.JobCount {
	var list []*peer.JobCount
	for _, j := range o.queue {
		if len(list) == maxJobCounts {
			break
		}
		if len(j.attempts) > 0 || j.completedCount > 0 {
			list = append(list, &peer.JobCount{Id: j.ID, Done: uint32(j.completedCount), Running: uint32(j.runningTasks)})
		}
	}
	return list
}

// taskCounts tells how many tasks of a job are done and run.
func (o *owner) countsOf(id string) (done, running int) {
	if j := o.jobs[id]; j != nil {
		return j.completedCount, j.runningTasks
	}
	return 0, 0
}
