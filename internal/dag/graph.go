// Package dag holds a node's view of the active jobs and of the dependencies among them: which
// jobs are active, the versions of their records, which jobs are blocked by which others, and
// the priorities and deadlines that jobs inherit from their dependents.
//
// It owns the graph, a deterministic data structure without I/O: the caller passes in listings,
// changes in the order of their revisions, and the terminal states of jobs that other jobs depend
// on. The cost of an event is proportional to the number of jobs that it affects, not to the
// number of blocked jobs.
//
// The state of a blocked job is determined by records alone: it is ready after all its
// dependencies have ended as done, and cancelled after any upstream job was cancelled. Terminal
// states never change. A blocked job therefore stays ready or cancelled, and the known terminal
// state of a dependency stays valid when a new listing is applied.
//
// The package must not know of owners, placement, users or the network; an Observer is notified
// of changes and provides the information about jobs that the graph needs.
package dag

import (
	"log/slog"
	"strings"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// maxVersions bounds the number of record versions that are kept. To learn the version of a further
// job's record, the caller must read that record.
const maxVersions = 20000

// Observer is notified of changes while the graph applies them, and provides information about
// jobs to the graph.
type Observer interface {
	// JobPut is called after the graph has applied a write of a job's record.
	JobPut(key string, value []byte, version uint64)
	// JobDeleted is called when a job is no longer active.
	JobDeleted(id string)
	// JobReady is called when all dependencies of a blocked job are done.
	JobReady(job *BlockedJob)
	// JobCancelled is called when a blocked job is cancelled because an upstream job was.
	JobCancelled(id string)
	// InheritanceChanged is called when the inheritance of a job has changed.
	InheritanceChanged(id string)
	// EstimateOf returns the expected run time of a blocked job, counted from its start.
	EstimateOf(job *BlockedJob) micros.Micros
	// IsDone reports whether a job is known to be done.
	IsDone(id string) bool
}

// Graph is the view of the active jobs.
type Graph struct {
	observer Observer
	log      *slog.Logger

	// versions holds the last known versions of active jobs' records; they may be outdated.
	versions map[string]uint64

	// While the graph is synced, the fields below show the state as of revision.
	active         map[string]bool
	blocked        map[string]*BlockedJob
	dependents     map[string]map[string]*BlockedJob // by dependency not known to be done, by ID
	unresolvedJobs map[string]bool                   // dependencies that ended with an unknown terminal state
	incomplete     map[string]bool                   // blocked jobs whose dependency parts were not read yet
	revision       uint64
	synced         bool
	resets         int

	inherited map[string]Inheritance // by dependency
	work      Work
}

// Work counts the jobs and edges that the graph visited, so that tests can bound the cost of an
// event.
type Work struct {
	Jobs  int // jobs that were cancelled, and dependencies that were removed from jobs
	Edges int // edges visited for inheritance
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

// IsSynced reports whether the graph has applied a listing and all changes since, up to its
// revision.
func (g *Graph) IsSynced() bool { return g.synced }

// MarkUnsynced records that changes were missed: the graph rejects further changes until the
// next listing.
func (g *Graph) MarkUnsynced() { g.synced = false }

// Revision returns the revision up to which all changes were applied.
func (g *Graph) Revision() uint64 { return g.revision }

// Resets returns the number of listings that were applied.
func (g *Graph) Resets() int { return g.resets }

// Work returns the counts of visited objects since New.
func (g *Graph) Work() Work { return g.work }

// IsActive reports whether a job was active at the graph's revision.
func (g *Graph) IsActive(id string) bool { return g.active[id] }

// Blocked returns an active job that was submitted with dependencies, whether it is ready or not.
// It returns nil for any other job.
func (g *Graph) Blocked(id string) *BlockedJob { return g.blocked[id] }

// HasOpenDependencies reports whether a job was submitted with dependencies and is not ready, so
// that its state depends on other jobs.
func (g *Graph) HasOpenDependencies(id string) bool {
	state := g.State(id)
	return state == JobBlocked || state == JobCancelled
}

// Version returns the last known version of an active job's record, or 0.
func (g *Graph) Version(id string) uint64 { return g.versions[id] }

// SetVersion records the version of an active job's record, unless maxVersions versions of other
// jobs are kept.
func (g *Graph) SetVersion(id string, version uint64) {
	if _, known := g.versions[id]; known || len(g.versions) < maxVersions {
		g.versions[id] = version
	}
}

// ForgetVersion removes the recorded version of a job, which may be outdated.
func (g *Graph) ForgetVersion(id string) { delete(g.versions, id) }

func jobIDFromKey(key string) string { return strings.TrimPrefix(key, record.ActiveJobPrefix) }
