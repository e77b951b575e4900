package dag

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
)

// Reset replaces the graph by a listing, which may be older than what was known: a caller that
// needs the current state applies the changes since. What is known of terminal states is kept.
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

// restore applies to a job what was known of it before a listing.
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

// Apply applies the changes after a revision, each once: two reads may deliver the same changes.
// It reports whether the changes continue the graph's revision; if not, none is applied.
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

// put applies a job's record that was written.
func (g *Graph) put(key string, value []byte, version uint64) {
	id := jobIDFromKey(key)
	g.SetVersion(id, version)
	g.active[id] = true
	delete(g.unresolvedJobs, id) // a dependent may have been applied first
	g.addBlocked(id, value, version)
	g.observer.JobPut(key, value, version)
}

// delete applies that a job is no longer active.
func (g *Graph) delete(id string, wallClock micros.Micros) {
	delete(g.versions, id)
	delete(g.active, id)
	job := g.blocked[id]
	if job != nil {
		g.removeBlocked(job)
	}
	// The dependents of a cancelled job are known to be cancelled.
	if len(g.dependents[id]) > 0 && (job == nil || !job.Cancelled()) {
		g.unresolvedJobs[id] = true
		if g.observer.IsDone(id) {
			g.MarkDone(id, wallClock)
		}
	}
	g.observer.JobDeleted(id)
}
