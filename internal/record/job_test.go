package record

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

func jobID(n int) string { return fmt.Sprintf("req-%06d", n) }

func testJob(id string, dependencies ...string) *sched.Job {
	return &sched.Job{
		ID: id, Class: "work", Team: "red", Priority: sched.Normal, Tasks: 3, Need: sched.NewResources(2, 0, 2),
		Image: "img", ImageGB: 1, Estimate: 10 * micros.Second, Dependencies: dependencies,
	}
}

// TestDescription checks that a job survives encoding in its record, ready or blocked.
func TestDescription(t *testing.T) {
	for _, c := range []struct {
		name string
		job  *sched.Job
	}{
		{"ready", testJob(jobID(1))},
		{"blocked", testJob(jobID(1), jobID(2))},
	} {
		t.Run(c.name, func(t *testing.T) {
			writes, _ := JobWrites(c.job, 77, 8<<10)
			var rec Job
			if err := wire.Decode(wire.Encode(writes[0].Value), &rec); err != nil {
				t.Fatal(err)
			}
			got, err := rec.Description()
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(wire.Encode(wire.FromJob(got)), wire.Encode(wire.FromJob(c.job))) {
				t.Errorf("got %+v, want %+v", got, c.job)
			}
			if rec.AcceptedAt != 77 {
				t.Errorf("accepted at %d, want 77", rec.AcceptedAt)
			}
		})
	}
	t.Run("missing", func(t *testing.T) {
		if _, err := new(Job).Description(); !errors.Is(err, ErrNoDescription) {
			t.Errorf("error %v, want ErrNoDescription", err)
		}
	})
}
