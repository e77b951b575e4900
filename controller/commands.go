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
	present := make(map[taskKey]bool, len(m.seen))
	settled := m.fence == fenceNone && !m.sending
	for _, t := range m.seen {
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
	if o.ordersFull() {
		return
	}
	n := 0
	for _, m := range o.list {
		// With a task of a cancelled job it is asked at once: leaders may be changing fast.
		if o.c.now-o.since < inspectAfter && !o.overdue(m, goneShare) {
			continue
		}
		if m.expected && m.session == 0 && !m.inspected && m.token != 0 && m.state < machineCondemned {
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
	o.ordering++
	o.c.call(Call{
		Addr: m.endpoint, Method: "GET", Target: "/inspect", Timeout: orderTimeout, MaxBody: wire.MaxBody,
	}, func(e CallDone) {
		o.ordering--
		rep, err := wire.DecodeReport(e.Body)
		if o.over() || o.machines[m.name] != m || e.Status != 200 || err != nil || rep.Token > m.token {
			return
		}
		if o.takeReport(m, rep, false) && !m.synced {
			o.order(m, []wire.Command{})
		}
	})
}

const orderTimeout = 4 * micros.Second

// poke has a machine looked at for commands that wait.
func (o *owner) poke(m *machine) {
	m.wantPush = true
	if !m.poked {
		m.poked = true
		o.poked = append(o.poked, m)
	}
}

// orderShare is the part of the sockets that direct commands may use at a time: while many
// machines hang, each keeps one until it is given up.
const orderShare = 0.125

// ordersFull tells that no further command can be sent directly now. What waits goes with
// the answers to reports.
func (o *owner) ordersFull() bool {
	return o.ordering >= max(4, int(orderShare*float64(o.c.cfg.Sockets)))
}

// pushAll sends what waits to the machines that were poked. One that cannot be sent to
// now is poked again when that changes.
func (o *owner) pushAll() {
	list := o.poked
	o.poked = nil
	for i, m := range list {
		if o.ordersFull() {
			o.poked = append(list[i:len(list):len(list)], o.poked...)
			return
		}
		m.poked = false
		if m.wantPush && o.machines[m.name] == m {
			o.push(m)
		}
	}
}

// push sends commands directly, instead of waiting for the next report.
func (o *owner) push(m *machine) {
	if m.sending || !m.synced || m.fence != fenceNone || m.endpoint == "" ||
		m.state < machineUp || m.state > machineMoving {
		return
	}
	m.wantPush = false
	if cmds := o.commands(m); len(cmds) > 0 {
		o.order(m, cmds)
	}
}

// order sends commands to a machine's worker.
func (o *owner) order(m *machine, cmds []wire.Command) {
	m.sending = true
	o.ordering++
	o.c.call(Call{
		Addr: m.endpoint, Method: "POST", Target: "/orders", Timeout: orderTimeout, MaxBody: wire.MaxBody,
		Body: wire.Encode(wire.Orders{Token: m.token, Session: m.session, Commands: cmds}),
	}, func(e CallDone) {
		o.ordering--
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
			if m.wantPush || hasPending(m) {
				o.poke(m)
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
