// Package dag holds a node's view of the active jobs and of the dependencies among them: which
// jobs are active, the versions of their records, which jobs are blocked by which others, and
// the priorities and deadlines that jobs inherit from their dependents.
//
// It owns the graph, a deterministic data structure without I/O: the caller feeds it with
// listings, with changes in the order of their revisions, and with the terminal states of jobs
// that others depend on. The cost of an event is proportional to the jobs that it affects, not
// to the number of blocked jobs.
//
// The state of a blocked job follows from records alone: it is ready once the terminal states of
// all its dependencies say done, and cancelled once any upstream job is. Terminal states never
// change, so neither do these, and what is known of a dependency's end stays valid across
// listings.
//
// The package must not know of owners, placement, users or the network; an Observer learns of
// changes and answers the graph's questions about jobs.
package dag

import (
	"log/slog"
	"strings"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// maxVersions bounds the record versions that are kept: further jobs are read one by one.
const maxVersions = 20000

// Observer is notified of changes while the graph applies them, and answers the graph's
// questions about jobs.
type Observer interface {
	// JobPut is called when the graph has applied a job's record that was written.
	JobPut(key string, value []byte, version uint64)
	// JobDeleted is called when a job is no longer active.
	JobDeleted(id string)
	// JobReady is called when all dependencies of a blocked job are done.
	JobReady(job *BlockedJob)
	// JobCancelled is called when a blocked job is cancelled because an upstream job is.
	JobCancelled(id string)
	// InheritanceChanged is called when the inheritance of a job has changed.
	InheritanceChanged(id string)
	// EstimateOf returns the expected run time of a blocked job from its start.
	EstimateOf(job *BlockedJob) micros.Micros
	// IsDone reports whether a job is known to be done.
	IsDone(id string) bool
}

// Graph is the view of the active jobs.
type Graph struct {
	observer Observer
	log      *slog.Logger

	// versions of active jobs' records, for comparisons; they may be outdated.
	versions map[string]uint64

	// The fields below are as of revision while the graph is synced.
	active         map[string]bool
	blocked        map[string]*BlockedJob
	dependents     map[string]map[string]*BlockedJob // by dependency that is not known to be done, by job
	unresolvedJobs map[string]bool                   // dependencies that are no longer active, in an unknown terminal state
	incomplete     map[string]bool                   // blocked jobs with parts of their dependencies unread
	revision       uint64
	synced         bool
	resets         int

	inherited map[string]Inheritance // by dependency
	work      Work
}

// Work counts the objects that the graph visited, so that tests can bound the cost of an event.
type Work struct {
	Jobs  int // blocked jobs that became ready or cancelled, or lost a dependency
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

// MarkUnsynced records that changes were missed: the graph rejects further ones until the next
// listing.
func (g *Graph) MarkUnsynced() { g.synced = false }

// Revision returns the revision up to which changes were applied.
func (g *Graph) Revision() uint64 { return g.revision }

// Resets returns the number of listings that were applied.
func (g *Graph) Resets() int { return g.resets }

// Work returns the counts of visited objects since New.
func (g *Graph) Work() Work { return g.work }

// IsActive reports whether a job was active at the graph's revision.
func (g *Graph) IsActive(id string) bool { return g.active[id] }

// Blocked returns an active job that was submitted with dependencies, ready or not, or nil.
func (g *Graph) Blocked(id string) *BlockedJob { return g.blocked[id] }

// HasOpenDependencies reports whether a job's state depends on other jobs.
func (g *Graph) HasOpenDependencies(id string) bool {
	job := g.blocked[id]
	return job != nil && !job.Ready()
}

// Version returns the last known version of an active job's record, or 0.
func (g *Graph) Version(id string) uint64 { return g.versions[id] }

// SetVersion records the version of an active job's record.
func (g *Graph) SetVersion(id string, version uint64) {
	if _, known := g.versions[id]; known || len(g.versions) < maxVersions {
		g.versions[id] = version
	}
}

// ForgetVersion removes a version that may be outdated.
func (g *Graph) ForgetVersion(id string) { delete(g.versions, id) }

func jobIDFromKey(key string) string { return strings.TrimPrefix(key, record.ActiveJobPrefix) }
