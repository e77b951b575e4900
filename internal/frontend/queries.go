package frontend

import "tamarindlead/internal/wire"

// handleQuery handles a user's question for the state of a job.
func (c *Frontend) handleQuery(r userRequest, job string) {
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
			c.writer.Refuse(r.id, wire.StatusUnavailable, reasonKVUnresponsive)
		}
	})
}

// userFacingStatus is a job's state as users see it: one that is not over may be running, and
// shows how many tasks are done and run.
func (c *Frontend) userFacingStatus(job string, status wire.JobPhase) wire.JobStatus {
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
func (c *Frontend) taskCounts(job string) (done, running int) {
	counts, owned := c.Owner.TaskCounts(job)
	if !owned { // an earlier owner may still say what it knew
		counts = c.Peers.TaskCounts(job)
	}
	return counts.Done, counts.Running
}
