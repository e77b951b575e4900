package commit

import "tamarindlead/internal/kv"

const (
	// MaxTransactionBytes is the largest body of a transaction; the key-value store accepts 64 KiB.
	MaxTransactionBytes = 60 << 10
	// preconditionBytes is a typical upper bound of the bytes that a precondition adds to the body.
	preconditionBytes = 64
	// preconditionsPerOp is the maximum number of preconditions of a transaction for each write that
	// it may have, as defined by the protocol of the key-value store.
	preconditionsPerOp = 4
)

// Transaction collects writes with their preconditions, and callbacks for its result.
type Transaction struct {
	preconditions map[string]uint64 // required versions by key
	writes        []kv.Write
	valueBytes    int // total size of the written values
	// results are called with the result and the revision of the transaction.
	results []func(committed bool, revision uint64)
}

// NewTransaction returns an empty transaction.
func NewTransaction() *Transaction { return &Transaction{preconditions: map[string]uint64{}} }

// Require adds the precondition that a key has a version; version 0 requires that the key does
// not exist.
func (t *Transaction) Require(key string, version uint64) { t.preconditions[key] = version }

// Put adds the write of a value.
func (t *Transaction) Put(key string, value any) { t.putSized(key, value, kv.EncodedSizeBound(value)) }

// putSized adds the write of a value of a known size.
func (t *Transaction) putSized(key string, value any, size int) {
	t.writes = append(t.writes, kv.Write{Put: key, Value: value})
	t.valueBytes += size
}

// Delete adds the deletion of a key.
func (t *Transaction) Delete(key string) { t.writes = append(t.writes, kv.Write{Delete: key}) }

// OnResult adds a function that is called after the transaction was either committed, with its
// revision, or rejected. Functions are called in the order in which they were added.
func (t *Transaction) OnResult(do func(committed bool, revision uint64)) {
	t.results = append(t.results, do)
}

// Writes returns the writes in the order in which they were added.
func (t *Transaction) Writes() []kv.Write { return t.writes }

// Finish reports the result to all functions added by OnResult.
func (t *Transaction) Finish(committed bool, revision uint64) {
	for _, result := range t.results {
		result(committed, revision)
	}
}

// fits reports whether another write with its preconditions fits into a transaction of at most
// maxOps writes.
func (t *Transaction) fits(preconditions map[string]uint64, size, maxOps int) bool {
	n := len(t.preconditions) + 1 // with this node's member record
	for key := range preconditions {
		if _, ok := t.preconditions[key]; !ok {
			n++
		}
	}
	return n <= preconditionsPerOp*maxOps && t.valueBytes+size+preconditionBytes*n <= MaxTransactionBytes
}
