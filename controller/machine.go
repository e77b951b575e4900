package controller

import (
	"cmp"
	"maps"
	"slices"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// machineState is the state machine of a machine.
type machineState int

const (
	machineBooting   machineState = iota
	machineUp                     // reports
	machineDraining               // takes nothing new and is returned once empty
	machineMoving                 // goes to another owner once it is empty
	machineCondemned              // it is to be deleted, which must be recorded first
	machineReleasing              // recorded; the cloud is asked to delete it
	machineDeleted                // the cloud has deleted it; its record must go
)

func (s machineState) String() string {
	return [...]string{"booting", "up", "draining", "moving", "condemned", "releasing", "deleted"}[s]
}

// fenceState is the state machine of doubt about a command: one that was sent
// directly and not answered may still be executed, until the machine has seen a
// higher token or begun a new session.
type fenceState int

const (
	fenceNone   fenceState = iota
	fenceWanted            // a higher token must be recorded
	fenceRaised            // it is recorded; the machine has not seen it yet
)

func (s fenceState) String() string { return [...]string{"none", "wanted", "raised"}[s] }

// machine is a machine at its owner.
type machine struct {
	name     string
	endpoint string
	kind     string // its type
	zone     string
	spot     bool
	size     sched.Resources
	state    machineState
	fence    fenceState
	block    *block // holds its entry
	token    uint64 // 0: not claimed yet
	dirty    bool   // its entry must be written
	recorded bool   // some owner's record has its entry
	// verifying: it was adopted, and may yet turn out to be another owner's.
	verifying bool
	rented    micros.Micros
	heard     micros.Micros // last report, or when we began to wait for one
	spared    micros.Micros // silence counts from then on, after its zone was cut off
	shown     micros.Micros // when it last showed our token, or we began to wait for that
	expected  bool          // was another owner's: it is up, or boots since we do not know when
	listed    bool
	unlisted  int // lists in a row without it
	failed    bool
	reports   bool // it has reported by itself to this owner

	session, seq uint64
	synced       bool // has seen our token
	seen         []wire.TaskReport
	notice       micros.Micros // when the cloud takes it, 0: not announced
	sending      bool          // a direct command is under way
	wantPush     bool          // commands wait for it
	poked        bool          // and it is in the list of those to be looked at
	inspected    bool          // was asked for its report after a takeover
	held         uint64        // report that waits for the claim
	heldReport   *wire.Report

	attempts  map[taskKey]*attempt
	used      sched.Resources
	images    []string
	idleSince micros.Micros
	errors    int // in a row
	pausedTo  micros.Micros
	lost      bool   // a spot machine that the cloud took
	moveTo    string // the owner that gets it, while moving
}

// maxImages is how many images a machine is believed to keep.
const maxImages = 8

func (m *machine) noteImage(image string) {
	if image == "" {
		return
	}
	if i := slices.Index(m.images, image); i >= 0 {
		m.images = slices.Delete(m.images, i, i+1)
	}
	m.images = append(m.images, image)
	if len(m.images) > maxImages {
		m.images = m.images[1:]
	}
}

func (o *owner) setMachine(m *machine, s machineState, why string) {
	if m.state == s {
		return
	}
	o.c.log.Info("machine", "machine", m.name, "type", m.kind, "zone", m.zone, "spot", m.spot,
		"from", m.state.String(), "to", s.String(), "why", why)
	m.state = s
	switch s {
	case machineUp:
		m.idleSince, m.shown = o.c.now, max(m.shown, o.c.now)
		o.wantSchedule = true
	case machineReleasing:
		o.wantRelease = true
	case machineMoving, machineCondemned, machineDeleted:
		o.touch(m)
	}
}

// setFence is the one place where doubt about a machine's commands changes.
func (o *owner) setFence(m *machine, s fenceState) {
	if m.fence == s {
		return
	}
	o.c.log.Debug("fence", "machine", m.name, "from", m.fence.String(), "to", s.String())
	m.fence = s
	if s == fenceWanted {
		o.touch(m)
	}
}

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
	if c.keeps(rep) {
		c.respond(r.ID, 200, wire.ReportAnswer{Token: rep.Token})
		return
	}
	c.respond(r.ID, 421, wire.Redirect{ReportTo: c.reportTo(rep.Machine)})
}

// elsewhereFor is how many reports' time a node must have heard no worker of another zone
// to take its own for cut off.
const elsewhereFor = 2

