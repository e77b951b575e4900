package controller

import (
	"cmp"
	"slices"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/jobgraph"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/store"
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
	// comparedPerOp is how many versions one commit compares for each write that it could
	// take, which bounds the commit's size.
	comparedPerOp = 4
)

// lookupOutcome is how a lookup ended.
type lookupOutcome int

const (
	lookupFailed   lookupOutcome = iota // the job's state cannot be told now
	lookupNotFound                      // the job was never accepted
	lookupFound
)

// lookupResult is what was found out about a job.
type lookupResult struct {
	outcome lookupOutcome
	status  wire.JobPhase
	version uint64 // of the record of a job that is not over, else 0
}

// activeResult is the result for a job that is not over.
func activeResult(version uint64) lookupResult {
	return lookupResult{lookupFound, wire.JobQueued, version}
}

// finalResult is the result for a job that is over.
func finalResult(status wire.JobPhase) lookupResult { return lookupResult{lookupFound, status, 0} }

// lookup is a question for a job's state.
type lookup struct {
	id      string
	askedAt micros.Micros
	done    func(lookupResult)
}

// expired tells that the answer is of no use any more.
func (l *lookup) expired(now micros.Micros) bool { return now-l.askedAt > lookupWithin }

// lookupStage is the stage of questions for jobs' states.
type lookupStage struct {
	waiting []*lookup
	sent    int // lookups for which reads or comparisons are under way
	sendAt  micros.Micros
}

// lookup finds a job's state from the records, which alone are never outdated.
func (c *Core) lookup(id string, done func(lookupResult)) {
	c.count.lookups++
	if status := c.finals.of(id); status != "" {
		done(finalResult(status))
		return
	}
	stage := &c.lookups
	if len(stage.waiting)+stage.sent >= maxLookups || c.store.Down() {
		done(lookupResult{})
		return
	}
	if len(stage.waiting) == 0 {
		stage.sendAt = max(stage.sendAt, c.now+lookupGap)
	}
	stage.waiting = append(stage.waiting, &lookup{id, c.now, done})
}

// flushLookups makes the reads for what waits, as the budget allows.
func (c *Core) flushLookups() {
	stage := &c.lookups
	c.failExpired()
	if len(stage.waiting) == 0 || c.now < stage.sendAt {
		return
	}
	stage.sendAt = c.now + lookupGap
	batch := c.takeLookupBatch()
	if left := c.sendLookupBatch(batch); len(left) > 0 {
		stage.waiting = append(left, stage.waiting...)
		return
	}
	c.readSingly()
}

// failExpired ends the lookups that waited for too long.
func (c *Core) failExpired() {
	stage := &c.lookups
	for len(stage.waiting) > 0 && stage.waiting[0].expired(c.now) {
		first := stage.waiting[0]
		stage.waiting = stage.waiting[1:]
		first.done(lookupResult{})
	}
}

// lookupBatch is lookups of which one request answers many.
type lookupBatch struct {
	compared []*lookup         // whose versions are compared
	versions map[string]uint64 // to compare, by key
	derived  []*lookup         // of jobs whose state depends on others
}

// takeLookupBatch takes what can be answered together out of what waits.
func (c *Core) takeLookupBatch() *lookupBatch {
	batch := &lookupBatch{versions: map[string]uint64{}}
	var rest []*lookup
	for _, l := range c.lookups.waiting {
		version := c.knownVersion(l.id)
		switch {
		case c.graph.Unsettled(l.id):
			batch.derived = append(batch.derived, l)
		case version != 0 && c.hasRoomToCompare(batch, l.id, version):
			batch.versions[record.ActiveKey(l.id)] = version
			batch.compared = append(batch.compared, l)
		default:
			rest = append(rest, l)
		}
	}
	c.lookups.waiting = rest
	return batch
}

// hasRoomToCompare tells whether a job's version can be compared with a batch.
func (c *Core) hasRoomToCompare(batch *lookupBatch, id string, version uint64) bool {
	return batch.versions[record.ActiveKey(id)] == version || len(batch.versions) < comparedPerOp*c.cfg.TxnOps
}

// sendLookupBatch sends what the budget allows of a batch and hands back the rest, in the
// order in which it came.
func (c *Core) sendLookupBatch(batch *lookupBatch) (left []*lookup) {
	type part struct {
		lookups []*lookup
		send    func()
	}
	parts := []part{
		{batch.compared, func() { c.compareVersions(batch) }},
		{batch.derived, func() { c.deriveStates(batch.derived) }},
	}
	if batch.derivedCameFirst() { // neither kind may starve the other
		slices.Reverse(parts)
	}
	for _, p := range parts {
		switch {
		case len(p.lookups) == 0:
		case c.budget.MayRequest(budget.Reads, c.now):
			p.send()
		default:
			left = append(left, p.lookups...)
		}
	}
	slices.SortStableFunc(left, func(a, b *lookup) int { return cmp.Compare(a.askedAt, b.askedAt) })
	return left
}

func (b *lookupBatch) derivedCameFirst() bool {
	return len(b.derived) > 0 && (len(b.compared) == 0 || b.derived[0].askedAt < b.compared[0].askedAt)
}

