package controller

import (
	"maps"
	"slices"

	"tamarindlead/internal/record"
)

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
