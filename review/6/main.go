// Command 6 runs the case of claim.txt: while the state service answers slowly now and then, a job is
// answered as queued although a job before it was cancelled long ago.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tamarindlead/internal/wire"
	"tamarindlead/review/rig"
)

const (
	// cancelWithin is cancel_s of the site.
	cancelWithin = 48 * time.Second
	// withheld is the time after a start in which controllers answer no cancellation.
	withheld = 13 * time.Second
	// submitFor is how long users then submit pipelines, users their number.
	submitFor = 40 * time.Second
	users     = 2
	// looks is how often a user asks about a job right after it was accepted, and lookPause the pause.
	looks     = 8
	lookPause = 40 * time.Millisecond
)

// Answers of the state service: usually after usualDelay, at most slowShare of them after slowDelay. The pages
// leave open which are slow; here it is half of the reads that name the cancelled job.
const (
	usualDelay = 3 * time.Millisecond
	slowDelay  = 300 * time.Millisecond
	slowShare  = 0.04
)

var root = rig.Job{
	ID: "req-104729", Class: "offer-sweep", Team: "script-authors", Priority: "idle",
	Tasks: 1, CPUs: 1, MemGB: 3.2, RunS: 600,
}

func main() { rig.Main(rig.BrannockNext(), addMachines, run) }

func addMachines(r *rig.Rig, _ bool) { r.AddMachines("desk-node", "leeds-room", 2) }

func run(r *rig.Rig, trouble bool) int {
	var answers, slow atomic.Int64
	r.SetKVDelay(func(_, target string) time.Duration {
		n := answers.Add(1)
		if trouble && strings.Contains(target, root.ID) && rand.IntN(2) == 0 && float64(slow.Load()+1) <= slowShare*float64(n) {
			slow.Add(1)
			return slowDelay
		}
		return usualDelay
	})
	if !r.SubmitAccepted(root, 0) {
		return rig.CannotRun
	}
	time.Sleep(withheld - r.Elapsed())
	told, ok := cancel(r)
	if !ok {
		return rig.CannotRun
	}
	time.Sleep(time.Until(told.Add(cancelWithin + time.Second)))

	c := &check{rig: r}
	var wait sync.WaitGroup
	for user := range users {
		wait.Go(func() {
			for i := 0; time.Since(told) < cancelWithin+time.Second+submitFor; i++ {
				c.submitPipeline(user, i)
			}
		})
	}
	wait.Wait()
	r.Log("%d of %d answers of the state service were slow", slow.Load(), answers.Load())
	r.Log("%d pipelines submitted, %d answers called a job queued or running more than %v after its user was told that the job before it is cancelled",
		c.pipelines, c.broken, cancelWithin)
	switch {
	case c.pipelines == 0:
		return rig.CannotRun
	case c.broken > 0:
		return rig.Broken
	}
	return rig.Held
}

// cancel cancels the root, and returns when its user was told so.
func cancel(r *rig.Rig) (told time.Time, ok bool) {
	for attempt := range 5 {
		if status, state := r.Cancel(root.ID, attempt); status == wire.StatusOK && state.Status == wire.JobCancelled {
			r.Log("the user is told that %s is cancelled", root.ID)
			return time.Now(), true
		}
		time.Sleep(time.Second)
	}
	return time.Time{}, false
}

// check counts the answers that break the rule. All requests that it sees were sent after the limit.
type check struct {
	rig *rig.Rig

	mu                sync.Mutex // guards the fields below
	pipelines, broken int
}

// answer checks an answer about a job after the root.
func (c *check) answer(job string, phase wire.JobPhase) {
	if phase != wire.JobQueued && phase != wire.JobRunning {
		return
	}
	c.rig.Log("%s is called %s", job, phase)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken++
}

// submitPipeline submits a job after the root and, as soon as it is accepted, one after that job. Meanwhile
// the user asks about the first of them.
func (c *check) submitPipeline(user, i int) {
	node := user + i
	middle, last := root, root
	middle.ID, middle.Class, middle.Awaits = fmt.Sprintf("req-%d%05d", 2+2*user, i), "flow-verify", []string{root.ID}
	last.ID, last.Class, last.Awaits = fmt.Sprintf("req-%d%05d", 3+2*user, i), "release-push", []string{middle.ID}
	if !c.submit(middle, node) {
		return
	}
	var asking sync.WaitGroup
	asking.Go(func() {
		for range looks {
			if status, state := c.rig.Query(middle.ID, node); status == wire.StatusOK {
				c.answer(middle.ID, state.Status)
			}
			time.Sleep(lookPause)
		}
	})
	c.submit(last, node)
	asking.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelines++
}

// submit submits a job until it is accepted, and checks the answer.
func (c *check) submit(job rig.Job, at int) (accepted bool) {
	for range 3 {
		status, state := c.rig.SubmitOnce(job, at)
		if status == wire.StatusOK || status == wire.StatusCreated {
			c.answer(job.ID, state.Status)
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}
