package controller

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// query handles a user's question for the state of a job.
func (c *Core) query(request uint64, job string) {
	if !wire.ValidRef(job) {
		c.reject(request, wire.StatusNotFound, reasonNoSuchJob)
		return
	}
	c.lookup(job, func(result lookupResult) {
		switch result.outcome {
		case lookupNotFound:
			c.reject(request, wire.StatusNotFound, reasonNoSuchJob)
		case lookupFound:
			c.respond(request, wire.StatusOK, c.statusForUsers(job, result.status))
		default:
			c.refuse(request, wire.StatusUnavailable, reasonStoreSilent)
		}
	})
}

// respondState answers with a job's state in short.
func (c *Core) respondState(request uint64, httpStatus wire.Status, job string, status wire.JobPhase) {
	c.respond(request, httpStatus, wire.JobState{Ref: job, Status: c.statusForUsers(job, status).Status})
}

// statusForUsers is a job's state as users see it: one that is not over may be running, and
// shows how many tasks are done and run.
func (c *Core) statusForUsers(job string, status wire.JobPhase) wire.JobStatus {
	shown := wire.JobStatus{Ref: job, Status: status}
	if status == wire.JobQueued {
		shown.Done, shown.Running = c.countsOf(job)
		if shown.Running > 0 {
			shown.Status = wire.JobRunning
		}
	}
	return shown
}

// countsOf tells how many tasks of a job are done and run, for display.
func (c *Core) countsOf(job string) (done, running int) {
	if c.owner != nil && c.owner.jobs[job] != nil {
		return c.owner.countsOf(job)
	}
	latest := micros.Micros(0)
	for _, cfg := range c.cfg.Siblings { // an earlier owner may still say what it knew
		s := c.peers[cfg.Node]
		if count := s.jobCounts[job]; count != nil && s.lastHeard > latest {
			latest, done, running = s.lastHeard, int(count.Done), int(count.Running)
		}
	}
	return done, running
}
