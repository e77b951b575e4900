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
	// WallClock returns the time of day, which records hold.
	WallClock() micros.Micros
	// After calls do once d has passed.
	After(d micros.Micros, do func())
	// WatchWait returns how long a watch of the active jobs may wait for changes.
	WatchWait() micros.Micros
	// OwnsTeams reports whether the node owns teams. Its owner then lists and watches the active
	// jobs itself and feeds the View's graph.
	OwnsTeams() bool
}

// Observer is notified of changes while the view applies them, and estimates run times.
type Observer interface {
	// JobPut is called when the graph has applied a job's record that was written.
	JobPut(key string, value []byte, version uint64)
	// JobDeleted is called when a job is no longer active.
	JobDeleted(id string)
	// JobReady is called when all dependencies of a blocked job are done.
	JobReady(job *dag.BlockedJob)
	// JobCancelled is called when a blocked job is cancelled because an upstream job is.
	JobCancelled(id string)
	// InheritanceChanged is called when the inheritance of a job has changed.
	InheritanceChanged(id string)
	// EstimateOf returns the expected run time of a blocked job from its start.
	EstimateOf(job *dag.BlockedJob) micros.Micros
	// ChangesMissed is called when a refresh finds that the key-value store has compacted changes
	// that the graph lacks, before the refresh fails.
	ChangesMissed()
}

// Settings are the intervals that a View shares with its node.
type Settings struct {
	// RequestTimeout is the time after which a user's request is given up.
	RequestTimeout micros.Micros
	// TickInterval is the time between the node's ticks while something is pending.
	TickInterval micros.Micros
	// ReadRetryDelay is the pause before records are read again after a failed read.
	ReadRetryDelay micros.Micros
}

// View is a node's view of the active jobs and of how jobs ended.
type View struct {
	host     Host
	observer Observer
	settings Settings
	store    *kv.Client
	budget   *budget.Budget
	log      *slog.Logger

	graph          *dag.Graph
	terminalStates *TerminalStates
	// cancellationsKnownUntil is the time at which the last answered read of the watch was sent.
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

// graphObserver adds to an Observer what the view itself knows.
type graphObserver struct {
	Observer
	terminalStates *TerminalStates
}

// IsDone implements dag.Observer.
func (o graphObserver) IsDone(id string) bool { return o.terminalStates.Of(id) == wire.JobDone }

// Graph returns the graph of the active jobs.
func (v *View) Graph() *dag.Graph { return v.graph }

// TerminalStates returns the memory of the terminal states that users may be told of.
func (v *View) TerminalStates() *TerminalStates { return v.terminalStates }

// CancellationsKnownUntil returns the time up to which the view's own watch shows all
// cancellations.
func (v *View) CancellationsKnownUntil() micros.Micros { return v.cancellationsKnownUntil }

// ApplyWatchResult applies the result of a watch of the active jobs that began after a revision.
// It reports whether the result could be read and continues the graph.
func (v *View) ApplyWatchResult(after uint64, result kv.Result) bool {
	if result.Outcome == kv.Compacted {
		v.graph.MarkUnsynced()
	}
	var changes kv.WatchResult
	return result.DecodeOK(&changes) == nil && v.graph.Apply(after, &changes, v.host.WallClock())
}
