package recovery

import (
	"log/slog"

	"tamarindlead/config"
	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// Host is the owner whose state is recovered.
type Host interface {
	// Now returns the monotonic time of the current event.
	Now() micros.Micros
	// WallClock returns the time of day of the current event.
	WallClock() micros.Micros
	// Superseded reports whether another owner has replaced this one. Callbacks must then do
	// nothing.
	Superseded() bool
	// OwnsRecordsOf reports whether the records of an owner now belong to this owner.
	OwnsRecordsOf(owner record.OwnerID) bool

	// Reset drops all state that was recovered or decided before.
	Reset()
	// RecoverJobs adds the active jobs of the owner's teams, which were listed at a revision.
	// requestedAt is when the listing was requested.
	RecoverJobs(entries []kv.Entry, revision uint64, requestedAt micros.Micros)
	// RecoverScaleOutRequests adds the scale-out requests.
	RecoverScaleOutRequests(entries []kv.Entry)
	// RecoverReservations adds the reservations.
	RecoverReservations(entries []kv.Entry)
	// PlacedJob returns a job that has an attempt or a completion in a record. If the job is
	// blocked, it is unblocked first. PlacedJob returns nil if the job is not active.
	PlacedJob(id string) *inventory.Job
	// AddMachine adds a machine, with an entry in a block.
	AddMachine(b *inventory.Block, info inventory.MachineInfo) *inventory.Machine
	// RecoveryComplete is called when everything has been recovered.
	RecoveryComplete()
}

// Pipeline writes the owner's records after the recovery. It holds the blocks and completion
// segments.
type Pipeline interface {
	// OwnsAllTeams reports whether there is no other owner.
	OwnsAllTeams() bool
	// NewBlock adds a block without machines.
	NewBlock(name string) *inventory.Block
	// AddSegment adds a completion segment.
	AddSegment(s *inventory.CompletionSegment)
	// MoveChunk moves a chunk to another segment. The record of the old one stays unchanged
	// until the new one is written.
	MoveChunk(from, to *inventory.CompletionSegment, j *inventory.Job, chunk int)
	// EmptyOversizedSegments moves all chunks out of segments that exceed the value limit.
	EmptyOversizedSegments()
	// DeleteLater schedules the deletion of keys that are no longer read.
	DeleteLater(keys ...string)
}

// Store reads records.
type Store interface {
	// ListAll reads all entries with a prefix, and calls done with them.
	ListAll(prefix string, done func(kv.Listing, error))
	// Get reads one key, and calls done with the outcome.
	Get(purpose budget.Purpose, key string, done func(kv.Outcome, kv.Entry))
}

// Dependencies is what a recovery works with.
type Dependencies struct {
	Host      Host
	Pipeline  Pipeline
	Store     Store
	Inventory *inventory.Inventory
	Settings  *config.Settings
	Log       *slog.Logger
	// RetryDelay is the pause after a failed read.
	RetryDelay micros.Micros
}

// Recovery reads the records of one owner. Records are read one kind after the other, since later
// kinds refer to earlier ones. During the recovery no other node changes them, except for the jobs,
// which the owner watches from the revision at which they were listed. It is not safe for
// concurrent use.
type Recovery struct {
	host       Host
	pipeline   Pipeline
	store      Store
	inv        *inventory.Inventory
	settings   *config.Settings
	log        *slog.Logger
	retryDelay micros.Micros

	reading        bool          // a read is in flight
	nextStart      micros.Micros // the earliest time of the next start
	unresolvedJobs []*inventory.Job
}

// New returns a recovery that has read nothing.
func New(d Dependencies) *Recovery {
	return &Recovery{
		host: d.Host, pipeline: d.Pipeline, store: d.Store, inv: d.Inventory,
		settings: d.Settings, log: d.Log, retryDelay: d.RetryDelay,
	}
}

// Delay prevents the recovery from starting before a time.
func (r *Recovery) Delay(until micros.Micros) { r.nextStart = until }

// Advance starts the recovery unless it is in progress or delayed.
func (r *Recovery) Advance() {
	if !r.reading && r.host.Now() >= r.nextStart {
		r.start()
	}
}

// start drops the known state and reads all records.
func (r *Recovery) start() {
	r.reading = true
	r.host.Reset()
	r.unresolvedJobs = nil
	current := &run{Recovery: r, startedAt: r.host.Now()}
	current.list(record.ActiveJobPrefix, current.handleJobs)
}

// run is one pass over all records. It ends when all have been read or when a read fails.
type run struct {
	*Recovery
	startedAt micros.Micros
	// blocks are kept until everything else has been recovered.
	blocks []kv.Entry
}

// list reads the records with a prefix and passes them to next, with the revision of the listing. If
// the read fails, the run ends, and a new one may start after retryDelay.
func (r *run) list(prefix string, next func(entries []kv.Entry, revision uint64)) {
	r.store.ListAll(prefix, func(listing kv.Listing, err error) {
		switch {
		case r.host.Superseded():
		case err != nil:
			r.log.Warn("records cannot be read", "prefix", prefix, "error", err)
			r.reading, r.nextStart = false, r.host.Now()+r.retryDelay
		default:
			next(listing.Entries, listing.Revision)
		}
	})
}

// handleJobs handles the jobs, which are read first because completion segments and blocks refer to
// them.
func (r *run) handleJobs(entries []kv.Entry, revision uint64) {
	r.host.RecoverJobs(entries, revision, r.startedAt)
	r.list(record.CompletionSegmentPrefix, r.handleSegments)
}

// handleSegments handles the completion segments, which are recovered before the blocks, so that no
// attempt of a completed task is recovered.
func (r *run) handleSegments(entries []kv.Entry, _ uint64) {
	r.RecoverSegments(entries)
	r.list(record.BlockPrefix, r.handleBlocks)
}

// handleBlocks keeps the blocks, which are recovered after the scale-out requests and reservations.
func (r *run) handleBlocks(entries []kv.Entry, _ uint64) {
	r.blocks = entries
	r.list(record.ScaleOutRequestPrefix, r.handleScaleOutRequests)
}

func (r *run) handleScaleOutRequests(entries []kv.Entry, _ uint64) {
	r.host.RecoverScaleOutRequests(entries)
	r.list(record.ReservationPrefix, r.handleReservations)
}

func (r *run) handleReservations(entries []kv.Entry, _ uint64) {
	r.host.RecoverReservations(entries)
	r.RecoverBlocks(r.blocks)
	r.reading = false
	r.host.RecoveryComplete()
}
