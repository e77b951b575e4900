package soak

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
	givesUpAfter  = time.Minute
	pollEvery     = 3 * time.Second
	// impatientUsers: one user in so many submits a job several times at once.
	impatientUsers = 3
	// repeatsAround is over which time a user repeats requests around a cancellation, and
	// repeatEvery how often.
	repeatsAround = 500 * time.Millisecond
	repeatEvery   = 25 * time.Millisecond
)

// lookAfter is when users look closely at what they were told.
var lookAfter = []time.Duration{0, 2 * time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond}

// sendOver sends a request over a link of the harness's own side, within a time.
func (s *site) sendOver(l *link, timeout time.Duration, send func() answer) answer {
	waits, cancel := context.WithTimeout(s.run, timeout)
	defer cancel()
	return l.carry(waits, s.run, send)
}

// ask sends a user's request to a controller and has its answer checked.
func (s *site) ask(kind operationKind, job string, body []byte, node int) operation {
	method, target, timeout := "POST", wire.PathJobs, submitTimeout
	switch kind {
	case opQuery:
		method, target, timeout = "GET", wire.PathJobs+"/"+job, pollTimeout
	case opCancel:
		target = wire.PathJobs + "/" + job + wire.PathCancelSuffix
	}
	o := operation{kind: kind, job: job, node: node, sent: s.now()}
	a := s.sendOver(s.userLinks[node], timeout, func() answer {
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
	o.answered = s.now()
	s.check.answered(o, a)
	return o
}

// user is the user of one job.
type user struct {
	site  *site
	rng   *rand.Rand
	truth *jobTruth
}

// submitJobs has users submit jobs at the rate of the options until load ends.
func (s *site) submitJobs(load context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, streamJobs))
	for n := 1; ; n++ {
		gap := rng.ExpFloat64() / s.options.JobRate
		if !pause(load, time.Duration(gap*float64(time.Second))) {
			return
		}
		u := &user{s, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), s.newJob(rng, n)}
		go u.live()
		if n%10 == 0 {
			go s.ask(opQuery, fmt.Sprintf("req-9%05d", n), nil, rng.IntN(s.options.Controllers))
		}
	}
}

// newJob draws a job: mostly small arrays, some gangs, a few tasks that run for long.
func (s *site) newJob(rng *rand.Rand, n int) *jobTruth {
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
	truth := &jobTruth{job: j, body: wire.Encode(wire.FromJob(j)), info: fake.TaskInfo{
		CPU: j.Need.CPUs(), Mem: 2, Run: run, Fetch: 200 * micros.Millisecond, Gang: gang, Tasks: tasks,
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check.jobs[j.ID] = truth
	s.check.order = append(s.check.order, j.ID)
	s.check.figures.Jobs++
	return truth
}

func (u *user) id() string { return u.truth.job.ID }

// node picks a controller.
func (u *user) node() int { return u.rng.IntN(u.site.options.Controllers) }

// live submits the job, asks for it until it is over, and perhaps cancels it.
func (u *user) live() {
	if u.rng.IntN(impatientUsers) == 0 {
		for range 2 {
			go u.site.ask(opSubmit, u.id(), u.truth.body, u.node())
		}
	}
	if !u.submit() {
		return
	}
	go u.site.lookClosely(u.truth)
	if u.rng.IntN(2) == 0 {
		go u.cancelLater(u.site.forkRandom(u.rng))
	}
	for u.site.sleep(u.jitter(pollEvery)) {
		if u.over() {
			return
		}
		u.site.ask(opQuery, u.id(), nil, u.node())
		if u.rng.IntN(3) == 0 {
			u.site.ask(opSubmit, u.id(), u.truth.body, u.node())
		}
	}
}

// forkRandom makes a source of random numbers for another goroutine.
func (s *site) forkRandom(rng *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
}

func (u *user) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(u.rng.Int64N(int64(d)))
}

// submit submits the job as users do, and tells whether it was accepted.
func (u *user) submit() bool {
	until := time.Now().Add(givesUpAfter)
	for time.Now().Before(until) {
		if o := u.site.ask(opSubmit, u.id(), u.truth.body, u.node()); o.known() {
			return true
		}
		if !u.site.sleep(retryPause) {
			return false
		}
	}
	return false
}

// over tells whether the user knows how the job ended.
func (u *user) over() bool {
	u.site.mu.Lock()
	defer u.site.mu.Unlock()
	return u.truth.final != ""
}

// cancelLater cancels the job some time after it was accepted, while it repeats the submission
// and asks at all nodes.
func (u *user) cancelLater(rng *rand.Rand) {
	delays := []time.Duration{0, 20 * time.Millisecond, time.Second, 10 * time.Second}
	if !u.site.sleep(time.Duration(rng.Float64() * float64(delays[rng.IntN(len(delays))]))) {
		return
	}
	u.site.mu.Lock()
	u.truth.cancelAsked = true
	u.site.mu.Unlock()
	go u.repeat(u.site.forkRandom(rng))
	if !u.site.sleep(time.Duration(rng.Int64N(int64(repeatsAround / 2)))) {
		return
	}
	for {
		o := u.site.ask(opCancel, u.id(), nil, rng.IntN(u.site.options.Controllers))
		if o.known() {
			u.site.lookClosely(u.truth)
			return
		}
		if !u.site.sleep(retryPause) {
			return
		}
	}
}

// repeat repeats the submission, and asks for the job, at random nodes for a while.
func (u *user) repeat(rng *rand.Rand) {
	for until := time.Now().Add(repeatsAround); time.Now().Before(until); {
		kind := opSubmit
		if rng.IntN(3) == 0 {
			kind = opQuery
		}
		go u.site.ask(kind, u.id(), u.truth.body, rng.IntN(u.site.options.Controllers))
		if !u.site.sleep(time.Duration(rng.Int64N(int64(2 * repeatEvery)))) {
			return
		}
	}
}

// lookClosely asks all nodes, again and again, about what a user was just told, and repeats the
// submission at each.
func (s *site) lookClosely(truth *jobTruth) {
	since := time.Now()
	for _, after := range lookAfter {
		if !s.sleep(time.Until(since.Add(after))) {
			return
		}
		for node := range s.options.Controllers {
			go s.ask(opQuery, truth.job.ID, nil, node)
			go s.ask(opSubmit, truth.job.ID, truth.body, node)
		}
	}
}
