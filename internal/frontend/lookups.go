package frontend

import (
	"cmp"
	"slices"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file looks up what state a job is in. A non-final state is found only by a read that was
// sent after the question came, since another node may have ended the job a moment ago. A
// node that knows the version of a job's record need not read the record: a commit without
// writes compares the versions of many at once. The reads themselves are in lookup_reads.go.

// Bounds of the stage that looks up jobs. What cannot be looked up in time is refused at
// once and asked again; the rest is served in the order in which it came.
const (
	maxPendingLookups   = 512
	lookupTimeout       = 1500 * micros.Millisecond // users wait for 2 s
	LookupBatchInterval = 60 * micros.Millisecond   // lookups gather for so long
	// comparisonsPerOp is how many versions one commit compares for each write that it could
	// take, which bounds the commit's size.
	comparisonsPerOp = 4
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
	// evidence is what the result rests on, if the lookup did not fail.
	evidence freshness.Evidence
}

// isTerminal tells whether the result can never change.
func (r lookupResult) isTerminal() bool { return r.evidence.Basis == freshness.TerminalState }

// activeResult is the result for a job that is not over, whose record has a version.
func activeResult(version uint64, read freshness.Evidence) lookupResult {
	read.Version = version
	return lookupResult{lookupFound, wire.JobQueued, read}
}

// terminalResult is the result for a job that is over.
func terminalResult(status wire.JobPhase) lookupResult {
	return lookupResult{lookupFound, status, freshness.OfTerminalState()}
}

// lookup is a question for a job's state.
type lookup struct {
	id          string
	requestedAt micros.Micros
	// read is the read that was sent for it first, once one was.
	read freshness.Evidence
	done func(lookupResult)
}

// expired tells that the answer is of no use any more.
func (l *lookup) expired(now micros.Micros) bool { return now-l.requestedAt > lookupTimeout }

// lookupStage is the stage of questions for jobs' states.
type lookupStage struct {
	pending  []*lookup
	inFlight int // lookups for which reads or comparisons are under way
	sendAt   micros.Micros
}

// lookup finds a job's state from the records, which alone are never outdated.
func (c *Frontend) lookup(id string, done func(lookupResult)) {
	c.lookupCount++
	if status := c.TerminalStates.Of(id); status != "" {
		done(terminalResult(status))
		return
	}
	stage := &c.lookups
	if len(stage.pending)+stage.inFlight >= maxPendingLookups || c.KV.Unavailable() {
		done(lookupResult{})
		return
	}
	if len(stage.pending) == 0 {
		stage.sendAt = max(stage.sendAt, c.now()+LookupBatchInterval)
	}
	stage.pending = append(stage.pending, &lookup{id: id, requestedAt: c.now(), done: done})
}

// flushLookups makes the reads for what waits, as the budget allows.
func (c *Frontend) flushLookups() {
	stage := &c.lookups
	c.failExpiredLookups()
	if len(stage.pending) == 0 || c.now() < stage.sendAt {
		return
	}
	stage.sendAt = c.now() + LookupBatchInterval
	batch := c.takeLookupBatch()
	if left := c.sendLookupBatch(batch); len(left) > 0 {
		stage.pending = append(left, stage.pending...)
		return
	}
	c.readIndividually()
}

// failExpiredLookups ends the lookups that waited for too long.
func (c *Frontend) failExpiredLookups() {
	stage := &c.lookups
	for len(stage.pending) > 0 && stage.pending[0].expired(c.now()) {
		first := stage.pending[0]
		stage.pending = stage.pending[1:]
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
func (c *Frontend) takeLookupBatch() *lookupBatch {
	batch := &lookupBatch{versions: map[string]uint64{}}
	var rest []*lookup
	for _, l := range c.lookups.pending {
		version := c.knownVersion(l.id)
		switch {
		case c.Graph.HasOpenDependencies(l.id):
			batch.derived = append(batch.derived, l)
		case version != 0 && c.hasRoomToCompare(batch, l.id, version):
			batch.versions[record.ActiveJobKey(l.id)] = version
			batch.compared = append(batch.compared, l)
		default:
			rest = append(rest, l)
		}
	}
	c.lookups.pending = rest
	return batch
}

// hasRoomToCompare tells whether a job's version can be compared with a batch.
func (c *Frontend) hasRoomToCompare(batch *lookupBatch, id string, version uint64) bool {
	return batch.versions[record.ActiveJobKey(id)] == version || len(batch.versions) < comparisonsPerOp*c.Settings.MaxTransactionOps
}

// sendLookupBatch sends what the budget allows of a batch and hands back the rest, in the
// order in which it came.
func (c *Frontend) sendLookupBatch(batch *lookupBatch) (left []*lookup) {
	type part struct {
		lookups []*lookup
		send    func()
	}
	parts := []part{
		{batch.compared, func() { c.compareVersions(batch) }},
		{batch.derived, func() { c.deriveStates(batch.derived) }},
	}
	if batch.derivedIsOldest() { // neither kind may starve the other
		slices.Reverse(parts)
	}
	for _, p := range parts {
		switch {
		case len(p.lookups) == 0:
		case c.Budget.MayRequest(budget.Reads, c.now()):
			p.send()
		default:
			left = append(left, p.lookups...)
		}
	}
	slices.SortStableFunc(left, func(a, b *lookup) int { return cmp.Compare(a.requestedAt, b.requestedAt) })
	return left
}

func (b *lookupBatch) derivedIsOldest() bool {
	return len(b.derived) > 0 && (len(b.compared) == 0 || b.derived[0].requestedAt < b.compared[0].requestedAt)
}

// readIndividually reads the records of jobs that are not in the view, as the budget allows.
func (c *Frontend) readIndividually() {
	stage := &c.lookups
	for len(stage.pending) > 0 && c.Budget.MayRequest(budget.Reads, c.now()) {
		first := stage.pending[0]
		if c.knownVersion(first.id) != 0 || c.Graph.HasOpenDependencies(first.id) {
			break // its turn comes with the next batch
		}
		stage.pending = stage.pending[1:]
		stage.inFlight++
		c.readActive(first)
	}
}
