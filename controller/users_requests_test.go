package controller

import (
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// oddRequests sends one odd request after the other.
func (w *world) oddRequests() {
	users := &w.crowd
	if w.now > users.oddRequestsUntil {
		return
	}
	w.after(200*micros.Millisecond, w.oddRequests)
	users.oddRequestsSent++
	to, sent := users.rng.IntN(len(w.nodes)), w.now
	pick := func(is func(id string) bool) string {
		var ids []string
		for _, id := range sortedKeys(w.accepted) {
			if is(id) {
				ids = append(ids, id)
			}
		}
		if len(ids) == 0 {
			return ""
		}
		return ids[users.rng.IntN(len(ids))]
	}
	switch users.oddRequestsSent % 5 {
	case 0: // an unfinished job again
		if id := pick(func(id string) bool { return w.told[id] == "" }); id != "" {
			w.user(to, "POST", "/api/jobs", w.bodies[id], func(r Respond) { w.checkAnswer(id, r, sent) })
		}
	case 1: // a cancellation of one that is done, or was cancelled
		if id := pick(func(id string) bool { return w.told[id] != "" }); id != "" {
			w.user(to, "POST", "/api/jobs/"+id+"/cancel", nil, func(r Respond) { w.checkAnswer(id, r, sent) })
		}
	case 2: // a job that nobody submitted
		id := "req-99" + jobName(users.oddRequestsSent)[len("req-00"):]
		path := "/api/jobs/" + id
		w.user(to, "GET", path, nil, func(r Respond) { w.checkAnswer(id, r, sent) })
		w.user(to, "POST", path+"/cancel", nil, func(r Respond) { w.checkAnswer(id, r, sent) })
	case 3:
		w.sendBad(to, w.malformed(users.oddRequestsSent/5), 400)
	case 4:
		w.sendBad(to, w.unrunnable(users.oddRequestsSent/5), 422)
	}
}

// sendBad submits a job that must be refused for good: as malformed (400) at once whatever
// else happens, as one that never runs (422) unless the node cannot decide.
func (w *world) sendBad(to int, b badJob, want int) {
	users := &w.crowd
	users.mustRefuse[b.id] = b.why
	w.user(to, "POST", "/api/jobs", b.body, func(r Respond) {
		undecided := r.Status == 0 || want == 422 && (r.Status == 503 || r.Status == 429)
		if r.Status != want && !undecided {
			w.breakRule("accepted_bad: a submission must be answered %d, is answered %d: %s", want, r.Status, b.why)
		}
		sent := w.now
		w.user(to, "GET", "/api/jobs/"+b.id, nil, func(r Respond) { w.checkAnswer(b.id, r, sent) })
	})
}

// goodFields are those of a job that could run; the odd ones differ in one.
func (w *world) goodFields(id string) map[string]any {
	j := &sched.Job{
		ID: id, Class: "work", Team: w.cfg.Teams[0].Name, Priority: sched.Normal, Tasks: 2,
		Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: 10 * micros.Second,
	}
	fields := map[string]any{}
	wire.Decode(wire.Encode(wire.FromJob(j)), &fields)
	return fields
}

func (w *world) malformed(n int) badJob {
	id := jobName(980000 + n)
	fields := w.goodFields(id)
	needed := []string{"ref", "queue", "desk", "shape", "urgency", "legs", "cpus", "cards", "memGb", "bundle", "sizeGb",
		"samePlace", "apart", "loaners", "expectS", "snapshotS", "stowS"}
	switch i := n % (len(needed) + len(badValues) + 4); {
	case i < len(needed):
		delete(fields, needed[i])
		return badJob{id, needed[i] + " is missing", wire.Encode(fields)}
	case i < len(needed)+len(badValues):
		b := badValues[i-len(needed)]
		fields[b.field] = b.value
		return badJob{id, b.field + " is invalid", wire.Encode(fields)}
	case i == len(needed)+len(badValues):
		fields["ref"] = "job-7"
		return badJob{"job-7", "ref is invalid", wire.Encode(fields)}
	case i == len(needed)+len(badValues)+1:
		return badJob{id, "not CBOR", []byte{0xff, 0x00}}
	case i == len(needed)+len(badValues)+2:
		return badJob{id, "a list", wire.Encode([]any{fields})}
	default:
		body := wire.Encode(fields)
		return badJob{id, "cut short", body[:len(body)-3]}
	}
}

func (w *world) unrunnable(n int) badJob {
	id := jobName(990000 + n)
	fields := w.goodFields(id)
	set := func(why string, pairs ...any) badJob {
		for i := 0; i < len(pairs); i += 2 {
			fields[pairs[i].(string)] = pairs[i+1]
		}
		return badJob{id, why, wire.Encode(fields)}
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

// userVerb plays the commands of this file; ok is false for any other.
func userVerb(t *testing.T, w *world, d *datadriven.TestData) (out string, ok bool) {
	users := &w.crowd
	span := func() micros.Micros { return argSeconds(t, d, "for", worldForever.Seconds()) }
	switch d.Cmd {
	case "close-looks":
		users.closeLooksUntil, users.cancelShare = w.now+span(), argNumber(t, d, "cancels", 0)
	case "cancel-at-end":
		users.cancelAtEndShare = argNumber(t, d, "share", 1)
		w.after(span(), func() { users.cancelAtEndShare = 0 })
	case "odd-requests":
		users.oddRequestsUntil = w.now + span()
		w.oddRequests()
	case "burst":
		rate, share := argNumber(t, d, "rate", 4), argNumber(t, d, "cancelled", 0)
		for i := range int(rate * span().Seconds()) {
			id := jobName(arg(t, d, "from", 1) + i)
			w.after(micros.FromSeconds(float64(i)/rate), func() {
				one := *d
				if users.rng.Float64() < share {
					users.cancelAfter[id] = micros.Micros(users.rng.Int64N(int64(10 * micros.Second)))
				}
				submitCommand(t, w, &one, id)
			})
		}
	case "types-without": // a machine type is no longer offered
		name := arg(t, d, "name", "big")
		w.cloud.Types = slices.DeleteFunc(slices.Clone(w.cloud.Types), func(m wire.MachineType) bool { return m.Name == name })
	case "end-of-day":
		if w.calm == 0 {
			d.Fatalf(t, "a day ends after calm")
		}
		w.endOfDay()
	default:
		return "", false
	}
	return "", true
}
