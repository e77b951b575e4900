package controller

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Pauses after failures, and how faulty machines are told from faulty jobs.
const (
	// initialErrorBackoff is the first pause of a job that fails; it doubles with each failure.
	initialErrorBackoff = micros.Second
	maxErrorBackoff     = 60 * micros.Second
	// maxBackoffDoublings keeps the doubled pause from overflowing.
	maxBackoffDoublings = 8
	// startRefusalQuarantine is how long nothing is placed on a machine that refused a start.
	startRefusalQuarantine = 5 * micros.Second
	// maxFaultyMachines is the number of machines on which a job may fail before the job
	// itself is taken to be at fault.
	maxFaultyMachines = 2
)

// handleTaskExit handles a task that the machine reports as ended.
func (o *owner) handleTaskExit(a *inventory.Attempt, task *wire.TaskStatus) {
	if task.Cause == wire.CauseDone {
		o.handleTaskCompleted(a)
		return
	}
	switch task.Cause {
	case wire.CauseError:
		o.handleTaskFailed(a, true)
	case wire.CauseUnknownTask:
		o.handleTaskFailed(a, false)
	case wire.CauseInsufficientResources, wire.CauseBusy:
		a.Machine.QuarantinedUntil = o.c.now + startRefusalQuarantine
	default: // nothing follows in the other states
	}
	o.c.log.Info("task ended", "task", task.Task, "machine", a.Machine.Name, "cause", task.Cause,
		"saved", task.Checkpointed, "why", a.Reason)
	o.handleAttemptLost(a, string(task.Cause))
}

// handleTaskCompleted handles a task that ended with its result.
func (o *owner) handleTaskCompleted(a *inventory.Attempt) {
	j := a.Job
	a.Machine.ConsecutiveErrors = 0
	if j.State != inventory.JobActive {
		o.SetAttemptState(a, inventory.AttemptRemoving)
		return
	}
	j.Failures = 0
	clear(j.FailedOn)
	o.observeRunTime(a)
	o.SetAttemptState(a, inventory.AttemptCompleted)
	if j.Gang {
		o.completeGang(a)
	}
	if j.CompletedCount == j.Tasks {
		o.SetJobState(j, inventory.JobFinishing)
	}
}

// completeGang marks all tasks of a gang as done once one is: they complete together, also
// those whose machines are gone, for which another attempt of the gang would wait for ever.
// Those that ran are off their machines. When a completed gang was started again, each task
// ends by itself, and keeps its resources until its machine reports that.
func (o *owner) completeGang(first *inventory.Attempt) {
	j := first.Job
	for _, a := range j.SortedAttempts() {
		if a.Number == first.Number && (first.RunningSince != 0 || a.RunningSince != 0) {
			o.SetAttemptState(a, inventory.AttemptCompleted)
		}
	}
	for task := range j.Tasks {
		j.SetTaskState(task, inventory.TaskDone)
	}
}

// handleTaskFailed counts a failure, and tells a faulty machine from a job that fails everywhere.
func (o *owner) handleTaskFailed(a *inventory.Attempt, machineToo bool) {
	j, m := a.Job, a.Machine
	j.Failures++
	j.FailedOn[m.Name] = true
	if machineToo && len(j.FailedOn) <= maxFaultyMachines {
		m.ConsecutiveErrors++
	}
	if m.ConsecutiveErrors >= o.c.cfg.Tuning.QuarantineThreshold && m.State == inventory.MachineReady {
		o.SetMachineState(m, inventory.MachineDraining, "fails task after task")
		for _, b := range m.SortedAttempts() {
			if b != a {
				o.evict(b, "machine is faulty")
			}
		}
	}
	if len(j.FailedOn) > maxFaultyMachines || j.Gang {
		pause := initialErrorBackoff << min(j.Failures, maxBackoffDoublings)
		j.BackoffUntil = max(j.BackoffUntil, o.c.now+min(pause, maxErrorBackoff))
	}
}

// evict stops an attempt with time to save its progress; of a gang, all attempts.
func (o *owner) evict(a *inventory.Attempt, why string) {
	grace := micros.Micros(0)
	if a.Job.CheckpointInterval > 0 {
		grace = a.Job.CheckpointDuration + micros.Second
	}
	if a.Job.Gang {
		o.StopJob(a.Job, grace, why)
		return
	}
	o.StopAttempt(a, grace, why)
}

// handleReclaimNotice handles the cloud's notice that it reclaims a spot machine.
func (o *owner) handleReclaimNotice(m *inventory.Machine, left micros.Micros) {
	first := m.ReclaimAt == 0
	m.ReclaimAt = o.c.now + left
	if m.State == inventory.MachineReady || m.State == inventory.MachineTransferring {
		o.SetMachineState(m, inventory.MachineDraining, "taken back by the cloud")
	}
	if !first {
		return
	}
	o.recordSpotReclaimed(m)
	for _, a := range m.SortedAttempts() {
		// A task that would not complete in time is stopped now: it saves if it can, and
		// starts elsewhere the sooner. One that cannot save and has run for long may still
		// complete, so it goes on.
		ran := micros.Micros(0)
		if a.RunningSince != 0 && a.Job.CheckpointInterval == 0 {
			ran = o.c.now - a.RunningSince
		}
		if o.remainingRunTime(a) > left-micros.Second && ran < left {
			o.evict(a, "machine is taken back")
		}
	}
}

// remainingRunTime estimates how long an attempt still takes.
func (o *owner) remainingRunTime(a *inventory.Attempt) micros.Micros {
	total := o.estimatedRunTime(a.Job)
	if a.RunningSince == 0 {
		return total
	}
	ran := o.c.now - a.RunningSince
	return max(total-ran, ran/4, micros.Second)
}
