package frontend

import "tamarindlead/internal/wire"

// handleQuery handles a query of the state of a job.
func (f *Frontend) handleQuery(request userRequest, job string) {
	if !wire.ValidJobID(job) {
		f.responder.reject(request, noSuchJob())
		return
	}
	f.lookups.add(job, func(result lookupResult) {
		switch result.outcome {
		case lookupNotFound:
			f.responder.rejectUnaccepted(request, job, noSuchJob(), result.evidence)
		case lookupFound:
			f.responder.respondQuery(request, job, result)
		case lookupFailed:
			f.responder.refuse(request, reasonKVUnresponsive)
		}
	})
}

// userFacingStatus returns the state of a job as it is shown to users. A job that has not ended is
// shown with the numbers of its done and running tasks, and as running if any task is running.
func (n *node) userFacingStatus(job string, phase wire.JobPhase) wire.JobStatus {
	shown := wire.JobStatus{ID: job, Status: phase}
	if phase != wire.JobQueued {
		return shown
	}
	counts := n.taskCounts(job)
	shown.Done, shown.Running = counts.Done, counts.Running
	if counts.Running > 0 {
		shown.Status = wire.JobRunning
	}
	return shown
}

// taskCounts returns the numbers of a job's tasks that this node knows as the job's owner, or
// otherwise those from the heartbeats of peers. The latter may come from an earlier owner and be out
// of date; besides the counts, only the choice between queued and running depends on them.
func (n *node) taskCounts(job string) TaskCounts {
	if counts, owned := n.Owner.TaskCounts(job); owned {
		return counts
	}
	return n.Peers.TaskCounts(job)
}
