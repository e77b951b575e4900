package recovery

import (
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// RecoverSegments adds the completion segments of this owner's teams. Jobs must have been recovered.
func (r *Recovery) RecoverSegments(entries []kv.Entry) {
	for _, e := range entries {
		r.recoverSegment(e)
	}
	r.pipeline.EmptyOversizedSegments()
}

// recoverSegment adds a segment, if it belongs to a team of this owner.
func (r *Recovery) recoverSegment(e kv.Entry) {
	team, name, ok := r.splitSegmentKey(e.Key)
	if !ok {
		if r.pipeline.OwnsAllTeams() { // then the team no longer exists
			r.pipeline.DeleteLater(e.Key)
		}
		return
	}
	var rec record.CompletionSegment
	if err := wire.Decode(e.Value, &rec); err != nil {
		r.log.Error("record cannot be read", "key", e.Key, "error", err)
		return
	}
	s := inventory.NewCompletionSegment(team, name)
	s.Version = e.Version
	r.pipeline.AddSegment(s)
	for _, chunkName := range ordered.Keys(rec.Chunks) {
		r.recoverChunk(s, chunkName, rec.Chunks[chunkName])
	}
}

// recoverChunk adds a chunk, unless its job has ended. A chunk is in two segments if its move from
// one to the other was not completed. It is assigned to the segment that is read last, and the
// other record is kept until that segment has been written with the completions of both.
func (r *Recovery) recoverChunk(s *inventory.CompletionSegment, name, bits string) {
	id, chunk, ok := record.SplitChunkName(name)
	j := r.host.PlacedJob(id)
	if !ok || j == nil || chunk*record.TasksPerChunk >= j.Tasks {
		return
	}
	if other := j.Segments[chunk]; other != nil {
		r.pipeline.MoveChunk(other, s, j, chunk)
	} else {
		s.AddChunk(j, chunk)
	}
	r.recoverCompletions(s, j, chunk, bits)
}

// recoverCompletions adds the completed tasks of a chunk of a segment.
func (r *Recovery) recoverCompletions(s *inventory.CompletionSegment, j *inventory.Job, chunk int, bits string) {
	j.AllocateTaskStates()
	if err := j.Completed.MergeChunk(chunk, bits); err != nil {
		r.log.Error("record cannot be read", "key", s.Key(), "job", j.ID, "chunk", chunk, "error", err)
		return
	}
	for i := chunk * record.TasksPerChunk; i < min((chunk+1)*record.TasksPerChunk, j.Tasks); i++ {
		if j.Completed.Has(i) {
			j.SetTaskState(i, inventory.TaskDone)
		}
	}
	j.EverPlaced = true
	if j.CompletedCount == j.Tasks {
		r.inv.SetJobState(j, inventory.JobFinishing)
	}
}

// splitSegmentKey returns the team and the name of a segment. It reports false if the segment
// belongs to none of this owner's teams.
func (r *Recovery) splitSegmentKey(key string) (team, name string, ok bool) {
	for team := range r.inv.Teams {
		if name, ok := strings.CutPrefix(key, record.CompletionSegmentKey(team, "")); ok {
			return team, name, true
		}
	}
	return "", "", false
}
