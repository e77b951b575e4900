package dag

import (
	"fmt"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// BlockedJob is an active job that was submitted with dependencies. Its priority, estimate and
// deadline are those of its own submission; the inheritance that it propagates upstream is
// computed from them.
type BlockedJob struct {
	ID                   string
	Version              uint64 // of the job's record
	Class                string
	Estimate             micros.Micros // as submitted
	DependencyParts      int           // number of dependency parts; 0 if the job's record holds the dependencies
	LatestDependencyDone micros.Micros // latest wall clock time at which a dependency became done
	CancelledRoot        string        // upstream job that a user cancelled, or ""

	priority            sched.Priority
	accepted            micros.Micros   // time of acceptance
	deadline            micros.Micros   // relative to acceptance, 0 for none
	dependenciesKnown   bool            // the list of dependencies is known
	pendingDependencies map[string]bool // dependencies that are not known to be done

	correctedEstimate micros.Micros // observer's estimate when the job began to propagate
	propagated        Inheritance   // propagated to the dependencies, valid while propagating
	propagating       bool
	queued            bool // in the propagation queue
}

// Ready reports whether all dependencies of the job are known to be done.
func (b *BlockedJob) Ready() bool {
	return b.dependenciesKnown && len(b.pendingDependencies) == 0 && b.CancelledRoot == ""
}

// DependenciesKnown reports whether the job's list of dependencies is known.
func (b *BlockedJob) DependenciesKnown() bool { return b.dependenciesKnown }

// Cancelled reports whether the job is cancelled because an upstream job was cancelled.
func (b *BlockedJob) Cancelled() bool { return b.CancelledRoot != "" }

// dependencyFields are the fields of a record.Job that concern dependencies. Most jobs have no
// dependencies; leaving the descriptions of those jobs undecoded saves much time.
type dependencyFields struct {
	Accepted        micros.Micros    `cbor:"at"`
	Blocked         *wire.Submission `cbor:"w"`
	DependencyParts int              `cbor:"p"`
}

// HasDependencies reports whether a job's record shows that it was submitted with dependencies.
func HasDependencies(value []byte) (bool, error) {
	var fields dependencyFields
	if err := wire.Decode(value, &fields); err != nil {
		return false, fmt.Errorf("job's record: %w", err)
	}
	return fields.Blocked != nil, nil
}

// addBlocked adds a job with dependencies and returns it. It returns nil for a job without
// dependencies, and for a record that cannot be decoded.
func (g *Graph) addBlocked(id string, value []byte, version uint64) *BlockedJob {
	if job := g.blocked[id]; job != nil && job.Version == version {
		return job
	}
	var fields dependencyFields
	if err := wire.Decode(value, &fields); err != nil || fields.Blocked == nil {
		return nil // the code that places jobs reports records that it cannot decode
	}
	job := &BlockedJob{
		ID:                  id,
		Version:             version,
		DependencyParts:     fields.DependencyParts,
		accepted:            fields.Accepted,
		pendingDependencies: map[string]bool{},
	}
	g.blocked[id] = job
	spec, err := fields.Blocked.Job()
	if err != nil {
		g.log.Error("record cannot be read", "key", record.ActiveJobKey(id), "error", err)
		return job // its dependencies stay unknown, so that it never becomes ready
	}
	job.Class = spec.Class
	job.Estimate = spec.Estimate
	job.priority = spec.Priority
	job.deadline = spec.Deadline
	if fields.DependencyParts > 0 {
		g.incomplete[id] = true
		return job
	}
	g.setPendingDependencies(job, spec.Dependencies)
	return job
}

// SetDependencies sets the dependencies of a job whose record does not hold them.
func (g *Graph) SetDependencies(job *BlockedJob, dependencies []string) {
	if g.blocked[job.ID] == job && !job.dependenciesKnown {
		g.setPendingDependencies(job, dependencies)
	}
}

// setPendingDependencies links a job to those dependencies that are not known to be done.
func (g *Graph) setPendingDependencies(job *BlockedJob, dependencies []string) {
	job.dependenciesKnown = true
	delete(g.incomplete, job.ID)
	for _, id := range dependencies {
		if !g.observer.IsDone(id) {
			g.link(job, id)
		}
	}
	if !job.Cancelled() {
		g.startPropagating(job)
	}
	if job.Ready() {
		g.observer.JobReady(job)
	}
}

// link adds the edge from a job to a dependency.
func (g *Graph) link(job *BlockedJob, id string) {
	job.pendingDependencies[id] = true
	if g.dependents[id] == nil {
		g.dependents[id] = map[string]*BlockedJob{}
	}
	g.dependents[id][job.ID] = job
	if !g.active[id] {
		g.unresolvedJobs[id] = true
	}
	if dependency := g.blocked[id]; dependency != nil && dependency.Cancelled() && !job.Cancelled() {
		g.cancel(job, dependency.CancelledRoot)
	}
}

// unlink removes the edge from a job to a dependency.
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

// removeBlocked removes a blocked job that has ended. The order in which its edges are removed
// does not matter, because each edge leads to a different dependency.
func (g *Graph) removeBlocked(job *BlockedJob) {
	g.stopPropagating(job)
	for id := range job.pendingDependencies {
		g.unlink(job, id)
	}
	delete(g.blocked, job.ID)
	delete(g.incomplete, job.ID)
}
