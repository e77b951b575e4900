package controller

import (
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
func (o *owner) commands(m *machine) []wire.Command {
	if !m.tokenConfirmed {
		return nil // it learns the token first
	}
	if !o.mayCommand(m, "any") {
		return nil
	}
	reported, commands := o.commandsForReportedTasks(m)
	for _, a := range m.sortedAttempts() {
		if a.state == attemptStarting && a.job.state == jobEnded {
			o.stopAttempt(a, 0, "job is over")
		}
		switch {
		case a.state == attemptStopping && !a.heartbeatSeen:
			// Its start may be on its way, so the stop must follow it.
			commands = append(commands, stopCommand(a.taskName(), a.number, a.gracePeriod))
		case a.state == attemptRecorded && !reported[a.key()] && a.mayStart() && o.maySendStart(a):
			a.startHeartbeatSeq = m.heartbeatSeq
			o.setAttemptState(a, attemptStarting)
			commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: a.taskName(), Attempt: a.number})
		}
	}
	return commands
}

// commandsForReportedTasks returns the commands for tasks that the machine's latest report
// lists, and which tasks those are, less the ones that the machine is told to forget.
func (o *owner) commandsForReportedTasks(m *machine) (reported map[taskKey]bool, commands []wire.Command) {
	reported = make(map[taskKey]bool, len(m.reportedTasks))
	settled := m.fencing == fencingNone && !m.commandsInFlight
	for _, task := range m.reportedTasks {
		id, index, ok := wire.SplitTaskName(task.Task)
		key := taskKey{id, index}
		reported[key] = ok
		a := m.attempts[key]
		exited := task.Phase == wire.PhaseExited
		switch {
		case a != nil && a.number == task.Attempt:
			if a.state == attemptStopping && !exited {
				commands = append(commands, stopCommand(task.Task, task.Attempt, a.gracePeriod))
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

// hasPendingStarts tells whether attempts on the machine wait for their start command.
func (m *machine) hasPendingStarts() bool {
	for _, a := range m.attempts {
		if a.state == attemptRecorded && (!a.job.Gang || a.job.gangState == gangStarting) {
			return true
		}
	}
	return false
}

// queueDispatch has the next dispatchQueuedMachines look for commands for a machine.
func (o *owner) queueDispatch(m *machine) {
	m.dispatchNeeded = true
	if !m.inDispatchQueue {
		m.inDispatchQueue = true
		o.dispatchQueue = append(o.dispatchQueue, m)
	}
}

// commandLimitReached tells that no further request to a worker may be sent now. What waits goes
// with the answers to reports.
func (o *owner) commandLimitReached() bool {
	return o.commandsInFlight >= max(minInFlightCommands, int(commandSocketFraction*float64(o.c.cfg.Sockets)))
}

// dispatchQueuedMachines sends commands to the machines in the dispatch queue. A machine that cannot
// be sent to now is queued again when that changes.
func (o *owner) dispatchQueuedMachines() {
	queue := o.dispatchQueue
	o.dispatchQueue = nil
	for i, m := range queue {
		if o.commandLimitReached() {
			o.dispatchQueue = append(queue[i:len(queue):len(queue)], o.dispatchQueue...)
			return
		}
		m.inDispatchQueue = false
		if m.dispatchNeeded && o.machines[m.name] == m {
			o.dispatch(m)
		}
	}
}

// dispatch sends a machine its commands, if it can take them now.
func (o *owner) dispatch(m *machine) {
	takesWork := m.state >= machineReady && m.state <= machineTransferring
	if m.commandsInFlight || !m.tokenConfirmed || m.fencing != fencingNone || m.endpoint == "" || !takesWork {
		return
	}
	m.dispatchNeeded = false
	if commands := o.commands(m); len(commands) > 0 {
		o.sendCommands(m, commands)
	}
}

// sendCommands sends commands to a machine's worker. Without commands it only shows the
// worker this owner's token.
func (o *owner) sendCommands(m *machine, commands []wire.Command) {
	m.commandsInFlight = true
	o.commandsInFlight++
	body := wire.Encode(wire.CommandsRequest{FencingToken: m.fencingToken, AgentEpoch: m.agentEpoch, Commands: commands})
	o.c.call(Call{
		Addr: m.endpoint, Method: "POST", Target: wire.PathCommands, Timeout: commandTimeout, MaxBody: wire.MaxBody, Body: body,
	}, func(e CallDone) {
		o.commandsInFlight--
		if o.superseded() || o.machines[m.name] != m {
			return
		}
		m.commandsInFlight = false
		o.handleCommandResponse(m, len(commands) > 0, e)
	})
}

// handleCommandResponse takes the report with which a worker answers commands. Commands without
// an answer may still be executed: the machine is fenced until it has seen a higher token.
func (o *owner) handleCommandResponse(m *machine, hadCommands bool, e CallDone) {
	var report *wire.Heartbeat
	if e.Status == wire.StatusOK || e.Status == wire.StatusConflict {
		report, _ = wire.DecodeHeartbeat(e.Body) // one that cannot be read counts as no answer
	}
	switch {
	case report != nil && report.FencingToken > m.fencingToken:
		o.restartRecovery("a machine has seen a higher token")
	case report != nil:
		o.applyHeartbeat(m, report, false)
		if m.dispatchNeeded || m.hasPendingStarts() {
			o.queueDispatch(m)
		}
	case e.Sent && hadCommands:
		o.c.log.Info("command not answered", "machine", m.name)
		o.setFencingState(m, fencingNeeded)
	}
}

// inspectMachines asks a few machines that were taken over and have not reported. Most workers
// find this node by themselves, and asking all machines at once would delay their reports.
func (o *owner) inspectMachines() {
	if o.commandLimitReached() {
		return
	}
	asked := 0
	for _, m := range o.sortedMachines {
		// A machine with a task of a cancelled job is asked at once, since the leader may
		// change again soon.
		if o.c.now-o.activeSince < inspectionDelay && !o.cancellationOverdue(m, overdueDecommissionFraction) {
			continue
		}
		if !m.recovered || m.agentEpoch != 0 || m.inspected || m.fencingToken == 0 || m.state >= machineDecommissioning {
			continue
		}
		m.inspected = true
		o.inspectMachine(m)
		if asked++; asked == inspectionBatchSize {
			return
		}
	}
}

// inspectMachine asks a machine that was taken over for its report, and then shows it this owner's
// token, so that commands need not wait until its worker has found this node.
func (o *owner) inspectMachine(m *machine) {
	if m.endpoint == "" || m.agentEpoch != 0 || m.commandsInFlight {
		return
	}
	o.commandsInFlight++
	o.c.call(Call{
		Addr: m.endpoint, Method: "GET", Target: wire.PathInspect, Timeout: commandTimeout, MaxBody: wire.MaxBody,
	}, func(e CallDone) {
		o.commandsInFlight--
		report, err := wire.DecodeHeartbeat(e.Body)
		if o.superseded() || o.machines[m.name] != m || e.Status != wire.StatusOK || err != nil || report.FencingToken > m.fencingToken {
			return
		}
		if o.applyHeartbeat(m, report, false) && !m.tokenConfirmed {
			o.sendCommands(m, []wire.Command{})
		}
	})
}
