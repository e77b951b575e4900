package controller

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// handleQuery handles a user's question for the state of a job.
func (c *Core) handleQuery(r userRequest, job string) {
	if !wire.ValidJobID(job) {
		c.reject(r.id, wire.StatusNotFound, reasonNoSuchJob)
		return
	}
	c.lookup(job, func(result lookupResult) {
		switch result.outcome {
		case lookupNotFound:
			c.respondNeverAccepted(r, job, noSuchJob(), result.evidence)
		case lookupFound:
			c.respondQuery(r, job, result)
		default:
			c.refuse(r.id, wire.StatusUnavailable, reasonKVUnresponsive)
		}
	})
}

// userFacingStatus is a job's state as users see it: one that is not over may be running, and
// shows how many tasks are done and run.
func (c *Core) userFacingStatus(job string, status wire.JobPhase) wire.JobStatus {
	shown := wire.JobStatus{ID: job, Status: status}
	if status == wire.JobQueued {
		shown.Done, shown.Running = c.taskCounts(job)
		if shown.Running > 0 {
			shown.Status = wire.JobRunning
		}
	}
	return shown
}

// taskCounts tells how many tasks of a job are done and run, for display.
func (c *Core) taskCounts(job string) (done, running int) {
	if c.owner != nil && c.owner.Jobs[job] != nil {
		return c.owner.countsOf(job)
	}
	latest := micros.Micros(0)
	for _, cfg := range c.cfg.Siblings { // an earlier owner may still say what it knew
		s := c.peers[cfg.Node]
		if count := s.jobCounts[job]; count != nil && s.lastHeartbeat > latest {
			latest, done, running = s.lastHeartbeat, int(count.Done), int(count.Running)
		}
	}
	return done, running
}
