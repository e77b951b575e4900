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

// How users behave.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryPause    = time.Second
	giveUpTimeout = time.Minute
	pollInterval  = 3 * time.Second
	// impatientUsers: one user in so many submits a job several times at once.
	impatientUsers = 3
	// duplicateRequestPeriod is over which time a user repeats requests around a cancellation, and
	// duplicateRequestInterval how often.
	duplicateRequestPeriod   = 500 * time.Millisecond
	duplicateRequestInterval = 25 * time.Millisecond
)

// consistencyCheckDelays is when users look closely at what they were told.
var consistencyCheckDelays = []time.Duration{0, 2 * time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond}

// sendOver sends a request over a link of the harness's own side, within a time.
func (s *harness) sendOver(l *link, timeout time.Duration, send func() callResult) callResult {
	waits, cancel := context.WithTimeout(s.run, timeout)
	defer cancel()
	return l.transmit(waits, s.run, send)
}

// sendRequest sends a user's request to a controller and has its answer checked.
func (s *harness) sendRequest(kind operationKind, job string, body []byte, node int) operation {
	method, target, timeout := "POST", wire.PathJobs, submitTimeout
	switch kind {
	case opQuery:
		method, target, timeout = "GET", wire.PathJobs+"/"+job, pollTimeout
	case opCancel:
		target = wire.PathJobs + "/" + job + wire.PathCancelSuffix
	}
	o := operation{kind: kind, job: job, node: node, sentAt: s.now()}
	a := s.sendOver(s.userLinks[node], timeout, func() callResult {
		return s.client.send(s.run, method, s.addrs.users(node), target, body, timeout)
	})
	var told wire.JobState
	o.status = a.status
	if wire.Decode(a.body, &told) == nil && told.ID == job {
		o.phase = told.Status
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run.Err() != nil {
		return operation{}
	}
	o.respondedAt = s.now()
	s.checker.handleResponse(o, a)
	return o
}

// user is the user of one job.
type user struct {
	site    *harness
	rng     *rand.Rand
	history *jobHistory
}

// submitJobs has users submit jobs at the rate of the options until load ends.
func (s *harness) submitJobs(load context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, streamJobs))
	for n := 1; ; n++ {
		gap := rng.ExpFloat64() / s.options.JobRate
		if !pause(load, time.Duration(gap*float64(time.Second))) {
			return
		}
		u := &user{s, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), s.newJob(rng, n)}
		go u.run()
		if n%10 == 0 {
			go s.sendRequest(opQuery, fmt.Sprintf("req-9%05d", n), nil, rng.IntN(s.options.Controllers))
		}
	}
}

