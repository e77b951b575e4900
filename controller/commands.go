package controller

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// commands tells what a machine must do, given its latest report, and notes starts
// as ordered.
func (o *owner) commands(m *machine) []wire.Command {
	var out []wire.Command
	if !m.synced {
		return nil // it learns the token first
	}
	present := make(map[taskKey]bool, len(m.tasks))
	settled := m.fence == fenceNone && !m.sending
	for _, t := range m.tasks {
		id, index, ok := splitNumbered(t.Task)
		key := taskKey{id, index}
		present[key] = ok
		a := m.attempts[key]
		switch {
		case a != nil && a.number == t.Attempt:
			if a.state == attemptStopping && t.Phase != wire.PhaseExited {
				grace := a.grace.Seconds()
				out = append(out, wire.Command{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
			}
		case t.Phase != wire.PhaseExited:
			grace := 0.0
			out = append(out, wire.Command{Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		case settled:
			// What is not recorded here any more has its outcome recorded, so the
			// machine may forget it; not while a start for it may be on its way.
			out = append(out, wire.Command{Verb: wire.VerbForget, Task: t.Task, Attempt: t.Attempt})
			present[key] = false
		}
	}
	for _, a := range m.sorted() {
		if a.state == attemptOrdered && a.job.state == jobEnded {
			o.stop(a, 0, "job is over")
		}
		if a.state == attemptStopping && !a.seen {
			// Ordered but not seen: the order to stop must reach it too.
			grace := a.grace.Seconds()
			out = append(out, wire.Command{Verb: wire.VerbStop, Task: numbered(a.job.ID, a.index), Attempt: a.number, GraceS: &grace})
		}
		if a.state != attemptRecorded || present[a.key()] || a.job.state != jobActive {
			continue
		}
		if a.job.Gang && a.job.gang != gangStarting {
			continue
		}
		a.startSeq = m.seq
		o.setAttempt(a, attemptOrdered)
		out = append(out, wire.Command{Verb: wire.VerbStart, Task: numbered(a.job.ID, a.index), Attempt: a.number})
	}
	return out
}

// Pace at which machines that were taken over and stay silent are asked.
const (
	inspectAfter = 2 * micros.Second
	inspectEach  = 4
)

// inspectSome asks a few machines that were taken over and have not reported. Most find
// this node by themselves, and to ask all at once would starve their reports.
func (o *owner) inspectSome() {
	if o.commandsFull() {
		return
	}
	n := 0
	for _, m := range o.list {
		// With a task of a cancelled job it is asked at once: leaders may be changing fast.
		if o.c.now-o.since < inspectAfter && !o.overdue(m, goneShare) {
			continue
		}
		if m.takenOver && m.session == 0 && !m.inspected && m.token != 0 && m.state < machineCondemned {
			m.inspected = true
			o.inspect(m)
			if n++; n == inspectEach {
				return
			}
		}
	}
}

// inspect asks a machine that was taken over for its report, and then shows it our
// token, so that commands need not wait until its worker has found this node.
func (o *owner) inspect(m *machine) {
	if m.endpoint == "" || m.session != 0 || m.sending {
		return
	}
	o.openCommands++
	o.c.call(Call{
		Addr: m.endpoint, Method: "GET", Target: "/inspect", Timeout: commandTimeout, MaxBody: wire.MaxBody,
	}, func(e CallDone) {
		o.openCommands--
		rep, err := wire.DecodeReport(e.Body)
		if o.over() || o.machines[m.name] != m || e.Status != 200 || err != nil || rep.Token > m.token {
			return
		}
		if o.takeReport(m, rep, false) && !m.synced {
			o.sendCommands(m, []wire.Command{})
		}
	})
}

const commandTimeout = 4 * micros.Second

// queueDispatch has a machine looked at for commands that wait.
func (o *owner) queueDispatch(m *machine) {
	m.wantDispatch = true
	if !m.queued {
		m.queued = true
		o.dispatchQueue = append(o.dispatchQueue, m)
	}
}

// commandSocketShare is the part of the sockets that direct commands may use at a time: while many
// machines hang, each keeps one until it is given up.
const commandSocketShare = 0.125

// commandsFull tells that no further command can be sent directly now. What waits goes with
// the answers to reports.
func (o *owner) commandsFull() bool {
	return o.openCommands >= max(4, int(commandSocketShare*float64(o.c.cfg.Sockets)))
}

// dispatchQueued sends what waits to the machines that were dispatchQueue. One that cannot be sent to
// now is dispatchQueue again when that changes.
func (o *owner) dispatchQueued() {
	list := o.dispatchQueue
	o.dispatchQueue = nil
	for i, m := range list {
		if o.commandsFull() {
			o.dispatchQueue = append(list[i:len(list):len(list)], o.dispatchQueue...)
			return
		}
		m.queued = false
		if m.wantDispatch && o.machines[m.name] == m {
			o.dispatch(m)
		}
	}
}

// dispatch sends commands directly, instead of waiting for the next report.
func (o *owner) dispatch(m *machine) {
	if m.sending || !m.synced || m.fence != fenceNone || m.endpoint == "" ||
		m.state < machineUp || m.state > machineMoving {
		return
	}
	m.wantDispatch = false
	if cmds := o.commands(m); len(cmds) > 0 {
		o.sendCommands(m, cmds)
	}
}

// sendCommands sends commands to a machine's worker.
func (o *owner) sendCommands(m *machine, cmds []wire.Command) {
	m.sending = true
	o.openCommands++
	o.c.call(Call{
		Addr: m.endpoint, Method: "POST", Target: "/orders", Timeout: commandTimeout, MaxBody: wire.MaxBody,
		Body: wire.Encode(wire.Orders{Token: m.token, Session: m.session, Commands: cmds}),
	}, func(e CallDone) {
		o.openCommands--
		if o.over() || o.machines[m.name] != m {
			return
		}
		m.sending = false
		var rep *wire.Report
		if e.Status == 200 || e.Status == 409 {
			rep, _ = wire.DecodeReport(e.Body)
		}
		switch {
		case rep != nil:
			if rep.Token > m.token {
				o.resync("a machine has seen a higher token")
				return
			}
			o.takeReport(m, rep, false)
			if m.wantDispatch || hasPending(m) {
				o.queueDispatch(m)
			}
		case e.Sent && len(cmds) > 0:
			o.c.log.Info("command not answered", "machine", m.name)
			o.setFence(m, fenceWanted)
		}
	})
}

// hasPending tells whether starts wait for a machine.
func hasPending(m *machine) bool {
	for _, a := range m.attempts {
		if a.state == attemptRecorded && (!a.job.Gang || a.job.gang == gangStarting) {
			return true
		}
	}
	return false
}
