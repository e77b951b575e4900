package soaktest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Timing and frequency of the users' requests.
const (
	submitTimeout    = 5 * time.Second
	queryTimeout     = 2 * time.Second
	retryInterval    = time.Second
	submitGiveUpTime = time.Minute
	queryInterval    = 3 * time.Second
	// One user in usersPerDuplicateSubmitter submits the job several times concurrently.
	usersPerDuplicateSubmitter = 3
	// Around a cancellation a user sends duplicate requests for duplicateRequestPeriod, at
	// intervals of duplicateRequestInterval on average.
	duplicateRequestPeriod   = 500 * time.Millisecond
	duplicateRequestInterval = 25 * time.Millisecond
	// submissionsPerUnknownJobQuery is the number of submissions for each query of a job that nobody
	// submitted.
	submissionsPerUnknownJobQuery = 10
)

// consistencyCheckDelays are the delays after a response at which users query all controllers.
var consistencyCheckDelays = []time.Duration{0, 2 * time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond}

// maxCancelDelays are the possible upper limits of the delay of a cancellation. Each cancellation
// draws one of them.
var maxCancelDelays = []time.Duration{0, 20 * time.Millisecond, time.Second, 10 * time.Second}

// user is the user of one job.
type user struct {
	harness *harness
	rng     *rand.Rand
	history *jobHistory
}

// submitJobs starts users at the rate of the options until the context load ends.
func (h *harness) submitJobs(load context.Context) {
	rng := newRandom(h.options.Seed, streamJobs)
	for n := 1; ; n++ {
		gap := rng.ExpFloat64() / h.options.JobRate
		if !sleep(load, time.Duration(gap*float64(time.Second))) {
			return
		}
		u := &user{harness: h, rng: forkRandom(rng)}
		u.history = h.newJob(rng, n)
		go u.run()
		if n%submissionsPerUnknownJobQuery == 0 {
			go h.sendRequest(opQuery, fmt.Sprintf("req-9%05d", n), nil, rng.IntN(h.options.Controllers))
		}
	}
}

// newJob draws a job and registers it. Most jobs are small arrays, some are gangs, and some have a long
// run time. Changing the order of the draws changes what a seed determines.
func (h *harness) newJob(rng *rand.Rand, n int) *jobHistory {
	team := teams(h.options.Machines)[rng.IntN(2)]
	gang := rng.IntN(5) == 0
	tasks := 1 + rng.IntN(3)
	runTime := micros.FromSeconds(0.3 + 3*rng.ExpFloat64())
	if rng.IntN(6) == 0 {
		runTime = 25 * micros.Second
	}
	job := &sched.Job{
		ID: fmt.Sprintf("req-%06d", n), Class: "work", Team: team.Name, Gang: gang, OneZone: gang && rng.IntN(2) == 0,
		Priority: sched.Priority(rng.IntN(4)), Tasks: tasks, Need: sched.NewResources(float64(1+rng.IntN(3)), 0, 2),
		Image: "image", ImageGB: 1, Estimate: runTime, Spread: !gang && tasks > 1 && rng.IntN(4) == 0,
	}
	history := &jobHistory{job: job, body: wire.Encode(wire.FromJob(job)), taskInfo: fake.TaskInfo{
		CPU: job.Need.CPUs(), Mem: 2, Run: runTime, Fetch: 200 * micros.Millisecond, Gang: gang, Tasks: tasks,
	}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checker.addJob(history)
	return history
}

// run submits the job and queries it until it has ended. Half of the users cancel their job.
func (u *user) run() {
	if u.rng.IntN(usersPerDuplicateSubmitter) == 0 {
		for range 2 {
			go u.send(opSubmit, u.drawController(u.rng))
		}
	}
	if !u.submit() {
		return
	}
	go u.checkConsistency()
	if u.rng.IntN(2) == 0 {
		go u.cancelLater(forkRandom(u.rng))
	}
	for u.harness.sleep(u.jitter(queryInterval)) {
		if u.observedTerminalState() {
			return
		}
		u.send(opQuery, u.drawController(u.rng))
		if u.rng.IntN(3) == 0 {
			u.send(opSubmit, u.drawController(u.rng))
		}
	}
}

// drawController draws the controller of a request.
func (u *user) drawController(rng *rand.Rand) int { return rng.IntN(u.harness.options.Controllers) }

// jitter draws a duration between 0.5 and 1.5 times d.
func (u *user) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(u.rng.Int64N(int64(d)))
}

