package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/store"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds of the stages that users' requests pass. What is beyond them is refused at
// once, so that the waiting happens with the users.
const (
	maxWaiting   = 128           // submissions waiting for their commit
	acceptWithin = micros.Second // a submission is given up after this
	finalCache   = 2048          // final states kept in memory
)

// users is the stage that accepts, answers and cancels.
type users struct {
	waiting    []*acceptance
	byID       map[string]*acceptance
	committing bool
	checking   int // submissions whose awaited jobs are looked up
	pause      micros.Micros
	finals     map[string]string
	order      []string // of finals, the oldest first
}

// acceptance is a submission that waits for its commit.
type acceptance struct {
	job   *sched.Job
	reqs  []uint64
	since micros.Micros
	ops   int // writes
	// What is told once it is accepted: it may be cancelled with one before it, the root.
	status, root string
}

func (u *users) init() {
	u.byID = map[string]*acceptance{}
	u.finals = map[string]string{}
}

func (u *users) remember(id, status string) {
	if _, ok := u.finals[id]; ok {
		return
	}
	if len(u.order) >= finalCache {
		delete(u.finals, u.order[0])
		u.order = u.order[1:]
	}
	u.finals[id] = status
	u.order = append(u.order, id)
}

// storeSilent tells users why they are refused.
const storeSilent = "state service does not answer"

const (
	pathJobs  = "/api/jobs"
	pathUp    = "/up"
	cancelEnd = "/cancel"
)

// PathReport is where workers report.
const PathReport = "/hello"

func (c *Core) request(r Request) {
	if r.Peer {
		c.peerRequest(r)
		return
	}
	method := func(want string, handle func()) {
		if r.Method != want {
			c.respond(r.ID, 405, wire.Problem{Error: "method not allowed"})
			return
		}
		handle()
	}
	rest, under := strings.CutPrefix(r.Path, pathJobs+"/")
	id, cancel := strings.CutSuffix(rest, cancelEnd)
	switch {
	case r.Path == pathUp:
		method("GET", func() {
			if c.isolated() {
				c.refuse(r.ID, 503, "reaches neither the state service nor a sibling")
				return
			}
			c.respond(r.ID, 200, nil)
		})
	case r.Path == PathReport:
		method("POST", func() { c.report(r) })
	case r.Path == pathJobs:
		method("POST", func() { c.submit(r) })
	case under && !strings.Contains(id, "/") && cancel:
		method("POST", func() { c.cancel(r.ID, id) })
	case under && !strings.Contains(id, "/"):
		method("GET", func() { c.query(r.ID, id) })
	default:
		c.respond(r.ID, 404, wire.Problem{Error: "no such path"})
	}
}

func (c *Core) submit(r Request) {
	j, err := wire.DecodeJob(r.Body)
	if err != nil {
		c.log.Info("submission refused as malformed", "error", err)
		c.respond(r.ID, 400, wire.Problem{Error: err.Error()})
		return
	}
	if len(c.types.list) == 0 {
		c.refuse(r.ID, 503, "machine types are not known yet")
		return
	}
	if c.store.Down() {
		c.refuse(r.ID, 503, storeSilent)
		return
	}
	refusal, why := 422, c.neverRuns(j)
	writes, size := record.JobWrites(j, c.day, c.cfg.ValueBytes)
	if len(writes) > c.cfg.TxnOps || size > commitBytes || state.Size(writes[0].Value) > c.cfg.ValueBytes {
		refusal, why = 400, "description too long"
	}
	if why != "" {
		// The types on offer may have changed since the job was accepted, and the limits.
		c.lookup(j.ID, func(result lookupResult) {
			switch result.outcome {
			case lookupFound:
				c.respond(r.ID, 200, wire.JobState{Ref: j.ID, Status: c.shown(j.ID, result.status)})
			case lookupNotFound:
				c.respond(r.ID, refusal, wire.Problem{Error: why})
			default:
				c.refuse(r.ID, 503, storeSilent)
			}
		})
		return
	}
	u := &c.users
	if a := u.byID[j.ID]; a != nil {
		a.reqs = append(a.reqs, r.ID)
		return
	}
	if len(u.waiting)+u.checking >= maxWaiting {
		c.refuse(r.ID, 429, "too many submissions wait")
		return
	}
	a := &acceptance{job: j, reqs: []uint64{r.ID}, since: c.now, ops: len(writes), status: wire.JobQueued}
	u.byID[j.ID] = a
	if len(j.Awaits) > 0 {
		u.check(c, a)
		return
	}
	u.waiting = append(u.waiting, a)
}

