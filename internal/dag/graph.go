// Package jobgraph holds a node's view of the active jobs: which there are, the versions of
// their records, which of them wait for which others, and the priorities and deadlines that
// jobs inherit from those that need them. It is a deterministic data structure that does no
// I/O: its user feeds it with listings, with changes in the order of their revisions, and with
// the final records of jobs that others await. An event costs the jobs that depend on it,
// however many wait.
//
// What a waiting job may be told, or may do, follows from records alone: it is ready once the
// final records of all jobs that it awaits say done, and cancelled once any job before it,
// directly or through others, is. Neither ever changes back, since final records do not. So
// what is known of an awaited job's end is kept.
package dag

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// maxVersions bounds the versions that are kept: jobs beyond it are read one by one.
const maxVersions = 20000

// Observer is told of changes while the graph applies them, and answers what the graph needs
// to know of its user.
type Observer interface {
	// JobPut tells of a job's record that was written, after the graph has taken it.
	JobPut(key string, value []byte, version uint64)
	// JobDeleted tells of a job that is not active any more.
	JobDeleted(id string)
	// JobReady tells that all that a waiting job awaits is done.
	JobReady(job *BlockedJob)
	// JobCancelled tells that a waiting job is cancelled with one before it.
	JobCancelled(id string)
	// InheritanceChanged tells that a job inherits something else than before.
	InheritanceChanged(id string)
	// EstimateOf returns how long a waiting job is expected to run once it begins.
	EstimateOf(job *BlockedJob) micros.Micros
	// IsDone tells whether a job is known to be done.
	IsDone(id string) bool
}

// Graph is the view of the active jobs.
type Graph struct {
	observer Observer
	log      *slog.Logger

	versions map[string]uint64 // of records, for comparisons; may be outdated
	// All below is as of the revision, while the view is synced.
	active         map[string]bool
	blocked        map[string]*BlockedJob
	dependents     map[string]map[string]*BlockedJob // by each job that they await, while it is not known to be done
	unresolvedJobs map[string]bool                   // awaited, no longer active, and not known how they ended
	incomplete     map[string]bool                   // waiting, with parts of their lists unread
	revision       uint64
	synced         bool
	resets         int

	inherited map[string]Inheritance // by each job that others await
	work      Work
}

// Work counts what the graph looked at, so that tests can guard the cost of an event.
type Work struct {
	Jobs  int // waiting jobs that became ready or cancelled, or lost a job that they awaited
	Edges int // edges looked at for what is inherited
}

// New returns an empty graph that is not synced.
func New(observer Observer, log *slog.Logger) *Graph {
	g := &Graph{observer: observer, log: log}
	g.clear()
	return g
}

func (g *Graph) clear() {
	g.versions = map[string]uint64{}
	g.active = map[string]bool{}
	g.blocked = map[string]*BlockedJob{}
	g.dependents = map[string]map[string]*BlockedJob{}
	g.unresolvedJobs = map[string]bool{}
	g.incomplete = map[string]bool{}
	g.inherited = map[string]Inheritance{}
}

// IsSynced tells whether the graph was given a listing, and all changes since, up to its
// revision.
func (g *Graph) IsSynced() bool { return g.synced }

// MarkUnsynced notes that changes were missed: until the next listing none are taken.
func (g *Graph) MarkUnsynced() { g.synced = false }

// Revision is the revision up to which changes were applied.
func (g *Graph) Revision() uint64 { return g.revision }

// Resets is how often all was listed anew.
func (g *Graph) Resets() int { return g.resets }

// Work returns what was looked at so far.
func (g *Graph) Work() Work { return g.work }

// IsActive tells whether a job was active at the graph's revision.
func (g *Graph) IsActive(id string) bool { return g.active[id] }

// Blocked returns an active job that awaits others, ready or not, or nil.
func (g *Graph) Blocked(id string) *BlockedJob { return g.blocked[id] }

// HasOpenDependencies tells whether a job's state depends on others.
func (g *Graph) HasOpenDependencies(id string) bool {
	job := g.blocked[id]
	return job != nil && !job.Ready()
}

// Version is the version of an active job's record as it was seen last, or 0.
func (g *Graph) Version(id string) uint64 { return g.versions[id] }

// SetVersion notes the version of an active job's record.
func (g *Graph) SetVersion(id string, version uint64) {
	if _, known := g.versions[id]; known || len(g.versions) < maxVersions {
		g.versions[id] = version
	}
}

// ForgetVersion forgets a version that may not be the present one.
func (g *Graph) ForgetVersion(id string) { delete(g.versions, id) }

// Reset takes a listing. It may be older than what was known: whoever needs the present state
// asks for the changes since. What is known of ends stays true.
func (g *Graph) Reset(entries []kv.Entry, revision uint64) {
	previous := g.blocked
	g.clear()
	g.resets++
	g.revision, g.synced = revision, true
	for _, e := range entries {
		id := jobOf(e.Key)
		g.SetVersion(id, e.Version)
		g.active[id] = true
	}
	for _, e := range entries {
		id := jobOf(e.Key)
		job, before := g.addBlocked(id, e.Value, e.Version), previous[id]
		if job != nil && before != nil && before.Version == job.Version {
			g.restore(job, before)
		}
	}
}

// restore gives a job what was known of it before a listing.
func (g *Graph) restore(job, before *BlockedJob) {
	if before.dependenciesKnown && !job.dependenciesKnown {
		g.setPendingDependencies(job, sortedKeys(before.pendingDependencies))
	}
	for _, id := range sortedKeys(job.pendingDependencies) {
		if before.dependenciesKnown && !before.pendingDependencies[id] {
			g.unlink(job, id)
		}
	}
	job.LatestDependencyDone = before.LatestDependencyDone
	if before.Cancelled() && !job.Cancelled() {
		g.cancel(job, before.CancelledRoot)
	}
}

// Apply applies changes after a revision, each once: two reads may both bring it. It tells
// whether they continue what is known.
func (g *Graph) Apply(after uint64, changes *kv.WatchResult, wallClock micros.Micros) bool {
	if !g.synced || after > g.revision {
		return false
	}
	from := g.revision
	g.revision = max(from, changes.Revision)
	for _, e := range changes.Events {
		switch {
		case e.Version <= from:
		case e.Put != "":
			g.put(e.Put, e.Value, e.Version)
		default:
			g.delete(jobOf(e.Delete), wallClock)
		}
	}
	return true
}

func jobOf(key string) string { return strings.TrimPrefix(key, record.ActiveJobPrefix) }

func (g *Graph) put(key string, value []byte, version uint64) {
	id := jobOf(key)
	g.SetVersion(id, version)
	g.active[id] = true
	delete(g.unresolvedJobs, id) // it was not known yet
	g.addBlocked(id, value, version)
	g.observer.JobPut(key, value, version)
}

func (g *Graph) delete(id string, wallClock micros.Micros) {
	delete(g.versions, id)
	delete(g.active, id)
	job := g.blocked[id]
	if job != nil {
		g.removeBlocked(job)
	}
	if len(g.dependents[id]) > 0 && (job == nil || !job.Cancelled()) {
		g.unresolvedJobs[id] = true
		if g.observer.IsDone(id) {
			g.MarkDone(id, wallClock)
		}
	}
	g.observer.JobDeleted(id)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
