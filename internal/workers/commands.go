package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Commands reach a machine in the answer to its report, or, so that nothing waits for the
// next report, in a request to its worker. This file decides which commands a machine needs
// and sends them directly.

// Limits on requests to workers.
const (
	// commandTimeout is how long a worker may take to answer.
	commandTimeout = 4 * micros.Second
	// commandSocketFraction is the part of the sockets that requests to workers may use at a
	// time: each machine that hangs keeps one until it is given up.
	commandSocketFraction = 0.125
	// minInFlightCommands is the number of such requests that is always allowed.
	minInFlightCommands = 4
)

// Pace at which machines that were taken over and stay silent are asked for a report.
const (
	inspectionDelay     = 2 * micros.Second
	inspectionBatchSize = 4
)

// commands returns what a machine must do, given its latest report, and marks the starts
// among it as ordered.
func (w *Manager) commands(m *inventory.Machine) []wire.Command {
	if !m.TokenConfirmed {
		return nil // it learns the token first
	}
	if !w.mayCommand(m, "any") {
		return nil
	}
	reported, commands := w.commandsForReportedTasks(m)
	for _, a := range m.SortedAttempts() {
		if a.State == inventory.AttemptStarting && a.Job.State == inventory.JobEnded {
			w.inventory.StopAttempt(a, 0, "job is over")
		}
		switch {
		case a.State == inventory.AttemptStopping && !a.HeartbeatSeen:
			// Its start may be on its way, so the stop must follow it.
			commands = append(commands, stopCommand(a.TaskName(), a.Number, a.GracePeriod))
		case a.State == inventory.AttemptRecorded && !reported[a.Key()] && a.MayStart() && w.maySendStart(a):
			a.StartHeartbeatSeq = m.HeartbeatSeq
			w.inventory.SetAttemptState(a, inventory.AttemptStarting)
			commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: a.TaskName(), Attempt: a.Number})
		}
	}
	return commands
}

// commandsForReportedTasks returns the commands for tasks that the machine's latest report
// lists, and which tasks those are, less the ones that the machine is told to forget.
func (w *Manager) commandsForReportedTasks(m *inventory.Machine) (reported map[inventory.TaskKey]bool, commands []wire.Command) {
	reported = make(map[inventory.TaskKey]bool, len(m.ReportedTasks))
	settled := m.Fencing == inventory.FencingNone && !m.CommandsInFlight
	for _, task := range m.ReportedTasks {
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
		case !exited: // nothing that this owner knows of
			commands = append(commands, stopCommand(task.Task, task.Attempt, 0))
		case settled:
			// The outcome of an attempt that is not recorded here any more is recorded
			// elsewhere, so the machine may forget it, but not while a start for it may
			// be on its way.
			commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: task.Task, Attempt: task.Attempt})
			reported[key] = false
		}
	}
	return reported, commands
}

func stopCommand(task string, attempt uint64, grace micros.Micros) wire.Command {
	seconds := grace.Seconds()
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GraceS: &seconds}
}

// QueueDispatch has the next DispatchQueuedMachines look for commands for a machine.
func (w *Manager) QueueDispatch(m *inventory.Machine) {
	m.DispatchNeeded = true
	if !m.InDispatchQueue {
		m.InDispatchQueue = true
		w.dispatchQueue = append(w.dispatchQueue, m)
	}
}

// commandLimitReached tells that no further request to a worker may be sent now. What waits goes
// with the answers to reports.
func (w *Manager) commandLimitReached() bool {
	return w.commandsInFlight >= max(minInFlightCommands, int(commandSocketFraction*float64(w.settings.Sockets)))
}

// DispatchQueuedMachines sends commands to the machines in the dispatch queue. A machine that cannot
// be sent to now is queued again when that changes.
func (w *Manager) DispatchQueuedMachines() {
	queue := w.dispatchQueue
	w.dispatchQueue = nil
	for i, m := range queue {
		if w.commandLimitReached() {
			w.dispatchQueue = append(queue[i:len(queue):len(queue)], w.dispatchQueue...)
			return
		}
		m.InDispatchQueue = false
		if m.DispatchNeeded && w.inventory.Machines[m.Name] == m {
			w.dispatch(m)
		}
	}
}

