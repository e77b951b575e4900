package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Host provides what the manager needs from its node and from the other parts of the owner.
type Host interface {
	Node
	Ownership
	Statistics
}

// Node provides the time of the current event and exchanges messages with workers.
type Node interface {
	// Now returns the monotonic time of the current event.
	Now() micros.Micros
	// Respond responds to a heartbeat.
	Respond(request uint64, status wire.Status, body any)
	// Refuse refuses a heartbeat temporarily; the worker sends another one later.
	Refuse(request uint64, reason wire.RefusalReason)
	// Call sends a request to a worker and calls done with the response.
	Call(call Call, done func(Response))
	// ReportViolation reports the violation of an invariant, with attributes for the log.
	ReportViolation(what string, args ...any)
}

// Ownership reports which machines belong to the owner, and which actions it may take.
type Ownership interface {
	// IsActive reports whether the owner has recovered its records and was not replaced.
	IsActive() bool
	// ActiveSince returns the time at which the owner became active.
	ActiveSince() micros.Micros
	// Superseded reports whether another owner has replaced this one. Callbacks must then do
	// nothing.
	Superseded() bool
	// RestartRecovery replaces the owner with one that reads all records again.
	RestartRecovery(reason string)
	// Claimant returns the peer that claims a machine, or "" if there is none.
	Claimant(machine string) string
	// IsOwnedElsewhere reports whether the machine is assumed to belong to another owner.
	IsOwnedElsewhere(machine string) bool
	// IsRecentlyTerminated reports whether the machine was terminated recently.
	IsRecentlyTerminated(machine string) bool
	// Adopt adds a machine that sends heartbeats but is not known to have an owner.
	Adopt(info inventory.MachineInfo) *inventory.Machine
	// MayRenewLease reports whether responses may renew the leases of workers.
	MayRenewLease() bool
	// JobIsCancelled reports whether a job is known to have been cancelled.
	JobIsCancelled(job string) bool
	// CancellationOverdue reports whether the cancellation of a task on the machine has taken so
	// long that the machine must be decommissioned unless it responds.
	CancellationOverdue(m *inventory.Machine) bool
}

// Statistics records observations of tasks and machines and provides estimates from them.
type Statistics interface {
	// RecordRunTime records the run time of a completed attempt.
	RecordRunTime(a *inventory.Attempt)
	// EstimatedRunTime returns the estimated run time of a job's tasks.
	EstimatedRunTime(j *inventory.Job) micros.Micros
	// RecordRestartedAttempt records that a machine has started an attempt again that was closed.
	RecordRestartedAttempt()
	// RecordSpotReclaimed records that the cloud reclaims a spot machine.
	RecordSpotReclaimed(m *inventory.Machine)
}

// Call is a request to a worker.
type Call struct {
	Address     string
	Method      string
	Path        string
	Body        []byte
	Timeout     micros.Micros
	MaxResponse int // bytes
}

// Response is the response to a Call. Status is 0 if there is no response; Sent then reports whether
// the request may have reached the worker.
type Response struct {
	Status wire.Status
	Body   []byte
	Sent   bool
}