// submit submits the job with retries, and reports whether it was accepted.
func (u *user) submit() bool {
	for deadline := time.Now().Add(submitGiveUpTime); time.Now().Before(deadline); {
		if o := u.send(opSubmit, u.drawController(u.rng)); o.accepted() {
			return true
		}
		if !u.harness.sleep(retryInterval) {
			return false
		}
	}
	return false
}

// observedTerminalState reports whether a response has shown a terminal state of the job.
func (u *user) observedTerminalState() bool {
	u.harness.mu.Lock()
	defer u.harness.mu.Unlock()
	return u.history.terminalPhase != ""
}

// cancelLater cancels the job some time after its acceptance, and at the same time sends duplicate
// submissions and queries to random controllers.
func (u *user) cancelLater(rng *rand.Rand) {
	if !u.harness.sleep(time.Duration(rng.Float64() * float64(maxCancelDelays[rng.IntN(len(maxCancelDelays))]))) {
		return
	}
	u.harness.mu.Lock()
	u.history.cancelRequested = true
	u.harness.mu.Unlock()
	go u.sendDuplicates(forkRandom(rng))
	if !u.harness.sleep(time.Duration(rng.Int64N(int64(duplicateRequestPeriod / 2)))) {
		return
	}
	for {
		if o := u.send(opCancel, u.drawController(rng)); o.accepted() {
			u.checkConsistency()
			return
		}
		if !u.harness.sleep(retryInterval) {
			return
		}
	}
}

// sendDuplicates sends duplicate submissions and queries to random controllers for
// duplicateRequestPeriod.
func (u *user) sendDuplicates(rng *rand.Rand) {
	for deadline := time.Now().Add(duplicateRequestPeriod); time.Now().Before(deadline); {
		kind := opSubmit
		if rng.IntN(3) == 0 {
			kind = opQuery
		}
		// Here queries have a body, too, which controllers must ignore.
		go u.harness.sendRequest(kind, u.history.job.ID, u.history.body, u.drawController(rng))
		if !u.harness.sleep(time.Duration(rng.Int64N(int64(2 * duplicateRequestInterval)))) {
			return
		}
	}
}

// checkConsistency queries the job at all controllers several times after a response, and each time
// also submits it again at all controllers.
func (u *user) checkConsistency() {
	since := time.Now()
	for _, delay := range consistencyCheckDelays {
		if !u.harness.sleep(time.Until(since.Add(delay))) {
			return
		}
		for controller := range u.harness.options.Controllers {
			go u.send(opQuery, controller)
			go u.send(opSubmit, controller)
		}
	}
}

// send sends a request about the job. Only submissions have a body.
func (u *user) send(kind operationKind, controller int) operation {
	var body []byte
	if kind == opSubmit {
		body = u.history.body
	}
	return u.harness.sendRequest(kind, u.history.job.ID, body, controller)
}

// sendRequest sends a user's request to a controller and checks the response.
func (h *harness) sendRequest(kind operationKind, job string, body []byte, controller int) operation {
	method, target, timeout := "POST", wire.PathJobs, submitTimeout
	switch kind {
	case opSubmit:
	case opQuery:
		method, target, timeout = "GET", wire.PathJobs+"/"+job, queryTimeout
	case opCancel:
		target = wire.PathJobs + "/" + job + wire.PathCancelSuffix
	}
	o := operation{kind: kind, job: job, controller: controller, sentAt: h.now()}
	result := h.sendOver(h.links.users[controller], timeout, func() callResult {
		return h.client.send(h.ctx, method, h.addrs.users(controller), target, body, timeout)
	})
	o.status = result.status
	var state wire.JobState
	if wire.Decode(result.body, &state) == nil && state.ID == job {
		o.phase = state.Status
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return operation{}
	}
	o.respondedAt = h.now()
	h.checker.handleResponse(o, result)
	return o
}