// newJob draws a job: mostly small arrays, some gangs, a few tasks that run for long.
func (s *harness) newJob(rng *rand.Rand, n int) *jobHistory {
	team := teams(s.options.Machines)[rng.IntN(2)]
	gang := rng.IntN(5) == 0
	tasks := 1 + rng.IntN(3)
	run := micros.FromSeconds(0.3 + 3*rng.ExpFloat64())
	if rng.IntN(6) == 0 {
		run = 25 * micros.Second
	}
	j := &sched.Job{
		ID: fmt.Sprintf("req-%06d", n), Class: "work", Team: team.Name, Gang: gang, OneZone: gang && rng.IntN(2) == 0,
		Priority: sched.Priority(rng.IntN(4)), Tasks: tasks, Need: sched.NewResources(float64(1+rng.IntN(3)), 0, 2),
		Image: "image", ImageGB: 1, Estimate: run, Spread: !gang && tasks > 1 && rng.IntN(4) == 0,
	}
	truth := &jobHistory{job: j, body: wire.Encode(wire.FromJob(j)), info: fake.TaskInfo{
		CPU: j.Need.CPUs(), Mem: 2, Run: run, Fetch: 200 * micros.Millisecond, Gang: gang, Tasks: tasks,
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.jobs[j.ID] = truth
	s.checker.order = append(s.checker.order, j.ID)
	s.checker.stats.Jobs++
	return truth
}

func (u *user) id() string { return u.history.job.ID }

// node picks a controller.
func (u *user) node() int { return u.rng.IntN(u.site.options.Controllers) }

// run submits the job, asks for it until it is over, and perhaps cancels it.
func (u *user) run() {
	if u.rng.IntN(impatientUsers) == 0 {
		for range 2 {
			go u.site.sendRequest(opSubmit, u.id(), u.history.body, u.node())
		}
	}
	if !u.submit() {
		return
	}
	go u.site.checkConsistency(u.history)
	if u.rng.IntN(2) == 0 {
		go u.cancelLater(u.site.forkRandom(u.rng))
	}
	for u.site.sleep(u.jitter(pollInterval)) {
		if u.isTerminal() {
			return
		}
		u.site.sendRequest(opQuery, u.id(), nil, u.node())
		if u.rng.IntN(3) == 0 {
			u.site.sendRequest(opSubmit, u.id(), u.history.body, u.node())
		}
	}
}

// forkRandom makes a source of random numbers for another goroutine.
func (s *harness) forkRandom(rng *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
}

func (u *user) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(u.rng.Int64N(int64(d)))
}

// submit submits the job as users do, and tells whether it was accepted.
func (u *user) submit() bool {
	until := time.Now().Add(giveUpTimeout)
	for time.Now().Before(until) {
		if o := u.site.sendRequest(opSubmit, u.id(), u.history.body, u.node()); o.accepted() {
			return true
		}
		if !u.site.sleep(retryPause) {
			return false
		}
	}
	return false
}

// isTerminal tells whether the user knows how the job ended.
func (u *user) isTerminal() bool {
	u.site.mu.Lock()
	defer u.site.mu.Unlock()
	return u.history.terminalPhase != ""
}

// cancelLater cancels the job some time after it was accepted, while it repeats the submission
// and asks at all nodes.
func (u *user) cancelLater(rng *rand.Rand) {
	delays := []time.Duration{0, 20 * time.Millisecond, time.Second, 10 * time.Second}
	if !u.site.sleep(time.Duration(rng.Float64() * float64(delays[rng.IntN(len(delays))]))) {
		return
	}
	u.site.mu.Lock()
	u.history.cancelRequested = true
	u.site.mu.Unlock()
	go u.sendDuplicates(u.site.forkRandom(rng))
	if !u.site.sleep(time.Duration(rng.Int64N(int64(duplicateRequestPeriod / 2)))) {
		return
	}
	for {
		o := u.site.sendRequest(opCancel, u.id(), nil, rng.IntN(u.site.options.Controllers))
		if o.accepted() {
			u.site.checkConsistency(u.history)
			return
		}
		if !u.site.sleep(retryPause) {
			return
		}
	}
}

// sendDuplicates repeats the submission, and asks for the job, at random nodes for a while.
func (u *user) sendDuplicates(rng *rand.Rand) {
	for until := time.Now().Add(duplicateRequestPeriod); time.Now().Before(until); {
		kind := opSubmit
		if rng.IntN(3) == 0 {
			kind = opQuery
		}
		go u.site.sendRequest(kind, u.id(), u.history.body, rng.IntN(u.site.options.Controllers))
		if !u.site.sleep(time.Duration(rng.Int64N(int64(2 * duplicateRequestInterval)))) {
			return
		}
	}
}

// checkConsistency asks all nodes, again and again, about what a user was just told, and repeats the
// submission at each.
func (s *harness) checkConsistency(truth *jobHistory) {
	since := time.Now()
	for _, after := range consistencyCheckDelays {
		if !s.sleep(time.Until(since.Add(after))) {
			return
		}
		for node := range s.options.Controllers {
			go s.sendRequest(opQuery, truth.job.ID, nil, node)
			go s.sendRequest(opSubmit, truth.job.ID, truth.body, node)
		}
	}
}
