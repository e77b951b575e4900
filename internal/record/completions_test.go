package record

import (
	"errors"
	"slices"
	"testing"

	"tamarindlead/internal/wire"
)

// TestChunks guards that completions come back chunk by chunk, the last being shorter.
func TestChunks(t *testing.T) {
	const tasks = 2*TasksPerChunk + 100
	done := []int{0, 7, 8, TasksPerChunk - 1, TasksPerChunk, 2 * TasksPerChunk, tasks - 1}
	from, to := NewBitmap(tasks), NewBitmap(tasks)
	for _, i := range done {
		from.Set(i)
	}
	for chunk := range 3 {
		if err := to.MergeChunk(chunk, from.Chunk(chunk)); err != nil {
			t.Fatal(err)
		}
	}
	var got []int
	for i := range tasks + 10 {
		if to.Has(i) {
			got = append(got, i)
		}
	}
	if !slices.Equal(got, done) {
		t.Fatalf("got %v, want %v", got, done)
	}
}

// TestMergeChunk guards that merging removes no completion, whatever the other record has.
func TestMergeChunk(t *testing.T) {
	a, b := NewBitmap(20), NewBitmap(20)
	a.Set(3)
	b.Set(17)
	if err := a.MergeChunk(0, b.Chunk(0)); err != nil || !a.Has(3) || !a.Has(17) {
		t.Fatalf("merged to %v: %v", a, err)
	}
	if err := a.MergeChunk(0, NewBitmap(8000).Chunk(0)); err != nil || !a.Has(3) { // of a larger job
		t.Fatalf("merged to %v: %v", a, err)
	}
	if err := a.MergeChunk(0, "*"); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("error %v", err)
	}
	if err := a.MergeChunk(1, b.Chunk(0)); !errors.Is(err, ErrChunkRange) {
		t.Fatalf("error %v", err)
	}
}

// TestChunkNames guards that names come back, and that damaged ones are noticed.
func TestChunkNames(t *testing.T) {
	if job, chunk, ok := SplitChunkName(ChunkName("req-000001", 12)); job != "req-000001" || chunk != 12 || !ok {
		t.Fatalf("got %s, %d, %v", job, chunk, ok)
	}
	for _, name := range []string{"", "req-000001", "req-000001/", "req-000001/x", "req-000001/-1"} {
		if _, _, ok := SplitChunkName(name); ok {
			t.Errorf("%q was read", name)
		}
	}
}

// TestChunkSize guards that a chunk takes no more of a value than ChunkSize tells.
func TestChunkSize(t *testing.T) {
	for _, tasks := range []int{1, 9, 100, TasksPerChunk, TasksPerChunk + 1, 25 * TasksPerChunk} {
		bits := NewBitmap(tasks)
		for chunk := 0; chunk*TasksPerChunk < tasks; chunk++ {
			name := ChunkName("req-000001", chunk)
			empty := len(wire.Encode(CompletionSegment{Chunks: map[string]string{}}))
			got := len(wire.Encode(CompletionSegment{Chunks: map[string]string{name: bits.Chunk(chunk)}})) - empty
			if most := ChunkSize("req-000001", tasks, chunk); got > most {
				t.Errorf("chunk %d of %d tasks takes %d bytes, not %d", chunk, tasks, got, most)
			}
		}
	}
}
