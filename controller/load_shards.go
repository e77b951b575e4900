package controller

import (
	"maps"
	"slices"
	"strings"

	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
)

// loadDone takes the completed tasks from a shard's record.
func (o *owner) loadDone(entries []state.Entry) {
	for _, e := range entries {
		team, name, ok := o.splitShardKey(e.Key)
		if !ok {
			if o.ownsAllTeams() {
				o.garbage = append(o.garbage, e.Key)
			}
			continue
		}
		var rec record.Completions
		if wire.Decode(e.Value, &rec) != nil {
			o.c.log.Error("record cannot be read", "key", e.Key)
			continue
		}
		s := &shard{team: team, name: name, version: e.Version, chunks: map[chunkKey]*job{}}
		o.shards = append(o.shards, s)
		for _, name := range sortedKeys(rec.Chunks) {
			id, chunk, ok := record.SplitChunkName(name)
			j := o.placedJob(id)
			if !ok || j == nil || chunk*record.ChunkTasks >= j.Tasks {
				continue // over since
			}
			// It is in two shards if it was to change its shard: the one read last keeps it,
			// and the other stays until that one has been written with what both say.
			if old := j.shards[chunk]; old != nil {
				o.moveChunk(old, s, j, chunk)
			} else {
				o.keep(s, j, chunk)
			}
			o.loadChunk(j, chunk, rec.Chunks[name])
		}
	}
	// Shards from the time of larger values could never be written again: what they hold goes
	// to others, and they go once those are written.
	for _, s := range slices.Clone(o.shards) {
		if s.bytes <= o.shardMost() {
			continue
		}
		o.c.log.Info("shard too large", "shard", s.key(), "bytes", s.bytes, "chunks", len(s.chunks))
		for _, k := range slices.SortedFunc(maps.Keys(s.chunks), compareChunks) {
			j := s.chunks[k]
			o.moveChunk(s, o.shardWithRoom(j, k.chunk, s), j, k.chunk)
		}
	}
}

func (o *owner) loadChunk(j *job, chunk int, bits string) {
	j.unfold()
	if err := j.done.MergeChunk(chunk, bits); err != nil {
		o.c.log.Error("record cannot be read", "job", j.ID, "chunk", chunk, "error", err)
		return
	}
	for i := chunk * record.ChunkTasks; i < min((chunk+1)*record.ChunkTasks, j.Tasks); i++ {
		if j.done.Has(i) {
			j.setTask(i, taskDone)
		}
	}
	j.began = true
	if j.doneN == j.Tasks {
		o.setJob(j, jobFinishing)
	}
}

func (o *owner) splitShardKey(key string) (team, name string, ok bool) {
	for team := range o.teams {
		if name, ok := strings.CutPrefix(key, record.CompletionsKey(team, "")); ok {
			return team, name, true
		}
	}
	return "", "", false
}
