package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// recoverSegments takes over the shards of completed tasks.
func (o *owner) recoverSegments(entries []kv.Entry) {
	for _, e := range entries {
		o.recoverSegment(e)
	}
	o.emptyLargeSegments()
}

// recoverSegment takes over one shard, if it is of a team of this owner.
func (o *owner) recoverSegment(e kv.Entry) {
	team, name, ok := o.splitSegmentKey(e.Key)
	if !ok {
		if o.ownsAllTeams() { // so it is of a team that is no more
			o.obsoleteKeys = append(o.obsoleteKeys, e.Key)
		}
		return
	}
	var rec record.CompletionSegment
	if err := wire.Decode(e.Value, &rec); err != nil {
		o.c.log.Error("record cannot be read", "key", e.Key, "error", err)
		return
	}
	s := newCompletionSegment(team, name)
	s.version = e.Version
	o.completionSegments = append(o.completionSegments, s)
	for _, chunkName := range sortedKeys(rec.Chunks) {
		o.recoverChunk(s, chunkName, rec.Chunks[chunkName])
	}
}

// recoverChunk takes over a chunk, unless its job has ended. It is in two shards if it was to
// move from one to the other: the shard that is read last gets it, and the other stays until
// that one has been written with what both say.
func (o *owner) recoverChunk(s *completionSegment, name, bits string) {
	id, chunk, ok := record.SplitChunkName(name)
	j := o.unblockPlacedJob(id)
	if !ok || j == nil || chunk*record.TasksPerChunk >= j.Tasks {
		return
	}
	if other := j.segments[chunk]; other != nil {
		o.moveChunk(other, s, j, chunk)
	} else {
		s.addChunk(j, chunk)
	}
	o.recoverCompletions(j, chunk, bits)
}

// recoverCompletions takes over the completed tasks of a chunk.
func (o *owner) recoverCompletions(j *job, chunk int, bits string) {
	j.allocateTaskStates()
	if err := j.completed.MergeChunk(chunk, bits); err != nil {
		o.c.log.Error("record cannot be read", "job", j.ID, "chunk", chunk, "error", err)
		return
	}
	for i := chunk * record.TasksPerChunk; i < min((chunk+1)*record.TasksPerChunk, j.Tasks); i++ {
		if j.completed.Has(i) {
			j.setTaskState(i, taskDone)
		}
	}
	j.everPlaced = true
	if j.completedCount == j.Tasks {
		o.setJobState(j, jobFinishing)
	}
}

// emptyLargeSegments moves all chunks out of shards from the time of larger values, which could
// never be written again. They are deleted once the other shards are written.
func (o *owner) emptyLargeSegments() {
	for _, s := range slices.Clone(o.completionSegments) {
		if s.bytes <= o.maxSegmentBytes() {
			continue
		}
		o.c.log.Info("shard too large", "shard", s.key(), "bytes", s.bytes, "chunks", len(s.chunks))
		for _, k := range s.sortedChunks() {
			j := s.chunks[k]
			o.moveChunk(s, o.segmentWithRoom(j, k.chunk, s), j, k.chunk)
		}
	}
}

// splitSegmentKey splits the key of a shard of this owner's teams.
func (o *owner) splitSegmentKey(key string) (team, name string, ok bool) {
	for team := range o.teams {
		if name, ok := strings.CutPrefix(key, record.CompletionSegmentKey(team, "")); ok {
			return team, name, true
		}
	}
	return "", "", false
}
