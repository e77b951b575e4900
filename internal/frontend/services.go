package frontend

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/jobview"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Services are the parts of the node that the frontend uses to serve requests.
type Services struct {
	Host           Host
	KV             KVClient
	Budget         Budget
	Graph          Graph
	JobView        JobView
	TerminalStates TerminalStates
	Cancellations  Cancellations
	Owner          OwnedJobs
	Peers          PeerJobs
}

// Host is the node that the frontend runs on.
type Host interface {
	// Now returns the monotonic time of the present event.
	Now() micros.Micros
	// WallClock returns the time of day of the present event, which is used in records.
	WallClock() micros.Micros
	// IsIsolated reports whether the node reaches neither the key-value store nor any peer.
	IsIsolated() bool
	// MachineTypes returns the machine types on offer, none while they are unknown.
	MachineTypes() []sched.MachineType
	// ConfirmMachineTypes calls done with true after MachineTypes reflects a request to the cloud that
	// was sent after this call, or with false if the machine types cannot be read soon.
	ConfirmMachineTypes(done func(confirmed bool))
	// MachineTypesOrigin returns the source and the age of the known machine types, for logs.
	MachineTypesOrigin() (source string, age micros.Micros)
	// ReportViolation reports that an invariant of the program does not hold.
	ReportViolation(what string, args ...any)
}

// ResponseWriter sends the responses to users. Only the responder uses it, so that no response
// bypasses the check for stale answers.
type ResponseWriter interface {
	// Respond responds to a request, with a body unless it is nil.
	Respond(request uint64, status wire.Status, body any)
	// Refuse responds that a request cannot be served now and may be sent again.
	Refuse(request uint64, status wire.Status, reason wire.RefusalReason)
}

// KVClient is the client of the key-value store.
type KVClient interface {
	// Do sends a request as soon as the budget allows.
	Do(purpose budget.Purpose, request kv.Request, done func(kv.Result))
	// Get reads a key.
	Get(purpose budget.Purpose, key string, done func(kv.Outcome, kv.Entry))
	// Unavailable reports whether the key-value store cannot be reached.
	Unavailable() bool
	// UsesPeerRoute reports whether a peer relays the calls.
	UsesPeerRoute() bool
}

// Budget is this node's part of the key-value store's rate limits.
type Budget interface {
	// MayRequest reports whether a request may be sent now.
	MayRequest(purpose budget.Purpose, now micros.Micros) bool
	// AvailableWrites returns how many writes may be sent now.
	AvailableWrites(purpose budget.Purpose, now micros.Micros) int
	// WriteBurst returns the largest number of writes that can ever be available.
	WriteBurst() int
}

// Graph is the node's view of the active jobs.
type Graph interface {
	// IsSynced reports whether the view is complete as of some revision.
	IsSynced() bool
	// State returns the state of a job in the view.
	State(job string) dag.JobState
	// Blocked returns an active job that was submitted with dependencies, or nil.
	Blocked(job string) *dag.BlockedJob
	// HasOpenDependencies reports whether a job's state depends on the states of upstream jobs.
	HasOpenDependencies(job string) bool
	// Version returns the version of a job's record as last seen, or 0.
	Version(job string) uint64
	// SetVersion remembers the version of a job's record.
	SetVersion(job string, version uint64)
	// ForgetVersion drops the version of a job's record, since it is outdated.
	ForgetVersion(job string)
}

// JobView brings the graph up to date by reads of the records.
type JobView interface {
	// Refresh calls done with true after the graph contains all changes from before this call, or
	// with false if the present state cannot be read.
	Refresh(done func(ok bool))
	// ResolveDependencies calls done with true after the graph knows the terminal states of all
	// upstream jobs that are no longer active, or with false if they cannot be read before the
	// deadline. Refresh must have been called for the same jobs before.
	ResolveDependencies(jobs []string, deadline micros.Micros, done func(ok bool))
	// CheckDependencies reads the states of the jobs that a submission depends on.
	CheckDependencies(jobs []string, deadline micros.Micros, done func(jobview.DependencyResult))
}

// TerminalStates holds the terminal states that may be acknowledged to users.
type TerminalStates interface {
	// Of returns the terminal state of a job, or "" if it is not known.
	Of(job string) wire.JobPhase
	// Remember adds the terminal state of a job.
	Remember(job string, state wire.JobPhase)
}

// Cancellations holds which jobs are cancelled and which cancellations may be acknowledged to users.
type Cancellations interface {
	// IsCancelled reports whether the node knows that a job has been cancelled, even if that
	// may not be acknowledged to users yet.
	IsCancelled(job string) bool
	// Announce announces to the peers that a job is cancelled, and calls done after it is decided
	// whether the cancellation may be acknowledged to users. If that is not permitted by the
	// deadline, done is called with false.
	Announce(job string, deadline micros.Micros, done func(mayAcknowledge bool))
}

// OwnedJobs are the active jobs of the teams that this node owns.
type OwnedJobs interface {
	// Version returns the version of a job's record; owned is false if the node does not own
	// the job or the job has ended.
	Version(job string) (version uint64, owned bool)
	// TaskCounts returns the numbers of a job's tasks; owned is false if the node does not own
	// the job.
	TaskCounts(job string) (counts TaskCounts, owned bool)
}

// PeerJobs are the jobs whose task counts peers report in their heartbeats.
type PeerJobs interface {
	// TaskCounts returns the numbers of a job's tasks from the latest heartbeat that contains them.
	TaskCounts(job string) TaskCounts
}

// TaskCounts are the numbers of a job's tasks that are shown to users.
type TaskCounts struct{ Done, Running int }
