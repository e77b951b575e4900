package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Parameters of the backoff after failures, and the limit that distinguishes faulty jobs from faulty
// machines.
const (
	// initialErrorBackoff is the base of a failing job's backoff, which doubles with each failure
	// up to maxErrorBackoff.
	initialErrorBackoff = micros.Second
	maxErrorBackoff     = 60 * micros.Second
	// maxBackoffDoublings prevents an overflow of the doubled backoff.
	maxBackoffDoublings = 8
	// startRefusalQuarantine is how long no tasks are placed on a machine that has refused to
	// start a task.
	startRefusalQuarantine = 5 * micros.Second
	// maxFaultyMachines is the number of machines on which a job may fail before the job itself
	// is considered faulty.
	maxFaultyMachines = 2
)

// handleTaskExit handles a task that its machine reports as exited.
func (w *Manager) handleTaskExit(a *inventory.Attempt, task *wire.TaskStatus) {
	switch task.Cause {
	case wire.CauseDone:
		w.handleTaskCompleted(a)
		return
	case wire.CauseError, wire.CauseUnknownTask:
		w.handleTaskFailed(a, task.Cause)
	case wire.CauseInsufficientResources, wire.CauseBusy:
		a.Machine.QuarantinedUntil = w.host.Now() + startRefusalQuarantine
	case wire.CauseStopped, wire.CauseGangMemberLost, wire.CauseGangStartTimeout:
		// Counted neither against the job nor against the machine.
	}
	w.log.Info("task exited", "task", task.Task, "machine", a.Machine.Name, "cause", task.Cause,
		"checkpointed", task.Checkpointed, "reason", a.Reason)
	w.handleAttemptLost(a, string(task.Cause))
}

// handleTaskCompleted handles a task that has completed successfully.
func (w *Manager) handleTaskCompleted(a *inventory.Attempt) {
	j := a.Job
	a.Machine.ConsecutiveErrors = 0
	if j.State != inventory.JobActive {
		w.inventory.SetAttemptState(a, inventory.AttemptRemoving)
		return
	}
	j.Failures = 0
	clear(j.FailedMachines)
	w.host.RecordRunTime(a)
	w.inventory.SetAttemptState(a, inventory.AttemptCompleted)
	if j.Gang {
		w.completeGang(a)
	}
	if j.CompletedCount == j.Tasks {
		w.inventory.SetJobState(j, inventory.JobFinishing)
	}
}

// completeGang marks all tasks of a gang as done after one of them has completed. The tasks of a gang
// complete together. This includes tasks on lost machines, since another attempt of the gang would wait
// for them forever. Tasks that were running no longer use their machines. If a gang was started again
// after it had completed, each task exits separately and keeps its resources until its machine reports
// the exit.
func (w *Manager) completeGang(first *inventory.Attempt) {
	j := first.Job
	for _, a := range j.SortedAttempts() {
		if a.Number == first.Number && (first.RunningSince != 0 || a.RunningSince != 0) {
			w.inventory.SetAttemptState(a, inventory.AttemptCompleted)
		}
	}
	for task := range j.Tasks {
		j.SetTaskState(task, inventory.TaskDone)
	}
}

// handleTaskFailed counts a failure against the job and, if the task exited with an error and the job
// has failed on at most maxFaultyMachines machines, against the machine. A faulty machine is drained.
// A faulty job, or any gang, backs off.
func (w *Manager) handleTaskFailed(a *inventory.Attempt, cause wire.ExitCause) {
	j, m := a.Job, a.Machine
	j.Failures++
	j.FailedMachines[m.Name] = true
	jobFaulty := len(j.FailedMachines) > maxFaultyMachines
	if cause == wire.CauseError && !jobFaulty {
		m.ConsecutiveErrors++
	}
	if m.ConsecutiveErrors >= w.settings.Tuning.QuarantineThreshold && m.State == inventory.MachineReady {
		w.drainFaultyMachine(m, a)
	}
	if jobFaulty || j.Gang {
		backoff := initialErrorBackoff << min(j.Failures, maxBackoffDoublings)
		j.BackoffUntil = max(j.BackoffUntil, w.host.Now()+min(backoff, maxErrorBackoff))
	}
}

// drainFaultyMachine drains a machine on which tasks keep failing and evicts its attempts, except the
// attempt that has just failed.
func (w *Manager) drainFaultyMachine(m *inventory.Machine, failed *inventory.Attempt) {
	w.inventory.SetMachineState(m, inventory.MachineDraining, "consecutive task failures")
	for _, a := range m.SortedAttempts() {
		if a != failed {
			w.Evict(a, "machine is faulty")
		}
	}
}
