package controller

import (
	"maps"
	"slices"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/record"
)

// segmentFor returns the shard of a chunk, and chooses one for a new chunk.
func (o *owner) segmentFor(j *inventory.Job, chunk int) *inventory.CompletionSegment {
	if s := j.Segments[chunk]; s != nil {
		return s
	}
	s := o.segmentWithRoom(j, chunk, nil)
	s.AddChunk(j, chunk)
	return s
}

// maxSegmentBytes is how much the chunks of a shard may take.
func (o *owner) maxSegmentBytes() int { return o.c.cfg.MaxValueBytes - inventory.SegmentSpareBytes }

// segmentWithRoom finds a shard that can take a chunk, or makes one. It may not be one that
// waits for others, nor the one that the chunk leaves.
func (o *owner) segmentWithRoom(j *inventory.Job, chunk int, from *inventory.CompletionSegment) *inventory.CompletionSegment {
	for _, s := range o.completionSegments {
		fits := s.Bytes+j.ChunkBytes(chunk) <= o.maxSegmentBytes()
		if s != from && s.Team == j.Team && s.UnwrittenTargets == 0 && fits {
			return s
		}
	}
	s := inventory.NewCompletionSegment(j.Team, record.FormatNumber(o.nextNumber()))
	o.completionSegments = append(o.completionSegments, s)
	return s
}

// moveChunk moves a chunk to another shard. The old one stays as it is until the new one has
// been written.
func (o *owner) moveChunk(from, to *inventory.CompletionSegment, j *inventory.Job, chunk int) {
	from.RemoveChunk(j, chunk)
	to.AddChunk(j, chunk)
	to.MarkDirty(o.c.now)
	if !slices.Contains(to.Sources, from) {
		to.Sources = append(to.Sources, from)
		from.UnwrittenTargets++
	}
}

// dropChunks takes a job that has ended out of its shards. Their records are corrected when
// they are written next.
func (o *owner) dropChunks(j *inventory.Job) {
	for chunk, s := range j.Segments {
		s.RemoveChunk(j, chunk)
	}
	clear(j.Segments)
}

// dropEmptySegments gives up records of completions that hold nothing any more. Their keys are
// never used again, so they can be deleted at leisure.
func (o *owner) dropEmptySegments() {
	o.completionSegments = slices.DeleteFunc(o.completionSegments, func(s *inventory.CompletionSegment) bool {
		if len(s.Chunks) > 0 || s.Writing || s.Version == 0 || s.UnwrittenTargets > 0 || len(s.Sources) > 0 {
			return false
		}
		o.obsoleteKeys = append(o.obsoleteKeys, s.Key())
		return true
	})
}

// segmentWrite is one write of a shard.
type segmentWrite struct {
	owner    *owner
	segment  *inventory.CompletionSegment
	sources  []*inventory.CompletionSegment // shards that chunks came from, see shard.sources
	finished []*inventory.Attempt           // those whose completion it records
}

// writeSegment adds a shard's record to a commit, if that has room for it.
func (o *owner) writeSegment(t *transaction, s *inventory.CompletionSegment) {
	guards := map[string]uint64{s.Key(): s.Version}
	size := s.Bytes + inventory.SegmentFrameBytes
	if !t.hasRoomFor(guards, size, o.c.cfg.MaxTransactionOps) {
		return
	}
	maps.Copy(t.preconditions, guards)
	t.write(s.Key(), s.Completions(), size)
	w := &segmentWrite{owner: o, segment: s, sources: s.Sources}
	s.Dirty, s.Writing, s.Sources = false, true, nil
	for _, k := range s.SortedChunks() {
		j := s.Chunks[k]
		w.finished = append(w.finished, j.UnrecordedCompletions[k.Chunk]...)
		delete(j.UnrecordedCompletions, k.Chunk)
	}
	t.results = append(t.results, w.finish)
}

// finish takes the result of the commit.
func (w *segmentWrite) finish(committed bool, revision uint64) {
	s := w.segment
	s.Writing = false
	if !committed {
		s.MarkDirty(w.owner.c.now)
		s.Sources = append(s.Sources, w.sources...)
		for _, a := range w.finished {
			a.Job.AddUnrecordedCompletion(a)
		}
		return
	}
	s.Version = revision
	for _, source := range w.sources {
		source.UnwrittenTargets--
	}
	for _, a := range w.finished {
		w.owner.handleCompletionRecorded(a)
	}
}