// check sees that all jobs were accepted that a submission awaits, and how they stand. That
// a job was accepted is final, so a read before the commit suffices.
func (u *users) check(c *Core, a *acceptance) {
	id := a.job.ID
	// instead answers about the job as it is known already, whatever became of those it awaits.
	instead := func(status int, why string) {
		c.lookup(id, func(result lookupResult) {
			u.finish(c, a, func(req uint64) {
				switch {
				case result.outcome == lookupFound:
					c.respond(req, 200, wire.JobState{Ref: id, Status: c.shown(id, result.status)})
				case result.outcome == lookupNotFound && status == 422:
					c.respond(req, 422, wire.Problem{Error: why})
				default:
					c.refuse(req, 503, why)
				}
			})
		})
	}
	switch {
	case slices.Contains(a.job.Awaits, id):
		instead(422, "awaits itself")
		return
	case c.users.finals[id] != "" || c.knownVersion(id) != 0:
		u.known(c, a)
		return
	case !c.graph.Synced():
		instead(503, "the jobs are not known yet")
		return
	}
	u.checking++
	c.checkDependencies(a.job.Awaits, c.now+acceptWithin, func(result dependencyResult) {
		u.checking--
		switch result.status {
		case dependenciesUnknown:
			instead(503, storeSilent)
			return
		case dependenciesNeverAccepted:
			instead(422, "awaits a job that was never accepted")
			return
		case dependenciesCancelled:
			a.status, a.root = wire.JobCancelled, result.cancelledRoot
		}
		u.waiting = append(u.waiting, a)
	})
}

// neverRuns tells why a job can never run, or "".
func (c *Core) neverRuns(j *sched.Job) string {
	team, ok := c.cfg.Team(j.Team)
	if !ok {
		return "unknown team"
	}
	if !j.FitsAny(c.types.list) {
		return "a task fits no allowed machine type"
	}
	need := j.Need
	if j.Gang {
		need = need.Times(j.Tasks)
	}
	if !withinLimit(need, team.Limit) {
		return "more than the team's limit"
	}
	return ""
}

func withinLimit(used, limit sched.Resources) bool {
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.GPU == 0 || used.GPU <= limit.GPU)
}

// flush commits waiting submissions, as many as one commit takes.
func (u *users) flush(c *Core) {
	if u.committing || len(u.waiting) == 0 {
		return
	}
	kept := u.waiting[:0]
	for _, a := range u.waiting {
		if c.now-a.since > acceptWithin {
			u.finish(c, a, func(id uint64) { c.refuse(id, 503, storeSilent) })
			continue
		}
		kept = append(kept, a)
	}
	u.waiting = kept
	room := min(c.budget.WriteRoom(budget.Users, c.now), c.cfg.TxnOps)
	if c.now < u.pause || room == 0 || len(u.waiting) == 0 {
		return
	}
	if first := u.waiting[0]; first.ops > room && room >= c.budget.WriteBurst() {
		room = first.ops // more than there ever is room for: it is owed
	}
	var batch, rest []*acceptance
	for _, a := range u.waiting {
		if a.ops <= room {
			room -= a.ops
			batch = append(batch, a)
		} else {
			rest = append(rest, a)
		}
	}
	if len(batch) == 0 {
		return
	}
	u.waiting = rest
	u.commit(c, batch)
}

func (u *users) commit(c *Core, batch []*acceptance) {
	var guards []state.Guard
	var writes []state.Write
	size := 0
	for i, a := range batch {
		puts, bytes := record.JobWrites(a.job, c.day, c.cfg.ValueBytes)
		if size += bytes; i > 0 && size > wire.MaxBody/2 {
			u.waiting = append(batch[i:len(batch):len(batch)], u.waiting...)
			batch = batch[:i]
			break
		}
		guards = append(guards, state.Guard{Key: record.ActiveKey(a.job.ID)}, state.Guard{Key: record.FinalKey(a.job.ID)})
		writes = append(writes, puts...)
	}
	u.committing = true
	c.store.Do(budget.Users, state.Commit(guards, writes), func(r store.Reply) {
		u.committing = false
		u.committed(c, batch, r)
	})
}

func (u *users) committed(c *Core, batch []*acceptance, r store.Reply) {
	switch r.Outcome {
	case store.OK:
		for _, a := range batch {
			c.log.Debug("job accepted", "job", a.job.ID)
			u.accepted(c, a)
		}
	case store.Conflict:
		// Some job is known already: those are looked up, the rest is tried again.
		var res state.Committed
		r.Decode(&res)
		failed := map[string]bool{}
		for _, k := range res.Failed {
			failed[k] = true
		}
		for _, a := range batch {
			if failed[record.ActiveKey(a.job.ID)] || failed[record.FinalKey(a.job.ID)] || len(failed) == 0 {
				u.known(c, a)
			} else {
				u.waiting = append(u.waiting, a)
			}
		}
	case store.Limited:
		u.waiting = append(batch, u.waiting...)
		u.pause = c.now + store.LimitedPause
	case store.Unknown:
		// It may have been executed: the same commit again tells by its guards.
		u.waiting = append(batch, u.waiting...)
	default:
		for _, a := range batch {
			u.finish(c, a, func(id uint64) { c.refuse(id, 503, "state service refuses") })
		}
	}
}

// accepted answers a submission that was recorded just now.
func (u *users) accepted(c *Core, a *acceptance) {
	answer := func() {
		u.finish(c, a, func(id uint64) { c.respond(id, 201, wire.JobState{Ref: a.job.ID, Status: a.status}) })
	}
	if a.status != wire.JobCancelled {
		answer()
		return
	}
	c.announceCancellation(a.root, c.now+acceptWithin, func(ok bool) {
		if !ok {
			u.finish(c, a, func(id uint64) { c.refuse(id, 503, "a controller has not confirmed yet") })
			return
		}
		u.remember(a.job.ID, wire.JobCancelled)
		answer()
	})
}

