package recovery

import (
	"slices"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// segmentEntry returns the record of a segment.
func segmentEntry(team, name string, version uint64, chunks map[string]string) kv.Entry {
	return kv.Entry{
		Key: record.CompletionSegmentKey(team, name), Version: version,
		Value: wire.Encode(record.CompletionSegment{Chunks: chunks}),
	}
}

// completions returns the first chunk of a job in which some tasks are completed.
func completions(tasks int, completed ...int) string {
	bits := record.NewBitmap(tasks)
	for _, i := range completed {
		bits.Set(i)
	}
	return bits.Chunk(0)
}

// TestRecoverCompletions checks that the completions of several segments are merged, that a chunk
// in two segments is moved to the last one, and that a job whose tasks are all completed finishes.
func TestRecoverCompletions(t *testing.T) {
	o := newTestOwner(t)
	j, finished := o.addJob("req-000001", 10, false), o.addJob("req-000002", 2, false)
	blocked := newJob("req-000003", 3, false)
	o.blocked = blocked
	o.RecoverSegments([]kv.Entry{
		segmentEntry("red", "1", 20, map[string]string{
			record.ChunkName(j.ID, 0): completions(10, 1, 2), record.ChunkName(finished.ID, 0): completions(2, 0, 1),
		}),
		segmentEntry("red", "2", 19, map[string]string{
			record.ChunkName(j.ID, 0): completions(10, 2, 7), record.ChunkName(blocked.ID, 0): completions(3, 0),
		}),
	})
	want := []string{"segment 1", "segment 2", "move chunk of " + j.ID + " from 1 to 2", "empty oversized segments"}
	if !slices.Equal(o.actions, want) {
		t.Errorf("actions %q, want %q", o.actions, want)
	}
	if s := o.segments[0]; s.Team != "red" || s.Version != 20 || len(s.Chunks) != 1 || s.Dirty {
		t.Errorf("segment %+v, want a clean one of team red with version 20 and 1 chunk", s)
	}
	for i := range 10 {
		want := inventory.TaskPending
		if slices.Contains([]int{1, 2, 7}, i) {
			want = inventory.TaskDone
		}
		if got := j.TaskState(i); got != want {
			t.Errorf("task %d is %v, want %v", i, got, want)
		}
	}
	if j.CompletedCount != 3 || j.Pending != 7 || !j.EverPlaced || j.State != inventory.JobActive {
		t.Errorf("%d tasks are completed, %d pending, job is %v; want 3, 7, active", j.CompletedCount, j.Pending, j.State)
	}
	if finished.State != inventory.JobFinishing {
		t.Errorf("the finished job is %v, want finishing", finished.State)
	}
	if blocked.CompletedCount != 1 {
		t.Errorf("%d tasks of the blocked job are completed, want 1", blocked.CompletedCount)
	}
}

// TestRecoverLaterChunk checks that the completions of a chunk other than the first are applied to
// the tasks of that chunk.
func TestRecoverLaterChunk(t *testing.T) {
	const tasks = record.TasksPerChunk + 10
	o := newTestOwner(t)
	j := o.addJob("req-000001", tasks, false)
	bits := record.NewBitmap(tasks)
	bits.Set(1)
	bits.Set(tasks - 1)
	o.RecoverSegments([]kv.Entry{segmentEntry("red", "1", 20, map[string]string{record.ChunkName(j.ID, 1): bits.Chunk(1)})})
	if j.CompletedCount != 1 || j.TaskState(tasks-1) != inventory.TaskDone {
		t.Errorf("%d tasks are completed, the last one is %v; want 1, done", j.CompletedCount, j.TaskState(tasks-1))
	}
}

// TestIgnoredChunks checks that no task is completed by chunks that belong to no task of an active
// job or cannot be read.
func TestIgnoredChunks(t *testing.T) {
	for _, test := range []struct {
		name, chunk, bits string
		wantChunks        int
	}{
		{"of an ended job", record.ChunkName("req-000009", 0), completions(10, 1), 0},
		{"beyond the job's tasks", record.ChunkName("req-000001", 1), completions(10, 1), 0},
		{"without a number", "req-000001", completions(10, 1), 0},
		{"damaged", record.ChunkName("req-000001", 0), "*", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newTestOwner(t)
			j := o.addJob("req-000001", 10, false)
			o.RecoverSegments([]kv.Entry{segmentEntry("red", "1", 20, map[string]string{test.chunk: test.bits})})
			if len(o.segments) != 1 || len(o.segments[0].Chunks) != test.wantChunks {
				t.Errorf("segments %v, want one, with a chunk only if the chunk belongs to an active job", o.segments)
			}
			if j.CompletedCount != 0 || j.EverPlaced {
				t.Errorf("%d tasks are completed, placed %t; want 0, false", j.CompletedCount, j.EverPlaced)
			}
		})
	}
}

// TestForeignSegments checks that segments of another owner's teams are kept, and that segments of
// teams that do not exist are deleted if this owner owns all teams.
func TestForeignSegments(t *testing.T) {
	for _, ownsAllTeams := range []bool{false, true} {
		o := newTestOwner(t)
		o.ownsAllTeams = ownsAllTeams
		e := segmentEntry("blue", "1", 20, nil)
		o.RecoverSegments([]kv.Entry{e, {Key: record.CompletionSegmentKey("red", "2"), Value: []byte{0xff}}})
		want := []string{"empty oversized segments"}
		if ownsAllTeams {
			want = []string{"delete " + e.Key, "empty oversized segments"}
		}
		if !slices.Equal(o.actions, want) {
			t.Errorf("all teams %t: actions %q, want %q", ownsAllTeams, o.actions, want)
		}
	}
}
