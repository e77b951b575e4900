// Package workers is an owner's dealings with the workers on its machines.
package workers

import (
	"log/slog"

	"tamarindlead/config"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// RefusalReason is the text with which a heartbeat is refused. Workers log it, so it is part of
// the protocol.
type RefusalReason string

// The reasons for which heartbeats are refused.
const (
	// RefusalRecovering refuses a heartbeat while the owner reads its records.
	RefusalRecovering RefusalReason = "taking over"
	// RefusalSuperseded refuses a pending heartbeat in favour of a later one.
	RefusalSuperseded RefusalReason = "superseded"
	// RefusalTerminated refuses a heartbeat of a machine that was terminated.
	RefusalTerminated RefusalReason = "machine was returned"
	// RefusalTerminating refuses a heartbeat of a machine that is being terminated.
	RefusalTerminating RefusalReason = "machine is being returned"
	// RefusalLeaseNotRenewable refuses a heartbeat whose response would renew the worker's lease
	// past the time for which cancellations are known.
	RefusalLeaseNotRenewable RefusalReason = "cannot know what users were told"
	// RefusalOwnershipLost refuses the pending heartbeats of an owner that is replaced.
	RefusalOwnershipLost RefusalReason = "ownership lost"
)

// Call is a request to a worker.
type Call struct {
	Address     string
	Method      string
	Path        string
	Body        []byte
	Timeout     micros.Micros
	MaxResponse int
}

// Response is the result of a Call. Status 0 is no response; Sent then reports whether the
// request may have reached the worker.
type Response struct {
	Status wire.Status
	Body   []byte
	Sent   bool
}

// Host is what the manager needs of its owner's other parts and of the node.
type Host interface {
	Node
	Ownership
	Statistics
}

// Node gives the present event's time and carries requests and responses.
type Node interface {
	// Now returns the time of the present event.
	Now() micros.Micros
	// Respond responds to a worker's heartbeat.
	Respond(request uint64, status wire.Status, body any)
	// Refuse responds that a heartbeat cannot be handled now.
	Refuse(request uint64, reason RefusalReason)
	// Call sends a request to a worker and calls done with the result.
	Call(call Call, done func(Response))
	// ReportViolation reports that an invariant does not hold.
	ReportViolation(what string, args ...any)
}

// Ownership says what the owner may do, and which machines are its own.
type Ownership interface {
	// IsActive reports whether the owner has recovered its records and was not replaced.
	IsActive() bool
	// ActiveSince returns when the owner became active.
	ActiveSince() micros.Micros
	// Superseded reports whether the owner was replaced; callbacks must do nothing then.
	Superseded() bool
	// RestartRecovery replaces the owner by one that reads all records again.
	RestartRecovery(reason string)
	// Claimant returns the peer that claims a machine, or "".
	Claimant(machine string) string
	// OwnedElsewhere reports whether the records of another owner have the machine.
	OwnedElsewhere(machine string) bool
	// RecentlyTerminated reports whether the machine was terminated a short time ago.
	RecentlyTerminated(machine string) bool
	// Adopt adds a machine that sends heartbeats but is in no record.
	Adopt(info inventory.MachineInfo) *inventory.Machine
	// MayRenewLease reports whether responses may renew the leases of workers.
	MayRenewLease() bool
	// JobHasEnded reports whether a job is known to be cancelled.
	JobHasEnded(job string) bool
	// CancellationOverdue reports whether the machine has a task of a job that was cancelled so
	// long ago that the machine itself is about to be given up.
	CancellationOverdue(m *inventory.Machine) bool
}

// Statistics keeps what is learned from tasks and machines.
type Statistics interface {
	// RecordRunTime records the run time of a completed attempt.
	RecordRunTime(a *inventory.Attempt)
	// EstimatedRunTime returns how long a task of a job is expected to run.
	EstimatedRunTime(j *inventory.Job) micros.Micros
	// RecordSpotReclaimed counts a spot machine that the cloud reclaims.
	RecordSpotReclaimed(m *inventory.Machine)
}

// Manager handles the heartbeats of an owner's workers and sends them commands.
type Manager struct {
	inventory *inventory.Inventory
	settings  *config.Settings
	log       *slog.Logger
	host      Host

	lastHeartbeat    micros.Micros // of any worker
	dispatchQueue    []*inventory.Machine
	commandsInFlight int // requests to workers that are not answered yet
}

// New returns a manager of an owner that has received no heartbeat yet.
func New(inv *inventory.Inventory, settings *config.Settings, log *slog.Logger, host Host) *Manager {
	return &Manager{inventory: inv, settings: settings, log: log, host: host, lastHeartbeat: host.Now()}
}

// LastHeartbeat returns when any worker last sent a heartbeat, or when the manager was made.
func (w *Manager) LastHeartbeat() micros.Micros { return w.lastHeartbeat }

// SetLastHeartbeat sets when any worker last sent a heartbeat, to that of an earlier owner.
func (w *Manager) SetLastHeartbeat(at micros.Micros) { w.lastHeartbeat = at }

// Reset empties the dispatch queue, when the inventory is reset. Requests under way stay counted.
func (w *Manager) Reset() { w.dispatchQueue = nil }
