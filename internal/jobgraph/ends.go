package jobgraph

import (
	"slices"

	"tamarindlead/micros"
)

// This file takes how awaited jobs ended, and tells what must still be read about them.

// Done notes that a job is done, at a wall clock time, for those that await it.
func (g *Graph) Done(id string, at micros.Micros) {
	for _, name := range sortedKeys(g.dependents[id]) {
		job := g.dependents[id][name]
		if job == nil {
			continue
		}
		job.LatestDone = max(job.LatestDone, at)
		g.unlink(job, id)
		if job.Ready() {
			g.observer.JobReady(job)
		}
	}
}

// Cancelled notes that a job that ended was cancelled: by its user if it is the root, else
// with the root before it.
func (g *Graph) Cancelled(id, root string) {
	delete(g.unresolved, id)
	for _, name := range sortedKeys(g.dependents[id]) {
		if job := g.dependents[id][name]; job != nil && !job.Cancelled() {
			g.cancel(job, root)
		}
	}
}

// cancel notes that a job is cancelled with one before it, and with it all that await it,
// directly or through others.
func (g *Graph) cancel(job *WaitingJob, root string) {
	job.CancelledRoot = root
	for list := []*WaitingJob{job}; len(list) > 0; {
		job, list = list[0], list[1:]
		g.work.Jobs++
		g.stopPassing(job)
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
func (g *Graph) AssumeDone(job *WaitingJob) {
	for _, id := range sortedKeys(job.awaited) {
		g.unlink(job, id)
	}
	job.complete = true
	delete(g.partial, job.ID)
}

// HasUnresolved tells whether awaited jobs are over of which it is not known how they ended.
func (g *Graph) HasUnresolved() bool { return len(g.unresolved) > 0 }

// Unresolved lists those jobs in order.
func (g *Graph) Unresolved() []string { return sortedKeys(g.unresolved) }

// FirstPartial returns a waiting job whose list of awaited jobs is not known yet, or nil.
func (g *Graph) FirstPartial() *WaitingJob {
	if len(g.partial) == 0 {
		return nil
	}
	return g.waiting[sortedKeys(g.partial)[0]]
}

// MissingFor finds what must be read before the state of jobs is known: the list of one, or
// how some ended that they need.
func (g *Graph) MissingFor(ids []string) (partial *WaitingJob, unresolved bool) {
	if len(g.unresolved) == 0 && len(g.partial) == 0 {
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
		unresolved = unresolved || g.unresolved[id]
		job := g.waiting[id]
		switch {
		case job == nil || job.Cancelled():
		case !job.complete:
			return job, false
		default:
			for other := range job.awaited {
				list = append(list, other)
			}
		}
	}
	return nil, unresolved
}
