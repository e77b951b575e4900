package controller

import (
	"slices"
	"testing"

	"tamarindlead/internal/ordered"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// sendUnusualRequests sends one odd request after the other.
func (w *simulation) sendUnusualRequests() {
	users := &w.users
	if w.now > users.unusualRequestsUntil {
		return
	}
	w.after(200*micros.Millisecond, w.sendUnusualRequests)
	users.unusualRequestsSent++
	to, sent := users.rng.IntN(len(w.nodes)), w.now
	pick := func(is func(id string) bool) string {
		var ids []string
		for _, id := range ordered.Keys(w.accepted) {
			if is(id) {
				ids = append(ids, id)
			}
		}
		if len(ids) == 0 {
			return ""
		}
		return ids[users.rng.IntN(len(ids))]
	}
	switch users.unusualRequestsSent % 5 {
	case 0: // an unfinished job again
		if id := pick(func(id string) bool { return w.reportedTerminal[id] == "" }); id != "" {
			w.user(to, "POST", "/api/jobs", w.bodies[id], func(r Respond) { w.checkResponse(id, r, sent) })
		}
	case 1: // a cancellation of one that is done, or was cancelled
		if id := pick(func(id string) bool { return w.reportedTerminal[id] != "" }); id != "" {
			w.user(to, "POST", "/api/jobs/"+id+"/cancel", nil, func(r Respond) { w.checkResponse(id, r, sent) })
		}
	case 2: // a job that nobody submitted
		id := "req-99" + jobName(users.unusualRequestsSent)[len("req-00"):]
		path := "/api/jobs/" + id
		w.user(to, "GET", path, nil, func(r Respond) { w.checkResponse(id, r, sent) })
		w.user(to, "POST", path+"/cancel", nil, func(r Respond) { w.checkResponse(id, r, sent) })
	case 3:
		w.sendInvalidJob(to, w.malformedJob(users.unusualRequestsSent/5), 400)
	case 4:
		w.sendInvalidJob(to, w.unrunnableJob(users.unusualRequestsSent/5), 422)
	}
}

// sendInvalidJob submits a job that must be refused for good: as malformed (400) at once whatever
// else happens, as one that never runs (422) unless the node cannot decide.
func (w *simulation) sendInvalidJob(to int, b invalidJob, want int) {
	users := &w.users
	users.mustRefuse[b.id] = b.reason
	w.user(to, "POST", "/api/jobs", b.body, func(r Respond) {
		undecided := r.Status == 0 || want == 422 && (r.Status == 503 || r.Status == 429)
		if r.Status != want && !undecided {
			w.reportViolation("accepted_bad: a submission must be answered %d, is answered %d: %s", want, r.Status, b.reason)
		}
		sent := w.now
		w.user(to, "GET", "/api/jobs/"+b.id, nil, func(r Respond) { w.checkResponse(b.id, r, sent) })
	})
}

// validJobFields are those of a job that could run; the odd ones differ in one.
func (w *simulation) validJobFields(id string) map[string]any {
	j := &sched.Job{
		ID: id, Class: "work", Team: w.cfg.Teams[0].Name, Priority: sched.Normal, Tasks: 2,
		Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: 10 * micros.Second,
	}
	fields := map[string]any{}
	if err := wire.Decode(wire.Encode(wire.FromJob(j)), &fields); err != nil {
		panic(err) // it was encoded just now
	}
	return fields
}

func (w *simulation) malformedJob(n int) invalidJob {
	id := jobName(980000 + n)
	fields := w.validJobFields(id)
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
		return invalidJob{id, "a list", wire.Encode([]any{fields})}
	default:
		body := wire.Encode(fields)
		return invalidJob{id, "cut short", body[:len(body)-3]}
	}
}

func (w *simulation) unrunnableJob(n int) invalidJob {
	id := jobName(990000 + n)
	fields := w.validJobFields(id)
	set := func(why string, pairs ...any) invalidJob {
		for i := 0; i < len(pairs); i += 2 {
			fields[pairs[i].(string)] = pairs[i+1]
		}
		return invalidJob{id, why, wire.Encode(fields)}
	}
	limit := w.cfg.Teams[0].QuotaLimit.CPUs()
	switch n % 6 {
	case 0:
		return set("no such team", "desk", "green")
	case 1:
		return set("too many cpus for any machine", "cpus", 64.0)
	case 2:
		return set("too much memory for any machine", "memGb", 4096.0)
	case 3:
		return set("no such machine type", "builds", []string{"none"})
	case 4:
		return set("cards that no machine has", "cards", 1.0)
	default:
		if limit == 0 {
			return set("no machine type allowed", "builds", []string{})
		}
		return set("a gang above the limit", "shape", "group", "legs", 1+int(limit/2), "cpus", 2.0)
	}
}

// runUserCommand plays the commands of this file; ok is false for any other.
func runUserCommand(t *testing.T, w *simulation, d *datadriven.TestData) (out string, ok bool) {
	users := &w.users
	span := func() micros.Micros { return argSeconds(t, d, "for", simulationHorizon.Seconds()) }
	switch d.Cmd {
	case "close-looks":
		users.consistencyChecksUntil, users.cancelShare = w.now+span(), argNumber(t, d, "cancels", 0)
	case "cancel-at-end":
		users.cancelAtEndShare = argNumber(t, d, "share", 1)
		w.after(span(), func() { users.cancelAtEndShare = 0 })
	case "odd-requests":
		users.unusualRequestsUntil = w.now + span()
		w.sendUnusualRequests()
	case "burst":
		rate, share := argNumber(t, d, "rate", 4), argNumber(t, d, "cancelled", 0)
		for i := range int(rate * span().Seconds()) {
			id := jobName(arg(t, d, "from", 1) + i)
			w.after(micros.FromSeconds(float64(i)/rate), func() {
				one := *d
				if users.rng.Float64() < share {
					users.cancelAfter[id] = micros.Micros(users.rng.Int64N(int64(10 * micros.Second)))
				}
				runSubmitCommand(t, w, &one, id)
			})
		}
	case "types-without": // a machine type is no longer offered
		name := arg(t, d, "name", "big")
		w.cloud.Types = slices.DeleteFunc(slices.Clone(w.cloud.Types), func(m wire.MachineType) bool { return m.Name == name })
	case "end-of-day":
		if w.faultsEndedAt == 0 {
			d.Fatalf(t, "a day ends after calm")
		}
		w.checkCompletion()
	default:
		return "", false
	}
	return "", true
}
