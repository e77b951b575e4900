package wire

import (
	"math"
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

func TestDecodeReportRefuses(t *testing.T) {
	good := Report{Machine: "m-000001", Session: 1, Seq: 1}
	if _, err := DecodeReport(Encode(good)); err != nil {
		t.Fatal(err)
	}
	for name, r := range map[string]Report{
		"no name": {Session: 1}, "no session": {Machine: "m-1"}, "name with a slash": {Machine: "a/b", Session: 1},
	} {
		if _, err := DecodeReport(Encode(r)); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
