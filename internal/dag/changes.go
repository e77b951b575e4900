package dag

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
)

// Reset replaces the graph with that of a listing. The listing may be older than the state of the
// graph: a caller that needs the current state then applies the changes since the listing's revision.
// Known terminal states of dependencies are kept.
func (g *Graph) Reset(entries []kv.Entry, revision uint64) {
	previous := g.blocked
	g.clear()
	g.resets++
	g.revision = revision
	g.synced = true
	for _, entry := range entries {
		id := jobIDFromKey(entry.Key)
		g.SetVersion(id, entry.Version)
		g.active[id] = true
	}
	for _, entry := range entries {
		id := jobIDFromKey(entry.Key)
		job, before := g.addBlocked(id, entry.Value, entry.Version), previous[id]
		if job != nil && before != nil && before.Version == job.Version {
			g.restore(job, before)
		}
	}
}

// restore applies to a job the state of its dependencies that was known before a listing.
func (g *Graph) restore(job, before *BlockedJob) {
	if before.dependenciesKnown && !job.dependenciesKnown {
		g.setPendingDependencies(job, ordered.Keys(before.pendingDependencies))
	}
	for _, id := range ordered.Keys(job.pendingDependencies) {
		if before.dependenciesKnown && !before.pendingDependencies[id] {
			g.unlink(job, id)
		}
	}
	job.LatestDependencyDone = before.LatestDependencyDone
	if before.Cancelled() && !job.Cancelled() {
		g.cancel(job, before.CancelledRoot)
	}
}

// Apply applies the changes after a revision. Changes that were applied before are skipped,
// because two reads may deliver the same changes. If changes between the graph's revision and the
// given one are missing, or the graph is not synced, Apply applies nothing and returns false.
func (g *Graph) Apply(after uint64, changes *kv.WatchResult, wallClock micros.Micros) bool {
	if !g.synced || after > g.revision {
		return false
	}
	from := g.revision
	g.revision = max(from, changes.Revision)
	for _, change := range changes.Events {
		switch {
		case change.Version <= from: // applied before
		case change.Put != "":
			g.put(change.Put, change.Value, change.Version)
		default:
			g.delete(jobIDFromKey(change.Delete), wallClock)
		}
	}
	return true
}

// put applies a write of a job's record.
func (g *Graph) put(key string, value []byte, version uint64) {
	id := jobIDFromKey(key)
	g.SetVersion(id, version)
	g.active[id] = true
	delete(g.unresolvedJobs, id) // set if a dependent's record was applied first
	g.addBlocked(id, value, version)
	g.observer.JobPut(key, value, version)
}

// delete applies the deletion of a job's record: the job is no longer active.
func (g *Graph) delete(id string, wallClock micros.Micros) {
	delete(g.versions, id)
	delete(g.active, id)
	job := g.blocked[id]
	if job != nil {
		g.removeBlocked(job)
	}
	// If the graph knows that the job is cancelled, its dependents are already marked as
	// cancelled, and its terminal state need not be read.
	if len(g.dependents[id]) > 0 && (job == nil || !job.Cancelled()) {
		g.unresolvedJobs[id] = true
		if g.observer.IsDone(id) {
			g.MarkDone(id, wallClock)
		}
	}
	g.observer.JobDeleted(id)
}