func (u *users) known(c *Core, a *acceptance) {
	c.lookup(a.job.ID, func(result lookupResult) {
		u.finish(c, a, func(id uint64) {
			if result.outcome == lookupFound {
				c.respond(id, 200, wire.JobState{Ref: a.job.ID, Status: c.shown(a.job.ID, result.status)})
				return
			}
			c.refuse(id, 503, storeSilent)
		})
	})
}

func (u *users) finish(c *Core, a *acceptance, answer func(uint64)) {
	delete(u.byID, a.job.ID)
	for _, id := range a.reqs {
		answer(id)
	}
}

func (c *Core) query(req uint64, id string) {
	if !wire.ValidRef(id) {
		c.respond(req, 404, wire.Problem{Error: "no such job"})
		return
	}
	c.lookup(id, func(result lookupResult) {
		switch result.outcome {
		case lookupNotFound:
			c.respond(req, 404, wire.Problem{Error: "no such job"})
		case lookupFound:
			ans := wire.JobStatus{Ref: id, Status: result.status}
			if result.status == wire.JobQueued {
				ans.Done, ans.Running = c.countsOf(id)
				if ans.Running > 0 {
					ans.Status = wire.JobRunning
				}
			}
			c.respond(req, 200, ans)
		default:
			c.refuse(req, 503, storeSilent)
		}
	})
}

// shown is a job's state as users see it: one that is not over may run.
func (c *Core) shown(id, status string) string {
	if status == wire.JobQueued {
		if _, running := c.countsOf(id); running > 0 {
			return wire.JobRunning
		}
	}
	return status
}

// countsOf tells how many tasks of a job are done and run, for display.
func (c *Core) countsOf(id string) (done, running int) {
	if c.owner != nil && c.owner.jobs[id] != nil {
		return c.owner.countsOf(id)
	}
	latest := micros.Micros(0)
	for _, cfg := range c.cfg.Siblings { // an earlier owner may still say what it knew
		s := c.peers[cfg.Node]
		if n := s.jobs[id]; n != nil && s.lastAt > latest {
			latest, done, running = s.lastAt, int(n.Done), int(n.Running)
		}
	}
	return done, running
}

func (c *Core) cancel(req uint64, id string) {
	if !wire.ValidRef(id) {
		c.respond(req, 404, wire.Problem{Error: "no such job"})
		return
	}
	if status := c.users.finals[id]; status != "" {
		c.respond(req, 200, wire.JobState{Ref: id, Status: status})
		return
	}
	if c.store.Down() {
		c.refuse(req, 503, storeSilent)
		return
	}
	if c.budget.WriteRoom(budget.Users, c.now) < cancelWrites {
		c.refuse(req, 429, "too many cancellations") // a read would be wasted
		return
	}
	until := c.now + acceptWithin
	if v := c.knownVersion(id); v != 0 {
		c.commitCancel(req, id, v, until)
		return
	}
	c.tryCancel(req, id, until)
}

// tryCancel reads the job's record and then cancels it.
func (c *Core) tryCancel(req uint64, id string, until micros.Micros) {
	fail := func() { c.refuse(req, 503, storeSilent) }
	c.store.Get(budget.Users, record.ActiveKey(id), func(out store.Outcome, e state.Entry) {
		switch out {
		case store.OK:
			c.commitCancel(req, id, e.Version, until)
		case store.Missing:
			c.lookup(id, func(result lookupResult) {
				switch {
				case result.outcome == lookupNotFound:
					c.respond(req, 404, wire.Problem{Error: "no such job"})
				case result.outcome == lookupFound && result.version == 0:
					c.respond(req, 200, wire.JobState{Ref: id, Status: result.status})
				default:
					fail()
				}
			})
		default:
			fail()
		}
	})
}

// cancelWrites is how many writes a cancellation takes.
const cancelWrites = 2

func (c *Core) commitCancel(req uint64, id string, version uint64, until micros.Micros) {
	guards := []state.Guard{{Key: record.ActiveKey(id), Version: version}}
	writes := []state.Write{
		{Put: record.FinalKey(id), Value: record.Final{Status: wire.JobCancelled, At: c.day}},
		{Delete: record.ActiveKey(id)},
	}
	c.store.Do(budget.Users, state.Commit(guards, writes), func(r store.Reply) {
		switch {
		case r.Outcome == store.OK:
			c.announceCancellation(id, c.now+acceptWithin, func(ok bool) {
				if !ok {
					c.refuse(req, 503, "a controller has not confirmed yet")
					return
				}
				c.respond(req, 200, wire.JobState{Ref: id, Status: wire.JobCancelled})
			})
		case (r.Outcome == store.Conflict || r.Outcome == store.Unknown) && c.now < until:
			c.tryCancel(req, id, until) // over meanwhile, or perhaps executed
		default:
			c.refuse(req, 503, storeSilent)
		}
	})
}
