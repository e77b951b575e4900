package controller

import (
	"cmp"
	"maps"
	"slices"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// shardFrameBytes is what a shard's value takes besides its chunks, at most.
const shardFrameBytes = 64

// shardSpareBytes is left free in a value when chunks are added to a shard.
const shardSpareBytes = 2 * shardFrameBytes

// shard is a record of completed tasks at their owner. It holds chunks of several jobs of
// one team.
type shard struct {
	team    string
	name    string
	version uint64            // of the record; 0: not written yet
	chunks  map[chunkKey]*job // the jobs of the chunks
	bytes   int               // what the chunks take, at most

	dirty      bool // it must be written
	dirtySince micros.Micros
	writing    bool // a commit with it is under way

	// sources are the shards from which chunks came since the last write.
	sources []*shard
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
	j.finished[chunk] = append(j.finished[chunk], a)
}

// newShard makes a shard without chunks.
func newShard(team, name string) *shard {
	return &shard{team: team, name: name, chunks: map[chunkKey]*job{}}
}

// key is the key of the shard's record.
func (s *shard) key() string { return record.CompletionSegmentKey(s.team, s.name) }

// sortedChunks lists the shard's chunks in order.
func (s *shard) sortedChunks() []chunkKey {
	return slices.SortedFunc(maps.Keys(s.chunks), compareChunks)
}

// markDirty notes that the shard must be written.
func (s *shard) markDirty(now micros.Micros) {
	if !s.dirty {
		s.dirty, s.dirtySince = true, now
	}
}

// isDue tells whether the shard must and may be written.
func (s *shard) isDue() bool { return s.dirty && !s.writing && s.unwrittenTargets == 0 }

// add puts a chunk into the shard.
func (s *shard) add(j *job, chunk int) {
	s.chunks[chunkKey{j.ID, chunk}] = j
	s.bytes += j.chunkBytes(chunk)
	j.shards[chunk] = s
}

// remove takes a chunk out of the shard.
func (s *shard) remove(j *job, chunk int) {
	delete(s.chunks, chunkKey{j.ID, chunk})
	s.bytes -= j.chunkBytes(chunk)
}

// shardFor returns the shard of a chunk, and chooses one for a new chunk.
func (o *owner) shardFor(j *job, chunk int) *shard {
	if s := j.shards[chunk]; s != nil {
		return s
	}
	s := o.shardWithRoom(j, chunk, nil)
	s.add(j, chunk)
	return s
}

// maxShardBytes is how much the chunks of a shard may take.
func (o *owner) maxShardBytes() int { return o.c.cfg.MaxValueBytes - shardSpareBytes }

// shardWithRoom finds a shard that can take a chunk, or makes one. It may not be one that
// waits for others, nor the one that the chunk leaves.
func (o *owner) shardWithRoom(j *job, chunk int, from *shard) *shard {
	for _, s := range o.shards {
		fits := s.bytes+j.chunkBytes(chunk) <= o.maxShardBytes()
		if s != from && s.team == j.Team && s.unwrittenTargets == 0 && fits {
			return s
		}
	}
	s := newShard(j.Team, record.FormatNumber(o.nextNumber()))
	o.shards = append(o.shards, s)
	return s
}

// moveChunk moves a chunk to another shard. The old one stays as it is until the new one has
// been written.
func (o *owner) moveChunk(from, to *shard, j *job, chunk int) {
	from.remove(j, chunk)
	to.add(j, chunk)
	to.markDirty(o.c.now)
	if !slices.Contains(to.sources, from) {
		to.sources = append(to.sources, from)
		from.unwrittenTargets++
	}
}

// dropChunks takes a job that has ended out of its shards. Their records are corrected when
// they are written next.
func (o *owner) dropChunks(j *job) {
	for chunk, s := range j.shards {
		s.remove(j, chunk)
	}
	clear(j.shards)
}

// dropShards gives up records of completions that hold nothing any more. Their keys are
// never used again, so they can be deleted at leisure.
func (o *owner) dropShards() {
	o.shards = slices.DeleteFunc(o.shards, func(s *shard) bool {
		if len(s.chunks) > 0 || s.writing || s.version == 0 || s.unwrittenTargets > 0 || len(s.sources) > 0 {
			return false
		}
		o.obsoleteKeys = append(o.obsoleteKeys, s.key())
		return true
	})
}

// shardWrite is one write of a shard.
type shardWrite struct {
	owner    *owner
	shard    *shard
	sources  []*shard   // shards that chunks came from, see shard.sources
	finished []*attempt // those whose completion it records
}

// writeShard adds a shard's record to a commit, if that has room for it.
func (o *owner) writeShard(t *txn, s *shard) {
	guards := map[string]uint64{s.key(): s.version}
	size := s.bytes + shardFrameBytes
	if !t.takes(guards, size, o.c.cfg.MaxTransactionOps) {
		return
	}
	maps.Copy(t.guards, guards)
	t.write(s.key(), s.completions(), size)
	w := &shardWrite{owner: o, shard: s, sources: s.sources}
	s.dirty, s.writing, s.sources = false, true, nil
	for _, k := range s.sortedChunks() {
		j := s.chunks[k]
		w.finished = append(w.finished, j.finished[k.chunk]...)
		delete(j.finished, k.chunk)
	}
	t.results = append(t.results, w.finish)
}

// completions encodes the shard's chunks.
func (s *shard) completions() record.CompletionSegment {
	chunks := map[string]string{}
	for k, j := range s.chunks {
		chunks[k.name()] = j.done.Chunk(k.chunk)
	}
	return record.CompletionSegment{Chunks: chunks}
}

// finish takes the result of the commit.
func (w *shardWrite) finish(committed bool, revision uint64) {
	s := w.shard
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
		w.owner.finishedRecorded(a)
	}
}
