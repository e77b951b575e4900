package record

import (
	"errors"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// ErrNoDescription reports a Job without a description.
var ErrNoDescription = errors.New("job record has no description")

// Job is an accepted job. A job that depends on others has its description under a name of
// its own, so that versions which know no dependencies cannot place it.
type Job struct {
	Ready           *wire.Submission `cbor:"j,omitempty"`
	AcceptedAt      micros.Micros    `cbor:"at"` // wall clock time
	Blocked         *wire.Submission `cbor:"w,omitempty"`
	DependencyParts int              `cbor:"p,omitempty"` // how many Parts hold the dependency list; 0: Waiting has it
}

// DependencyPart is a part of a dependency list that is too long for the value of its Job.
type DependencyPart struct {
	JobIDs []string `cbor:"l"`
}

// NewJob returns the record of a job that depends on no other.
func NewJob(j *sched.Job, accepted micros.Micros) Job {
	description := wire.FromJob(j)
	return Job{Ready: &description, AcceptedAt: accepted}
}

// Description returns the job as its user described it. Dependencies that Parts hold are
// not in it.
func (r *Job) Description() (*sched.Job, error) {
	switch {
	case r.Blocked != nil:
		return r.Blocked.Job()
	case r.Ready != nil:
		return r.Ready.Job()
	}
	return nil, ErrNoDescription
}

// Upper bounds of sizes in a part's value and commit, in bytes.
const (
	partBaseBytes  = 32 // of a part without entries
	partEntryBytes = 3  // of an entry's quotes and comma
	partKeyBytes   = 64 // of a part's key in a commit
)

// JobWrites returns the writes that accept a job, and an upper bound of the size of their
// values. A dependency list that does not fit in a value of valueBytes goes to Parts.
func JobWrites(j *sched.Job, accepted micros.Micros, valueBytes int) ([]kv.Write, int) {
	rec := NewJob(j, accepted)
	if len(j.Dependencies) > 0 {
		rec.Ready, rec.Blocked = nil, rec.Ready
	}
	size := kv.EncodedSizeBound(rec)
	if len(j.Dependencies) == 0 || size <= valueBytes {
		return []kv.Write{{Put: ActiveJobKey(j.ID), Value: rec}}, size
	}
	rec.Blocked.Dependencies = nil
	parts, partsSize := partWrites(j.ID, j.Dependencies, valueBytes)
	rec.DependencyParts = len(parts)
	writes := append([]kv.Write{{Put: ActiveJobKey(j.ID), Value: rec}}, parts...)
	return writes, partsSize + kv.EncodedSizeBound(rec)
}

// partWrites spreads a dependency list over as few parts as fit.
func partWrites(job string, ids []string, valueBytes int) (writes []kv.Write, size int) {
	for len(ids) > 0 {
		n, bytes := partLength(ids, valueBytes)
		writes = append(writes, kv.Write{Put: DependencyPartKey(job, len(writes)), Value: DependencyPart{ids[:n]}})
		size += bytes + partKeyBytes
		ids = ids[n:]
	}
	return writes, size
}

// partLength tells how many of the first ids fit in a part, at least one, and the size of
// the part.
func partLength(ids []string, valueBytes int) (n, bytes int) {
	bytes = partBaseBytes
	for n < len(ids) {
		entry := len(ids[n]) + partEntryBytes
		if n > 0 && bytes+entry > valueBytes {
			break
		}
		bytes += entry
		n++
	}
	return n, bytes
}
