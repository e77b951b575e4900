package controller

import (
	"cmp"
	"maps"
	"slices"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// shard is a record of completed tasks at their owner. It holds chunks of several jobs.
type shard struct {
	team    string
	name    string
	version uint64
	chunks  map[chunkKey]*job
	bytes   int
	dirty   bool
	since   micros.Micros // dirty
	writing bool
	left    []*shard // of chunks that came from these, until the record says so
	behind  int      // new records of chunks that left it which are not written yet: it must wait
}

// markDirty notes that the shard must be written.
func (s *shard) markDirty(now micros.Micros) {
	if !s.dirty {
		s.dirty, s.since = true, now
	}
}

type chunkKey struct {
	job   string
	chunk int
}

func (k chunkKey) name() string { return record.ChunkName(k.job, k.chunk) }

func (s *shard) key() string { return record.CompletionsKey(s.team, s.name) }

// chunkBytes bounds what a chunk takes in its shard.
func (j *job) chunkBytes(chunk int) int {
	return record.ChunkSize(j.ID, j.Tasks, chunk)
}

// shardFor finds the shard of a chunk, or chooses one.
func (o *owner) shardFor(j *job, chunk int) *shard {
	if s := j.shards[chunk]; s != nil {
		return s
	}
	s := o.shardWithRoom(j, chunk, nil)
	o.keep(s, j, chunk)
	return s
}

// shardMost is how much the chunks of a shard may take.
func (o *owner) shardMost() int { return o.c.cfg.ValueBytes - 128 }

// shardWithRoom finds a shard that can take a chunk, or makes one. It may not be one that
// waits for others, nor the one from which the chunk goes.
func (o *owner) shardWithRoom(j *job, chunk int, from *shard) *shard {
	for _, s := range o.shards {
		if s != from && s.team == j.Team && s.behind == 0 && s.bytes+j.chunkBytes(chunk) <= o.shardMost() {
			return s
		}
	}
	s := &shard{team: j.Team, name: record.NumberName(o.nextNumber()), chunks: map[chunkKey]*job{}}
	o.shards = append(o.shards, s)
	return s
}

func (o *owner) keep(s *shard, j *job, chunk int) {
	s.chunks[chunkKey{j.ID, chunk}] = j
	s.bytes += j.chunkBytes(chunk)
	j.shards[chunk] = s
}

// dropChunks takes a job that is over out of its shards. Their records are corrected
// when they are written next.
func (o *owner) dropChunks(j *job) {
	for chunk, s := range j.shards {
		delete(s.chunks, chunkKey{j.ID, chunk})
		s.bytes -= j.chunkBytes(chunk)
	}
	clear(j.shards)
}

// writeShard records completions of jobs that go on.
func (o *owner) writeShard(t *txn, s *shard) {
	guards := map[string]uint64{s.key(): s.version}
	rec := record.Completions{Chunks: map[string]string{}}
	for k, j := range s.chunks {
		rec.Chunks[k.name()] = j.done.Chunk(k.chunk)
	}
	if !t.takes(guards, s.bytes+64, o.c.cfg.TxnOps) {
		return
	}
	maps.Copy(t.guards, guards)
	t.write(s.key(), rec, s.bytes+64)
	s.dirty, s.writing = false, true
	left := s.left
	s.left = nil
	var finished []*attempt
	for _, k := range slices.SortedFunc(maps.Keys(s.chunks), compareChunks) {
		finished = append(finished, s.chunks[k].finished[k.chunk]...)
		delete(s.chunks[k].finished, k.chunk)
	}
	t.results = append(t.results, func(ok bool, rev uint64) {
		s.writing = false
		if !ok {
			s.markDirty(o.c.now)
			s.left = append(s.left, left...)
			for _, a := range finished {
				a.job.noteFinished(a)
			}
			return
		}
		s.version = rev
		for _, old := range left {
			old.behind--
		}
		for _, a := range finished {
			o.finishedRecorded(a)
		}
	})
}

func compareChunks(a, b chunkKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.chunk, b.chunk))
}

// noteFinished remembers that an attempt's completion must be recorded.
func (j *job) noteFinished(a *attempt) {
	chunk := a.index / record.ChunkTasks
	j.finished[chunk] = append(j.finished[chunk], a)
}

// dropShards gives up records of completions that hold nothing any more. Their keys are
// never used again, so they can be deleted at leisure.
func (o *owner) dropShards() {
	o.shards = slices.DeleteFunc(o.shards, func(s *shard) bool {
		if len(s.chunks) > 0 || s.writing || s.version == 0 || s.behind > 0 || len(s.left) > 0 {
			return false
		}
		o.garbage = append(o.garbage, s.key())
		return true
	})
}

// moveChunk lets another shard hold a chunk.
func (o *owner) moveChunk(from, to *shard, j *job, chunk int) {
	delete(from.chunks, chunkKey{j.ID, chunk})
	from.bytes -= j.chunkBytes(chunk)
	o.keep(to, j, chunk)
	to.markDirty(o.c.now)
	if !slices.Contains(to.left, from) {
		to.left = append(to.left, from)
		from.behind++
	}
}
