package controller

import (
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
)

// sendInvalidOrRepeatedRequests sends five kinds of invalid or repeated requests in rotation.
func (sim *simulation) sendInvalidOrRepeatedRequests() {
	users := &sim.users
	if sim.now > users.invalidOrRepeatedUntil {
		return
	}
	sim.after(200*micros.Millisecond, sim.sendInvalidOrRepeatedRequests)
	users.invalidOrRepeatedSent++
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
	switch users.invalidOrRepeatedSent % 5 {
	case 0: // a duplicate submission of an unfinished job
		if id := pick(func(id string) bool { return sim.reportedTerminal[id] == "" }); id != "" {
			sim.sendUserRequest(to, "POST", "/api/jobs", sim.submissions[id], func(response Respond) { sim.checkResponse(id, response, sent) })
		}
	case 1: // a cancellation of a job in a terminal state
		if id := pick(func(id string) bool { return sim.reportedTerminal[id] != "" }); id != "" {
			sim.sendUserRequest(to, "POST", "/api/jobs/"+id+"/cancel", nil, func(response Respond) { sim.checkResponse(id, response, sent) })
		}
	case 2: // a query and a cancellation of a job that was never submitted
		id := "req-99" + jobName(users.invalidOrRepeatedSent)[len("req-00"):]
		path := "/api/jobs/" + id
		sim.sendUserRequest(to, "GET", path, nil, func(response Respond) { sim.checkResponse(id, response, sent) })
		sim.sendUserRequest(to, "POST", path+"/cancel", nil, func(response Respond) { sim.checkResponse(id, response, sent) })
	case 3: // a malformed submission
		sim.sendInvalidJob(to, sim.malformedJob(users.invalidOrRepeatedSent/5), 400)
	case 4: // a submission of a job that can never run
		sim.sendInvalidJob(to, sim.unrunnableJob(users.invalidOrRepeatedSent/5), 422)
	}
}

// userCommands make users send additional requests, beyond one submission, one cancellation and the
// usual queries of each job.
var userCommands = commandTable{
	"consistency-checks": silent(func(c *command) {
		c.sim.users.consistencyChecksUntil, c.sim.users.cancelShare = c.sim.now+c.span(), c.number("cancel-share", 0)
	}),
	"cancel-share-at-completion": silent(func(c *command) {
		c.sim.users.cancelAtCompletionShare = c.number("share", 1)
		c.sim.after(c.span(), func() { c.sim.users.cancelAtCompletionShare = 0 })
	}),
	"send-invalid-or-repeated-requests": silent(func(c *command) {
		c.sim.users.invalidOrRepeatedUntil = c.sim.now + c.span()
		c.sim.sendInvalidOrRepeatedRequests()
	}),
	"submit-burst": silent((*command).submitBurst),
	"final-checks": silent(func(c *command) {
		if c.sim.faultsEndedAt == 0 {
			c.fail("final-checks must follow faults-ended")
		}
		c.sim.checkCompletion()
	}),
}

// span returns the duration "for" of a command that makes users send requests, by default until the end
// of the scenario.
func (c *command) span() micros.Micros {
	c.t.Helper()
	return c.seconds("for", simulationHorizon.Seconds())
}

// submitBurst submits jobs at a constant rate. A share of the jobs is cancelled within ten seconds of
// their acceptance.
func (c *command) submitBurst() {
	c.t.Helper()
	users := &c.sim.users
	rate, share := c.number("rate", 4), c.number("cancel-share", 0)
	for i := range int(rate * c.span().Seconds()) {
		id := jobName(c.integer("first-job", 1) + i)
		c.sim.after(micros.FromSeconds(float64(i)/rate), func() {
			if users.rng.Float64() < share {
				users.cancelAfter[id] = micros.Micros(users.rng.Int64N(int64(10 * micros.Second)))
			}
			c.submit(id)
		})
	}
}