// keeps tells that a worker with tasks keeps its lease although this node owns nothing: the
// node's zone is cut off, so a worker of the zone that comes here has lost its owner in the
// same cut. The answer repeats the worker's own token and has no commands: it decides
// nothing. Only tasks of jobs that were not over when this node last followed the records
// are kept; of those that were cancelled since, whoever owns the machine now sees to it that
// it is deleted in time. A node that is cut off alone hears workers of other zones too, and
// sends all on.
func (c *Core) keeps(rep *wire.Report) bool {
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
		if m.held != 0 && older(rep.Session, rep.Seq, m.heldReport.Session, m.heldReport.Seq) {
			c.refuse(req, 503, "superseded")
			return
		}
		if m.held != 0 {
			c.refuse(m.held, 503, "superseded")
		}
		m.held, m.heldReport = req, rep
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
	m.session, m.seq, m.seen = rep.Session, rep.Seq, rep.Tasks
	// A machine that only answers commands is no use: its lease is not renewed. Until it has
	// reported here at all, an answer shows that it is up.
	if regular || !m.reports {
		m.heard = max(m.heard, o.c.now) // after a takeover it has longer
	}
	m.endpoint = cmp.Or(rep.Endpoint, m.endpoint)
	if m.synced = rep.Token == m.token; m.synced {
		m.shown = max(m.shown, o.c.now)
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
	if m.wantPush {
		o.poke(m)
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

// Pauses after failures.
const (
	errorPause    = micros.Second
	maxErrorPause = 60 * micros.Second
	refusalPause  = 5 * micros.Second
	otherMachines = 2 // a job that fails on this many machines is itself at fault
)

func (o *owner) exited(a *attempt, t *wire.TaskReport) {
	j, m := a.job, a.machine
	if t.Cause == wire.CauseDone {
		m.errors = 0
		if j.state != jobActive {
			o.setAttempt(a, attemptLeaving)
			return
		}
		j.failures = 0
		clear(j.failedOn)
		o.noteRun(a)
		if !j.Gang {
			o.setAttempt(a, attemptFinished)
		} else {
			// The tasks of a gang complete together.
			// One is done, so all are, also those whose machines are gone: another attempt
			// of the gang would wait for them for ever.
			// Those that ran are off their machines. When a completed gang was started again, each
			// task ends by itself, and takes its room until its machine says so.
			o.setAttempt(a, attemptFinished)
			for _, b := range j.sorted() {
				if b.number == a.number && (a.running != 0 || b.running != 0) {
					o.setAttempt(b, attemptFinished)
				}
			}
			for i := range j.Tasks {
				j.setTask(i, taskDone)
			}
		}
		if j.doneN == j.Tasks {
			o.setJob(j, jobFinishing)
		}
		return
	}
	switch t.Cause {
	case wire.CauseError:
		o.failed(a, true)
	case wire.CauseUnknown:
		o.failed(a, false)
	case wire.CauseNoRoom, wire.CauseBusy:
		m.pausedTo = o.c.now + refusalPause
	}
	o.c.log.Info("task ended", "task", t.Task, "machine", m.name, "cause", t.Cause, "saved", t.Saved, "why", a.why)
	o.lost(a, string(t.Cause))
}

// failed tells a sick machine from a job that fails everywhere.
func (o *owner) failed(a *attempt, machineToo bool) {
	j, m := a.job, a.machine
	j.failures++
	j.failedOn[m.name] = true
	if machineToo && len(j.failedOn) <= otherMachines {
		m.errors++
	}
	if m.errors >= o.c.cfg.Tuning.FaultyAfter && m.state == machineUp {
		o.setMachine(m, machineDraining, "fails task after task")
		for _, b := range m.sorted() {
			if b != a {
				o.evict(b, "machine is sick")
			}
		}
	}
	if len(j.failedOn) > otherMachines || j.Gang {
		pause := errorPause << min(j.failures, 8)
		j.notUntil = max(j.notUntil, o.c.now+min(pause, maxErrorPause))
	}
}

// evict stops an attempt in order: a gang everywhere, with time to save.
func (o *owner) evict(a *attempt, why string) {
	grace := micros.Micros(0)
	if a.job.Checkpoint > 0 {
		grace = a.job.Save + micros.Second
	}
	if a.job.Gang {
		o.stopJob(a.job, grace, why)
		return
	}
	o.stop(a, grace, why)
}

// noticed handles the cloud's notice that it takes a machine back.
func (o *owner) noticed(m *machine, left micros.Micros) {
	first := m.notice == 0
	m.notice = o.c.now + left
	if m.state == machineUp || m.state == machineMoving {
		o.setMachine(m, machineDraining, "taken back by the cloud")
	}
	if !first {
		return
	}
	o.noteSpotLost(m)
	for _, a := range m.sorted() {
		// What would not complete in time is stopped now: it saves if it can, and
		// starts elsewhere the sooner. What cannot save and has run for long may
		// still complete; it has nothing to lose.
		ran := micros.Micros(0)
		if a.running != 0 && a.job.Checkpoint == 0 {
			ran = o.c.now - a.running
		}
		if o.remaining(a) > left-micros.Second && ran < left {
			o.evict(a, "machine is taken back")
		}
	}
}

// remaining estimates how long an attempt still takes.
func (o *owner) remaining(a *attempt) micros.Micros {
	total := o.estimate(a.job)
	if a.running == 0 {
		return total
	}
	ran := o.c.now - a.running
	return max(total-ran, ran/4, micros.Second)
}

func (m *machine) sorted() []*attempt {
	list := slices.Collect(maps.Values(m.attempts))
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.index, b.index))
	})
	return list
}

// inRecord lists a machine's attempts in the order in which its entry holds them.
func (m *machine) inRecord() []*attempt {
	list := slices.Collect(maps.Values(m.attempts))
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.number, b.number), cmp.Compare(a.index, b.index))
	})
	return list
}

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
