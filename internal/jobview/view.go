package jobview

import (
	"log/slog"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Host is the node that a View works for.
type Host interface {
	// Now returns the current time.
	Now() micros.Micros
	// WallClock returns the time of day, which is used in records.
	WallClock() micros.Micros
	// After calls do when d has passed.
	After(d micros.Micros, do func())
	// WatchWait returns how long a watch of the active jobs may wait for changes.
	WatchWait() micros.Micros
	// OwnsTeams reports whether the node owns teams. An owner lists and watches the active jobs
	// itself and updates the View's graph.
	OwnsTeams() bool
}

// Observer is notified of changes while the view applies them, and estimates run times.
type Observer interface {
	// JobPut is called when the graph has applied the write of a job's record.
	JobPut(key string, value []byte, version uint64)
	// JobDeleted is called when a job is no longer active.
	JobDeleted(id string)
	// JobReady is called when all dependencies of a blocked job are done.
	JobReady(job *dag.BlockedJob)
	// JobCancelled is called when a blocked job is cancelled because an upstream job is cancelled.
	JobCancelled(id string)
	// InheritanceChanged is called when the priority or deadline that a job inherits from its
	// downstream jobs has changed.
	InheritanceChanged(id string)
	// EstimateOf returns the expected run time of a blocked job from its start.
	EstimateOf(job *dag.BlockedJob) micros.Micros
	// ChangesMissed is called when a refresh finds that the key-value store has compacted changes
	// that the graph has not applied, before the refresh fails.
	ChangesMissed()
}

// Settings are the intervals that a View has in common with its node.
type Settings struct {
	// RequestTimeout is the time after which a user's request fails.
	RequestTimeout micros.Micros
	// TickInterval is the time between the node's ticks while something is pending.
	TickInterval micros.Micros
	// ReadRetryDelay is the pause before records are read again after a failed read.
	ReadRetryDelay micros.Micros
}

// View is a node's view of the active jobs and of the terminal states of jobs.
type View struct {
	host     Host
	observer Observer
	settings Settings
	store    *kv.Client
	budget   *budget.Budget
	log      *slog.Logger

	graph          *dag.Graph
	terminalStates *TerminalStates
	// cancellationsKnownUntil is when the last successful listing or watch was sent: the view shows
	// all cancellations before that time.
	cancellationsKnownUntil micros.Micros

	watcher    watcher
	refreshes  refreshQueue
	resolution terminalStateResolution
}

// New returns a view whose graph is not synced yet.
func New(host Host, observer Observer, settings Settings, store *kv.Client, budget *budget.Budget, log *slog.Logger) *View {
	v := &View{
		host:           host,
		observer:       observer,
		settings:       settings,
		store:          store,
		budget:         budget,
		log:            log,
		terminalStates: newTerminalStates(),
	}
	v.graph = dag.New(graphObserver{observer, v.terminalStates}, log)
	return v
}

// graphObserver extends an Observer by the terminal states that the view has cached.
type graphObserver struct {
	Observer
	terminalStates *TerminalStates
}

// IsDone implements dag.Observer.
func (o graphObserver) IsDone(id string) bool { return o.terminalStates.Of(id) == wire.JobDone }

// Graph returns the graph of the active jobs.
func (v *View) Graph() *dag.Graph { return v.graph }

// TerminalStates returns the cache of the terminal states that may be acknowledged to users.
func (v *View) TerminalStates() *TerminalStates { return v.terminalStates }

// CancellationsKnownUntil returns the time up to which the view's own listings and watches show all
// cancellations.
func (v *View) CancellationsKnownUntil() micros.Micros { return v.cancellationsKnownUntil }

// ApplyWatchResult applies the result of a watch of the active jobs that began after a revision. It
// reports whether the result could be decoded and continues from the graph's revision.
func (v *View) ApplyWatchResult(after uint64, result kv.Result) bool {
	if result.Outcome == kv.Compacted {
		v.graph.MarkUnsynced()
	}
	var changes kv.WatchResult
	return result.DecodeOK(&changes) == nil && v.graph.Apply(after, &changes, v.host.WallClock())
}
