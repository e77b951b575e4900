package controller

import (
	"cmp"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// report takes a worker's report on any node.
func (c *Core) report(r Request) {
	c.count.reports++
	rep, err := wire.DecodeReport(r.Body)
	if err != nil {
		c.count.dropped++
		c.respond(r.ID, 400, wire.Problem{Error: err.Error()})
		return
	}
	if len(c.heard) < 256 {
		c.heard = append(c.heard, c.now)
	}
	if c.owner != nil {
		c.owner.report(r.ID, rep)
		return
	}
	if c.keepsLease(rep) {
		c.respond(r.ID, 200, wire.ReportAnswer{Token: rep.Token})
		return
	}
	c.respond(r.ID, 421, wire.Redirect{ReportTo: c.reportTo(rep.Machine)})
}

// elsewhereFor is how many reports' time a node must have heard no worker of another zone
// to take its own for cut off.
const elsewhereFor = 2

// keepsLease tells that a worker with tasks keeps its lease although this node owns nothing: the
// node's zone is cut off, so a worker of the zone that comes here has lost its owner in the
// same cut. The answer repeats the worker's own token and has no commands: it decides
// nothing. Only tasks of jobs that were not over when this node last followed the records
// are kept; of those that were cancelled since, whoever owns the machine now sees to it that
// it is deleted in time. A node that is cut off alone hears workers of other zones too, and
// sends all on.
func (c *Core) keepsLease(rep *wire.Report) bool {
	if rep.Zone != c.cfg.Zone {
		c.elsewhereAt = c.now
		return false
	}
	if rep.Token == 0 || len(rep.Tasks) == 0 || !c.storeDown() || c.now-c.elsewhereAt < elsewhereFor*c.cfg.ReportEvery ||
		c.now-c.route.lastOK > c.cfg.Tuning.PartitionPatience || !c.mayRenew() {
		return false
	}
	for _, s := range c.peers {
		if s.Zone != c.cfg.Zone && s.fresh(c.now) {
			return false
		}
	}
	for _, t := range rep.Tasks {
		if id, _, ok := splitNumbered(t.Task); !ok || t.Phase != wire.PhaseExited && (c.graph.Version(id) == 0 || c.ended[id] != 0) {
			return false
		}
	}
	return true
}

func (o *owner) report(req uint64, rep *wire.Report) {
	c := o.c
	if o.state != ownerActive {
		c.refuse(req, 503, "taking over")
		return
	}
	m := o.machines[rep.Machine]
	if m == nil {
		if to := c.claimant(rep.Machine); to != "" || o.foreign[rep.Machine] != 0 {
			c.respond(req, 421, wire.Redirect{ReportTo: to})
			return
		}
		if o.tombs[rep.Machine] != 0 {
			c.refuse(req, 503, "machine was returned")
			return
		}
		m = o.adopt(rep.Machine, rep.Type, rep.Zone, rep.Spot, rep.Endpoint)
	}
	if m.state >= machineCondemned {
		c.refuse(req, 503, "machine is being returned")
		return
	}
	if m.token == 0 {
		// Its record is not ours yet: the answer waits for that commit. A late copy must
		// not take the place of a newer report.
		if m.pendingRequest != 0 && older(rep.Session, rep.Seq, m.pendingReport.Session, m.pendingReport.Seq) {
			c.refuse(req, 503, "superseded")
			return
		}
		if m.pendingRequest != 0 {
			c.refuse(m.pendingRequest, 503, "superseded")
		}
		m.pendingRequest, m.pendingReport = req, rep
		return
	}
	o.answer(m, req, rep)
}

func (o *owner) answer(m *machine, req uint64, rep *wire.Report) {
	if rep.Token > m.token {
		// Another owns the machine by now. Its worker drops what we answer and would stay
		// here until its lease ends: it is let go at once.
		o.c.respond(req, 421, wire.Redirect{ReportTo: o.c.claimant(m.name)})
		o.resync("a machine has seen a higher token")
		return
	}
	if !o.c.mayRenew() {
		o.takeReport(m, rep, true)
		o.c.refuse(req, 503, "cannot know what users were told")
		return
	}
	ans := wire.ReportAnswer{Token: m.token}
	if o.takeReport(m, rep, true) {
		ans.Commands = o.commands(m)
	}
	o.c.respond(req, 200, ans)
}

// answerHeld answers the report that waited for its machine to be claimed.
func (o *owner) answerHeld(m *machine) {
	if m.pendingRequest == 0 {
		return
	}
	req, rep := m.pendingRequest, m.pendingReport
	m.pendingRequest, m.pendingReport = 0, nil
	o.answer(m, req, rep)
}

// takeReport learns from a report. It returns false for one that is older than what
// is known. A regular report is one that the worker sent by itself; only such a one
// shows that starts in the response to the report before were executed or dropped,
// while the answer to a direct command may have overtaken that response.
func (o *owner) takeReport(m *machine, rep *wire.Report, regular bool) bool {
	if !older(m.session, m.seq, rep.Session, rep.Seq) {
		return false // a late copy tells nothing, not even that the machine lives
	}
	if regular {
		o.lastHeard, m.reports = o.c.now, true
	}
	if rep.Session > m.session && m.session != 0 {
		o.setFence(m, fenceNone)
	}
	m.session, m.seq, m.tasks = rep.Session, rep.Seq, rep.Tasks
	// A machine that only answers commands is no use: its lease is not renewed. Until it has
	// reported here at all, an answer shows that it is up.
	if regular || !m.reports {
		m.heard = max(m.heard, o.c.now) // after a takeover it has longer
	}
	m.endpoint = cmp.Or(rep.Endpoint, m.endpoint)
	if m.synced = rep.Token == m.token; m.synced {
		m.tokenShownAt = max(m.tokenShownAt, o.c.now)
	}
	if m.synced && m.fence == fenceRaised {
		o.setFence(m, fenceNone)
	}
	if m.state == machineBooting {
		o.setMachine(m, machineUp, "reports")
	}
	if rep.NoticeS != nil {
		o.noticed(m, micros.FromSeconds(*rep.NoticeS))
	} else if m.notice != 0 {
		m.notice = 0
	}
	listed := make(map[taskKey]bool, len(rep.Tasks))
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		id, index, ok := splitNumbered(t.Task)
		if !ok {
			continue
		}
		a := m.attempts[taskKey{id, index}]
		if a == nil || a.number != t.Attempt {
			continue
		}
		listed[a.key()] = true
		o.sawTask(a, t)
	}
	if m.wantDispatch {
		o.queueDispatch(m)
	}
	// Only a machine that has seen our token, and for which no command is open, can
	// show that a task is not there and will not appear.
	if !regular || !m.synced || m.fence != fenceNone || m.sending {
		return true
	}
	for _, a := range m.sorted() {
		if !listed[a.key()] {
			o.missing(a)
		}
	}
	return true
}

