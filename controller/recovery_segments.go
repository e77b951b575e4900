package controller

import (
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// recoverSegments takes over the shards of completed tasks.
func (o *owner) recoverSegments(entries []kv.Entry) {
	for _, e := range entries {
		o.recoverSegment(e)
	}
	o.commits.EmptyOversizedSegments()
}

// recoverSegment takes over one shard, if it is of a team of this owner.
func (o *owner) recoverSegment(e kv.Entry) {
	team, name, ok := o.splitSegmentKey(e.Key)
	if !ok {
		if o.ownsAllTeams() { // so it is of a team that is no more
			o.commits.DeleteLater(e.Key)
		}
		return
	}
	var rec record.CompletionSegment
	if err := wire.Decode(e.Value, &rec); err != nil {
		o.c.log.Error("record cannot be read", "key", e.Key, "error", err)
		return
	}
	s := inventory.NewCompletionSegment(team, name)
	s.Version = e.Version
	o.commits.AddSegment(s)
	for _, chunkName := range ordered.Keys(rec.Chunks) {
		o.recoverChunk(s, chunkName, rec.Chunks[chunkName])
	}
}

// recoverChunk takes over a chunk, unless its job has ended. It is in two shards if it was to
// move from one to the other: the shard that is read last gets it, and the other stays until
// that one has been written with what both say.
func (o *owner) recoverChunk(s *inventory.CompletionSegment, name, bits string) {
	id, chunk, ok := record.SplitChunkName(name)
	j := o.unblockPlacedJob(id)
	if !ok || j == nil || chunk*record.TasksPerChunk >= j.Tasks {
		return
	}
	if other := j.Segments[chunk]; other != nil {
		o.commits.MoveChunk(other, s, j, chunk)
	} else {
		s.AddChunk(j, chunk)
	}
	o.recoverCompletions(j, chunk, bits)
}

// recoverCompletions takes over the completed tasks of a chunk.
func (o *owner) recoverCompletions(j *inventory.Job, chunk int, bits string) {
	j.AllocateTaskStates()
	if err := j.Completed.MergeChunk(chunk, bits); err != nil {
		o.c.log.Error("record cannot be read", "job", j.ID, "chunk", chunk, "error", err)
		return
	}
	for i := chunk * record.TasksPerChunk; i < min((chunk+1)*record.TasksPerChunk, j.Tasks); i++ {
		if j.Completed.Has(i) {
			j.SetTaskState(i, inventory.TaskDone)
		}
	}
	j.EverPlaced = true
	if j.CompletedCount == j.Tasks {
		o.SetJobState(j, inventory.JobFinishing)
	}
}

// splitSegmentKey splits the key of a shard of this owner's teams.
func (o *owner) splitSegmentKey(key string) (team, name string, ok bool) {
	for team := range o.Teams {
		if name, ok := strings.CutPrefix(key, record.CompletionSegmentKey(team, "")); ok {
			return team, name, true
		}
	}
	return "", "", false
}
