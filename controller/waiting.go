package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/jobgraph"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file is the owner's part in jobs that wait for others. They are kept apart from the
// jobs that are placed: what looks for room, counts demand or shares out a guarantee does not
// see them. A job leaves this state in one way, by jobReady, when the final records of all
// that it awaits were read as done, or when a record shows that an earlier owner placed it.

// addWaiting takes a job of an own team that awaits others.
func (o *owner) addWaiting(j *job) {
	o.setJob(j, jobWaiting)
	o.waiting[j.ID] = j
	switch w := o.c.graph.Waiting(j.ID); {
	case w == nil: // its record is gone already; the watch will tell
	case w.Cancelled():
		o.queueCancelled(j.ID)
	case w.Ready():
		o.jobReady(w)
	}
}

// jobReady lets a job be placed: all that it awaits is done. Its times count from then.
func (o *owner) jobReady(w *jobgraph.WaitingJob) {
	j := o.waiting[w.ID]
	if j == nil {
		return
	}
	delete(o.waiting, w.ID)
	j.since = max(j.accepted, w.LatestDone)
	o.setJob(j, jobActive)
	o.c.log.Info("job is ready", "job", j.ID, "class", j.Class, "waited_s", (o.c.day - j.accepted).Seconds())
	o.enqueue(j)
}

// jobNamed finds a job that a record of an earlier owner names as placed. That owner had
// read that all that the job awaits is done, which never changes.
func (o *owner) jobNamed(id string) *job {
	if j := o.waiting[id]; j != nil {
		w := o.c.graph.Waiting(id)
		if w == nil {
			return nil
		}
		o.c.graph.AssumeDone(w)
		o.jobReady(w)
	}
	return o.jobs[id]
}

// queueCancelled notes that a waiting job is cancelled with one before it, which must be
// recorded. Users are told by what the records before it say, recorded or not.
func (o *owner) queueCancelled(id string) {
	if j := o.waiting[id]; j != nil && !j.cancelled {
		j.cancelled = true
		o.cancelled = append(o.cancelled, id)
	}
}

// advanceWaiting reads what the waiting jobs need to go on: how awaited jobs ended, and
// lists that are kept under several keys.
func (o *owner) advanceWaiting() {
	resolution := &o.c.jobView.resolution
	if resolution.reading || o.c.now < resolution.nextTry || o.c.storeDown() {
		return
	}
	if o.c.graph.HasUnresolved() {
		o.c.resolveEnds(nil)
		return
	}
	if partial := o.c.graph.FirstPartial(); partial != nil {
		resolution.nextTry = o.c.now + loadRetry
		o.c.readParts(partial, func(ok bool) {
			if ok {
				resolution.nextTry = 0
			}
		})
	}
}

// flushCancelled records jobs that are cancelled with one before them, a few with each
// commit: nobody waits for it.
func (o *owner) flushCancelled(t *txn, full func() bool) {
	for len(o.cancelled) > 0 && !full() {
		id := o.cancelled[0]
		o.cancelled = o.cancelled[1:]
		j, w := o.waiting[id], o.c.graph.Waiting(id)
		if j == nil {
			continue
		}
		j.cancelled = false
		if w == nil || !w.Cancelled() || j.unsure {
			continue
		}
		j.writing = true
		t.guards[record.ActiveKey(id)] = j.version
		t.writes = append(t.writes, state.Write{Delete: record.ActiveKey(id)})
		t.put(record.FinalKey(id), record.Final{Status: wire.JobCancelled, At: o.c.day, Before: w.CancelledRoot})
		t.results = append(t.results, func(ok bool, _ uint64) {
			j.writing = false
			switch {
			case o.waiting[id] != j:
			case !ok:
				o.queueCancelled(id)
			default:
				o.c.log.Info("job cancelled with one before it", "job", id, "before", w.CancelledRoot)
				o.waitingGone(j)
			}
		})
	}
}

// waitingGone forgets a waiting job whose record is gone.
func (o *owner) waitingGone(j *job) {
	delete(o.waiting, j.ID)
	o.dropParts(j)
	o.setJob(j, jobEnded)
}

// dropParts has the further keys of a job's list deleted: they serve while its record exists.
func (o *owner) dropParts(j *job) {
	for i := range j.parts {
		o.garbage = append(o.garbage, record.PartKey(j.ID, i))
	}
	j.parts = 0
}

// waitingUnsure handles a waiting job's record that is not as it was: it was cancelled.
func (o *owner) waitingUnsure(j *job) {
	j.unsure = true
	o.c.refresh(func(ok bool) {
		if o.superseded() || o.waiting[j.ID] != j {
			return
		}
		j.unsure = false
		if ok && !o.c.graph.Active(j.ID) {
			o.waitingGone(j)
			return
		}
		o.c.after(micros.Second, func() {
			if w := o.c.graph.Waiting(j.ID); !o.superseded() && w != nil && w.Cancelled() {
				o.queueCancelled(j.ID)
			}
		})
	})
}

// sweepParts finds keys of lists whose jobs were over before an owner could have them
// deleted. A list is accepted with its job in one commit: where a view that is newer than
// the list lacks the job, it is over.
func (o *owner) sweepParts() {
	if o.swept || o.c.now-o.since < sweepAfter || !o.c.budget.MayRequest(budget.Cleanup, o.c.now) {
		return
	}
	o.swept = true
	o.c.store(budget.Cleanup, state.List(record.PartPrefix, ""), func(r storeReply) {
		var p state.Page
		if o.superseded() {
			return
		}
		if r.outcome != outOK || !r.decode(&p) {
			o.swept = false
			return
		}
		o.c.refresh(func(ok bool) {
			if o.superseded() || !ok {
				o.swept = o.superseded()
				return
			}
			for _, e := range p.Entries {
				id, _, _ := strings.Cut(strings.TrimPrefix(e.Key, record.PartPrefix), "/")
				if !o.c.graph.Active(id) && !slices.Contains(o.garbage, e.Key) {
					o.garbage = append(o.garbage, e.Key)
				}
			}
		})
	})
}

// sweepAfter lets a takeover do first what is urgent.
const sweepAfter = 20 * micros.Second
