package controller

import (
	"slices"

	"tamarindlead/internal/ordered"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// sendUnusualRequests sends one odd request after the other.
func (sim *simulation) sendUnusualRequests() {
	users := &sim.users
	if sim.now > users.unusualRequestsUntil {
		return
	}
	sim.after(200*micros.Millisecond, sim.sendUnusualRequests)
	users.unusualRequestsSent++
	to, sent := users.rng.IntN(len(sim.nodes)), sim.now
	pick := func(is func(id string) bool) string {
		var ids []string
		for _, id := range ordered.Keys(sim.accepted) {
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
		if id := pick(func(id string) bool { return sim.reportedTerminal[id] == "" }); id != "" {
			sim.sendUserRequest(to, "POST", "/api/jobs", sim.submissions[id], func(response Respond) { sim.checkResponse(id, response, sent) })
		}
	case 1: // a cancellation of one that is done, or was cancelled
		if id := pick(func(id string) bool { return sim.reportedTerminal[id] != "" }); id != "" {
			sim.sendUserRequest(to, "POST", "/api/jobs/"+id+"/cancel", nil, func(response Respond) { sim.checkResponse(id, response, sent) })
		}
	case 2: // a job that nobody submitted
		id := "req-99" + jobName(users.unusualRequestsSent)[len("req-00"):]
		path := "/api/jobs/" + id
		sim.sendUserRequest(to, "GET", path, nil, func(response Respond) { sim.checkResponse(id, response, sent) })
		sim.sendUserRequest(to, "POST", path+"/cancel", nil, func(response Respond) { sim.checkResponse(id, response, sent) })
	case 3:
		sim.sendInvalidJob(to, sim.malformedJob(users.unusualRequestsSent/5), 400)
	case 4:
		sim.sendInvalidJob(to, sim.unrunnableJob(users.unusualRequestsSent/5), 422)
	}
}

// sendInvalidJob submits a job that must be refused for good: as malformed (400) at once whatever
// else happens, as one that never runs (422) unless the node cannot decide.
func (sim *simulation) sendInvalidJob(to int, b invalidJob, want int) {
	users := &sim.users
	users.mustRefuse[b.id] = b.reason
	sim.sendUserRequest(to, "POST", "/api/jobs", b.body, func(response Respond) {
		undecided := response.Status == 0 || want == 422 && (response.Status == 503 || response.Status == 429)
		if response.Status != want && !undecided {
			sim.reportViolation("accepted_bad: a submission must be answered %d, is answered %d: %s", want, response.Status, b.reason)
		}
		sent := sim.now
		sim.sendUserRequest(to, "GET", "/api/jobs/"+b.id, nil, func(response Respond) { sim.checkResponse(b.id, response, sent) })
	})
}

// validJobFields are those of a job that could run; the odd ones differ in one.
func (sim *simulation) validJobFields(id string) map[string]any {
	job := &sched.Job{
		ID: id, Class: "work", Team: sim.cfg.Teams[0].Name, Priority: sched.Normal, Tasks: 2,
		Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: 10 * micros.Second,
	}
	fields := map[string]any{}
	if err := wire.Decode(wire.Encode(wire.FromJob(job)), &fields); err != nil {
		panic(err) // it was encoded just now
	}
	return fields
}

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
		return invalidJob{id, "a list", wire.Encode([]any{fields})}
	default:
		body := wire.Encode(fields)
		return invalidJob{id, "cut short", body[:len(body)-3]}
	}
}

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

// userCommands cause what users do beyond submitting, asking and cancelling once.
var userCommands = commandTable{
	"close-looks": silent(func(c *command) {
		c.sim.users.consistencyChecksUntil, c.sim.users.cancelShare = c.sim.now+c.span(), c.number("cancels", 0)
	}),
	"cancel-at-end": silent(func(c *command) {
		c.sim.users.cancelAtEndShare = c.number("share", 1)
		c.sim.after(c.span(), func() { c.sim.users.cancelAtEndShare = 0 })
	}),
	"odd-requests": silent(func(c *command) {
		c.sim.users.unusualRequestsUntil = c.sim.now + c.span()
		c.sim.sendUnusualRequests()
	}),
	"burst": silent((*command).submitBurst),
	"types-without": silent(func(c *command) { // a machine type is no longer offered
		name := c.text("name", "big")
		c.sim.cloud.Types = slices.DeleteFunc(slices.Clone(c.sim.cloud.Types), func(machineType wire.MachineType) bool { return machineType.Name == name })
	}),
	"end-of-day": silent(func(c *command) {
		if c.sim.faultsEndedAt == 0 {
			c.fail("a day ends after calm")
		}
		c.sim.checkCompletion()
	}),
}

// span returns for how long a command's users act: by default to the end of the scenario.
func (c *command) span() micros.Micros {
	c.t.Helper()
	return c.seconds("for", simulationHorizon.Seconds())
}

// submitBurst submits jobs at a constant rate, a share of which is cancelled soon after it was
// accepted.
func (c *command) submitBurst() {
	c.t.Helper()
	users := &c.sim.users
	rate, share := c.number("rate", 4), c.number("cancelled", 0)
	for i := range int(rate * c.span().Seconds()) {
		id := jobName(c.integer("from", 1) + i)
		c.sim.after(micros.FromSeconds(float64(i)/rate), func() {
			if users.rng.Float64() < share {
				users.cancelAfter[id] = micros.Micros(users.rng.Int64N(int64(10 * micros.Second)))
			}
			c.submit(id)
		})
	}
}