// readSingly reads the records of jobs that are not in the view, as the budget allows.
func (c *Core) readSingly() {
	stage := &c.lookups
	for len(stage.waiting) > 0 && c.budget.MayRequest(budget.Reads, c.now) {
		first := stage.waiting[0]
		if c.knownVersion(first.id) != 0 || c.graph.Unsettled(first.id) {
			break // its turn comes with the next batch
		}
		stage.waiting = stage.waiting[1:]
		stage.sent++
		c.readActive(first)
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

// compareVersions asks whether jobs' records are as this node knows them.
func (c *Core) compareVersions(batch *lookupBatch) {
	c.lookups.sent += len(batch.compared)
	c.store.Do(budget.Reads, state.Commit(state.SortedGuards(batch.versions), nil), func(r store.Reply) {
		var committed state.Committed
		switch {
		case r.Outcome == store.OK:
			c.takeComparison(batch, nil)
		case r.Outcome == store.Conflict && r.Decode(&committed) && len(committed.Failed) > 0:
			c.takeComparison(batch, committed.Failed)
		default:
			for _, l := range batch.compared {
				c.finishLookup(l, lookupResult{})
			}
		}
	})
}

// takeComparison answers about the jobs of a batch whose keys did not fail, and reads the
// others. Nothing says that all keys that failed are listed: if any did, the rest is compared
// again.
func (c *Core) takeComparison(batch *lookupBatch, failedKeys []string) {
	failed := map[string]bool{}
	for _, key := range failedKeys {
		failed[key] = true
	}
	var again []*lookup
	for _, l := range batch.compared {
		key := record.ActiveKey(l.id)
		switch {
		case failed[key]:
			if c.graph.Version(l.id) == batch.versions[key] {
				c.graph.ForgetVersion(l.id)
			}
			c.readActive(l)
		case len(failed) > 0:
			c.lookups.sent--
			again = append(again, l)
		default:
			c.finishLookup(l, activeResult(batch.versions[key]))
		}
	}
	c.lookups.waiting = append(again, c.lookups.waiting...)
}

// readActive looks a job up by its records, first by that of an active job.
func (c *Core) readActive(l *lookup) {
	c.store.Get(budget.Reads, record.ActiveKey(l.id), func(out store.Outcome, e state.Entry) {
		switch out {
		case store.OK:
			c.takeActive(l, e)
		case store.Missing:
			c.readFinal(l)
		default:
			c.finishLookup(l, lookupResult{})
		}
	})
}

// takeActive answers from the record of an active job, unless its state depends on others.
func (c *Core) takeActive(l *lookup, e state.Entry) {
	awaits, err := jobgraph.AwaitsOthers(e.Value)
	if err != nil {
		c.finishLookup(l, lookupResult{})
		return
	}
	if job := c.graph.Waiting(l.id); awaits && (job == nil || !job.Ready()) {
		c.deriveAgain(l) // this node's view is behind
		return
	}
	c.graph.SetVersion(l.id, e.Version)
	c.finishLookup(l, activeResult(e.Version))
}

// readFinal looks a job up that is not active.
func (c *Core) readFinal(l *lookup) {
	c.store.Get(budget.Reads, record.FinalKey(l.id), func(out store.Outcome, e state.Entry) {
		var rec record.Final
		switch {
		case out == store.Missing:
			c.finishLookup(l, lookupResult{outcome: lookupNotFound})
		case out == store.OK && wire.Decode(e.Value, &rec) == nil:
			c.finishFinal(l, wire.JobPhase(rec.Status), rec.CancelledRoot(l.id))
		default:
			c.finishLookup(l, lookupResult{})
		}
	})
}

// finishFinal answers with a state that stays. That a job is cancelled is told only once the
// peers know: see announceCancellation. If it was cancelled with one before it, the root, that
// is what they know.
func (c *Core) finishFinal(l *lookup, status wire.JobPhase, root string) {
	if status != wire.JobCancelled {
		c.finals.remember(l.id, status)
		c.finishLookup(l, finalResult(status))
		return
	}
	c.announceCancellation(root, l.askedAt+lookupWithin, func(ok bool) {
		if !ok {
			c.finishLookup(l, lookupResult{})
			return
		}
		c.finals.remember(l.id, status)
		c.finishLookup(l, finalResult(status))
	})
}

// finishLookup hands over the result of a lookup that was sent.
func (c *Core) finishLookup(l *lookup, result lookupResult) {
	c.lookups.sent--
	if final := c.finals.of(l.id); final != "" { // told meanwhile
		result = finalResult(final)
	}
	l.done(result)
}

// deriveStates answers about jobs that wait for others, whose state follows from how those
// ended: one read serves them all.
func (c *Core) deriveStates(list []*lookup) {
	c.lookups.sent += len(list)
	c.refresh(func(ok bool) {
		for _, l := range list {
			if !ok {
				c.finishLookup(l, lookupResult{})
				continue
			}
			c.settle([]string{l.id}, l.askedAt+lookupWithin, func(ok bool) { c.finishDerived(l, ok) })
		}
	})
}

// deriveAgain is deriveStates for a lookup that was sent.
func (c *Core) deriveAgain(l *lookup) {
	if l.expired(c.now) {
		c.finishLookup(l, lookupResult{})
		return
	}
	c.lookups.sent--
	c.deriveStates([]*lookup{l})
}

// finishDerived answers about a job from the view, once it shows what the job depends on.
func (c *Core) finishDerived(l *lookup, ok bool) {
	switch job := c.graph.Waiting(l.id); {
	case !ok:
		c.finishLookup(l, lookupResult{})
	case job == nil:
		c.readActive(l) // over meanwhile
	case job.Cancelled():
		c.finishFinal(l, wire.JobCancelled, job.CancelledRoot)
	default:
		c.finishLookup(l, activeResult(job.Version))
	}
}
