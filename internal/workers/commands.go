package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// commands returns the commands for a machine according to its last heartbeat, and sets the state of
// the attempts with a start command to starting.
func (w *Manager) commands(m *inventory.Machine) []wire.Command {
	if !m.TokenConfirmed {
		return nil // the machine first receives the token with the response to its heartbeat
	}
	if !w.mayCommand(m, anyVerb) {
		return nil
	}
	reported, commands := w.commandsForReportedTasks(m)
	for _, a := range m.SortedAttempts() {
		if a.State == inventory.AttemptStarting && a.Job.State == inventory.JobEnded {
			w.inventory.StopAttempt(a, 0, inventory.ReasonJobEnded)
		}
		switch {
		case a.State == inventory.AttemptStopping && !a.HeartbeatSeen:
			// The start command may still be in flight, so a stop command must follow it.
			commands = append(commands, stopCommand(a.TaskName(), a.Number, a.GracePeriod))
		case a.State == inventory.AttemptRecorded && !reported[a.Key()] && a.MayStart() && w.maySendStart(a):
			a.StartHeartbeatSeq = m.HeartbeatSeq
			w.inventory.SetAttemptState(a, inventory.AttemptStarting)
			commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: a.TaskName(), Attempt: a.Number})
		}
	}
	return commands
}

// commandsForReportedTasks returns the commands for the tasks in the machine's last heartbeat, and the
// set of these tasks except those for which a forget command is issued.
func (w *Manager) commandsForReportedTasks(m *inventory.Machine) (reported map[inventory.TaskKey]bool, commands []wire.Command) {
	reported = make(map[inventory.TaskKey]bool, len(m.ReportedTasks))
	for i := range m.ReportedTasks {
		task := &m.ReportedTasks[i]
		id, index, ok := wire.SplitTaskName(task.Task)
		key := inventory.TaskKey{Job: id, Index: index}
		reported[key] = ok
		a := m.Attempts[key]
		exited := task.Phase == wire.PhaseExited
		switch {
		case a != nil && a.Number == task.Attempt:
			if a.State == inventory.AttemptStopping && !exited {
				commands = append(commands, stopCommand(task.Task, task.Attempt, a.GracePeriod))
			}
		case !exited: // this owner has no such attempt
			commands = append(commands, stopCommand(task.Task, task.Attempt, 0))
		case m.MayForget(inventory.AttemptKey{TaskKey: key, Number: task.Attempt}):
			// The outcome of an attempt that this owner no longer records is already recorded.
			commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: task.Task, Attempt: task.Attempt})
			reported[key] = false
		}
	}
	return reported, commands
}

// stopCommand returns the command to stop an attempt within a grace period.
func stopCommand(task string, attempt uint64, gracePeriod micros.Micros) wire.Command {
	seconds := gracePeriod.Seconds()
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GraceS: &seconds}
}
