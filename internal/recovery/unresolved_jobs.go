package recovery

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// terminalStatesPerTick is the maximum number of terminal states that are read in each slow tick.
	terminalStatesPerTick = 4
	// assumedCancellationAge is the fraction of the cancellation deadline that is assumed to have
	// passed since the end of a job whose terminal state cannot be read.
	assumedCancellationAge = 0.4
)

// ResolveJobs reads the terminal states of jobs that have attempts in blocks although they are not
// active.
func (r *Recovery) ResolveJobs() {
	for range min(terminalStatesPerTick, len(r.unresolvedJobs)) {
		j := r.unresolvedJobs[0]
		r.unresolvedJobs = r.unresolvedJobs[1:]
		if r.inv.Jobs[j.ID] != j {
			continue // its machines have sent heartbeats, which closed its attempts
		}
		r.store.Get(budget.Reads, record.TerminalStateKey(j.ID), func(outcome kv.Outcome, e kv.Entry) {
			switch {
			case r.host.Superseded() || outcome == kv.NotFound:
			case outcome != kv.OK:
				r.unresolvedJobs = append(r.unresolvedJobs, j)
				if outcome != kv.Throttled {
					r.assumeCancelled(j)
				}
			default:
				r.resolveJob(j, e.Value)
			}
		})
	}
}

// assumeCancelled makes the time limit of a cancelled job apply to a job whose terminal state cannot be
// read, until it can be: an outage of the key-value store may outlast the limit.
func (r *Recovery) assumeCancelled(j *inventory.Job) {
	if j.CancelledAt != 0 {
		return
	}
	age := micros.Micros(assumedCancellationAge * float64(r.settings.CancellationDeadline))
	j.CancelledAt = max(1, r.host.Now()-age)
	r.log.Warn("terminal state cannot be read: job is treated as cancelled", "job", j.ID, "attempts", len(j.Attempts))
}

// resolveJob applies the terminal state of a job. If the job is done, all its tasks have ended, so
// its attempts are closed without waiting for heartbeats of their machines. A partitioned machine
// then need not be terminated because of these attempts, as it must be for tasks of a cancelled
// job, and a gang that runs there continues.
func (r *Recovery) resolveJob(j *inventory.Job, value []byte) {
	var terminal record.TerminalState
	// A job whose terminal state cannot be decoded is treated as cancelled, the stricter case.
	if wire.Decode(value, &terminal) == nil && terminal.Status == record.StatusDone {
		j.CancelledAt = 0
		for _, a := range j.SortedAttempts() {
			if a.Machine.AgentEpoch == 0 { // otherwise the heartbeats decide
				r.inv.SetAttemptState(a, inventory.AttemptClosed)
			}
		}
		return
	}
	sinceEnd := r.host.WallClock() - terminal.FinishedAt
	if terminal.FinishedAt == 0 { // older versions did not record the time: assume the earliest possible
		sinceEnd = r.settings.CancellationDeadline
	}
	j.CancelledAt = max(1, r.host.Now()-sinceEnd)
}
