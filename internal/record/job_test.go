package record

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

func jobName(n int) string { return fmt.Sprintf("req-%06d", n) }

func testJob(id string, awaits ...string) *sched.Job {
	return &sched.Job{
		ID: id, Class: "work", Team: "red", Priority: sched.Normal, Tasks: 3, Need: sched.NewResources(2, 0, 2),
		Image: "img", ImageGB: 1, Estimate: 10 * micros.Second, Dependencies: awaits,
	}
}

// TestPlainRecordStays guards the form that the version in production reads: the record of a
// job that awaits none has no field more, and that of one that does has no description where
// that version looks for it.
func TestPlainRecordStays(t *testing.T) {
	type old struct {
		Job      wire.Submission `cbor:"j"`
		Accepted int64           `cbor:"at"`
	}
	j := testJob(jobName(1))
	writes, _ := JobWrites(j, 77, 8<<10)
	want := wire.Encode(old{wire.FromJob(j), 77})
	if got := wire.Encode(writes[0].Value); len(writes) != 1 || !bytes.Equal(got, want) {
		t.Fatalf("written as %x, was %x", got, want)
	}
	writes, _ = JobWrites(testJob(jobName(1), jobName(2)), 77, 8<<10)
	var seen old
	if err := wire.Decode(wire.Encode(writes[0].Value), &seen); err != nil {
		t.Fatal(err)
	}
	if _, err := seen.Job.Job(); err == nil {
		t.Fatal("an older version could place a job that waits")
	}
}

// TestLongLists guards that every value of a job with a long list fits, and that no id of it
// is lost.
func TestLongLists(t *testing.T) {
	for _, limit := range []int{2 << 10, 8 << 10} {
		for _, n := range []int{1, 10, 60, 61, 150, 151, 300, 620, 1500} {
			var ids []string
			for i := range n {
				ids = append(ids, jobName(100+i))
			}
			s := fake.NewKVStore()
			s.MaxValueBytes = limit
			writes, size := JobWrites(testJob(jobName(1), ids...), 5, limit)
			var got []string
			for _, w := range writes {
				r, _ := s.Handle("n0", "POST", "/commit", kv.Transaction(nil, []kv.Write{w}).Body, true)
				if r.Status != 200 {
					t.Fatalf("%d ids in %d bytes: %s is refused with %d", n, limit, w.Put, r.Status)
				}
				if p, ok := w.Value.(DependencyPart); ok {
					got = append(got, p.JobIDs...)
				}
			}
			rec := writes[0].Value.(Job)
			if rec.DependencyParts != len(writes)-1 {
				t.Fatalf("%d ids: %d parts are %d writes", n, rec.DependencyParts, len(writes))
			}
			if rec.DependencyParts == 0 {
				got = *rec.Blocked.Dependencies
			}
			if !slices.Equal(got, ids) {
				t.Fatalf("%d ids become %d", n, len(got))
			}
			if body := len(kv.Transaction(nil, writes).Body); size < body {
				t.Fatalf("%d ids: a commit of %d bytes is taken for %d", n, body, size)
			}
		}
	}
}

// TestDescription guards that a job comes back from its record, ready or waiting.
func TestDescription(t *testing.T) {
	for _, job := range []*sched.Job{testJob("req-000001"), testJob("req-000001", "req-000002")} {
		writes, _ := JobWrites(job, 77, 8<<10)
		var rec Job
		if err := wire.Decode(wire.Encode(writes[0].Value), &rec); err != nil {
			t.Fatal(err)
		}
		got, err := rec.Description()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(wire.Encode(wire.FromJob(got)), wire.Encode(wire.FromJob(job))) || rec.AcceptedAt != 77 {
			t.Fatalf("%+v came back as %+v", job, got)
		}
	}
	if _, err := new(Job).Description(); !errors.Is(err, ErrNoDescription) {
		t.Fatalf("error %v", err)
	}
}
