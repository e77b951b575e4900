package controller

import (
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
func (o *owner) handleTaskExit(a *attempt, task *wire.TaskStatus) {
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
		a.machine.quarantinedUntil = o.c.now + startRefusalQuarantine
	}
	o.c.log.Info("task ended", "task", task.Task, "machine", a.machine.name, "cause", task.Cause,
		"saved", task.Checkpointed, "why", a.reason)
	o.handleAttemptLost(a, string(task.Cause))
}

// handleTaskCompleted handles a task that ended with its result.
func (o *owner) handleTaskCompleted(a *attempt) {
	j := a.job
	a.machine.consecutiveErrors = 0
	if j.state != jobActive {
		o.setAttemptState(a, attemptRemoving)
		return
	}
	j.failures = 0
	clear(j.failedOn)
	o.observeRunTime(a)
	o.setAttemptState(a, attemptCompleted)
	if j.Gang {
		o.completeGang(a)
	}
	if j.completedCount == j.Tasks {
		o.setJobState(j, jobFinishing)
	}
}

// completeGang marks all tasks of a gang as done once one is: they complete together, also
// those whose machines are gone, for which another attempt of the gang would wait for ever.
// Those that ran are off their machines. When a completed gang was started again, each task
// ends by itself, and keeps its resources until its machine reports that.
func (o *owner) completeGang(first *attempt) {
	j := first.job
	for _, a := range j.sortedAttempts() {
		if a.number == first.number && (first.runningSince != 0 || a.runningSince != 0) {
			o.setAttemptState(a, attemptCompleted)
		}
	}
	for task := range j.Tasks {
		j.setTaskState(task, taskDone)
	}
}

// handleTaskFailed counts a failure, and tells a faulty machine from a job that fails everywhere.
func (o *owner) handleTaskFailed(a *attempt, machineToo bool) {
	j, m := a.job, a.machine
	j.failures++
	j.failedOn[m.name] = true
	if machineToo && len(j.failedOn) <= maxFaultyMachines {
		m.consecutiveErrors++
	}
	if m.consecutiveErrors >= o.c.cfg.Tuning.QuarantineThreshold && m.state == machineReady {
		o.setMachineState(m, machineDraining, "fails task after task")
		for _, b := range m.sortedAttempts() {
			if b != a {
				o.evict(b, "machine is faulty")
			}
		}
	}
	if len(j.failedOn) > maxFaultyMachines || j.Gang {
		pause := initialErrorBackoff << min(j.failures, maxBackoffDoublings)
		j.backoffUntil = max(j.backoffUntil, o.c.now+min(pause, maxErrorBackoff))
	}
}

// evict stops an attempt with time to save its progress; of a gang, all attempts.
func (o *owner) evict(a *attempt, why string) {
	grace := micros.Micros(0)
	if a.job.CheckpointInterval > 0 {
		grace = a.job.CheckpointDuration + micros.Second
	}
	if a.job.Gang {
		o.stopJob(a.job, grace, why)
		return
	}
	o.stopAttempt(a, grace, why)
}

// handleReclaimNotice handles the cloud's notice that it reclaims a spot machine.
func (o *owner) handleReclaimNotice(m *machine, left micros.Micros) {
	first := m.reclaimAt == 0
	m.reclaimAt = o.c.now + left
	if m.state == machineReady || m.state == machineTransferring {
		o.setMachineState(m, machineDraining, "taken back by the cloud")
	}
	if !first {
		return
	}
	o.recordSpotReclaimed(m)
	for _, a := range m.sortedAttempts() {
		// A task that would not complete in time is stopped now: it saves if it can, and
		// starts elsewhere the sooner. One that cannot save and has run for long may still
		// complete, so it goes on.
		ran := micros.Micros(0)
		if a.runningSince != 0 && a.job.CheckpointInterval == 0 {
			ran = o.c.now - a.runningSince
		}
		if o.remainingRunTime(a) > left-micros.Second && ran < left {
			o.evict(a, "machine is taken back")
		}
	}
}

// remainingRunTime estimates how long an attempt still takes.
func (o *owner) remainingRunTime(a *attempt) micros.Micros {
	total := o.estimatedRunTime(a.job)
	if a.runningSince == 0 {
		return total
	}
	ran := o.c.now - a.runningSince
	return max(total-ran, ran/4, micros.Second)
}
