package inventory

import (
	"cmp"
	"maps"
	"slices"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// SegmentFrameBytes is what a shard's value takes besides its chunks, at most.
const SegmentFrameBytes = 64

// SegmentSpareBytes is left free in a value when chunks are added to a shard.
const SegmentSpareBytes = 2 * SegmentFrameBytes

// CompletionSegment is a record of completed tasks at their owner. It holds chunks of several jobs of
// one team.
type CompletionSegment struct {
	Team    string
	Name    string
	Version uint64            // of the record; 0: not written yet
	Chunks  map[ChunkKey]*Job // the jobs of the chunks
	Bytes   int               // what the chunks take, at most

	Dirty      bool // it must be written
	DirtySince micros.Micros
	Writing    bool // a commit with it is under way

	// Sources are the shards from which chunks came since the last write.
	Sources []*CompletionSegment
	// UnwrittenTargets counts the shards to which chunks went and which are not written yet.
	// Until they are, this shard must be neither written nor deleted.
	UnwrittenTargets int
}

// ChunkKey names a chunk of a job's tasks.
type ChunkKey struct {
	Job   string
	Chunk int
}

// Name is the chunk's name in the record.
func (k ChunkKey) Name() string { return record.ChunkName(k.Job, k.Chunk) }

// CompareChunks orders chunks by job and number.
func CompareChunks(a, b ChunkKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Chunk, b.Chunk))
}

// NewCompletionSegment makes a shard without chunks.
func NewCompletionSegment(team, name string) *CompletionSegment {
	return &CompletionSegment{Team: team, Name: name, Chunks: map[ChunkKey]*Job{}}
}

// Key is the key of the shard's record.
func (s *CompletionSegment) Key() string { return record.CompletionSegmentKey(s.Team, s.Name) }

// SortedChunks lists the shard's chunks in order.
func (s *CompletionSegment) SortedChunks() []ChunkKey {
	return slices.SortedFunc(maps.Keys(s.Chunks), CompareChunks)
}

// MarkDirty notes that the shard must be written.
func (s *CompletionSegment) MarkDirty(now micros.Micros) {
	if !s.Dirty {
		s.Dirty, s.DirtySince = true, now
	}
}

// IsDue tells whether the shard must and may be written.
func (s *CompletionSegment) IsDue() bool { return s.Dirty && !s.Writing && s.UnwrittenTargets == 0 }

// IsRemovable reports whether the segment is recorded, holds nothing and is not needed for others.
func (s *CompletionSegment) IsRemovable() bool {
	return len(s.Chunks) == 0 && !s.Writing && s.Version != 0 && s.UnwrittenTargets == 0 && len(s.Sources) == 0
}

// AddSource records that chunks came from another segment, which must not be written before this one.
func (s *CompletionSegment) AddSource(from *CompletionSegment) {
	if !slices.Contains(s.Sources, from) {
		s.Sources = append(s.Sources, from)
		from.UnwrittenTargets++
	}
}

// AddChunk puts a chunk into the shard.
func (s *CompletionSegment) AddChunk(j *Job, chunk int) {
	s.Chunks[ChunkKey{j.ID, chunk}] = j
	s.Bytes += j.ChunkBytes(chunk)
	j.Segments[chunk] = s
}

// RemoveChunk takes a chunk out of the shard.
func (s *CompletionSegment) RemoveChunk(j *Job, chunk int) {
	delete(s.Chunks, ChunkKey{j.ID, chunk})
	s.Bytes -= j.ChunkBytes(chunk)
}

// Completions encodes the shard's chunks.
func (s *CompletionSegment) Completions() record.CompletionSegment {
	chunks := map[string]string{}
	for k, j := range s.Chunks {
		chunks[k.Name()] = j.Completed.Chunk(k.Chunk)
	}
	return record.CompletionSegment{Chunks: chunks}
}
