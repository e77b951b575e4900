package record

import (
	"encoding/base64"
	"errors"
	"fmt"

	"tamarindlead/internal/wire"
)

// ErrChunkRange reports a chunk beyond the last task of its job.
var ErrChunkRange = errors.New("chunk is out of range")

// CompletionSegment records completed tasks of a team's active jobs. It holds chunks of several
// jobs, because the key-value store limits the rate of writes.
type CompletionSegment struct {
	Chunks map[string]string `cbor:"d"` // ChunkName -> Bitmap.Chunk
}

// TasksPerChunk is the number of tasks whose completion one chunk holds: small enough to be
// written often, and large enough that a job of 100,000 tasks needs few chunks.
const TasksPerChunk = 4096

// chunkBytes is the size of a chunk in a Bitmap.
const chunkBytes = TasksPerChunk / 8

// ChunkName returns the name of a job's chunk. It has the form of a task's name.
func ChunkName(job string, chunk int) string { return wire.TaskName(job, chunk) }

// SplitChunkName is the inverse of ChunkName.
func SplitChunkName(name string) (job string, chunk int, ok bool) { return wire.SplitTaskName(name) }

// chunkOverheadBytes bounds the size of a chunk's entry without the job's name and the chunk's
// bits: the chunk's number, quotes and punctuation.
const chunkOverheadBytes = 24

// ChunkSize returns an upper bound of the size of a job's chunk in a CompletionSegment, in
// bytes. tasks is the number of the job's tasks.
func ChunkSize(job string, tasks, chunk int) int {
	inChunk := min(TasksPerChunk, tasks-chunk*TasksPerChunk)
	return (inChunk+7)/8*4/3 + len(job) + chunkOverheadBytes
}

// Bitmap is the set of the indexes of a job's completed tasks.
type Bitmap []byte

// NewBitmap returns an empty set for a job with the given number of tasks.
func NewBitmap(tasks int) Bitmap { return make(Bitmap, (tasks+7)/8) }

// Has reports whether the set contains an index. It returns false for an index out of range.
func (b Bitmap) Has(index int) bool { return index/8 < len(b) && b[index/8]&(1<<(index%8)) != 0 }

// Set adds an index, which must be in range.
func (b Bitmap) Set(index int) { b[index/8] |= 1 << (index % 8) }

// Chunk returns a chunk of the set, encoded in base64.
func (b Bitmap) Chunk(chunk int) string {
	low, high := chunk*chunkBytes, min((chunk+1)*chunkBytes, len(b))
	return base64.StdEncoding.EncodeToString(b[low:high])
}

// MergeChunk adds the indexes of an encoded chunk. It removes none, because two records may hold
// the same chunk, and each of them may lack some completions.
func (b Bitmap) MergeChunk(chunk int, encoded string) error {
	bits, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("chunk %d: %w", chunk, corrupt(err))
	}
	low := chunk * chunkBytes
	if low > len(b) {
		return fmt.Errorf("chunk %d: %w", chunk, ErrChunkRange)
	}
	for i := range min(len(bits), len(b)-low) {
		b[low+i] |= bits[i]
	}
	return nil
}
