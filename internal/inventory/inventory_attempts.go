package inventory

import (
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// SetAttemptState changes the state of an attempt, unless it is closed. It updates what depends on the
// state: counts, the resources in use and the task of the attempt.
func (inv *Inventory) SetAttemptState(a *Attempt, s AttemptState) {
	if a.State == s || a.State == AttemptClosed {
		return
	}
	previous := a.State
	a.State = s
	if inv.debug {
		inv.log.Debug("attempt state changed", "task", a.TaskName(), "attempt", a.Number, "machine", a.Machine.Name,
			"fencing_token", a.Machine.FencingToken, "from", previous.String(), "to", s.String(), "reason", a.Reason)
	}
	if previous == AttemptAssumed {
		inv.countAssumed(a.Job, -1)
	}
	if s != AttemptLive {
		a.SetCountedRunning(false)
	}
	inv.countStopping(a, previous)
	switch s {
	case AttemptRemoving:
		inv.releaseResources(a)
		inv.host.EntryChanged(a.Machine)
	case AttemptCompleted:
		inv.releaseResources(a)
		inv.handleTaskCompleted(a)
	case AttemptClosed:
		inv.releaseResources(a)
		inv.handleAttemptClosed(a)
	case AttemptAssumed, AttemptRecorded, AttemptStarting, AttemptLive, AttemptStopping:
	}
}

// countStopping updates the resources of the attempts of a team that are being stopped, after a change
// of an attempt's state.
func (inv *Inventory) countStopping(a *Attempt, previous AttemptState) {
	t := inv.Teams[a.Job.Team]
	if t == nil {
		return
	}
	if a.State == AttemptStopping {
		t.Stopping = t.Stopping.Add(a.Job.Need)
	} else if previous == AttemptStopping {
		t.Stopping = t.Stopping.Sub(a.Job.Need)
	}
}

// handleTaskCompleted marks the task of an attempt as done. A gang completes as a whole, and only its
// terminal state is recorded. For other jobs, the completion of each task is recorded.
func (inv *Inventory) handleTaskCompleted(a *Attempt) {
	a.Job.SetTaskState(a.Index, TaskDone)
	if !a.Job.Gang {
		a.Job.AddUnrecordedCompletion(a)
		inv.host.CompletionUnrecorded(a.Job, a.Index/record.TasksPerChunk)
	}
}

// countAssumed changes the number of assumed attempts of a job, and updates the number of jobs that have
// assumed attempts.
func (inv *Inventory) countAssumed(j *Job, change int) {
	before := j.Assumed > 0
	j.Assumed += change
	inv.Assumed += change
	switch after := j.Assumed > 0; {
	case after && !before:
		inv.AssumedJobs++
	case before && !after:
		inv.AssumedJobs--
	}
}

// releaseResources releases the resources that an attempt uses on its machine and in its team's quota. It
// is called when it is certain that the task does not run. The task can be placed again only after that
// has been recorded.
func (inv *Inventory) releaseResources(a *Attempt) {
	if a.ResourcesReleased {
		return
	}
	a.ResourcesReleased = true
	a.Machine.Used = a.Machine.Used.Sub(a.Job.Need)
	if t := inv.Teams[a.Job.Team]; t != nil {
		t.Used = t.Used.Sub(a.Job.Need)
	}
	inv.SchedulingNeeded = true
}

// handleAttemptClosed removes an attempt. Its task may be placed again.
func (inv *Inventory) handleAttemptClosed(a *Attempt) {
	m, j := a.Machine, a.Job
	delete(m.Attempts, a.Key())
	if len(m.Attempts) == 0 {
		m.IdleSince = inv.host.Now()
		if m.State == MachineTransferring {
			inv.host.EntryChanged(m)
		}
	}
	if j.Attempts[a.Index] == a {
		delete(j.Attempts, a.Index)
		if a.Index < j.Tasks {
			j.SetTaskState(a.Index, TaskPending)
		}
	}
	if len(j.Attempts) == 0 {
		j.IdleSince = inv.host.Now()
		inv.SetGangState(j, GangNone)
		if j.State == JobEnded {
			delete(inv.Jobs, j.ID)
		}
	}
	inv.SchedulingNeeded = true
	inv.host.AttemptClosed(a)
}

// AddAttempt adds an attempt in a state, and counts the resources that it uses.
func (inv *Inventory) AddAttempt(j *Job, index int, number uint64, m *Machine, s AttemptState) *Attempt {
	a := &Attempt{Job: j, Index: index, Number: number, Machine: m, State: s, PlacedAt: inv.host.Now()}
	m.Attempts[a.Key()] = a
	m.Used = m.Used.Add(j.Need)
	m.AddCachedImage(j.Image)
	if t := inv.Teams[j.Team]; t != nil {
		t.Used = t.Used.Add(j.Need)
	}
	j.Attempts[index] = a
	if index < j.Tasks {
		j.SetTaskState(index, TaskPlaced)
	}
	if s == AttemptAssumed {
		inv.countAssumed(j, 1)
	}
	return a
}

// StopAttempt stops an attempt, with a grace period for a checkpoint if it may have started.
func (inv *Inventory) StopAttempt(a *Attempt, gracePeriod micros.Micros, reason string) {
	switch a.State {
	case AttemptAssumed:
		// If the transaction that records the attempt is in flight, the attempt must be removed
		// from the record.
		a.Reason = reason
		if a.Machine.Block.Writing {
			inv.SetAttemptState(a, AttemptRemoving)
		} else {
			inv.SetAttemptState(a, AttemptClosed)
		}
	case AttemptRecorded:
		a.Reason = reason
		inv.SetAttemptState(a, AttemptRemoving)
	case AttemptStarting, AttemptLive:
		a.Reason, a.GracePeriod = reason, gracePeriod
		inv.SetAttemptState(a, AttemptStopping)
		inv.host.CommandsNeeded(a.Machine)
	case AttemptStopping:
		a.GracePeriod = min(a.GracePeriod, gracePeriod)
	case AttemptCompleted, AttemptRemoving, AttemptClosed:
	}
}
