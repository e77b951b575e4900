package frontend

import (
	"cmp"
	"slices"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/record"
)

// comparisonsPerOp is how many versions one transaction compares for each write that it could
// hold, which bounds its size.
const comparisonsPerOp = 4

// lookupBatch holds lookups of which one request answers many.
type lookupBatch struct {
	compared []*lookup         // of jobs whose versions are compared
	versions map[string]uint64 // to compare, by key
	derived  []*lookup         // of jobs whose state depends on others
}

// takeBatch takes the pending lookups that can be answered together.
func (q *lookupQueue) takeBatch() *lookupBatch {
	batch := &lookupBatch{versions: map[string]uint64{}}
	var rest []*lookup
	for _, l := range q.pending {
		version := q.node.knownVersion(l.job)
		switch {
		case q.node.Graph.HasOpenDependencies(l.job):
			batch.derived = append(batch.derived, l)
		case version != 0 && q.canCompare(batch, l.job, version):
			batch.versions[record.ActiveJobKey(l.job)] = version
			batch.compared = append(batch.compared, l)
		default:
			rest = append(rest, l)
		}
	}
	q.pending = rest
	return batch
}

// canCompare reports whether a batch has room for the comparison of a job's version.
func (q *lookupQueue) canCompare(batch *lookupBatch, job string, version uint64) bool {
	return batch.versions[record.ActiveJobKey(job)] == version ||
		len(batch.versions) < comparisonsPerOp*q.node.Settings.MaxTransactionOps
}

// sendBatch sends what the budget allows of a batch and returns the rest, in the order in which
// it was requested.
func (q *lookupQueue) sendBatch(batch *lookupBatch) (unsent []*lookup) {
	type part struct {
		lookups []*lookup
		send    func()
	}
	parts := []part{
		{batch.compared, func() { q.compareVersions(batch) }},
		{batch.derived, func() { q.deriveStates(batch.derived) }},
	}
	if batch.oldestIsDerived() { // neither kind may starve the other
		slices.Reverse(parts)
	}
	for _, p := range parts {
		switch {
		case len(p.lookups) == 0:
		case q.node.Budget.MayRequest(budget.Reads, q.node.now()):
			p.send()
		default:
			unsent = append(unsent, p.lookups...)
		}
	}
	slices.SortStableFunc(unsent, func(a, b *lookup) int { return cmp.Compare(a.requestedAt, b.requestedAt) })
	return unsent
}

// oldestIsDerived reports whether the oldest lookup of the batch is one of those that are derived.
func (b *lookupBatch) oldestIsDerived() bool {
	return len(b.derived) > 0 && (len(b.compared) == 0 || b.derived[0].requestedAt < b.compared[0].requestedAt)
}

// readIndividually reads the records of jobs that the view does not hold, as the budget allows.
func (q *lookupQueue) readIndividually() {
	for len(q.pending) > 0 && q.node.Budget.MayRequest(budget.Reads, q.node.now()) {
		first := q.pending[0]
		if q.node.knownVersion(first.job) != 0 || q.node.Graph.HasOpenDependencies(first.job) {
			break // it is part of the next batch
		}
		q.pending = q.pending[1:]
		q.inFlight++
		q.readActive(first)
	}
}
