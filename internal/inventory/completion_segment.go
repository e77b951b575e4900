package inventory

import (
	"cmp"
	"maps"
	"slices"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// SegmentFrameBytes is the largest size of a segment's value without its chunks.
const SegmentFrameBytes = 64

// SegmentSpareBytes is the part of the size limit of values that is left free when chunks are added to
// a segment.
const SegmentSpareBytes = 2 * SegmentFrameBytes

// CompletionSegment is a record of completed tasks. It holds chunks of several jobs of one team.
type CompletionSegment struct {
	Team    string
	Name    string
	Version uint64            // of the record; 0 if it is not written yet
	Chunks  map[ChunkKey]*Job // the jobs of the chunks
	Bytes   int               // upper bound of the size of the chunks

	Dirty      bool // the segment must be written
	DirtySince micros.Micros
	Writing    bool // a transaction with the segment is in flight

	// Sources are the segments from which chunks were moved to this segment since its last write.
	Sources []*CompletionSegment
	// UnwrittenTargets counts the segments to which chunks of this segment were moved and which
	// have not been written since. Until they are, this segment must be neither written nor
	// deleted.
	UnwrittenTargets int
}

// ChunkKey identifies a chunk of a job's tasks.
type ChunkKey struct {
	Job   string
	Chunk int
}

// Name returns the chunk's name in the record.
func (k ChunkKey) Name() string { return record.ChunkName(k.Job, k.Chunk) }

// CompareChunks compares chunks by job and number.
func CompareChunks(a, b ChunkKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Chunk, b.Chunk))
}

// NewCompletionSegment returns a segment without chunks.
func NewCompletionSegment(team, name string) *CompletionSegment {
	return &CompletionSegment{Team: team, Name: name, Chunks: map[ChunkKey]*Job{}}
}

// Key returns the key of the segment's record.
func (s *CompletionSegment) Key() string { return record.CompletionSegmentKey(s.Team, s.Name) }

// SortedChunks returns the segment's chunks in order.
func (s *CompletionSegment) SortedChunks() []ChunkKey {
	return slices.SortedFunc(maps.Keys(s.Chunks), CompareChunks)
}

// MarkDirty marks the segment as one that must be written.
func (s *CompletionSegment) MarkDirty(now micros.Micros) {
	if !s.Dirty {
		s.Dirty, s.DirtySince = true, now
	}
}

// IsDue reports whether the segment must and may be written.
func (s *CompletionSegment) IsDue() bool { return s.Dirty && !s.Writing && s.UnwrittenTargets == 0 }

// IsRemovable reports whether the segment's record exists and can be deleted: the segment has no chunks
// and is not being written, and no move of chunks from or to it remains to be written.
func (s *CompletionSegment) IsRemovable() bool {
	return len(s.Chunks) == 0 && !s.Writing && s.Version != 0 && s.UnwrittenTargets == 0 && len(s.Sources) == 0
}

// AddSource records that chunks were moved from another segment, which must not be written before this
// one.
func (s *CompletionSegment) AddSource(from *CompletionSegment) {
	if !slices.Contains(s.Sources, from) {
		s.Sources = append(s.Sources, from)
		from.UnwrittenTargets++
	}
}

// AddChunk adds a chunk to the segment.
func (s *CompletionSegment) AddChunk(j *Job, chunk int) {
	s.Chunks[ChunkKey{j.ID, chunk}] = j
	s.Bytes += j.ChunkBytes(chunk)
	j.Segments[chunk] = s
}

// RemoveChunk removes a chunk from the segment. The caller assigns it to another segment or to
// none.
func (s *CompletionSegment) RemoveChunk(j *Job, chunk int) {
	delete(s.Chunks, ChunkKey{j.ID, chunk})
	s.Bytes -= j.ChunkBytes(chunk)
}

// Completions returns the value of the segment's record.
func (s *CompletionSegment) Completions() record.CompletionSegment {
	chunks := map[string]string{}
	for k, j := range s.Chunks {
		chunks[k.Name()] = j.Completed.Chunk(k.Chunk)
	}
	return record.CompletionSegment{Chunks: chunks}
}
