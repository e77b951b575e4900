package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Backoff after failures, and the limit by which faulty machines are distinguished from faulty jobs.
const (
	// initialErrorBackoff is the first backoff of a failing job; it doubles with each failure.
	initialErrorBackoff = micros.Second
	maxErrorBackoff     = 60 * micros.Second
	// maxBackoffDoublings keeps the doubled backoff from overflowing.
	maxBackoffDoublings = 8
	// startRefusalQuarantine is the time for which nothing is placed on a machine that refused
	// a start.
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
	case wire.CauseStopped, wire.CauseGangMemberLost, wire.CauseAlone:
		// Neither the job nor the machine is at fault.
	}
	w.log.Info("task exited", "task", task.Task, "machine", a.Machine.Name, "cause", task.Cause,
		"checkpointed", task.Checkpointed, "reason", a.Reason)
	w.handleAttemptLost(a, string(task.Cause))
}

// handleTaskCompleted handles a task that exited with its result.
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

// completeGang marks all tasks of a gang as done once one of them is. They complete together, also
// those on machines that are gone: another attempt of the gang would wait for these forever. Tasks
// that ran have left their machines. If a completed gang was started again, each task exits by
// itself and keeps its resources until its machine reports that.
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

// handleTaskFailed counts a failure for its job and, if the task ran and the job does not fail
// everywhere, for its machine. A faulty machine is drained; a faulty job backs off.
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

// drainFaultyMachine drains a machine on which tasks keep failing and evicts its attempts, but for
// the one that has just failed.
func (w *Manager) drainFaultyMachine(m *inventory.Machine, failed *inventory.Attempt) {
	w.inventory.SetMachineState(m, inventory.MachineDraining, "consecutive task failures")
	for _, a := range m.SortedAttempts() {
		if a != failed {
			w.Evict(a, "machine is faulty")
		}
	}
}
