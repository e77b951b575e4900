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

// Services are the parts of the node that users' requests are served from.
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
	// Now returns the steady time of the present event.
	Now() micros.Micros
	// WallClock returns the time of day of the present event, which records hold.
	WallClock() micros.Micros
	// IsIsolated reports whether the node reaches neither the key-value store nor any peer.
	IsIsolated() bool
	// MachineTypes returns the machine types on offer, none while they are unknown.
	MachineTypes() []sched.MachineType
	// ConfirmMachineTypes calls done with true once MachineTypes shows what the cloud offers as of a
	// request sent after this call, or with false if that cannot be read soon.
	ConfirmMachineTypes(done func(confirmed bool))
	// MachineTypesOrigin returns from where the machine types are and how old, for logs.
	MachineTypesOrigin() (source string, age micros.Micros)
	// ReportViolation reports that an invariant of the program does not hold.
	ReportViolation(what string, args ...any)
}

// ResponseWriter sends the responses to users. Only the responder has it, so that no response
// bypasses the check for stale answers.
type ResponseWriter interface {
	// Respond answers a request, with a body unless it is nil.
	Respond(request uint64, status wire.Status, body any)
	// Refuse answers that a request cannot be served now and may be sent again.
	Refuse(request uint64, status wire.Status, reason wire.RefusalReason)
}

// KVClient is the client of the key-value store.
type KVClient interface {
	// Do sends a request once the budget allows.
	Do(purpose budget.Purpose, request kv.Request, done func(kv.Result))
	// Get reads a key.
	Get(purpose budget.Purpose, key string, done func(kv.Outcome, kv.Entry))
	// Unavailable reports whether the key-value store is out of reach.
	Unavailable() bool
	// UsesPeerRoute reports whether calls pass through a peer.
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
	// Blocked returns an active job that was submitted with dependencies, or nil.
	Blocked(job string) *dag.BlockedJob
	// HasOpenDependencies reports whether a job's state depends on that of upstream jobs.
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
	// Refresh calls done once the graph is at least as recent as the call, or with false if the
	// present state cannot be read.
	Refresh(done func(ok bool))
	// ResolveDependencies calls done once the terminal states of all upstream jobs are known
	// that are no longer active, or with false if that fails by the deadline. It continues a
	// view that was refreshed.
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
	// Announce calls done once it is certain whether the cancellation of a job may be
	// acknowledged to users. An answer after the deadline is of no use to the caller.
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

// PeerJobs are the jobs that peers report on in their heartbeats.
type PeerJobs interface {
	// TaskCounts returns the numbers of a job's tasks by the latest heartbeat that holds them.
	TaskCounts(job string) TaskCounts
}

// TaskCounts are the numbers of a job's tasks that are shown to users.
type TaskCounts struct{ Done, Running int }
