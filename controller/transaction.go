package controller

import "tamarindlead/internal/kv"

// transaction collects what one commit writes under which guards, and what is to be done once it was
// executed or refused.
type transaction struct {
	// preconditions are the versions that keys must have.
	preconditions map[string]uint64
	writes        []kv.Write
	// size is that of the written values.
	size int
	// results are called with the outcome and the commit's revision.
	results []func(ok bool, revision uint64)
}

// preconditionsPerWrite is how many guards a commit may have for each write it may have, by the
// protocol of the state service.
const preconditionsPerWrite = 4

// put writes a value whose size is not known yet.
func (t *transaction) put(key string, v any) { t.write(key, v, kv.EncodedSizeBound(v)) }

// write writes a value of a known size.
func (t *transaction) write(key string, v any, size int) {
	t.writes = append(t.writes, kv.Write{Put: key, Value: v})
	t.size += size
}

// hasRoomFor tells whether a commit has room for another write with its guards.
func (t *transaction) hasRoomFor(guards map[string]uint64, size, ops int) bool {
	n := len(t.preconditions) + 1 // this node's own record
	for k := range guards {
		if _, ok := t.preconditions[k]; !ok {
			n++
		}
	}
	return n <= preconditionsPerWrite*ops && t.size+size+preconditionBytes*n <= maxCommitBytes
}
