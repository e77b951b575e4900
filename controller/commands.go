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
	// commandSocketShare is the part of the sockets that requests to workers may use at a
	// time: each machine that hangs keeps one until it is given up.
	commandSocketShare = 0.125
	// minOpenCommands is the number of such requests that is always allowed.
	minOpenCommands = 4
)

// Pace at which machines that were taken over and stay silent are asked for a report.
const (
	inspectAfter = 2 * micros.Second
	inspectBatch = 4
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
	for _, a := range m.sorted() {
		if a.state == attemptStarting && a.job.state == jobEnded {
			o.stop(a, 0, "job is over")
		}
		switch {
		case a.state == attemptStopping && !a.heartbeatSeen:
			// Its start may be on its way, so the stop must follow it.
			commands = append(commands, stopCommand(a.task(), a.number, a.grace))
		case a.state == attemptRecorded && !reported[a.key()] && a.mayStart() && o.mayOrderStart(a):
			a.startHeartbeatSeq = m.heartbeatSeq
			o.setAttemptState(a, attemptStarting)
			commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: a.task(), Attempt: a.number})
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
				commands = append(commands, stopCommand(task.Task, task.Attempt, a.grace))
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

// queueDispatch has the next dispatchQueued look for commands for a machine.
func (o *owner) queueDispatch(m *machine) {
	m.wantDispatch = true
	if !m.queued {
		m.queued = true
		o.dispatchQueue = append(o.dispatchQueue, m)
	}
}

// commandsFull tells that no further request to a worker may be sent now. What waits goes
// with the answers to reports.
func (o *owner) commandsFull() bool {
	return o.openCommands >= max(minOpenCommands, int(commandSocketShare*float64(o.c.cfg.Sockets)))
}

// dispatchQueued sends commands to the machines in the dispatch queue. A machine that cannot
// be sent to now is queued again when that changes.
func (o *owner) dispatchQueued() {
	queue := o.dispatchQueue
	o.dispatchQueue = nil
	for i, m := range queue {
		if o.commandsFull() {
			o.dispatchQueue = append(queue[i:len(queue):len(queue)], o.dispatchQueue...)
			return
		}
		m.queued = false
		if m.wantDispatch && o.machines[m.name] == m {
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
	m.wantDispatch = false
	if commands := o.commands(m); len(commands) > 0 {
		o.sendCommands(m, commands)
	}
}

// sendCommands sends commands to a machine's worker. Without commands it only shows the
// worker this owner's token.
func (o *owner) sendCommands(m *machine, commands []wire.Command) {
	m.commandsInFlight = true
	o.openCommands++
	body := wire.Encode(wire.CommandsRequest{FencingToken: m.fencingToken, AgentEpoch: m.agentEpoch, Commands: commands})
	o.c.call(Call{
		Addr: m.endpoint, Method: "POST", Target: wire.PathCommands, Timeout: commandTimeout, MaxBody: wire.MaxBody, Body: body,
	}, func(e CallDone) {
		o.openCommands--
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
		if m.wantDispatch || m.hasPendingStarts() {
			o.queueDispatch(m)
		}
	case e.Sent && hadCommands:
		o.c.log.Info("command not answered", "machine", m.name)
		o.setFencingState(m, fencingNeeded)
	}
}

// inspectSome asks a few machines that were taken over and have not reported. Most workers
// find this node by themselves, and asking all machines at once would delay their reports.
func (o *owner) inspectSome() {
	if o.commandsFull() {
		return
	}
	asked := 0
	for _, m := range o.list {
		// A machine with a task of a cancelled job is asked at once, since the leader may
		// change again soon.
		if o.c.now-o.since < inspectAfter && !o.cancellationOverdue(m, overdueDecommissionFraction) {
			continue
		}
		if !m.recovered || m.agentEpoch != 0 || m.inspected || m.fencingToken == 0 || m.state >= machineDecommissioning {
			continue
		}
		m.inspected = true
		o.inspect(m)
		if asked++; asked == inspectBatch {
			return
		}
	}
}

// inspect asks a machine that was taken over for its report, and then shows it this owner's
// token, so that commands need not wait until its worker has found this node.
func (o *owner) inspect(m *machine) {
	if m.endpoint == "" || m.agentEpoch != 0 || m.commandsInFlight {
		return
	}
	o.openCommands++
	o.c.call(Call{
		Addr: m.endpoint, Method: "GET", Target: wire.PathInspect, Timeout: commandTimeout, MaxBody: wire.MaxBody,
	}, func(e CallDone) {
		o.openCommands--
		report, err := wire.DecodeHeartbeat(e.Body)
		if o.superseded() || o.machines[m.name] != m || e.Status != wire.StatusOK || err != nil || report.FencingToken > m.fencingToken {
			return
		}
		if o.applyHeartbeat(m, report, false) && !m.tokenConfirmed {
			o.sendCommands(m, []wire.Command{})
		}
	})
}
