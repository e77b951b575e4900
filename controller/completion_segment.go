package controller

import (
	"cmp"
	"maps"
	"slices"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// segmentFrameBytes is what a shard's value takes besides its chunks, at most.
const segmentFrameBytes = 64

// segmentSpareBytes is left free in a value when chunks are added to a shard.
const segmentSpareBytes = 2 * segmentFrameBytes

// completionSegment is a record of completed tasks at their owner. It holds chunks of several jobs of
// one team.
type completionSegment struct {
	team    string
	name    string
	version uint64            // of the record; 0: not written yet
	chunks  map[chunkKey]*job // the jobs of the chunks
	bytes   int               // what the chunks take, at most

	dirty      bool // it must be written
	dirtySince micros.Micros
	writing    bool // a commit with it is under way

	// sources are the shards from which chunks came since the last write.
	sources []*completionSegment
	// unwrittenTargets counts the shards to which chunks went and which are not written yet.
	// Until they are, this shard must be neither written nor deleted.
	unwrittenTargets int
}

// chunkKey names a chunk of a job's tasks.
type chunkKey struct {
	job   string
	chunk int
}

// name is the chunk's name in the record.
func (k chunkKey) name() string { return record.ChunkName(k.job, k.chunk) }

// compareChunks orders chunks by job and number.
func compareChunks(a, b chunkKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.chunk, b.chunk))
}

// newCompletionSegment makes a shard without chunks.
func newCompletionSegment(team, name string) *completionSegment {
	return &completionSegment{team: team, name: name, chunks: map[chunkKey]*job{}}
}

// key is the key of the shard's record.
func (s *completionSegment) key() string { return record.CompletionSegmentKey(s.team, s.name) }

// sortedChunks lists the shard's chunks in order.
func (s *completionSegment) sortedChunks() []chunkKey {
	return slices.SortedFunc(maps.Keys(s.chunks), compareChunks)
}

// markDirty notes that the shard must be written.
func (s *completionSegment) markDirty(now micros.Micros) {
	if !s.dirty {
		s.dirty, s.dirtySince = true, now
	}
}

// isDue tells whether the shard must and may be written.
func (s *completionSegment) isDue() bool { return s.dirty && !s.writing && s.unwrittenTargets == 0 }

// addChunk puts a chunk into the shard.
func (s *completionSegment) addChunk(j *job, chunk int) {
	s.chunks[chunkKey{j.ID, chunk}] = j
	s.bytes += j.chunkBytes(chunk)
	j.segments[chunk] = s
}

// removeChunk takes a chunk out of the shard.
func (s *completionSegment) removeChunk(j *job, chunk int) {
	delete(s.chunks, chunkKey{j.ID, chunk})
	s.bytes -= j.chunkBytes(chunk)
}

// completions encodes the shard's chunks.
func (s *completionSegment) completions() record.CompletionSegment {
	chunks := map[string]string{}
	for k, j := range s.chunks {
		chunks[k.name()] = j.completed.Chunk(k.chunk)
	}
	return record.CompletionSegment{Chunks: chunks}
}
