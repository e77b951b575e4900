package controller

import (
	"strings"

	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Pace and bounds of the stages between a decision and its record.
const (
	flushGap      = 25 * micros.Millisecond  // while writes are plentiful
	flushGapShort = 300 * micros.Millisecond // while they are scarce: batches grow
	flushRetry    = 150 * micros.Millisecond
	jobsPerPass   = 200 // jobs looked at in one pass
	recordSlots   = 128 // tasks in one machine's record, so that it fits a value
	commitBytes   = 56 << 10
	foreignLife   = 10 * micros.Second
)

// schedule proposes places for waiting tasks. A proposal takes effect only when the
// machine's record has been written with it.
func (o *owner) schedule() {
	if !o.wantSchedule || o.flushing || o.proposed() >= 2*o.c.cfg.TxnOps {
		return
	}
	o.wantSchedule = false
	view := o.view()
	for i, j := range o.queue {
		if i >= jobsPerPass {
			break
		}
		if j.state != jobActive || j.pending == 0 || j.unsure || o.c.now < j.notUntil {
			continue
		}
		if j.Gang && j.gang != gangNone {
			continue
		}
		want := o.withinTeam(j)
		if j.Gang && want < j.Tasks {
			continue
		}
		if h := o.holds[j.ID]; h != nil {
			if h.state == holdWaiting {
				o.propose(j, sched.Place(j.Job, o.heldView(h, view), want, nil))
			}
			continue
		}
		got := sched.Place(j.Job, view, want, j.zones())
		if len(got) == 0 {
			if o.makeRoom(j) {
				view = o.view() // without what is held now
			} else {
				view = o.reserve(j, view)
			}
			continue
		}
		o.propose(j, got)
	}
}

// proposed counts machines whose records wait to be written.
func (o *owner) proposed() int {
	n := 0
	for _, m := range o.machines {
		if m.dirty {
			n++
		}
	}
	return n
}

// view is what placement may use now.
func (o *owner) view() []*sched.Machine {
	var view []*sched.Machine
	for _, name := range sortedKeys(o.machines) {
		m := o.machines[name]
		if m.state != machineUp || m.token == 0 || m.fence != fenceNone || o.c.now < m.pausedTo ||
			o.c.now-m.heard > 2*o.c.cfg.ReportEvery {
			continue
		}
		view = append(view, &sched.Machine{
			Name: m.name, Type: m.kind, Zone: m.zone, Spot: m.spot,
			Free: o.machineSize(m).Sub(m.used).Sub(o.held(m.name)), Slots: recordSlots - len(m.attempts),
			Idle: len(m.attempts) == 0, Scarce: o.scarce(m.kind), Price: o.pricePerCPU(m.kind, m.spot), Images: m.images,
		})
	}
	return view
}

// withinTeam tells how many tasks of a job its team's limit leaves room for.
func (o *owner) withinTeam(j *job) int {
	t := o.teams[j.Team]
	if t == nil {
		return 0
	}
	free := t.Limit.Sub(t.used)
	if t.Limit.CPU == 0 {
		free.CPU = 1 << 60
	}
	if t.Limit.GPU == 0 {
		free.GPU = 1 << 60
	}
	free.Mem = 1 << 60
	return j.Need.Count(free, j.pending)
}

// zones counts a job's tasks by zone.
func (j *job) zones() map[string]int {
	in := map[string]int{}
	for _, a := range j.attempts {
		in[a.machine.zone]++
	}
	return in
}

// reserve keeps the machine that will have room for a waiting gang the soonest free
// of jobs that come after it; without that, small tasks would fill every gap first.
func (o *owner) reserve(j *job, view []*sched.Machine) []*sched.Machine {
	if !j.Gang {
		return view
	}
	best, soonest := -1, micros.Micros(0)
	for i, v := range view {
		m := o.machines[v.Name]
		if !j.Allows(m.kind, m.zone, m.spot) || !j.Need.Fits(m.size) {
			continue
		}
		wait := micros.Micros(0)
		for _, a := range m.attempts {
			wait = max(wait, o.remaining(a))
		}
		if best < 0 || wait < soonest {
			best, soonest = i, wait
		}
	}
	if best < 0 {
		return view
	}
	return append(view[:best:best], view[best+1:]...)
}

func (o *owner) propose(j *job, got []sched.Assignment) {
	if len(got) == 0 {
		return
	}
	next := 0
	number := o.nextNumber()
	if j.Gang {
		o.setGang(j, gangPlacing)
	}
	for _, as := range got {
		m := o.machines[as.Machine.Name]
		for n := 0; n < as.Count; n++ {
			for j.task(next) != taskPending {
				next++
			}
			o.attach(j, next, number, m, attemptProposed)
			if !j.Gang {
				number = o.nextNumber()
			}
		}
		m.dirty = true
		as.Machine.Free = as.Machine.Free.Sub(j.Need.Times(as.Count))
		as.Machine.Slots -= as.Count
		as.Machine.Idle = false
		as.Machine.Images = m.images
	}
}

// nextNumber gives out numbers for attempts and rentals that nobody has given out
// before: the revision of this node's record comes first, and the count goes on when all
// records are read again.
func (o *owner) nextNumber() uint64 {
	o.c.numbers++
	return o.c.member.version<<20 | o.c.numbers
}

// txn collects what one commit writes, and what holds once it has.
type txn struct {
	guards  map[string]uint64
	writes  []state.Write
	size    int
	results []func(ok bool, revision uint64)
}

func (t *txn) put(key string, v any) {
	t.writes = append(t.writes, state.Write{Put: key, Value: v})
	t.size += state.Size(v)
}

// flush writes the most urgent changes. One commit is under way at a time, so that
// what a commit was built on can only be changed by somebody else.
func (o *owner) flush() {
	c := o.c
	if o.flushing || c.now < o.flushAt {
		return
	}
	t := &txn{guards: map[string]uint64{}}
	purpose := forWork
	if o.claimsWait() {
		purpose = forOwnership
	}
	room := min(c.budget.room(purpose, c.now), c.cfg.TxnOps)
	full := func() bool {
		return len(t.writes) >= room || t.size > commitBytes || len(t.guards) > 3*c.cfg.TxnOps
	}
	if room > 0 {
		o.flushMachines(t, full, func(m *machine) bool { return m.token == 0 })
		o.flushFinals(t, func() bool { return len(t.writes)+2 > room || full() })
		o.flushRentals(t, func() bool { return len(t.writes)+2 > room || full() })
		o.flushHolds(t, full)
		o.flushMachines(t, full, func(*machine) bool { return true })
		o.flushDone(t, full)
	}
	if len(t.writes) == 0 {
		o.tidy()
		return
	}
	o.flushing = true
	o.send(t, purpose, false)
}

func (o *owner) claimsWait() bool {
	for _, m := range o.machines {
		if m.token == 0 {
			return true
		}
	}
	return false
}

func (o *owner) send(t *txn, p purpose, again bool) {
	c := o.c
	c.store(p, state.Commit(o.guards(t.guards), t.writes), func(r storeReply) {
		if o.over() {
			return
		}
		var res state.Committed
		switch r.outcome {
		case outOK:
			if !r.decode(&res) {
				o.resync("the answer to a commit cannot be read")
				return
			}
			o.settle(t, true, res.Revision)
			gap := flushGap
			if c.budget.room(forWork, c.now) < c.cfg.TxnOps/2 {
				gap = flushGapShort
			}
			o.flushAt = c.now + gap
			o.wantSchedule = true
		case outConflict:
			if again {
				o.resync("a commit without answer was executed, or somebody else wrote")
				return
			}
			r.decode(&res)
			o.settle(t, false, 0)
			o.conflict(res.Failed)
		case outUnknown:
			// It may be executed yet: nothing else may be decided before the same
			// commit has been executed or refused by its guards.
			o.flushAt = c.now + flushRetry
			o.resend(t, p)
		case outInvalid:
			c.log.Error("a commit was refused as invalid", "writes", len(t.writes))
			o.settle(t, false, 0)
			o.flushAt = c.now + micros.Second
		default:
			if again {
				o.resend(t, p)
				return
			}
			o.settle(t, false, 0)
			o.flushAt = c.now + flushRetry
		}
	})
}

// resend repeats a commit whose fate is unknown, with the next ticks.
func (o *owner) resend(t *txn, p purpose) {
	o.c.after(flushRetry, func() {
		if !o.over() {
			o.send(t, p, true)
		}
	})
}

func (o *owner) settle(t *txn, ok bool, revision uint64) {
	o.flushing = false
	for _, result := range t.results {
		result(ok, revision)
	}
}

// conflict handles guards that did not hold. A job's record may have gone by a
// cancellation; everything else is written by this node alone, as long as it leads.
func (o *owner) conflict(failed []string) {
	for _, key := range failed {
		id, isJob := strings.CutPrefix(key, prefixActive)
		if key == memberKey(o.c.cfg.Node) {
			o.c.memberLost()
			return
		}
		if strings.HasPrefix(key, prefixMember) {
			continue // a machine was to go to an owner that is gone
		}
		if name, ok := strings.CutPrefix(key, prefixMachine); ok {
			if m := o.machines[name]; m != nil && m.version == 0 {
				o.notOurs(m)
				continue
			}
		}
		if !isJob {
			o.resync("a record of ours was changed: " + key)
			return
		}
		j := o.jobs[id]
		if j == nil {
			continue
		}
		j.unsure = true
		for _, a := range j.sorted() {
			if a.state == attemptProposed {
				o.stop(a, 0, "job's record has changed")
			}
		}
		o.c.get(forUsers, key, func(out outcome, e state.Entry) {
			switch {
			case o.over():
			case out == outMissing:
				o.jobGone(id)
			case out == outOK:
				j.version, j.unsure = e.Version, false
				o.wantSchedule = true
			default:
				j.unsure = false // the next commit will tell
				o.flushAt = o.c.now + flushRetry
			}
		})
	}
	o.flushAt = max(o.flushAt, o.c.now+flushGap)
}

// notOurs drops a machine that was taken for unexpected while it has a record already:
// another owner's, or ours if it was given to us.
func (o *owner) notOurs(m *machine) {
	o.foreign[m.name] = o.c.now + foreignLife
	o.forget(m)
	o.takeGiven(m.name)
}

// flushMachines writes machines' records: claims, placements, and what has left.
func (o *owner) flushMachines(t *txn, full func() bool, which func(*machine) bool) {
	for _, name := range sortedKeys(o.machines) {
		m := o.machines[name]
		if !m.dirty && m.token != 0 && m.fence != fenceWanted || m.writing || !which(m) {
			continue
		}
		if full() {
			return
		}
		o.writeMachine(t, m)
	}
}

func (o *owner) writeMachine(t *txn, m *machine) {
	key := prefixMachine + m.name
	t.guards[key] = m.version
	m.writing, m.dirty = true, false
	if m.state == machineDeleted {
		t.writes = append(t.writes, state.Write{Delete: key})
		t.results = append(t.results, func(ok bool, _ uint64) {
			m.writing, m.dirty = false, !ok
			if ok {
				o.forget(m)
			}
		})
		return
	}
	if m.state == machineMoving && len(m.attempts) == 0 {
		o.writeMove(t, m)
		return
	}
	rec := machineRecord{
		Owner: o.c.ownID(), Token: m.token, Endpoint: m.endpoint, Type: m.kind, Zone: m.zone, Spot: m.spot,
		Rented: int64(m.rented), Condemned: m.state == machineCondemned || m.state == machineReleasing,
		Tasks: map[string][]uint64{},
	}
	claim := m.token == 0 || m.fence == fenceWanted
	if claim {
		rec.Token = 0
	}
	var proposed, leaving []*attempt
	for _, a := range m.sorted() {
		switch a.state {
		case attemptLeaving:
			leaving = append(leaving, a)
			continue
		case attemptProposed:
			proposed = append(proposed, a)
			t.guards[activeKey(a.job.ID)] = a.job.version
			t.guards[teamKey(a.job.Team)] = o.teams[a.job.Team].view.version
		}
		rec.Tasks[a.job.ID] = append(rec.Tasks[a.job.ID], uint64(a.index), a.number)
	}
	t.put(key, rec)
	t.results = append(t.results, func(ok bool, rev uint64) {
		m.writing = false
		if !ok {
			m.dirty = true
			return
		}
		m.version = rev
		if rec.Condemned && m.state == machineCondemned {
			o.setMachine(m, machineReleasing, "recorded")
		}
		if claim {
			m.token, m.synced = rev, false
			if m.fence == fenceWanted {
				o.setFence(m, fenceRaised)
			}
		}
		for _, a := range leaving {
			o.setAttempt(a, attemptClosed)
		}
		for _, a := range proposed {
			o.recorded(a)
		}
		// Dirty again only if something changed while the commit was under way.
		m.dirty = m.changed()
		if claim {
			o.answerHeld(m)
			o.inspect(m)
		}
	})
}

// changed tells whether a machine's record must be written.
func (m *machine) changed() bool {
	for _, a := range m.attempts {
		if a.state == attemptProposed || a.state == attemptLeaving {
			return true
		}
	}
	return m.fence == fenceWanted || m.state == machineMoving && len(m.attempts) == 0 || m.state == machineCondemned || m.state == machineDeleted
}

func (o *owner) recorded(a *attempt) {
	if a.state != attemptProposed {
		return
	}
	o.setAttempt(a, attemptRecorded)
	j := a.job
	a.machine.wantPush = true
	if j.state != jobActive {
		o.stop(a, 0, "job is over")
		return
	}
	if !j.Gang || j.gang != gangPlacing {
		return
	}
	for _, b := range j.attempts {
		if b.state == attemptProposed {
			return
		}
	}
	o.setGang(j, gangStarting)
	for _, b := range j.attempts {
		b.machine.wantPush = true
	}
}

func (o *owner) answerHeld(m *machine) {
	if m.held == 0 {
		return
	}
	req, rep := m.held, m.heldReport
	m.held, m.heldReport = 0, nil
	o.answer(m, req, rep)
}

// forget drops a machine whose record is gone; its tasks may run elsewhere now.
func (o *owner) forget(m *machine) {
	delete(o.machines, m.name)
	if m.held != 0 {
		o.c.refuse(m.held, 503, "machine was returned")
		m.held = 0
	}
	for _, a := range m.sorted() {
		j := a.job
		a.why = "machine is gone"
		if a.state != attemptFinished || j.state == jobEnded {
			o.setAttempt(a, attemptClosed)
		}
		if j.Gang && j.state == jobActive && len(j.attempts) > 0 && j.gang != gangStopping {
			o.stopJob(j, 0, "gang lost a machine")
		}
	}
	o.wantSchedule = true
}

// flushFinals records jobs that are done.
func (o *owner) flushFinals(t *txn, full func() bool) {
	for _, j := range o.queue {
		if j.state != jobFinishing || j.unsure {
			continue
		}
		if full() {
			return
		}
		t.guards[activeKey(j.ID)] = j.version
		t.writes = append(t.writes, state.Write{Delete: activeKey(j.ID)})
		t.put(finalKey(j.ID), finalOf(j.Job, wire.JobDone))
		t.results = append(t.results, func(ok bool, _ uint64) {
			if !ok || j.state == jobEnded {
				return
			}
			o.c.users.remember(j.ID, wire.JobDone)
			o.c.log.Info("job done", "job", j.ID, "class", j.Class)
			for _, a := range j.sorted() {
				if a.state == attemptFinished {
					o.finishedRecorded(a)
				}
			}
			o.endJob(j)
		})
	}
}

// finishedRecorded closes an attempt whose completion is recorded. The machine's
// record still names it; that is corrected with its next change, and a reader knows
// better from the completion.
func (o *owner) finishedRecorded(a *attempt) {
	o.setAttempt(a, attemptClosed)
}

// flushDone records completions of jobs that go on.
func (o *owner) flushDone(t *txn, full func() bool) {
	for _, j := range o.queue {
		if j.state != jobActive || j.unsure {
			continue
		}
		for _, chunk := range sortedKeys(j.dirty) {
			if full() {
				return
			}
			o.writeDone(t, j, chunk)
		}
	}
}

func (o *owner) writeDone(t *txn, j *job, chunk int) {
	t.guards[activeKey(j.ID)] = j.version
	t.guards[doneKey(j.ID, chunk)] = j.chunks[chunk]
	t.put(doneKey(j.ID, chunk), doneRecord{j.done.chunk(chunk)})
	delete(j.dirty, chunk)
	var finished []*attempt
	for _, a := range j.sorted() {
		if a.state == attemptFinished && a.index/chunkTasks == chunk {
			finished = append(finished, a)
		}
	}
	t.results = append(t.results, func(ok bool, rev uint64) {
		if !ok {
			j.dirty[chunk] = true
			return
		}
		j.chunks[chunk] = rev
		for _, a := range finished {
			o.finishedRecorded(a)
		}
	})
}

// tidy deletes what nobody reads any more, when writes are plentiful.
func (o *owner) tidy() {
	room := min(o.c.budget.room(forTidying, o.c.now), o.c.cfg.TxnOps, len(o.garbage))
	if room < 1 {
		return
	}
	var writes []state.Write
	for _, k := range o.garbage[:room] {
		writes = append(writes, state.Write{Delete: k})
	}
	o.flushing = true
	o.c.store(forTidying, state.Commit(o.guards(nil), writes), func(r storeReply) {
		if o.over() {
			return
		}
		o.flushing = false
		o.flushAt = o.c.now + flushGap
		if r.outcome == outOK {
			o.garbage = o.garbage[room:]
		}
	})
}
