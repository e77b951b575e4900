package frontend

import (
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file queues lookups of jobs' states. A state that is not terminal must come from a read that
// was sent after the lookup was requested, since another node may have ended the job just before. A
// node that knows the version of a job's record need not read the record: one transaction without
// writes compares the versions of many records.

// Bounds of the queue of lookups. A lookup beyond a bound fails, so that its request is refused and
// the user sends it again. The other lookups are served in the order in which they were requested.
const (
	maxPendingLookups = 512
	lookupTimeout     = 1500 * micros.Millisecond // users wait 2 s for a response
)

// LookupBatchInterval is the time for which lookups are collected before they are sent.
const LookupBatchInterval = 60 * micros.Millisecond

// lookupOutcome is the outcome of a lookup.
type lookupOutcome int

const (
	lookupFailed   lookupOutcome = iota // the job's state could not be read
	lookupNotFound                      // the job was never accepted
	lookupFound
)

// String returns the outcome as tests print it.
func (o lookupOutcome) String() string {
	switch o {
	case lookupFailed:
		return "failed"
	case lookupNotFound:
		return "not found"
	case lookupFound:
		return "found"
	}
	return "invalid"
}

// lookupResult is the result of a lookup. The zero value is the result of a failed lookup.
type lookupResult struct {
	outcome  lookupOutcome
	phase    wire.JobPhase      // of a job that was found
	evidence freshness.Evidence // of the result, unless the lookup failed
}

// isTerminal reports whether the result can never change.
func (r lookupResult) isTerminal() bool { return r.evidence.Basis == freshness.TerminalState }

// activeResult returns the result for a job that has not ended and whose record has the version.
func activeResult(version uint64, readEvidence freshness.Evidence) lookupResult {
	readEvidence.Version = version
	return lookupResult{lookupFound, wire.JobQueued, readEvidence}
}

// terminalResult returns the result for a job that has ended.
func terminalResult(phase wire.JobPhase) lookupResult {
	return lookupResult{lookupFound, phase, freshness.TerminalStateEvidence()}
}

// lookup is a query of a job's state.
type lookup struct {
	job          string
	requestedAt  micros.Micros
	readEvidence freshness.Evidence // of the first read of the present attempt
	done         func(lookupResult)
}

// expired reports whether the deadline has passed.
func (l *lookup) expired(now micros.Micros) bool { return now-l.requestedAt > lookupTimeout }

// deadline returns the time after which the result is no longer useful.
func (l *lookup) deadline() micros.Micros { return l.requestedAt + lookupTimeout }

// lookupQueue holds the lookups that have not finished.
type lookupQueue struct {
	node     *node
	pending  []*lookup
	inFlight int           // lookups whose reads or comparisons have been sent
	sendAt   micros.Micros // earliest time at which the next batch is sent
	count    int           // lookups since the node's status was last logged
}

// add looks up a job's state in the cached terminal states or, if it is not cached, queues a lookup in
// the records: whatever else the node knows may be outdated.
func (q *lookupQueue) add(job string, done func(lookupResult)) {
	q.count++
	if phase := q.node.TerminalStates.Of(job); phase != "" {
		done(terminalResult(phase))
		return
	}
	if len(q.pending)+q.inFlight >= maxPendingLookups || q.node.KV.Unavailable() {
		done(lookupResult{})
		return
	}
	if len(q.pending) == 0 {
		q.sendAt = max(q.sendAt, q.node.now()+LookupBatchInterval)
	}
	q.pending = append(q.pending, &lookup{job: job, requestedAt: q.node.now(), done: done})
}

// flush sends the reads of pending lookups, as the budget allows.
func (q *lookupQueue) flush() {
	q.failExpired()
	if len(q.pending) == 0 || q.node.now() < q.sendAt {
		return
	}
	q.sendAt = q.node.now() + LookupBatchInterval
	batch := q.takeBatch()
	if unsent := q.sendBatch(batch); len(unsent) > 0 {
		q.pending = append(unsent, q.pending...)
		return
	}
	q.readIndividually()
}

// failExpired fails the pending lookups whose deadline has passed.
func (q *lookupQueue) failExpired() {
	for len(q.pending) > 0 && q.pending[0].expired(q.node.now()) {
		first := q.pending[0]
		q.pending = q.pending[1:]
		first.done(lookupResult{})
	}
}

// finish passes the result of a lookup that was sent to its callback, unless the job ended after the
// read was sent.
func (q *lookupQueue) finish(l *lookup, result lookupResult) {
	q.inFlight--
	switch phase := q.node.TerminalStates.Of(l.job); {
	case phase != "": // acknowledged since the read was sent
		result = terminalResult(phase)
	case result.outcome != lookupFailed && !result.isTerminal() && q.node.Cancellations.IsCancelled(l.job):
		q.retry(l) // cancelled since the read was sent
		return
	}
	l.done(result)
}

// retry queues a lookup for a new read, or fails it if its deadline has passed.
func (q *lookupQueue) retry(l *lookup) {
	if l.expired(q.node.now()) {
		l.done(lookupResult{})
		return
	}
	q.pending = append([]*lookup{l}, q.pending...)
}

// finishTerminal finishes a lookup with a terminal state. A cancellation is acknowledged only after it
// was announced to the peers: see Cancellations.Announce. The announcement names root, the job that
// its user cancelled.
func (q *lookupQueue) finishTerminal(l *lookup, phase wire.JobPhase, root string) {
	if phase != wire.JobCancelled {
		q.node.TerminalStates.Remember(l.job, phase)
		q.finish(l, terminalResult(phase))
		return
	}
	q.node.Cancellations.Announce(root, l.deadline(), func(mayAcknowledge bool) {
		if !mayAcknowledge {
			q.finish(l, lookupResult{})
			return
		}
		q.node.TerminalStates.Remember(l.job, phase)
		q.finish(l, terminalResult(phase))
	})
}
