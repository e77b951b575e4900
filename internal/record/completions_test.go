package record

import (
	"errors"
	"slices"
	"testing"

	"tamarindlead/internal/wire"
)

// TestChunks checks that the chunks of a set hold all its indexes, also those of the last chunk,
// which is shorter than the others.
func TestChunks(t *testing.T) {
	const tasks = 2*TasksPerChunk + 100
	want := []int{0, 7, 8, TasksPerChunk - 1, TasksPerChunk, 2 * TasksPerChunk, tasks - 1}
	from, to := NewBitmap(tasks), NewBitmap(tasks)
	for _, i := range want {
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
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestMergeChunk checks that merging never removes a completion, and rejects invalid chunks.
func TestMergeChunk(t *testing.T) {
	a, b := NewBitmap(20), NewBitmap(20)
	a.Set(3)
	b.Set(17)
	if err := a.MergeChunk(0, b.Chunk(0)); err != nil || !a.Has(3) || !a.Has(17) {
		t.Fatalf("merged to %v: %v; want tasks 3 and 17", a, err)
	}
	if err := a.MergeChunk(0, NewBitmap(8000).Chunk(0)); err != nil || !a.Has(3) { // from a larger job
		t.Fatalf("merged to %v: %v; want task 3 to be kept", a, err)
	}
	if err := a.MergeChunk(0, "*"); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("error %v, want ErrCorrupt", err)
	}
	if err := a.MergeChunk(1, b.Chunk(0)); !errors.Is(err, ErrChunkRange) {
		t.Fatalf("error %v, want ErrChunkRange", err)
	}
}

// TestChunkNames checks that valid names are parsed and invalid ones rejected.
func TestChunkNames(t *testing.T) {
	if job, chunk, ok := SplitChunkName(ChunkName("req-000001", 12)); job != "req-000001" || chunk != 12 || !ok {
		t.Fatalf("got %s, %d, %v; want req-000001, 12, true", job, chunk, ok)
	}
	for _, name := range []string{"", "req-000001", "req-000001/", "req-000001/x", "req-000001/-1"} {
		if _, _, ok := SplitChunkName(name); ok {
			t.Errorf("%q was accepted", name)
		}
	}
}

// TestChunkSize checks that ChunkSize is an upper bound of a chunk's encoded size.
func TestChunkSize(t *testing.T) {
	for _, tasks := range []int{1, 9, 100, TasksPerChunk, TasksPerChunk + 1, 25 * TasksPerChunk} {
		bits := NewBitmap(tasks)
		for chunk := 0; chunk*TasksPerChunk < tasks; chunk++ {
			name := ChunkName("req-000001", chunk)
			empty := len(wire.Encode(CompletionSegment{Chunks: map[string]string{}}))
			got := len(wire.Encode(CompletionSegment{Chunks: map[string]string{name: bits.Chunk(chunk)}})) - empty
			if bound := ChunkSize("req-000001", tasks, chunk); got > bound {
				t.Errorf("chunk %d of %d tasks takes %d bytes, want at most %d", chunk, tasks, got, bound)
			}
		}
	}
}
