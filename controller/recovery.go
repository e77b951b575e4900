package controller

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// readRetryDelay is the pause before records are read again, after a request that failed.
const readRetryDelay = 250 * micros.Millisecond

// recovery reads the records of an owner, one kind after the other: later ones name earlier
// ones. They do not change meanwhile, but for the jobs, which the watch follows from the
// revision at which they were listed.
type recovery struct {
	owner     *owner
	startedAt micros.Micros
	// blocks are kept until all else has been read.
	blocks []kv.Entry
}

// startRecovery reads all records after a takeover.
func (o *owner) startRecovery() {
	o.readingRecords = true
	o.reset()
	l := &recovery{owner: o, startedAt: o.c.now}
	l.list(record.ActiveJobPrefix, l.handleJobs)
}

// reset forgets what was read or decided before.
func (o *owner) reset() {
	o.Reset()
	o.jobsListed, o.cascadedCancellations = false, nil
	o.commits.Reset()
	o.unresolvedJobs = nil
	o.workers.Reset()
	o.fleet.Reset()
	o.scheduler.ClearReservations()
}

// list reads the records with a prefix.
func (l *recovery) list(prefix string, next func(entries []kv.Entry, revision uint64)) {
	o := l.owner
	o.c.store.ListAll(prefix, func(listing kv.Listing, err error) {
		switch {
		case o.superseded():
		case err != nil:
			o.readingRecords, o.retryAt = false, o.c.now+readRetryDelay
		default:
			next(listing.Entries, listing.Revision)
		}
	})
}

// handleJobs takes the active jobs.
func (l *recovery) handleJobs(entries []kv.Entry, revision uint64) {
	o := l.owner
	o.watchRevision, o.cancellationsKnownUntil = revision, l.startedAt
	o.c.graph.Reset(entries, revision)
	o.jobsListed = true
	for _, e := range entries {
		o.recoverJob(e.Key, e.Value, e.Version)
	}
	l.list(record.CompletionSegmentPrefix, l.handleSegments)
}

// handleSegments takes the completed tasks of the jobs.
func (l *recovery) handleSegments(entries []kv.Entry, _ uint64) {
	l.owner.recoverSegments(entries)
	l.list(record.BlockPrefix, l.handleBlocks)
}

// handleBlocks keeps the blocks for the end: rentals and holds come first.
func (l *recovery) handleBlocks(entries []kv.Entry, _ uint64) {
	l.blocks = entries
	l.list(record.ScaleOutRequestPrefix, l.handleScaleOutRequests)
}

// handleScaleOutRequests takes the rentals.
func (l *recovery) handleScaleOutRequests(entries []kv.Entry, _ uint64) {
	l.owner.recoverScaleOutRequests(entries)
	l.list(record.ReservationPrefix, l.handleReservations)
}

// handleReservations takes the holds, and ends the loading.
func (l *recovery) handleReservations(entries []kv.Entry, _ uint64) {
	o := l.owner
	o.recoverReservations(entries)
	o.recoverBlocks(l.blocks)
	o.readingRecords = false
	o.activate()
}

// activate begins the work of an owner that has read its records.
func (o *owner) activate() {
	for _, m := range o.SortedMachines {
		m.LastHeartbeat, m.Recovered = o.c.now+o.c.cfg.FailoverGrace(), true
		m.TokenConfirmedAt = m.LastHeartbeat
	}
	o.activeSince = o.c.now
	o.SchedulingNeeded = true
	o.setState(ownerActive)
	o.watchJobs(o.watchRevision)
	o.c.types.Refresh()
}
