package wire

import (
	"bytes"
	"math"
	"slices"
	"testing"

	"tamarindlead/sched"
)

func valid() map[string]any {
	return map[string]any{
		"ref": "req-000412", "queue": "train", "desk": "vision", "shape": "group", "urgency": "high",
		"legs": 16, "cpus": 8.0, "cards": 1, "memGb": 64.0, "bundle": "img", "sizeGb": 6.2,
		"builds": []string{"g8"}, "hall": nil, "samePlace": true, "apart": false, "loaners": true,
		"expectS": 240.0, "snapshotS": 30.0, "stowS": 4.0, "dueS": 900.0, "unknown": []any{1},
	}
}

func TestDecodeJob(t *testing.T) {
	j, err := DecodeJob(Encode(valid()))
	if err != nil {
		t.Fatal(err)
	}
	if !j.Gang || j.Priority != sched.High || j.Tasks != 16 || j.Need.CPU != 8e6 || !j.Allows("g8", "a", true) || j.Allows("g4", "a", true) {
		t.Fatalf("decoded as %+v", j)
	}
	back := FromJob(j)
	again, err := back.Job()
	if err != nil || again.Need != j.Need || again.Estimate != j.Estimate || again.Deadline != j.Deadline || again.Types[0] != "g8" {
		t.Fatalf("not kept: %+v, %v", again, err)
	}
}

func TestDecodeJobRefuses(t *testing.T) {
	cases := []struct {
		name, field string
		value       any
	}{
		{"form of ref", "ref", "job-1"}, {"no ref", "ref", nil}, {"ref with slash", "ref", "req-00041/2"},
		{"no tasks", "legs", 0}, {"negative tasks", "legs", -3}, {"too many tasks", "legs", 100_001},
		{"tasks as text", "legs", "16"}, {"broken number of tasks", "legs", 1.5},
		{"negative amount", "cpus", -1.0}, {"absurd amount", "cpus", 1e9}, {"not a number", "memGb", math.NaN()},
		{"infinite", "expectS", math.Inf(1)}, {"shape", "shape", "ring"}, {"urgency", "urgency", "now"},
		{"empty team", "desk", ""}, {"types as text", "builds", "g8"}, {"flag as number", "apart", 1},
		{"no flag", "loaners", nil}, {"empty zone", "hall", ""},
		{"awaits as text", "awaits", "req-000001"}, {"awaits as number", "awaits", 7}, {"awaits as map", "awaits", map[string]int{"req-000001": 1}},
		{"awaits numbers", "awaits", []int{1}}, {"awaits null", "awaits", []any{"req-000001", nil}}, {"awaits nothing", "awaits", []string{""}},
		{"awaits other form", "awaits", []string{"req-000001", "job-2"}}, {"awaits bytes", "awaits", [][]byte{[]byte("req-000001")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := valid()
			m[c.field] = c.value
			if j, err := DecodeJob(Encode(m)); err == nil {
				t.Fatalf("taken as %+v", j)
			}
		})
	}
	for name, data := range map[string][]byte{
		"empty": nil, "list": Encode([]int{1}), "cut off": Encode(valid())[:40],
		"trailing": append(Encode(valid()), 1), "text": []byte("{}"),
	} {
		if _, err := DecodeJob(data); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// TestDependencies guards that duplicates are one, that none has three forms, and that a job that
// awaits none is written as it always was.
func TestDependencies(t *testing.T) {
	for name, c := range map[string]struct {
		value any
		want  []string
	}{
		"absent": {}, "null": {value: nil}, "empty": {value: []string{}},
		"one":        {[]string{"req-000002"}, []string{"req-000002"}},
		"duplicates": {[]string{"req-000007", "req-000002", "req-000007"}, []string{"req-000002", "req-000007"}},
	} {
		m := valid()
		plain, err := DecodeJob(Encode(m))
		if err != nil {
			t.Fatal(err)
		}
		if name != "absent" {
			m["awaits"] = c.value
		}
		j, err := DecodeJob(Encode(m))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !slices.Equal(j.Dependencies, c.want) {
			t.Errorf("%s: taken as %v", name, j.Dependencies)
		}
		if same := bytes.Equal(Encode(FromJob(j)), Encode(FromJob(plain))); same != (c.want == nil) {
			t.Errorf("%s: written like a job that awaits none: %v", name, same)
		}
		back := FromJob(j)
		if again, err := back.Job(); err != nil || !slices.Equal(again.Dependencies, c.want) {
			t.Errorf("%s: not kept: %v", name, err)
		}
	}
}

func TestDecodeHeartbeatRefuses(t *testing.T) {
	good := Heartbeat{Machine: "m-000001", AgentEpoch: 1, HeartbeatSeq: 1}
	if _, err := DecodeHeartbeat(Encode(good)); err != nil {
		t.Fatal(err)
	}
	for name, r := range map[string]Heartbeat{
		"no name": {AgentEpoch: 1}, "no session": {Machine: "m-1"}, "name with a slash": {Machine: "a/b", AgentEpoch: 1},
	} {
		if _, err := DecodeHeartbeat(Encode(r)); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
