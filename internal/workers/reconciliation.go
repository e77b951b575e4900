package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
)

// Reasons for which attempts are lost or stopped.
const (
	reasonNotReported    = "not in the heartbeat"
	reasonGangMemberLost = "gang member lost"
)

// reconcileTasks applies the reported tasks to the machine's attempts and returns the set of reported
// attempts.
func (w *Manager) reconcileTasks(m *inventory.Machine, tasks []wire.TaskStatus) map[inventory.TaskKey]bool {
	reported := make(map[inventory.TaskKey]bool, len(tasks))
	for i := range tasks {
		task := &tasks[i]
		id, index, ok := wire.SplitTaskName(task.Task)
		if !ok {
			continue
		}
		key := inventory.TaskKey{Job: id, Index: index}
		a := m.Attempts[key]
		if a == nil || a.Number != task.Attempt {
			w.checkClosed(m, inventory.AttemptKey{TaskKey: key, Number: task.Attempt}, task)
			continue
		}
		reported[key] = true
		w.reconcileTask(a, task)
	}
	return reported
}

// reconcileTask applies the reported status of a task to its attempt.
func (w *Manager) reconcileTask(a *inventory.Attempt, task *wire.TaskStatus) {
	a.HeartbeatSeen, a.Phase = true, task.Phase
	switch a.State {
	case inventory.AttemptRecorded, inventory.AttemptStarting:
		w.inventory.SetAttemptState(a, inventory.AttemptLive)
	case inventory.AttemptCompleted, inventory.AttemptRemoving:
		return
	case inventory.AttemptAssumed, inventory.AttemptLive, inventory.AttemptStopping, inventory.AttemptClosed:
	}
	switch {
	case task.Phase == wire.PhaseExited && !a.Machine.TokenConfirmed:
		// This may be a delayed heartbeat from an earlier start of the same attempt, so an exit
		// is ignored until a heartbeat carries this owner's token.
	case task.Phase == wire.PhaseExited:
		w.handleTaskExit(a, task)
	case task.Phase == wire.PhaseRunning && a.RunningSince == 0:
		a.RunningSince = w.host.Now()
	}
	a.SetCountedRunning(a.IsRunning())
}

// reconcileMissing handles the attempts that are certainly not on the machine because its heartbeat
// does not report them.
func (w *Manager) reconcileMissing(m *inventory.Machine, reported map[inventory.TaskKey]bool) {
	for _, a := range m.SortedAttempts() {
		if !reported[a.Key()] {
			w.reconcileMissingAttempt(a)
		}
	}
}

// reconcileMissingAttempt handles an attempt that is certainly not on its machine.
func (w *Manager) reconcileMissingAttempt(a *inventory.Attempt) {
	switch a.State {
	case inventory.AttemptStarting:
		if a.HeartbeatSeen {
			w.handleAttemptLost(a, reasonNotReported)
		} else if a.StartHeartbeatSeq < a.Machine.HeartbeatSeq {
			w.inventory.SetAttemptState(a, inventory.AttemptRecorded) // the start command was lost
		}
	case inventory.AttemptLive:
		w.handleAttemptLost(a, reasonNotReported)
	case inventory.AttemptStopping:
		w.inventory.SetAttemptState(a, inventory.AttemptRemoving)
	case inventory.AttemptAssumed, inventory.AttemptRecorded, inventory.AttemptCompleted,
		inventory.AttemptRemoving, inventory.AttemptClosed:
		// Not started yet, or already off the machine.
	}
}

// handleAttemptLost handles an attempt that ended without completing. If it belonged to a gang, the
// whole gang is stopped.
func (w *Manager) handleAttemptLost(a *inventory.Attempt, reason string) {
	a.Reason = reason
	w.inventory.SetAttemptState(a, inventory.AttemptRemoving)
	if a.Job.Gang && a.Job.GangState != inventory.GangStopping {
		w.inventory.StopJob(a.Job, 0, reasonGangMemberLost)
	}
}
