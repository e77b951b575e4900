package commit

import (
	"log/slog"

	"tamarindlead/config"
	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// Host is the owner to which a pipeline belongs. It provides the time of the current event and
// handles the results of transactions.
type Host interface {
	// Now returns the monotonic time of the current event.
	Now() micros.Micros
	// WallClock returns the time of day of the current event.
	WallClock() micros.Micros
	// After calls do after d has passed.
	After(d micros.Micros, do func())
	// Superseded reports whether another owner has replaced this one. Callbacks must then do
	// nothing.
	Superseded() bool
	// NextNumber returns a number for the name of a record that has never been used before.
	NextNumber() uint64
	// TypicalTasks returns how many tasks a machine of a type is likely to run, or 0 if that
	// is not known.
	TypicalTasks(machineType string) int

	// JobDone is called when the terminal state of a completed job is recorded.
	JobDone(j *inventory.Job)
	// AttemptRecorded is called when an assumed attempt has been recorded.
	AttemptRecorded(a *inventory.Attempt)
	// MachineClaimed is called when a machine has received its fencing token.
	MachineClaimed(m *inventory.Machine)
	// MachineRemoved is called when the entry of a terminated machine has been removed from its
	// block.
	MachineRemoved(m *inventory.Machine)
	// MachineOwnedElsewhere is called when an adopted machine turns out to have an entry in
	// another block.
	MachineOwnedElsewhere(m *inventory.Machine, block string)
	// JobRecordChanged is called when the record of a job does not have the expected version.
	JobRecordChanged(id string)
	// MemberRecordLost is called when this node's member record does not have the expected version.
	MemberRecordLost()
	// RestartRecovery replaces the owner with one that reads all records again.
	RestartRecovery(reason string)
}

// Transfers is the part of the owner that transfers machines to other owners.
type Transfers interface {
	// Successor returns the precondition that the new owner of a machine is a member, and true. If
	// that owner is no longer a member, Successor cancels the transfer and returns false.
	Successor(m *inventory.Machine) (kv.Precondition, bool)
	// AddTo adds the record that names the new owner of a machine.
	AddTo(t *Transaction, m *inventory.Machine)
	// Recorded is called when that record has been written.
	Recorded(m *inventory.Machine)
}

// Source adds the writes of another part of the owner to a transaction, until full returns true. It
// is unrelated to the source blocks in inventory.Block.Sources.
type Source func(t *Transaction, full func() bool)

// Sources are the parts of the owner that share its transactions.
type Sources struct {
	CascadedCancellations Source
	ScaleOutRequests      Source
	Reservations          Source
}

// Member is this node as a member of the cluster.
type Member interface {
	// ID returns the identity of this node as an owner.
	ID() record.OwnerID
	// OwnPrecondition returns the precondition that the node's member record is unchanged.
	OwnPrecondition() kv.Precondition
}

// Store is the client of the key-value store.
type Store interface {
	// Do sends a request for a purpose, and calls done with the result.
	Do(purpose budget.Purpose, request kv.Request, done func(kv.Result))
	// ListAll reads all entries with a prefix, and calls done with them.
	ListAll(prefix string, done func(kv.Listing, error))
}

// Dependencies is what a pipeline works with.
type Dependencies struct {
	Settings  *config.Settings
	Log       *slog.Logger
	Store     Store
	Budget    *budget.Budget
	Member    Member
	Inventory *inventory.Inventory
	Host      Host
	Transfers Transfers
	Sources   Sources
}

// Pipeline writes the records of one owner. At most one transaction is in flight, so that only
// another node can change the records on which it is based. It is not safe for concurrent use.
type Pipeline struct {
	settings  *config.Settings
	log       *slog.Logger
	store     Store
	budget    *budget.Budget
	member    Member
	inv       *inventory.Inventory
	host      Host
	transfers Transfers
	sources   Sources

	blocks   []*inventory.Block // sorted by name
	segments []*inventory.CompletionSegment

	inFlight  bool // a transaction was sent and its result is not known yet
	nextFlush micros.Micros

	obsoleteKeys []string // keys that are no longer read
	// obsoleteKeyDeletedAt is the last time at which one of them was deleted or there was none.
	obsoleteKeyDeletedAt micros.Micros
}

// New returns a pipeline without blocks and segments.
func New(d Dependencies) *Pipeline {
	return &Pipeline{
		settings: d.Settings, log: d.Log, store: d.Store, budget: d.Budget, member: d.Member,
		inv: d.Inventory, host: d.Host, transfers: d.Transfers, sources: d.Sources,
	}
}

// Reset removes all blocks and segments, before the records are read again.
func (p *Pipeline) Reset() { p.blocks, p.segments = nil, nil }

// InFlight reports whether a transaction was sent and its result is not known yet.
func (p *Pipeline) InFlight() bool { return p.inFlight }

// Postpone delays the next transaction after a failed read.
func (p *Pipeline) Postpone() { p.nextFlush = p.host.Now() + retryDelay }
