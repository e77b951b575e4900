package dag

import (
	"fmt"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file is the jobs that await others, and the edges between them and what they await.

// BlockedJob is an active job that awaits others. Its priority, estimate and deadline are the
// job's own: what it passes on to those before it follows from them.
type BlockedJob struct {
	ID                   string
	Version              uint64 // of its record
	Class                string
	Estimate             micros.Micros // as submitted
	DependencyParts      int           // keys that hold the list of jobs that it awaits, 0: the record itself does
	LatestDependencyDone micros.Micros // the latest wall clock time at which a job that it awaited was done
	CancelledRoot        string        // the job before it that was cancelled by its user, or ""

	priority            sched.Priority
	accepted            micros.Micros
	deadline            micros.Micros   // from submission, 0 for none
	dependenciesKnown   bool            // the list of jobs that it awaits is known
	pendingDependencies map[string]bool // those that are not known to be done

	correctedEstimate micros.Micros // the estimate as corrected when the job began to pass on
	propagated        Inheritance   // what it passes on to those that it needs, while it does
	propagating       bool
	queued            bool // in the walk that goes on
}

// Ready tells that all that the job awaits is done.
func (w *BlockedJob) Ready() bool {
	return w.dependenciesKnown && len(w.pendingDependencies) == 0 && w.CancelledRoot == ""
}

// DependenciesKnown tells whether the list of jobs that the job awaits is known.
func (w *BlockedJob) DependenciesKnown() bool { return w.dependenciesKnown }

// Cancelled tells that the job is cancelled with one before it.
func (w *BlockedJob) Cancelled() bool { return w.CancelledRoot != "" }

// dependencyFields are the fields of a record.Job that tell whether the job awaits others.
// Most jobs do not: that their descriptions are not decoded here saves much time.
type dependencyFields struct {
	Accepted        micros.Micros    `cbor:"at"`
	Blocked         *wire.Submission `cbor:"w"`
	DependencyParts int              `cbor:"p"`
}

// HasDependencies tells from a job's record whether the job was submitted to await others.
func HasDependencies(value []byte) (bool, error) {
	var rec dependencyFields
	if err := wire.Decode(value, &rec); err != nil {
		return false, fmt.Errorf("job's record: %w", err)
	}
	return rec.Blocked != nil, nil
}

// addBlocked notes a job that awaits others; it returns nil for any other.
func (g *Graph) addBlocked(id string, value []byte, version uint64) *BlockedJob {
	if job := g.blocked[id]; job != nil && job.Version == version {
		return job
	}
	var rec dependencyFields
	if err := wire.Decode(value, &rec); err != nil || rec.Blocked == nil {
		return nil // who places the job reports what cannot be read
	}
	job := &BlockedJob{
		ID: id, Version: version, DependencyParts: rec.DependencyParts,
		accepted: rec.Accepted, pendingDependencies: map[string]bool{},
	}
	g.blocked[id] = job
	spec, err := rec.Blocked.Job()
	if err != nil {
		g.log.Error("record cannot be read", "key", record.ActiveJobKey(id), "error", err)
		return job // neither ready nor answered about
	}
	job.Class, job.Estimate = spec.Class, spec.Estimate
	job.priority, job.deadline = spec.Priority, spec.Deadline
	if rec.DependencyParts > 0 {
		g.incomplete[id] = true
		return job
	}
	g.setPendingDependencies(job, spec.Dependencies)
	return job
}

// SetDependencies takes the list of a job whose record does not hold it.
func (g *Graph) SetDependencies(job *BlockedJob, awaited []string) {
	if g.blocked[job.ID] == job && !job.dependenciesKnown {
		g.setPendingDependencies(job, awaited)
	}
}

// setPendingDependencies takes the list of jobs that a job awaits.
func (g *Graph) setPendingDependencies(job *BlockedJob, awaited []string) {
	job.dependenciesKnown = true
	delete(g.incomplete, job.ID)
	for _, id := range awaited {
		if !g.observer.IsDone(id) {
			g.link(job, id)
		}
	}
	if !job.Cancelled() {
		g.propagateFrom(job)
	}
	if job.Ready() {
		g.observer.JobReady(job)
	}
}

// link notes that a job waits for another.
func (g *Graph) link(job *BlockedJob, id string) {
	job.pendingDependencies[id] = true
	if g.dependents[id] == nil {
		g.dependents[id] = map[string]*BlockedJob{}
	}
	g.dependents[id][job.ID] = job
	if !g.active[id] {
		g.unresolvedJobs[id] = true
	}
	if other := g.blocked[id]; other != nil && other.Cancelled() && !job.Cancelled() {
		g.cancel(job, other.CancelledRoot)
	}
}

// unlink notes that a job does not wait for another any more.
func (g *Graph) unlink(job *BlockedJob, id string) {
	g.work.Jobs++
	delete(job.pendingDependencies, id)
	dependents := g.dependents[id]
	delete(dependents, job.ID)
	if len(dependents) == 0 {
		delete(g.dependents, id)
		delete(g.unresolvedJobs, id)
		g.disinherit(id)
	}
}

// removeBlocked forgets a waiting job that is over. The order in which it is unlinked changes
// nothing: each edge concerns another job.
func (g *Graph) removeBlocked(job *BlockedJob) {
	g.stopPropagating(job)
	for id := range job.pendingDependencies {
		g.unlink(job, id)
	}
	delete(g.blocked, job.ID)
	delete(g.incomplete, job.ID)
}
