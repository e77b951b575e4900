package frontend

import (
	"cmp"
	"slices"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/record"
)

// comparisonsPerOp bounds the size of a transaction that only compares versions: it may have
// comparisonsPerOp times as many comparisons as a transaction may have writes.
const comparisonsPerOp = 4

// lookupBatch holds lookups that are served together. One transaction serves all lookups in compared,
// and one refresh of the view serves all lookups in derived.
type lookupBatch struct {
	compared []*lookup         // lookups of jobs whose record versions are compared
	versions map[string]uint64 // record versions to compare, by key
	derived  []*lookup         // lookups of jobs whose state depends on the states of other jobs
}

// takeBatch removes from the queue the lookups that can be served together.
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

// canCompare reports whether the comparison of a job's version fits into a batch.
func (q *lookupQueue) canCompare(batch *lookupBatch, job string, version uint64) bool {
	return batch.versions[record.ActiveJobKey(job)] == version ||
		len(batch.versions) < comparisonsPerOp*q.node.Settings.MaxTransactionOps
}

// sendBatch sends as much of a batch as the budget allows. It returns the lookups that were not sent,
// in the order in which they were requested.
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

// oldestIsDerived reports whether the oldest lookup of the batch is in derived.
func (b *lookupBatch) oldestIsDerived() bool {
	return len(b.derived) > 0 && (len(b.compared) == 0 || b.derived[0].requestedAt < b.compared[0].requestedAt)
}

// readIndividually reads, as the budget allows, the records of jobs that are not in the node's view.
func (q *lookupQueue) readIndividually() {
	for len(q.pending) > 0 && q.node.Budget.MayRequest(budget.Reads, q.node.now()) {
		first := q.pending[0]
		if q.node.knownVersion(first.job) != 0 || q.node.Graph.HasOpenDependencies(first.job) {
			break // it belongs to the next batch
		}
		q.pending = q.pending[1:]
		q.inFlight++
		q.readActive(first)
	}
}
