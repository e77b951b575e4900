package record

import (
	"encoding/base64"
	"errors"
	"fmt"

	"tamarindlead/internal/wire"
)

// ErrChunkRange reports a chunk that lies behind the end of its job.
var ErrChunkRange = errors.New("chunk is out of range")

// CompletionSegment is a shard of completed tasks of a team's active jobs. It holds chunks of
// several jobs.
type CompletionSegment struct {
	Chunks map[string]string `cbor:"d"` // ChunkName -> bits of the chunk, in base64
}

// TasksPerChunk is how many tasks' completion one chunk holds: small enough to write often,
// large enough that a job of 100,000 tasks needs few chunks.
const TasksPerChunk = 4096

// chunkBytes is the size of a chunk's bits.
const chunkBytes = TasksPerChunk / 8

// ChunkName names a chunk of a job. It has the form of a task's name.
func ChunkName(job string, chunk int) string { return wire.TaskName(job, chunk) }

// SplitChunkName is the inverse of ChunkName.
func SplitChunkName(name string) (job string, chunk int, ok bool) { return wire.SplitTaskName(name) }

// chunkNameBytes bounds what a chunk's entry takes besides the job's name and its bits: the
// chunk's number, quotes and punctuation.
const chunkNameBytes = 24

// ChunkSize bounds the bytes that a chunk of a job with this many tasks takes in Completions.
func ChunkSize(job string, tasks, chunk int) int {
	inChunk := min(TasksPerChunk, tasks-chunk*TasksPerChunk)
	return (inChunk+7)/8*4/3 + len(job) + chunkNameBytes
}

// Bitmap is the set of completed tasks of a job, by their indexes.
type Bitmap []byte

// NewBitmap returns an empty set that can hold the indexes of a job's tasks.
func NewBitmap(tasks int) Bitmap { return make(Bitmap, (tasks+7)/8) }

// Has tells whether the set contains an index. An index out of range is in no set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set adds an index, which must be in range.
func (b Bitmap) Set(i int) { b[i/8] |= 1 << (i % 8) }

// Chunk encodes a chunk of the set.
func (b Bitmap) Chunk(chunk int) string {
	low, high := chunk*chunkBytes, min((chunk+1)*chunkBytes, len(b))
	return base64.StdEncoding.EncodeToString(b[low:high])
}

// MergeChunk adds what an encoded chunk holds. Nothing is removed: a chunk may be in two
// records, each of which lacks some completions.
func (b Bitmap) MergeChunk(chunk int, text string) error {
	bits, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("chunk %d: %w: %w", chunk, ErrCorrupt, err)
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