// dispatch sends a machine its commands, if it can take them now.
func (w *Manager) dispatch(m *inventory.Machine) {
	takesWork := m.State >= inventory.MachineReady && m.State <= inventory.MachineTransferring
	if m.CommandsInFlight || !m.TokenConfirmed || m.Fencing != inventory.FencingNone || m.Endpoint == "" || !takesWork {
		return
	}
	m.DispatchNeeded = false
	if commands := w.commands(m); len(commands) > 0 {
		w.sendCommands(m, commands)
	}
}

// sendCommands sends commands to a machine's worker. Without commands it only shows the
// worker this owner's token.
func (w *Manager) sendCommands(m *inventory.Machine, commands []wire.Command) {
	m.CommandsInFlight = true
	w.commandsInFlight++
	body := wire.Encode(wire.CommandsRequest{FencingToken: m.FencingToken, AgentEpoch: m.AgentEpoch, Commands: commands})
	w.host.Call(Call{
		Address: m.Endpoint, Method: "POST", Path: wire.PathCommands, Timeout: commandTimeout, MaxResponse: wire.MaxBody, Body: body,
	}, func(e Response) {
		w.commandsInFlight--
		if w.host.Superseded() || w.inventory.Machines[m.Name] != m {
			return
		}
		m.CommandsInFlight = false
		w.handleCommandResponse(m, len(commands) > 0, e)
	})
}

// handleCommandResponse takes the report with which a worker answers commands. Commands without
// an answer may still be executed: the machine is fenced until it has seen a higher token.
func (w *Manager) handleCommandResponse(m *inventory.Machine, hadCommands bool, e Response) {
	var report *wire.Heartbeat
	if e.Status == wire.StatusOK || e.Status == wire.StatusConflict {
		report, _ = wire.DecodeHeartbeat(e.Body) // one that cannot be read counts as no answer
	}
	switch {
	case report != nil && report.FencingToken > m.FencingToken:
		w.host.RestartRecovery("a machine has seen a higher token")
	case report != nil:
		w.applyHeartbeat(m, report, false)
		if m.DispatchNeeded || m.HasPendingStarts() {
			w.QueueDispatch(m)
		}
	case e.Sent && hadCommands:
		w.log.Info("command not answered", "machine", m.Name)
		w.inventory.SetFencingState(m, inventory.FencingNeeded)
	}
}

// InspectMachines asks a few machines that were taken over and have not reported. Most workers
// find this node by themselves, and asking all machines at once would delay their reports.
func (w *Manager) InspectMachines() {
	if w.commandLimitReached() {
		return
	}
	asked := 0
	for _, m := range w.inventory.SortedMachines {
		// A machine with a task of a cancelled job is asked at once, since the leader may
		// change again soon.
		if w.host.Now()-w.host.ActiveSince() < inspectionDelay && !w.host.CancellationOverdue(m) {
			continue
		}
		if !m.Recovered || m.AgentEpoch != 0 || m.Inspected || m.FencingToken == 0 || m.State >= inventory.MachineDecommissioning {
			continue
		}
		m.Inspected = true
		w.inspectMachine(m)
		if asked++; asked == inspectionBatchSize {
			return
		}
	}
}

// inspectMachine asks a machine that was taken over for its report, and then shows it this owner's
// token, so that commands need not wait until its worker has found this node.
func (w *Manager) inspectMachine(m *inventory.Machine) {
	if m.Endpoint == "" || m.AgentEpoch != 0 || m.CommandsInFlight {
		return
	}
	w.commandsInFlight++
	w.host.Call(Call{
		Address: m.Endpoint, Method: "GET", Path: wire.PathInspect, Timeout: commandTimeout, MaxResponse: wire.MaxBody,
	}, func(e Response) {
		w.commandsInFlight--
		report, err := wire.DecodeHeartbeat(e.Body)
		if w.host.Superseded() || w.inventory.Machines[m.Name] != m || e.Status != wire.StatusOK || err != nil || report.FencingToken > m.FencingToken {
			return
		}
		if w.applyHeartbeat(m, report, false) && !m.TokenConfirmed {
			w.sendCommands(m, []wire.Command{})
		}
	})
}
