package dag

import (
	"slices"

	"tamarindlead/micros"
)

// This file takes how awaited jobs ended, and tells what must still be read about them.

// MarkDone notes that a job is done, at a wall clock time, for those that await it.
func (g *Graph) MarkDone(id string, at micros.Micros) {
	for _, name := range sortedKeys(g.dependents[id]) {
		job := g.dependents[id][name]
		if job == nil {
			continue
		}
		job.LatestDependencyDone = max(job.LatestDependencyDone, at)
		g.unlink(job, id)
		if job.Ready() {
			g.observer.JobReady(job)
		}
	}
}

// MarkCancelled notes that a job that ended was cancelled: by its user if it is the root, else
// with the root before it.
func (g *Graph) MarkCancelled(id, root string) {
	delete(g.unresolvedJobs, id)
	for _, name := range sortedKeys(g.dependents[id]) {
		if job := g.dependents[id][name]; job != nil && !job.Cancelled() {
			g.cancel(job, root)
		}
	}
}

// cancel notes that a job is cancelled with one before it, and with it all that await it,
// directly or through others.
func (g *Graph) cancel(job *BlockedJob, root string) {
	job.CancelledRoot = root
	for list := []*BlockedJob{job}; len(list) > 0; {
		job, list = list[0], list[1:]
		g.work.Jobs++
		g.stopPropagating(job)
		g.observer.JobCancelled(job.ID)
		for _, name := range sortedKeys(g.dependents[job.ID]) {
			if next := g.dependents[job.ID][name]; !next.Cancelled() {
				next.CancelledRoot = root
				list = append(list, next)
			}
		}
	}
}

// AssumeDone takes it that all that a waiting job awaits is done, since somebody who had read
// that has placed the job.
func (g *Graph) AssumeDone(job *BlockedJob) {
	for _, id := range sortedKeys(job.pendingDependencies) {
		g.unlink(job, id)
	}
	job.dependenciesKnown = true
	delete(g.incomplete, job.ID)
}

// HasUnresolvedJobs tells whether awaited jobs are over of which it is not known how they ended.
func (g *Graph) HasUnresolvedJobs() bool { return len(g.unresolvedJobs) > 0 }

// UnresolvedJobs lists those jobs in order.
func (g *Graph) UnresolvedJobs() []string { return sortedKeys(g.unresolvedJobs) }

// FirstIncomplete returns a waiting job whose list of awaited jobs is not known yet, or nil.
func (g *Graph) FirstIncomplete() *BlockedJob {
	if len(g.incomplete) == 0 {
		return nil
	}
	return g.blocked[sortedKeys(g.incomplete)[0]]
}

// FindUnresolved finds what must be read before the state of jobs is known: the list of one, or
// how some ended that they need.
func (g *Graph) FindUnresolved(ids []string) (partial *BlockedJob, unresolved bool) {
	if len(g.unresolvedJobs) == 0 && len(g.incomplete) == 0 {
		return nil, false
	}
	seen := map[string]bool{}
	for list := slices.Clone(ids); len(list) > 0; {
		id := list[0]
		list = list[1:]
		if seen[id] {
			continue
		}
		seen[id] = true
		unresolved = unresolved || g.unresolvedJobs[id]
		job := g.blocked[id]
		switch {
		case job == nil || job.Cancelled():
		case !job.dependenciesKnown:
			return job, false
		default:
			for other := range job.pendingDependencies {
				list = append(list, other)
			}
		}
	}
	return nil, unresolved
}
