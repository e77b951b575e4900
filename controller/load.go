package controller

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// loadRetry is the pause before records are read again, after a request that failed.
const loadRetry = 250 * micros.Millisecond

// loader reads the records of an owner, one kind after the other: later ones name earlier
// ones. They do not change meanwhile, but for the jobs, which the watch follows from the
// revision at which they were listed.
type loader struct {
	owner *owner
	begun micros.Micros
	// blocks are kept until all else has been read.
	blocks []kv.Entry
}

// load reads all records after a takeover.
func (o *owner) load() {
	o.busy = true
	o.reset()
	l := &loader{owner: o, begun: o.c.now}
	l.list(record.ActiveJobPrefix, l.jobsRead)
}

// reset forgets what was read or decided before.
func (o *owner) reset() {
	clear(o.jobs)
	clear(o.waiting)
	o.listed, o.cancelled = false, nil
	clear(o.machines)
	o.list, o.blocks, o.shards, o.dispatchQueue, o.endings = nil, nil, nil, nil, nil
	o.proposed, o.proposedJobs = 0, 0
	clear(o.rentals)
	clear(o.holds)
	for _, t := range o.teams {
		t.used, t.stopping = sched.Resources{}, sched.Resources{}
	}
	o.queue = nil
}

// list reads the records with a prefix.
func (l *loader) list(prefix string, next func(entries []kv.Entry, revision uint64)) {
	o := l.owner
	o.c.store.ListAll(prefix, func(ok bool, entries []kv.Entry, revision uint64) {
		switch {
		case o.superseded():
		case !ok:
			o.busy, o.retryAt = false, o.c.now+loadRetry
		default:
			next(entries, revision)
		}
	})
}

// jobsRead takes the active jobs.
func (l *loader) jobsRead(entries []kv.Entry, revision uint64) {
	o := l.owner
	o.watchRev, o.cancellationsKnownUntil = revision, l.begun
	o.c.graph.Reset(entries, revision)
	o.listed = true
	for _, e := range entries {
		o.loadJob(e.Key, e.Value, e.Version)
	}
	l.list(record.CompletionSegmentPrefix, l.shardsRead)
}

// shardsRead takes the completed tasks of the jobs.
func (l *loader) shardsRead(entries []kv.Entry, _ uint64) {
	l.owner.loadShards(entries)
	l.list(record.BlockPrefix, l.blocksRead)
}

// blocksRead keeps the blocks for the end: rentals and holds come first.
func (l *loader) blocksRead(entries []kv.Entry, _ uint64) {
	l.blocks = entries
	l.list(record.ScaleOutRequestPrefix, l.rentalsRead)
}

// rentalsRead takes the rentals.
func (l *loader) rentalsRead(entries []kv.Entry, _ uint64) {
	l.owner.loadRentals(entries)
	l.list(record.ReservationPrefix, l.holdsRead)
}

// holdsRead takes the holds, and ends the loading.
func (l *loader) holdsRead(entries []kv.Entry, _ uint64) {
	o := l.owner
	o.loadHolds(entries)
	o.loadBlocks(l.blocks)
	o.busy = false
	o.activate()
}

// activate begins the work of an owner that has read its records.
func (o *owner) activate() {
	for _, m := range o.list {
		m.lastHeartbeat, m.takenOver = o.c.now+o.c.cfg.FailoverGrace(), true
		m.tokenConfirmedAt = m.lastHeartbeat
	}
	o.since = o.c.now
	o.scheduleWanted = true
	o.setState(ownerActive)
	o.watchJobs(o.watchRev)
	o.c.types.nextAt = o.c.now
}
