package jobgraph

import (
	"fmt"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file is the jobs that await others, and the edges between them and what they await.

// WaitingJob is an active job that awaits others. Its priority, estimate and deadline are the
// job's own: what it passes on to those before it follows from them.
type WaitingJob struct {
	ID            string
	Version       uint64 // of its record
	Class         string
	Estimate      micros.Micros // as submitted
	Parts         int           // keys that hold the list of jobs that it awaits, 0: the record itself does
	LatestDone    micros.Micros // the latest wall clock time at which a job that it awaited was done
	CancelledRoot string        // the job before it that was cancelled by its user, or ""

	priority sched.Priority
	accepted micros.Micros
	deadline micros.Micros   // from submission, 0 for none
	complete bool            // the list of jobs that it awaits is known
	awaited  map[string]bool // those that are not known to be done

	corrected micros.Micros // the estimate as corrected when the job began to pass on
	passed    Inheritance   // what it passes on to those that it needs, while it does
	passing   bool
	queued    bool // in the walk that goes on
}

// Ready tells that all that the job awaits is done.
func (w *WaitingJob) Ready() bool {
	return w.complete && len(w.awaited) == 0 && w.CancelledRoot == ""
}

// Complete tells whether the list of jobs that the job awaits is known.
func (w *WaitingJob) Complete() bool { return w.complete }

// Cancelled tells that the job is cancelled with one before it.
func (w *WaitingJob) Cancelled() bool { return w.CancelledRoot != "" }

// dependencyFields are the fields of a record.Job that tell whether the job awaits others.
// Most jobs do not: that their descriptions are not decoded here saves much time.
type dependencyFields struct {
	Accepted micros.Micros    `cbor:"at"`
	Waiting  *wire.Submission `cbor:"w"`
	Parts    int              `cbor:"p"`
}

// AwaitsOthers tells from a job's record whether the job was submitted to await others.
func AwaitsOthers(value []byte) (bool, error) {
	var rec dependencyFields
	if err := wire.Decode(value, &rec); err != nil {
		return false, fmt.Errorf("job's record: %w", err)
	}
	return rec.Waiting != nil, nil
}

// addWaiting notes a job that awaits others; it returns nil for any other.
func (g *Graph) addWaiting(id string, value []byte, version uint64) *WaitingJob {
	if job := g.waiting[id]; job != nil && job.Version == version {
		return job
	}
	var rec dependencyFields
	if err := wire.Decode(value, &rec); err != nil || rec.Waiting == nil {
		return nil // who places the job reports what cannot be read
	}
	job := &WaitingJob{
		ID: id, Version: version, Parts: rec.Parts,
		accepted: rec.Accepted, awaited: map[string]bool{},
	}
	g.waiting[id] = job
	spec, err := rec.Waiting.Job()
	if err != nil {
		g.log.Error("record cannot be read", "key", record.ActiveJobKey(id), "error", err)
		return job // neither ready nor answered about
	}
	job.Class, job.Estimate = spec.Class, spec.Estimate
	job.priority, job.deadline = spec.Priority, spec.Deadline
	if rec.Parts > 0 {
		g.partial[id] = true
		return job
	}
	g.setAwaited(job, spec.Awaits)
	return job
}

// CompleteList takes the list of a job whose record does not hold it.
func (g *Graph) CompleteList(job *WaitingJob, awaited []string) {
	if g.waiting[job.ID] == job && !job.complete {
		g.setAwaited(job, awaited)
	}
}

// setAwaited takes the list of jobs that a job awaits.
func (g *Graph) setAwaited(job *WaitingJob, awaited []string) {
	job.complete = true
	delete(g.partial, job.ID)
	for _, id := range awaited {
		if !g.observer.KnownDone(id) {
			g.link(job, id)
		}
	}
	if !job.Cancelled() {
		g.passOn(job)
	}
	if job.Ready() {
		g.observer.JobReady(job)
	}
}

// link notes that a job waits for another.
func (g *Graph) link(job *WaitingJob, id string) {
	job.awaited[id] = true
	if g.dependents[id] == nil {
		g.dependents[id] = map[string]*WaitingJob{}
	}
	g.dependents[id][job.ID] = job
	if !g.active[id] {
		g.unresolved[id] = true
	}
	if other := g.waiting[id]; other != nil && other.Cancelled() && !job.Cancelled() {
		g.cancel(job, other.CancelledRoot)
	}
}

// unlink notes that a job does not wait for another any more.
func (g *Graph) unlink(job *WaitingJob, id string) {
	g.work.Jobs++
	delete(job.awaited, id)
	dependents := g.dependents[id]
	delete(dependents, job.ID)
	if len(dependents) == 0 {
		delete(g.dependents, id)
		delete(g.unresolved, id)
		g.disinherit(id)
	}
}

// dropWaiting forgets a waiting job that is over. The order in which it is unlinked changes
// nothing: each edge concerns another job.
func (g *Graph) dropWaiting(job *WaitingJob) {
	g.stopPassing(job)
	for id := range job.awaited {
		g.unlink(job, id)
	}
	delete(g.waiting, job.ID)
	delete(g.partial, job.ID)
}
