package frontend

import (
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file queues lookups of jobs' states. A state that is not terminal is found only by a read
// that is sent after the lookup was requested, since another node may have ended the job a
// moment ago. A node that knows the version of a job's record need not read the record: a
// transaction without writes compares the versions of many at once.

// Bounds of the queue of lookups. What cannot be looked up in time is refused at once and
// requested again by the user; the rest is served in the order in which it was requested.
const (
	maxPendingLookups = 512
	lookupTimeout     = 1500 * micros.Millisecond // users wait for 2 s
)

// LookupBatchInterval is the time for which lookups are collected before they are sent.
const LookupBatchInterval = 60 * micros.Millisecond

// lookupOutcome is how a lookup ended.
type lookupOutcome int

const (
	lookupFailed   lookupOutcome = iota // the job's state cannot be read now
	lookupNotFound                      // the job was never accepted
	lookupFound
)

// String returns the outcome as tests show it.
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

// lookupResult is the result of a lookup; the zero value is that of one that failed.
type lookupResult struct {
	outcome  lookupOutcome
	phase    wire.JobPhase      // of a job that was found
	evidence freshness.Evidence // of the result, unless the lookup failed
}

// isTerminal reports whether the result can never change.
func (r lookupResult) isTerminal() bool { return r.evidence.Basis == freshness.TerminalState }

// activeResult returns the result for a job that has not ended, whose record has a version.
func activeResult(version uint64, readEvidence freshness.Evidence) lookupResult {
	readEvidence.Version = version
	return lookupResult{lookupFound, wire.JobQueued, readEvidence}
}

// terminalResult returns the result for a job that has ended.
func terminalResult(phase wire.JobPhase) lookupResult {
	return lookupResult{lookupFound, phase, freshness.TerminalStateEvidence()}
}

// lookup is a question for a job's state.
type lookup struct {
	job          string
	requestedAt  micros.Micros
	readEvidence freshness.Evidence // of the first read that was sent for it
	done         func(lookupResult)
}

// expired reports whether the answer is of no use any more.
func (l *lookup) expired(now micros.Micros) bool { return now-l.requestedAt > lookupTimeout }

// deadline returns the last time at which the answer is of use.
func (l *lookup) deadline() micros.Micros { return l.requestedAt + lookupTimeout }

// lookupQueue holds the lookups that have not been answered.
type lookupQueue struct {
	node     *node
	pending  []*lookup
	inFlight int // lookups whose reads or comparisons have been sent
	sendAt   micros.Micros
	count    int // lookups since the last report of the node's status
}

// add looks up a job's state in the records, which alone are never outdated.
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

// failExpired ends the lookups that have waited for too long.
func (q *lookupQueue) failExpired() {
	for len(q.pending) > 0 && q.pending[0].expired(q.node.now()) {
		first := q.pending[0]
		q.pending = q.pending[1:]
		first.done(lookupResult{})
	}
}

// finish passes on the result of a lookup that was sent.
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

// retry queues a lookup for a new read, unless its answer is of no use any more.
func (q *lookupQueue) retry(l *lookup) {
	if l.expired(q.node.now()) {
		l.done(lookupResult{})
		return
	}
	q.pending = append([]*lookup{l}, q.pending...)
}

// finishTerminal ends a lookup with a terminal state. A cancellation is acknowledged only once the
// peers know of it: see Cancellations.Announce. What they know of is the job that its user
// cancelled, the root.
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
