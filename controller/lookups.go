package controller

import (
	"cmp"
	"slices"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/jobgraph"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file answers what state a job is in. A non-final state is answered only after a
// read made for that answer, since another node may have ended the job a moment ago. A
// node that knows the version of a job's record need not read the record: a commit
// without writes compares the versions of many at once.

// Bounds of the stage that looks up jobs. What cannot be looked up in time is refused at
// once and asked again; the rest is served in the order in which it came.
const (
	maxLookups   = 512
	lookupWithin = 1500 * micros.Millisecond // users wait for 2 s
	lookupGap    = 60 * micros.Millisecond   // lookups gather for so long
)

type lookupState int

const (
	lookupFailed lookupState = iota
	lookupNone
	lookupFound
)

// lookup is a question for a job's state.
type lookup struct {
	id    string
	since micros.Micros
	done  func(st lookupState, status string, version uint64)
}

// lookups is the stage of questions that wait.
type lookups struct {
	waiting []*lookup
	open    int // reads and comparisons under way, in lookups
	next    micros.Micros
}

// lookup finds a job's state from the records, which alone are never outdated. For a job
// that is not over it hands over the version of its record.
func (c *Core) lookup(id string, done func(st lookupState, status string, version uint64)) {
	c.count.lookups++
	if status, ok := c.users.finals[id]; ok {
		done(lookupFound, status, 0)
		return
	}
	l := &c.asked
	if len(l.waiting)+l.open >= maxLookups || c.storeDown() {
		done(lookupFailed, "", 0)
		return
	}
	if len(l.waiting) == 0 {
		l.next = max(l.next, c.now+lookupGap)
	}
	l.waiting = append(l.waiting, &lookup{id, c.now, done})
}

// flushLookups makes the reads for what waits, as the budget allows.
func (c *Core) flushLookups() {
	l := &c.asked
	for len(l.waiting) > 0 && c.now-l.waiting[0].since > lookupWithin {
		q := l.waiting[0]
		l.waiting = l.waiting[1:]
		q.done(lookupFailed, "", 0)
	}
	if len(l.waiting) == 0 || c.now < l.next {
		return
	}
	l.next = c.now + lookupGap
	var known, rest, derived []*lookup
	guards := map[string]uint64{}
	for _, q := range l.waiting {
		v := c.knownVersion(q.id)
		if c.graph.Unsettled(q.id) {
			derived = append(derived, q)
		} else if v != 0 && (guards[activeKey(q.id)] == v || len(guards) < 4*c.cfg.TxnOps) {
			guards[activeKey(q.id)] = v
			known = append(known, q)
		} else {
			rest = append(rest, q)
		}
	}
	l.waiting = rest
	// Who came first goes first: neither kind may starve the other.
	kinds := []func() []*lookup{
		func() []*lookup {
			if len(known) > 0 && c.budget.MayRequest(budget.Reads, c.now) {
				c.compare(known, guards)
				known = nil
			}
			return known
		},
		func() []*lookup {
			if len(derived) > 0 && c.budget.MayRequest(budget.Reads, c.now) {
				c.derive(derived)
				derived = nil
			}
			return derived
		},
	}
	if len(derived) > 0 && (len(known) == 0 || derived[0].since < known[0].since) {
		slices.Reverse(kinds)
	}
	var left []*lookup
	for _, kind := range kinds {
		left = append(left, kind()...)
	}
	if len(left) > 0 {
		slices.SortStableFunc(left, func(a, b *lookup) int { return cmp.Compare(a.since, b.since) })
		l.waiting = append(left, l.waiting...)
		return
	}
	for len(l.waiting) > 0 && c.budget.MayRequest(budget.Reads, c.now) {
		q := l.waiting[0]
		if c.knownVersion(q.id) != 0 || c.graph.Unsettled(q.id) {
			break // its turn comes with the next comparison
		}
		l.waiting = l.waiting[1:]
		l.open++
		c.read(q)
	}
}

// knownVersion is the version of an active job's record as this node last saw it, or 0.
func (c *Core) knownVersion(id string) uint64 {
	if c.owner != nil {
		if j := c.owner.jobs[id]; j != nil && j.state != jobEnded {
			return j.version
		}
	}
	return c.graph.Version(id)
}

// compare asks whether jobs' records are as this node knows them.
func (c *Core) compare(known []*lookup, guards map[string]uint64) {
	c.asked.open += len(known)
	c.store(budget.Reads, state.Commit(state.SortedGuards(guards), nil), func(r storeReply) {
		var res state.Committed
		failed := map[string]bool{}
		switch {
		case r.outcome == outConflict && r.decode(&res) && len(res.Failed) > 0:
			for _, k := range res.Failed {
				failed[k] = true
			}
		case r.outcome != outOK:
			for _, q := range known {
				c.finish(q, lookupFailed, "", 0)
			}
			return
		}
		var again []*lookup
		for _, q := range known {
			key := activeKey(q.id)
			switch {
			case failed[key]:
				if c.graph.Version(q.id) == guards[key] {
					c.graph.ForgetVersion(q.id)
				}
				c.read(q)
			case len(failed) > 0:
				// Nothing says that all that failed are listed: the rest is compared again.
				c.asked.open--
				again = append(again, q)
			default:
				c.finish(q, lookupFound, wire.JobQueued, guards[key])
			}
		}
		c.asked.waiting = append(again, c.asked.waiting...)
	})
}

// read looks a job up by its records.
func (c *Core) read(q *lookup) {
	c.get(budget.Reads, activeKey(q.id), func(out outcome, e state.Entry) {
		switch out {
		case outOK:
			awaits, err := jobgraph.AwaitsOthers(e.Value)
			if err != nil {
				c.finish(q, lookupFailed, "", 0)
				return
			}
			if w := c.graph.Waiting(q.id); awaits && (w == nil || !w.Ready()) {
				c.deriveOne(q) // this node's view is behind
				return
			}
			c.graph.SetVersion(q.id, e.Version)
			c.finish(q, lookupFound, wire.JobQueued, e.Version)
		case outMissing:
			c.get(budget.Reads, finalKey(q.id), func(out outcome, e state.Entry) {
				var rec finalRecord
				switch {
				case out == outMissing:
					c.finish(q, lookupNone, "", 0)
				case out == outOK && wire.Decode(e.Value, &rec) == nil:
					c.final(q, rec.Status, rec.root(q.id))
				default:
					c.finish(q, lookupFailed, "", 0)
				}
			})
		default:
			c.finish(q, lookupFailed, "", 0)
		}
	})
}

// final answers with a state that stays. That a job is cancelled is told only once the
// siblings know: see disclose. If it was cancelled with one before it, that is what they know.
func (c *Core) final(q *lookup, status, root string) {
	if status != wire.JobCancelled {
		c.users.remember(q.id, status)
		c.finish(q, lookupFound, status, 0)
		return
	}
	c.disclose(root, q.since+lookupWithin, func(ok bool) {
		if !ok {
			c.finish(q, lookupFailed, "", 0)
			return
		}
		c.users.remember(q.id, status)
		c.finish(q, lookupFound, status, 0)
	})
}

func (c *Core) finish(q *lookup, st lookupState, status string, version uint64) {
	c.asked.open--
	if final := c.users.finals[q.id]; final != "" { // told meanwhile
		st, status, version = lookupFound, final, 0
	}
	q.done(st, status, version)
}

// derive answers about jobs that wait for others, whose state follows from how those ended:
// one read serves them all.
func (c *Core) derive(list []*lookup) {
	c.asked.open += len(list)
	c.refresh(func(ok bool) {
		for _, q := range list {
			if !ok {
				c.finish(q, lookupFailed, "", 0)
				continue
			}
			c.settle([]string{q.id}, q.since+lookupWithin, func(ok bool) { c.derived(q, ok) })
		}
	})
}

// deriveOne is derive for a lookup under way.
func (c *Core) deriveOne(q *lookup) {
	c.asked.open--
	if c.now-q.since > lookupWithin {
		c.asked.open++
		c.finish(q, lookupFailed, "", 0)
		return
	}
	c.derive([]*lookup{q})
}

func (c *Core) derived(q *lookup, ok bool) {
	switch w := c.graph.Waiting(q.id); {
	case !ok:
		c.finish(q, lookupFailed, "", 0)
	case w == nil:
		c.read(q) // over meanwhile
	case w.Cancelled():
		c.final(q, wire.JobCancelled, w.CancelledRoot)
	default:
		c.finish(q, lookupFound, wire.JobQueued, w.Version)
	}
}
