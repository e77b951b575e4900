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

// chunkBytes bounds what a chunk takes in its shard.
func (j *job) chunkBytes(chunk int) int { return record.ChunkSize(j.ID, j.Tasks, chunk) }

// noteFinished remembers that an attempt's completion must be recorded.
func (j *job) noteFinished(a *attempt) {
	chunk := a.index / record.TasksPerChunk
	j.unrecordedCompletions[chunk] = append(j.unrecordedCompletions[chunk], a)
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

// segmentFor returns the shard of a chunk, and chooses one for a new chunk.
func (o *owner) segmentFor(j *job, chunk int) *completionSegment {
	if s := j.segments[chunk]; s != nil {
		return s
	}
	s := o.segmentWithRoom(j, chunk, nil)
	s.addChunk(j, chunk)
	return s
}

// maxSegmentBytes is how much the chunks of a shard may take.
func (o *owner) maxSegmentBytes() int { return o.c.cfg.MaxValueBytes - segmentSpareBytes }

// segmentWithRoom finds a shard that can take a chunk, or makes one. It may not be one that
// waits for others, nor the one that the chunk leaves.
func (o *owner) segmentWithRoom(j *job, chunk int, from *completionSegment) *completionSegment {
	for _, s := range o.completionSegments {
		fits := s.bytes+j.chunkBytes(chunk) <= o.maxSegmentBytes()
		if s != from && s.team == j.Team && s.unwrittenTargets == 0 && fits {
			return s
		}
	}
	s := newCompletionSegment(j.Team, record.FormatNumber(o.nextNumber()))
	o.completionSegments = append(o.completionSegments, s)
	return s
}

// moveChunk moves a chunk to another shard. The old one stays as it is until the new one has
// been written.
func (o *owner) moveChunk(from, to *completionSegment, j *job, chunk int) {
	from.removeChunk(j, chunk)
	to.addChunk(j, chunk)
	to.markDirty(o.c.now)
	if !slices.Contains(to.sources, from) {
		to.sources = append(to.sources, from)
		from.unwrittenTargets++
	}
}

// dropChunks takes a job that has ended out of its shards. Their records are corrected when
// they are written next.
func (o *owner) dropChunks(j *job) {
	for chunk, s := range j.segments {
		s.removeChunk(j, chunk)
	}
	clear(j.segments)
}

// dropEmptySegments gives up records of completions that hold nothing any more. Their keys are
// never used again, so they can be deleted at leisure.
func (o *owner) dropEmptySegments() {
	o.completionSegments = slices.DeleteFunc(o.completionSegments, func(s *completionSegment) bool {
		if len(s.chunks) > 0 || s.writing || s.version == 0 || s.unwrittenTargets > 0 || len(s.sources) > 0 {
			return false
		}
		o.obsoleteKeys = append(o.obsoleteKeys, s.key())
		return true
	})
}

// segmentWrite is one write of a shard.
type segmentWrite struct {
	owner    *owner
	segment  *completionSegment
	sources  []*completionSegment // shards that chunks came from, see shard.sources
	finished []*attempt           // those whose completion it records
}

// writeSegment adds a shard's record to a commit, if that has room for it.
func (o *owner) writeSegment(t *transaction, s *completionSegment) {
	guards := map[string]uint64{s.key(): s.version}
	size := s.bytes + segmentFrameBytes
	if !t.hasRoomFor(guards, size, o.c.cfg.MaxTransactionOps) {
		return
	}
	maps.Copy(t.preconditions, guards)
	t.write(s.key(), s.completions(), size)
	w := &segmentWrite{owner: o, segment: s, sources: s.sources}
	s.dirty, s.writing, s.sources = false, true, nil
	for _, k := range s.sortedChunks() {
		j := s.chunks[k]
		w.finished = append(w.finished, j.unrecordedCompletions[k.chunk]...)
		delete(j.unrecordedCompletions, k.chunk)
	}
	t.results = append(t.results, w.finish)
}

// completions encodes the shard's chunks.
func (s *completionSegment) completions() record.CompletionSegment {
	chunks := map[string]string{}
	for k, j := range s.chunks {
		chunks[k.name()] = j.completed.Chunk(k.chunk)
	}
	return record.CompletionSegment{Chunks: chunks}
}

// finish takes the result of the commit.
func (w *segmentWrite) finish(committed bool, revision uint64) {
	s := w.segment
	s.writing = false
	if !committed {
		s.markDirty(w.owner.c.now)
		s.sources = append(s.sources, w.sources...)
		for _, a := range w.finished {
			a.job.noteFinished(a)
		}
		return
	}
	s.version = revision
	for _, source := range w.sources {
		source.unwrittenTargets--
	}
	for _, a := range w.finished {
		w.owner.handleCompletionRecorded(a)
	}
}
