package controller

import "tamarindlead/internal/kv"

// txn collects what one commit writes under which guards, and what is to be done once it was
// executed or refused.
type txn struct {
	// guards are the versions that keys must have.
	guards map[string]uint64
	writes []kv.Write
	// size is that of the written values.
	size int
	// results are called with the outcome and the commit's revision.
	results []func(ok bool, revision uint64)
}

// guardsPerWrite is how many guards a commit may have for each write it may have, by the
// protocol of the state service.
const guardsPerWrite = 4

// put writes a value whose size is not known yet.
func (t *txn) put(key string, v any) { t.write(key, v, kv.EncodedSizeBound(v)) }

// write writes a value of a known size.
func (t *txn) write(key string, v any, size int) {
	t.writes = append(t.writes, kv.Write{Put: key, Value: v})
	t.size += size
}

// takes tells whether a commit has room for another write with its guards.
func (t *txn) takes(guards map[string]uint64, size, ops int) bool {
	n := len(t.guards) + 1 // this node's own record
	for k := range guards {
		if _, ok := t.guards[k]; !ok {
			n++
		}
	}
	return n <= guardsPerWrite*ops && t.size+size+guardBytes*n <= commitBytes
}
