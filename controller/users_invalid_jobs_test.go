package controller

import (
	"math"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// invalidJob is a submission that must not be accepted.
type invalidJob struct {
	id, reason string
	body       []byte
}

// invalidValues are invalid values of fields of a submission.
var invalidValues = []struct {
	field string
	value any
}{
	{"legs", 0},
	{"legs", -1},
	{"legs", 100001},
	{"legs", 1.5},
	{"legs", "2"},
	{"cpus", -1.0},
	{"cpus", "1"},
	{"cpus", nil},
	{"cpus", math.NaN()},
	{"cards", -1.0},
	{"memGb", math.Inf(1)},
	{"shape", "heap"},
	{"shape", 1},
	{"urgency", "soon"},
	{"queue", 7},
	{"desk", []string{"red"}},
	{"samePlace", "yes"},
	{"apart", 1},
	{"loaners", nil},
	{"builds", "small"},
	{"builds", []int{1}},
	{"hall", 3},
	{"expectS", "long"},
	{"expectS", -5.0},
	{"snapshotS", -1.0},
	{"stowS", nil},
	{"dueS", "soon"},
	{"sizeGb", -2.0},
	{"bundle", false},
}

// sendInvalidJob submits a job that must be permanently refused: with 400 if it is malformed, and with
// 422 if it can never run. In the latter case 429 and 503 are allowed too, since the node may be unable
// to decide whether the job can run.
func (sim *simulation) sendInvalidJob(to int, b invalidJob, want int) {
	users := &sim.users
	users.mustRefuse[b.id] = b.reason
	sim.sendUserRequest(to, "POST", "/api/jobs", b.body, func(response Respond) {
		undecided := response.Status == 0 || want == 422 && (response.Status == 503 || response.Status == 429)
		if response.Status != want && !undecided {
			sim.reportViolation("accepted_bad: a submission must be answered with status %d, is answered with %d: %s", want, response.Status, b.reason)
		}
		sent := sim.now
		sim.sendUserRequest(to, "GET", "/api/jobs/"+b.id, nil, func(response Respond) { sim.checkResponse(b.id, response, sent) })
	})
}

// validJobFields returns the fields of a valid submission. Invalid submissions are made by changing it.
func (sim *simulation) validJobFields(id string) map[string]any {
	job := &sched.Job{
		ID: id, Class: "work", Team: sim.cfg.Teams[0].Name, Priority: sched.Normal, Tasks: 2,
		Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: 10 * micros.Second,
	}
	fields := map[string]any{}
	if err := wire.Decode(wire.Encode(wire.FromJob(job)), &fields); err != nil {
		panic(err) // the fields were encoded by this function
	}
	return fields
}

// malformedJob returns the nth malformed submission. The kinds of malformed submissions repeat.
func (sim *simulation) malformedJob(n int) invalidJob {
	id := jobName(980000 + n)
	fields := sim.validJobFields(id)
	needed := []string{
		"ref", "queue", "desk", "shape", "urgency", "legs", "cpus", "cards", "memGb", "bundle", "sizeGb",
		"samePlace", "apart", "loaners", "expectS", "snapshotS", "stowS",
	}
	switch i := n % (len(needed) + len(invalidValues) + 4); {
	case i < len(needed):
		delete(fields, needed[i])
		return invalidJob{id, needed[i] + " is missing", wire.Encode(fields)}
	case i < len(needed)+len(invalidValues):
		b := invalidValues[i-len(needed)]
		fields[b.field] = b.value
		return invalidJob{id, b.field + " is invalid", wire.Encode(fields)}
	case i == len(needed)+len(invalidValues):
		fields["ref"] = "job-7"
		return invalidJob{"job-7", "ref is invalid", wire.Encode(fields)}
	case i == len(needed)+len(invalidValues)+1:
		return invalidJob{id, "not CBOR", []byte{0xff, 0x00}}
	case i == len(needed)+len(invalidValues)+2:
		return invalidJob{id, "a list instead of a map", wire.Encode([]any{fields})}
	default:
		body := wire.Encode(fields)
		return invalidJob{id, "truncated", body[:len(body)-3]}
	}
}

// unrunnableJob returns the nth submission of a job that can never run. The reasons repeat.
func (sim *simulation) unrunnableJob(n int) invalidJob {
	id := jobName(990000 + n)
	fields := sim.validJobFields(id)
	set := func(why string, pairs ...any) invalidJob {
		for i := 0; i < len(pairs); i += 2 {
			fields[pairs[i].(string)] = pairs[i+1]
		}
		return invalidJob{id, why, wire.Encode(fields)}
	}
	limit := sim.cfg.Teams[0].QuotaLimit.CPUs()
	switch n % 6 {
	case 0:
		return set("unknown team", "desk", "green")
	case 1:
		return set("more CPUs than any machine type has", "cpus", 64.0)
	case 2:
		return set("more memory than any machine type has", "memGb", 4096.0)
	case 3:
		return set("unknown machine type", "builds", []string{"none"})
	case 4:
		return set("GPUs, which no machine type has", "cards", 1.0)
	default:
		if limit == 0 {
			return set("no machine type allowed", "builds", []string{})
		}
		return set("a gang above the quota limit", "shape", "group", "legs", 1+int(limit/2), "cpus", 2.0)
	}
}
