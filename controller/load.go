package controller

import (
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const loadRetry = 250 * micros.Millisecond

// load reads all records. They do not change meanwhile, but for the jobs, which the
// watch follows from the revision at which they were listed.
func (o *owner) load() {
	o.busy = true
	c := o.c
	fail := func() { o.busy, o.retryAt = false, c.now+loadRetry }
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
	step := func(prefix string, next func([]state.Entry, uint64)) func() {
		return func() {
			c.store.ListAll(prefix, func(ok bool, entries []state.Entry, rev uint64) {
				switch {
				case o.superseded():
				case !ok:
					fail()
				default:
					next(entries, rev)
				}
			})
		}
	}
	var machines []state.Entry
	holds := step(record.HoldPrefix, func(entries []state.Entry, _ uint64) {
		o.loadHolds(entries)
		o.loadBlocks(machines)
		o.busy = false
		o.activate()
	})
	rentals := step(record.RentalPrefix, func(entries []state.Entry, _ uint64) {
		o.loadRentals(entries)
		holds()
	})
	listMachines := step(record.BlockPrefix, func(entries []state.Entry, _ uint64) {
		machines = entries
		rentals()
	})
	done := step(record.CompletionsPrefix, func(entries []state.Entry, _ uint64) {
		o.loadShards(entries)
		listMachines()
	})
	asked := c.now
	step(record.ActivePrefix, func(entries []state.Entry, rev uint64) {
		o.watchRev, o.cancellationsKnownUntil = rev, asked
		c.graph.Reset(entries, rev)
		o.listed = true
		for _, e := range entries {
			o.jobRecord(e.Key, e.Value, e.Version)
		}
		done()
	})()
}

func (o *owner) activate() {
	for _, m := range o.list {
		m.heard, m.takenOver = o.c.now+o.c.cfg.TakeoverGrace(), true
		m.tokenShownAt = m.heard
	}
	o.since = o.c.now
	o.scheduleWanted = true
	o.setState(ownerActive)
	o.watchJobs(o.watchRev)
	o.c.types.nextAt = o.c.now
}
