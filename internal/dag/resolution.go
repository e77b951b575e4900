package dag

import (
	"slices"

	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
)

// MarkDone removes a job that ended as done, at a wall clock time, from the pending dependencies of its
// dependents.
func (g *Graph) MarkDone(id string, at micros.Micros) {
	for _, dependentID := range ordered.Keys(g.dependents[id]) {
		job := g.dependents[id][dependentID]
		if job == nil {
			continue // removed by the observer during this loop
		}
		job.LatestDependencyDone = max(job.LatestDependencyDone, at)
		g.unlink(job, id)
		if job.Ready() {
			g.observer.JobReady(job)
		}
	}
}

// MarkCancelled marks as cancelled all jobs downstream of a job that ended as cancelled. root is the
// job that a user cancelled: the job itself or one upstream of it.
func (g *Graph) MarkCancelled(id, root string) {
	delete(g.unresolvedJobs, id)
	for _, dependentID := range ordered.Keys(g.dependents[id]) {
		if job := g.dependents[id][dependentID]; job != nil && !job.Cancelled() {
			g.cancel(job, root)
		}
	}
}

// cancel marks a job and all its downstream jobs as cancelled because of root.
func (g *Graph) cancel(job *BlockedJob, root string) {
	job.CancelledRoot = root
	queue := []*BlockedJob{job}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		g.work.Jobs++
		g.stopPropagating(next)
		g.observer.JobCancelled(next.ID)
		for _, dependentID := range ordered.Keys(g.dependents[next.ID]) {
			if dependent := g.dependents[next.ID][dependentID]; !dependent.Cancelled() {
				dependent.CancelledRoot = root
				queue = append(queue, dependent)
			}
		}
	}
}

// AssumeDone marks all dependencies of a blocked job as done, because the job was placed: the
// owner that placed it had read their terminal states.
func (g *Graph) AssumeDone(job *BlockedJob) {
	for _, id := range ordered.Keys(job.pendingDependencies) {
		g.unlink(job, id)
	}
	job.dependenciesKnown = true
	delete(g.incomplete, job.ID)
}

// HasUnresolvedJobs reports whether any dependency has ended with an unknown terminal state.
func (g *Graph) HasUnresolvedJobs() bool { return len(g.unresolvedJobs) > 0 }

// UnresolvedJobs returns the dependencies that have ended with an unknown terminal state, sorted.
func (g *Graph) UnresolvedJobs() []string { return ordered.Keys(g.unresolvedJobs) }

// FirstIncomplete returns the first blocked job, ordered by ID, that has an unknown list of
// dependencies, or nil.
func (g *Graph) FirstIncomplete() *BlockedJob {
	if len(g.incomplete) == 0 {
		return nil
	}
	return g.blocked[ordered.Keys(g.incomplete)[0]]
}

// FindUnresolved reports which records must be read before the states of some jobs are known. It
// searches these jobs and their upstream jobs: incomplete is a job whose list of dependencies is
// unknown, and unresolved reports whether any job has ended with an unknown terminal state. The
// search ends at the first incomplete job, and unresolved is then false.
func (g *Graph) FindUnresolved(ids []string) (incomplete *BlockedJob, unresolved bool) {
	if len(g.unresolvedJobs) == 0 && len(g.incomplete) == 0 {
		return nil, false
	}
	seen := map[string]bool{}
	queue := slices.Clone(ids)
	for len(queue) > 0 {
		id := queue[0]
		queue = queue[1:]
		if seen[id] {
			continue
		}
		seen[id] = true
		unresolved = unresolved || g.unresolvedJobs[id]
		job := g.blocked[id]
		switch {
		case job == nil || job.Cancelled(): // its state is known
		case !job.dependenciesKnown:
			return job, false
		default:
			for dependency := range job.pendingDependencies {
				queue = append(queue, dependency)
			}
		}
	}
	return nil, unresolved
}
