package wire

import (
	"bytes"
	"math"
	"slices"
	"testing"

	"tamarindlead/sched"
)

// validSubmission returns the fields of a valid submission, by their names in the protocol.
func validSubmission() map[string]any {
	return map[string]any{
		"ref": "req-000412", "queue": "train", "desk": "vision", "shape": "group", "urgency": "high",
		"legs": 16, "cpus": 8.0, "cards": 1, "memGb": 64.0, "bundle": "img", "sizeGb": 6.2,
		"builds": []string{"g8"}, "hall": nil, "samePlace": true, "apart": false, "loaners": true,
		"expectS": 240.0, "snapshotS": 30.0, "stowS": 4.0, "dueS": 900.0, "unknown": []any{1},
	}
}

func TestDecodeJob(t *testing.T) {
	job, err := DecodeJob(Encode(validSubmission()))
	if err != nil {
		t.Fatal(err)
	}
	if !job.Gang || job.Priority != sched.High || job.Tasks != 16 || job.Need.CPU != 8e6 || !job.Allows("g8", "a", true) || job.Allows("g4", "a", true) {
		t.Fatalf("decoded as %+v", job)
	}
	submission := FromJob(job)
	again, err := submission.Job()
	if err != nil {
		t.Fatal(err)
	}
	if again.Need != job.Need || again.Estimate != job.Estimate || again.Deadline != job.Deadline || again.Types[0] != "g8" {
		t.Fatalf("%+v became %+v after encoding and decoding, want the same job", job, again)
	}
}

// TestDecodeJobRejectsField checks that a submission with one invalid field is rejected.
func TestDecodeJobRejectsField(t *testing.T) {
	for _, c := range []struct {
		name, field string
		value       any
	}{
		{"ID of another form", "ref", "job-1"},
		{"no ID", "ref", nil},
		{"ID with a slash", "ref", "req-00041/2"},
		{"no tasks", "legs", 0},
		{"negative tasks", "legs", -3},
		{"too many tasks", "legs", 100_001},
		{"tasks as text", "legs", "16"},
		{"fractional tasks", "legs", 1.5},
		{"negative amount", "cpus", -1.0},
		{"absurd amount", "cpus", 1e9},
		{"not a number", "memGb", math.NaN()},
		{"infinite estimate", "expectS", math.Inf(1)},
		{"unknown shape", "shape", "ring"},
		{"unknown priority", "urgency", "now"},
		{"empty team", "desk", ""},
		{"machine types as text", "builds", "g8"},
		{"flag as number", "apart", 1},
		{"no flag", "loaners", nil},
		{"empty zone", "hall", ""},
		{"dependencies as text", "awaits", "req-000001"},
		{"dependencies as number", "awaits", 7},
		{"dependencies as map", "awaits", map[string]int{"req-000001": 1}},
		{"dependency as number", "awaits", []int{1}},
		{"null dependency", "awaits", []any{"req-000001", nil}},
		{"empty dependency", "awaits", []string{""}},
		{"dependency of another form", "awaits", []string{"req-000001", "job-2"}},
		{"dependency as bytes", "awaits", [][]byte{[]byte("req-000001")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fields := validSubmission()
			fields[c.field] = c.value
			if job, err := DecodeJob(Encode(fields)); err == nil {
				t.Fatalf("accepted as %+v", job)
			}
		})
	}
}

// TestDecodeJobRejectsBody checks that bodies other than one CBOR map are rejected.
func TestDecodeJobRejectsBody(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty":     nil,
		"list":      Encode([]int{1}),
		"truncated": Encode(validSubmission())[:40],
		"trailing":  append(Encode(validSubmission()), 1),
		"text":      []byte("{}"),
	} {
		t.Run(name, func(t *testing.T) {
			if job, err := DecodeJob(data); err == nil {
				t.Errorf("accepted as %+v", job)
			}
		})
	}
}

// TestDependencies checks that duplicates are removed, that an absent, null or empty list means no
// dependencies, and that only a job with dependencies is encoded with the field.
func TestDependencies(t *testing.T) {
	plain, err := DecodeJob(Encode(validSubmission()))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		value any
		want  []string
	}{
		"absent":     {},
		"null":       {value: nil},
		"empty":      {value: []string{}},
		"one":        {[]string{"req-000002"}, []string{"req-000002"}},
		"duplicates": {[]string{"req-000007", "req-000002", "req-000007"}, []string{"req-000002", "req-000007"}},
	} {
		t.Run(name, func(t *testing.T) {
			fields := validSubmission()
			if name != "absent" {
				fields["awaits"] = c.value
			}
			job, err := DecodeJob(Encode(fields))
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(job.Dependencies, c.want) {
				t.Errorf("dependencies %v, want %v", job.Dependencies, c.want)
			}
			submission := FromJob(job)
			if same := bytes.Equal(Encode(submission), Encode(FromJob(plain))); same != (c.want == nil) {
				t.Errorf("encoded like a job without dependencies: %t, want true exactly if it has none", same)
			}
			again, err := submission.Job()
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(again.Dependencies, c.want) {
				t.Errorf("dependencies %v after encoding, want %v", again.Dependencies, c.want)
			}
		})
	}
}
