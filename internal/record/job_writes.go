package record

import (
	"tamarindlead/internal/kv"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Upper bounds of the sizes of a DependencyPart and its write, in bytes.
const (
	partBaseBytes  = 32 // of a part without entries
	partEntryBytes = 3  // of an entry's quotes and comma
	partKeyBytes   = 64 // of a part's key in a transaction
)

// JobWrites returns the writes that accept a job, and an upper bound of the size of their
// values. Dependencies that don't fit in a value of valueBytes are spread over DependencyParts.
func JobWrites(job *sched.Job, acceptedAt micros.Micros, valueBytes int) ([]kv.Write, int) {
	rec := NewJob(job, acceptedAt)
	if len(job.Dependencies) > 0 {
		rec.Ready, rec.Blocked = nil, rec.Ready
	}
	size := kv.EncodedSizeBound(rec)
	if len(job.Dependencies) == 0 || size <= valueBytes {
		return []kv.Write{{Put: ActiveJobKey(job.ID), Value: rec}}, size
	}
	rec.Blocked.Dependencies = nil
	parts, partsSize := partWrites(job.ID, job.Dependencies, valueBytes)
	rec.DependencyParts = len(parts)
	writes := append([]kv.Write{{Put: ActiveJobKey(job.ID), Value: rec}}, parts...)
	return writes, partsSize + kv.EncodedSizeBound(rec)
}

// partWrites returns the writes of as few parts as possible that together hold the ids, and an
// upper bound of the size of these writes.
func partWrites(job string, ids []string, valueBytes int) (writes []kv.Write, size int) {
	for len(ids) > 0 {
		n, partSize := partLength(ids, valueBytes)
		writes = append(writes, kv.Write{Put: DependencyPartKey(job, len(writes)), Value: DependencyPart{ids[:n]}})
		size += partSize + partKeyBytes
		ids = ids[n:]
	}
	return writes, size
}

// partLength returns the number of leading ids that fit in a part, at least one, and the size
// of that part.
func partLength(ids []string, valueBytes int) (n, size int) {
	size = partBaseBytes
	for n < len(ids) {
		entrySize := len(ids[n]) + partEntryBytes
		if n > 0 && size+entrySize > valueBytes {
			break
		}
		size += entrySize
		n++
	}
	return n, size
}
