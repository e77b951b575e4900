package commit

import (
	"maps"
	"slices"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
)

// Segments returns the completion segments. The caller must not change the list.
func (p *Pipeline) Segments() []*inventory.CompletionSegment { return p.segments }

// AddSegment adds a segment that was recovered from its record.
func (p *Pipeline) AddSegment(s *inventory.CompletionSegment) { p.segments = append(p.segments, s) }

// MarkChunkDirty marks the segment of a chunk as one that must be written.
func (p *Pipeline) MarkChunkDirty(j *inventory.Job, chunk int) {
	p.segmentFor(j, chunk).MarkDirty(p.host.Now())
}

// segmentFor returns the segment of a chunk. A new chunk is assigned to a segment first.
func (p *Pipeline) segmentFor(j *inventory.Job, chunk int) *inventory.CompletionSegment {
	if s := j.Segments[chunk]; s != nil {
		return s
	}
	s := p.segmentWithCapacity(j, chunk, nil)
	s.AddChunk(j, chunk)
	return s
}

// maxSegmentBytes returns how many bytes the chunks of a segment may take.
func (p *Pipeline) maxSegmentBytes() int {
	return p.settings.MaxValueBytes - inventory.SegmentSpareBytes
}

// segmentWithCapacity returns a segment that can take a chunk, and adds a segment if there is none.
// It skips segments that must not be written yet, and the segment from which the chunk is moved.
func (p *Pipeline) segmentWithCapacity(j *inventory.Job, chunk int, from *inventory.CompletionSegment) *inventory.CompletionSegment {
	for _, s := range p.segments {
		fits := s.Bytes+j.ChunkBytes(chunk) <= p.maxSegmentBytes()
		if s != from && s.Team == j.Team && s.UnwrittenTargets == 0 && fits {
			return s
		}
	}
	s := inventory.NewCompletionSegment(j.Team, record.FormatNumber(p.host.NextNumber()))
	p.AddSegment(s)
	return s
}

// MoveChunk moves a chunk to another segment. The record of the old one stays unchanged until the
// new one is written.
func (p *Pipeline) MoveChunk(from, to *inventory.CompletionSegment, j *inventory.Job, chunk int) {
	from.RemoveChunk(j, chunk)
	to.AddChunk(j, chunk)
	to.MarkDirty(p.host.Now())
	to.AddSource(from)
}

// EmptyOversizedSegments moves all chunks out of segments that were written when the value limit
// was higher, and could never be written again. These segments are deleted after the other segments
// are written.
func (p *Pipeline) EmptyOversizedSegments() {
	for _, s := range slices.Clone(p.segments) {
		if s.Bytes <= p.maxSegmentBytes() {
			continue
		}
		p.log.Info("completion segment exceeds the value limit", "segment", s.Key(), "bytes", s.Bytes, "chunks", len(s.Chunks))
		for _, k := range s.SortedChunks() {
			j := s.Chunks[k]
			p.MoveChunk(s, p.segmentWithCapacity(j, k.Chunk, s), j, k.Chunk)
		}
	}
}

// DropChunks removes the chunks of a job that has ended from their segments. The records are
// corrected when they are next written.
func (p *Pipeline) DropChunks(j *inventory.Job) {
	for chunk, s := range j.Segments {
		s.RemoveChunk(j, chunk)
	}
	clear(j.Segments)
}

// segmentWrite is one write of a segment.
type segmentWrite struct {
	pipeline  *Pipeline
	segment   *inventory.CompletionSegment
	sources   []*inventory.CompletionSegment // see inventory.CompletionSegment.Sources
	completed []*inventory.Attempt           // attempts whose completion the write records
}

// addSegment adds a segment's record to a transaction if it fits.
func (p *Pipeline) addSegment(t *Transaction, s *inventory.CompletionSegment) {
	preconditions := map[string]uint64{s.Key(): s.Version}
	size := s.Bytes + inventory.SegmentFrameBytes
	if !t.fits(preconditions, size, p.settings.MaxTransactionOps) {
		return
	}
	maps.Copy(t.preconditions, preconditions)
	t.putSized(s.Key(), s.Completions(), size)
	w := &segmentWrite{pipeline: p, segment: s, sources: s.Sources}
	s.Dirty, s.Writing, s.Sources = false, true, nil
	for _, k := range s.SortedChunks() {
		j := s.Chunks[k]
		w.completed = append(w.completed, j.UnrecordedCompletions[k.Chunk]...)
		delete(j.UnrecordedCompletions, k.Chunk)
	}
	t.OnResult(w.finish)
}

// finish handles the result of the transaction.
func (w *segmentWrite) finish(committed bool, revision uint64) {
	w.segment.Writing = false
	if !committed {
		w.rollBack()
		return
	}
	w.segment.Version = revision
	for _, source := range w.sources {
		source.UnwrittenTargets--
	}
	// The records of blocks contain these attempts until they are next written; when records are
	// read, a completion takes precedence over an attempt.
	for _, a := range w.completed {
		w.pipeline.inv.SetAttemptState(a, inventory.AttemptClosed)
	}
}

// rollBack marks the segment as dirty and its completions as unrecorded again.
func (w *segmentWrite) rollBack() {
	s := w.segment
	s.MarkDirty(w.pipeline.host.Now())
	s.Sources = append(s.Sources, w.sources...)
	for _, a := range w.completed {
		a.Job.AddUnrecordedCompletion(a)
	}
}