// older tells whether a report comes before another.
func older(session, seq, thanSession, thanSeq uint64) bool {
	return session < thanSession || session == thanSession && seq < thanSeq
}

func (o *owner) sawTask(a *attempt, t *wire.TaskReport) {
	a.seen, a.phase = true, t.Phase
	switch a.state {
	case attemptRecorded, attemptOrdered:
		o.setAttempt(a, attemptLive)
	case attemptFinished, attemptLeaving:
		return
	}
	switch {
	case t.Phase == wire.PhaseExited && !a.machine.synced:
		// It may be an old report, of an earlier start of the same attempt: nothing is
		// concluded before a report shows our token.
	case t.Phase == wire.PhaseExited:
		o.exited(a, t)
	case t.Phase == wire.PhaseRunning && a.running == 0:
		a.running = o.c.now
	}
	a.count(a.state == attemptLive && t.Phase == wire.PhaseRunning)
}

// missing handles an attempt that certainly is not on its machine.
func (o *owner) missing(a *attempt) {
	switch a.state {
	case attemptOrdered:
		if a.seen {
			o.lost(a, "vanished")
		} else if a.startSeq < a.machine.seq {
			o.setAttempt(a, attemptRecorded) // the start was lost
		}
	case attemptLive:
		o.lost(a, "vanished")
	case attemptStopping:
		o.setAttempt(a, attemptLeaving)
	}
}

// lost handles an attempt that ended without result.
func (o *owner) lost(a *attempt, why string) {
	a.why = why
	o.setAttempt(a, attemptLeaving)
	if a.job.Gang && a.job.gang != gangStopping {
		o.stopJob(a.job, 0, "gang lost a task")
	}
}
