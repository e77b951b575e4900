package record

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
)

// TestJobReadableByProductionVersion checks that the version in production reads job records
// correctly: the record of a job without dependencies has exactly the fields that this version
// expects, and the record of a job with dependencies lacks the field in which it expects the
// description, so that it cannot place the job.
func TestJobReadableByProductionVersion(t *testing.T) {
	type productionJob struct {
		Job      wire.Submission `cbor:"j"`
		Accepted int64           `cbor:"at"`
	}
	t.Run("ready", func(t *testing.T) {
		job := testJob(jobID(1))
		writes, _ := JobWrites(job, 77, 8<<10)
		if len(writes) != 1 {
			t.Fatalf("%d writes, want 1", len(writes))
		}
		want := wire.Encode(productionJob{wire.FromJob(job), 77})
		if got := wire.Encode(writes[0].Value); !bytes.Equal(got, want) {
			t.Fatalf("encoded as %x, want %x", got, want)
		}
	})
	t.Run("blocked", func(t *testing.T) {
		writes, _ := JobWrites(testJob(jobID(1), jobID(2)), 77, 8<<10)
		var decoded productionJob
		if err := wire.Decode(wire.Encode(writes[0].Value), &decoded); err != nil {
			t.Fatal(err)
		}
		if _, err := decoded.Job.Job(); err == nil {
			t.Fatal("the version in production could place a blocked job")
		}
	})
}

// TestLongDependencyLists checks that the writes of a job with many dependencies fit the store's
// value limit and hold all dependencies, and that their size is within the returned bound.
func TestLongDependencyLists(t *testing.T) {
	for _, valueBytes := range []int{2 << 10, 8 << 10} {
		for _, n := range []int{1, 10, 60, 61, 150, 151, 300, 620, 1500} {
			t.Run(fmt.Sprintf("%d ids in values of %d bytes", n, valueBytes), func(t *testing.T) {
				var ids []string
				for i := range n {
					ids = append(ids, jobID(100+i))
				}
				writes, size := JobWrites(testJob(jobID(1), ids...), 5, valueBytes)
				commitEach(t, writes, valueBytes)
				if got := writtenDependencies(t, writes); !slices.Equal(got, ids) {
					t.Fatalf("%d dependencies are written, want %d", len(got), len(ids))
				}
				if body := len(kv.Transaction(nil, writes).Body); size < body {
					t.Fatalf("a transaction of %d bytes exceeds the bound of %d", body, size)
				}
			})
		}
	}
}

// commitEach commits each write to a store with a value limit.
func commitEach(t *testing.T, writes []kv.Write, valueBytes int) {
	t.Helper()
	store := fake.NewKVStore()
	store.MaxValueBytes = valueBytes
	for _, w := range writes {
		request := kv.Transaction(nil, []kv.Write{w})
		if r, _ := store.Handle("n0", request.Method, request.Target, request.Body, true); r.Status != 200 {
			t.Fatalf("the write of %s has status %d", w.Put, r.Status)
		}
	}
}

// writtenDependencies returns the dependencies in the writes of a job.
func writtenDependencies(t *testing.T, writes []kv.Write) []string {
	t.Helper()
	rec := writes[0].Value.(Job)
	if rec.DependencyParts != len(writes)-1 {
		t.Fatalf("the record has %d parts, %d are written", rec.DependencyParts, len(writes)-1)
	}
	if rec.DependencyParts == 0 {
		return *rec.Blocked.Dependencies
	}
	var ids []string
	for _, w := range writes[1:] {
		ids = append(ids, w.Value.(DependencyPart).JobIDs...)
	}
	return ids
}
