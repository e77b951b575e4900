package controller

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"tamarindlead/internal/budget"
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
	jobsPerPass   = 200 // jobs for which places are looked for in one pass
	recordSlots   = 128 // tasks in one machine's entry, so that its block fits a value
	commitBytes   = 60 << 10
	guardBytes    = 64 // of a guard, at most, as a rule
	passGap       = 100 * micros.Millisecond
	mostProposed  = 1000 // attempts that wait for their record
	fewestJobs    = 24   // jobs that may have such, however few guards a commit takes
	foreignLife   = 10 * micros.Second
)

// schedule proposes places for waiting tasks. A proposal takes effect only when the
// machine's record has been written with it.
func (o *owner) schedule() {
	if !o.wantSchedule || o.flushing || o.c.now < o.nextPass || o.proposed >= mostProposed {
		return
	}
	o.wantSchedule, o.nextPass = false, o.c.now+passGap
	view := o.placeView()
	kept := keptLimits{}
	looked, nowhere := 0, map[shape]bool{}
	for _, j := range o.inTurn() {
		if looked >= jobsPerPass || o.proposedJobs >= max(2*o.c.cfg.TxnOps, fewestJobs) {
			break // the guards of a commit are bounded
		}
		if j.state != jobActive || j.pending == 0 || j.unsure || o.c.now < j.notUntil {
			continue
		}
		if j.Gang && j.gang != gangNone {
			continue
		}
		want := o.withinTeam(j, o.keptFrom(kept, j))
		if j.Gang && want < j.Tasks {
			kept[j.Team] = append(kept[j.Team], j)
			continue
		}
		leftOut := want == 0 && o.leftOut(j)
		if leftOut {
			want = o.withinTeam(j, sched.Resources{})
		}
		if want == 0 {
			continue
		}
		// What found no place for one job has none for another alike: room only shrinks.
		like, plain := j.shape(), !j.Gang && !j.OneZone && !j.Spread && o.holds[j.ID] == nil
		if plain && nowhere[like] {
			continue
		}
		looked++
		if !j.Gang && (leftOut || o.starves(j)) {
			want = min(want, max(1, j.pending/beginShare)) // it must begin; the rest waits its turn
		}
		if h := o.holds[j.ID]; h != nil {
			if h.state == holdWaiting {
				got := sched.Place(j.Job, o.heldView(h, view), want, nil)
				o.propose(j, got)
				o.narrow(view, got)
			}
			continue
		}
		got := sched.Place(j.Job, view, want, j.zones())
		if len(got) == 0 && o.leftOut(j) {
			got = placeAmongKept(j, view, min(want, max(1, j.pending/beginShare)))
		}
		if len(got) == 0 {
			nowhere[like] = plain
			if j.Gang { // its machines may be to come, and then it must be within the limit
				kept[j.Team] = append(kept[j.Team], j)
			}
			if o.makeRoom(j) {
				view = o.placeView() // without what is held now
				clear(nowhere)
			} else {
				view = o.reserve(j, view)
			}
			continue
		}
		o.propose(j, got)
		o.narrow(view, got)
	}
}

// narrow leaves machines that share a block with those just used no more tasks than their
// entries still have room for.
func (o *owner) narrow(view []*sched.Machine, got []sched.Assignment) {
	left := map[*block]float64{}
	for _, as := range got {
		b := o.machines[as.Machine.Name].block
		if _, ok := left[b]; !ok {
			left[b] = o.freeBytes(b)
		}
	}
	for _, v := range view {
		m := o.machines[v.Name]
		if _, ok := left[m.block]; ok {
			v.Slots = min(v.Slots, o.slotsOf(m, left))
		}
	}
}

// shape is what decides on which machines tasks of a job fit.
type shape struct {
	need  sched.Resources
	zone  string
	spot  bool
	types string
}

func (j *job) shape() shape {
	s := shape{j.Need, j.Zone, j.Spot, "any"}
	if j.Types != nil {
		s.types = "of " + strings.Join(j.Types, " ")
	}
	return s
}

// keptLimits are gangs that wait, for their teams' limits or for machines. What comes free of a
// limit must not go to work that comes later, a task at a time: the gang would wait for all of
// it.
type keptLimits map[string][]*job

// keptFrom is what of its team's limit is kept from a job: for gangs of higher priority, and
// for all that have waited for long.
func (o *owner) keptFrom(k keptLimits, j *job) sched.Resources {
	var sum sched.Resources
	for _, g := range k[j.Team] {
		if g.Priority > j.Priority || o.c.day-g.since > gangPatience {
			sum = sum.Add(g.Need.Times(g.Tasks))
		}
	}
	return sum
}

// beginShare parts an array that starves: so much of it at a time.
const beginShare = 8

// leftOutAfter is how long nothing of an array runs before it takes some of what is kept for
// gangs: it must not wait for long while there is room and its team is under its limit.
const leftOutAfter = 60 * micros.Second

func (o *owner) leftOut(j *job) bool {
	return !j.Gang && len(j.attempts) == 0 && o.c.now-j.idleSince > leftOutAfter
}

// placeAmongKept looks for places also on machines that are kept for gangs, though not on
// those kept for one that starves.
func placeAmongKept(j *job, view []*sched.Machine, want int) []sched.Assignment {
	var kept []*sched.Machine
	for _, m := range view {
		if m.Kept {
			kept, m.Kept = append(kept, m), false
		}
	}
	got := sched.Place(j.Job, view, want, j.zones())
	for _, m := range kept {
		m.Kept = true
	}
	return got
}

// starves tells that a job has waited for long and not begun.
func (o *owner) starves(j *job) bool {
	return !j.began && j.state == jobActive && o.c.day-j.since > o.c.cfg.Tuning.StarveAfter
}

// inTurn lists the jobs in the order in which they are placed. Those that starve come first,
// whatever their priority, so that under lasting overload every job begins; then, of equal
// priority, those that their teams' guarantees cover, which need not wait for other teams;
// then those in pipelines whose deadlines press; then who came first.
func (o *owner) inTurn() []*job {
	covered := o.guaranteed()
	list := slices.Clone(o.queue)
	slices.SortStableFunc(list, func(a, b *job) int {
		x, y := o.starves(a), o.starves(b)
		switch {
		case x != y:
			return first(x)
		case x:
			return cmp.Compare(a.since, b.since)
		case a.Priority == b.Priority && covered[a] != covered[b]:
			return first(covered[a])
		case a.Priority == b.Priority:
			return cmp.Or(o.inTime(a, b), queueOrder(a, b))
		}
		return queueOrder(a, b)
	})
	return list
}

// first orders what has something before what has not.
func first(has bool) int {
	if has {
		return -1
	}
	return 1
}

// alikeWithin is how far prices may differ and still count as the same for placement:
// where a task's image is then matters more.
const alikeWithin = 1.5

// priceClass puts prices that are about the same into one class.
func priceClass(price float64) float64 {
	if price <= 0 {
		return 0
	}
	return math.Round(math.Log(price) / math.Log(alikeWithin))
}

// view is what placement may use now.
func (o *owner) view() []*sched.Machine {
	var view []*sched.Machine
	left := map[*block]float64{}
	for _, m := range o.list {
		if m.state != machineUp || m.token == 0 || m.fence != fenceNone || o.c.now < m.pausedTo ||
			o.c.now-m.heard > 2*o.c.cfg.ReportEvery {
			continue
		}
		view = append(view, &sched.Machine{
			Name: m.name, Type: m.kind, Zone: m.zone, Spot: m.spot,
			Free: o.machineSize(m).Sub(m.used).Sub(o.held(m.name)), Slots: o.slotsOf(m, left),
			Idle: len(m.attempts) == 0, Scarce: o.scarce(m.kind, m.spot), Price: priceClass(o.pricePerCPU(m.kind, m.spot)), Images: m.images,
		})
	}
	return view
}

// placeView is the view with what is kept for gangs, and with the slack of machines that
// gangs use.
func (o *owner) placeView() []*sched.Machine {
	view := o.view()
	o.keepForGangs(view)
	return o.addSlack(view)
}

// withinTeam tells how many tasks of a job its team's limit leaves room for, less what is
// kept for others.
func (o *owner) withinTeam(j *job, kept sched.Resources) int {
	t := o.teams[j.Team]
	if t == nil {
		return 0
	}
	free := t.Limit.Sub(t.used).Sub(kept)
	if t.Limit.CPU == 0 {
		free.CPU = 1 << 60
	}
	if t.Limit.GPU == 0 {
		free.GPU = 1 << 60
	}
	free.Mem = 1 << 60
	return j.Need.Count(free, j.pending)
}

// zones counts a job's tasks by zone, if its place depends on that.
func (j *job) zones() map[string]int {
	in := map[string]int{}
	if !j.OneZone && !j.Spread {
		return in
	}
	for _, a := range j.attempts {
		in[a.machine.zone]++
	}
	return in
}

// reserve keeps the machine that will have room for a waiting gang the soonest free
// of jobs that come after it; without that, small tasks would fill every gap first.
func (o *owner) reserve(j *job, view []*sched.Machine) []*sched.Machine {
	if !j.Gang || o.dependent(j) {
		return view // see keepForGangs
	}
	best, soonest := -1, micros.Micros(0)
	for i, v := range view {
		m := o.machines[v.Name]
		if v.Slack || !j.Allows(m.kind, m.zone, m.spot) || !j.Need.Fits(m.size) {
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
	number := o.nextNumber()
	if j.Gang {
		o.setGang(j, gangPlacing)
	}
	for _, as := range got {
		m := o.machines[as.Machine.Name]
		for n := 0; n < as.Count; n++ {
			for j.task(j.lowest) != taskPending {
				j.lowest++
			}
			o.attach(j, j.lowest, number, m, attemptProposed)
		}
		o.touch(m)
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

func (t *txn) put(key string, v any) { t.write(key, v, state.Size(v)) }

func (t *txn) write(key string, v any, size int) {
	t.writes = append(t.writes, state.Write{Put: key, Value: v})
	t.size += size
}

// takes tells whether a commit has room for another write with its guards.
func (t *txn) takes(guards map[string]uint64, size, ops int) bool {
	n := len(t.guards) + 1 // this node's own record
	for k := range guards {
		if _, ok := t.guards[k]; !ok {
			n++
		}
	}
	return n <= 4*ops && t.size+size+guardBytes*n <= commitBytes
}

// flush writes the most urgent changes. One commit is under way at a time, so that
// what a commit was built on can only be changed by somebody else.
func (o *owner) flush() {
	c := o.c
	if o.flushing || c.now < o.flushAt {
		return
	}
	t := &txn{guards: map[string]uint64{}}
	purpose := budget.Work
	if o.claimsWait() {
		purpose = budget.Ownership
	}
	most := min(c.budget.WriteRoom(purpose, c.now), c.cfg.TxnOps)
	room := func() int { return most - len(t.writes) }
	full := func() bool {
		return room() < 1 || t.size > commitBytes/2 || len(t.guards) > 2*c.cfg.TxnOps
	}
	if most > 0 {
		o.flushClaims(t, room)
		o.flushFinals(t, func() bool { return room() < 2 || full() })
		// The cancelled that nobody waits for leave half to the rest, or take what is left.
		half := most / 2
		o.flushCancelled(t, func() bool { return room() < 2+half || full() })
		o.flushRentals(t, func() bool { return room() < 2 || full() })
		o.flushHolds(t, full)
		o.flushRecords(t, room)
		o.flushCancelled(t, func() bool { return room() < 2 || full() })
	}
	if len(t.writes) == 0 {
		o.tidy()
		return
	}
	o.flushing = true
	o.send(t, purpose, false)
}

func (o *owner) claimsWait() bool {
	for _, m := range o.list {
		if m.token == 0 && !m.verifying {
			return true
		}
	}
	return false
}

func (o *owner) send(t *txn, p budget.Purpose, again bool) {
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
			if c.budget.WriteRoom(budget.Work, c.now) < c.cfg.TxnOps/2 {
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
func (o *owner) resend(t *txn, p budget.Purpose) {
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
		if name, ok := strings.CutPrefix(key, prefixMachine+adoptedBlock); ok {
			if m := o.machines[name]; m != nil && m.token == 0 {
				o.notOurs(m, adoptedBlock+name)
				continue
			}
		}
		if !isJob {
			o.resync("a record of ours was changed: " + key)
			return
		}
		if j := o.waiting[id]; j != nil {
			o.waitingUnsure(j)
			continue
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
		o.c.get(budget.Users, key, func(out outcome, e state.Entry) {
			switch {
			case o.over():
			case out == outMissing:
				o.jobGone(id, o.knownTo)
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
func (o *owner) notOurs(m *machine, block string) {
	o.foreign[m.name] = o.c.now + foreignLife
	o.forget(m)
	o.takeGiven(block)
}

func (o *owner) recorded(a *attempt) {
	if a.state != attemptProposed {
		return
	}
	o.setAttempt(a, attemptRecorded)
	j := a.job
	j.began = j.began || !j.Gang
	o.poke(a.machine)
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
	j.began = true
	o.c.log.Info("gang placed", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "ordinary", j.Ordinary,
		"since_accepted_s", math.Round((o.c.day - j.since).Seconds()))
	for _, b := range j.attempts {
		o.poke(b.machine)
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
	o.dropMachine(m)
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
		j.writing = true
		t.guards[activeKey(j.ID)] = j.version
		t.writes = append(t.writes, state.Write{Delete: activeKey(j.ID)})
		t.put(finalKey(j.ID), finalRecord{Status: wire.JobDone, At: int64(o.c.day)})
		t.results = append(t.results, func(ok bool, _ uint64) {
			j.writing = false
			if !ok || j.state == jobEnded {
				return
			}
			o.c.users.remember(j.ID, wire.JobDone)
			o.c.log.Info("job done", "job", j.ID, "class", j.Class)
			o.c.graph.Done(j.ID, o.c.day)
			for _, a := range j.sorted() {
				if a.state == attemptFinished {
					o.finishedRecorded(a)
				}
			}
			o.endJob(j)
			for _, a := range j.sorted() {
				if a.state == attemptLive || a.state == attemptOrdered {
					a.why = "job is done"
					o.setAttempt(a, attemptStopping) // its machine's next report ends it
				}
			}
		})
	}
}

// finishedRecorded closes an attempt whose completion is recorded. The machine's
// record still names it; that is corrected with its next change, and a reader knows
// better from the completion.
func (o *owner) finishedRecorded(a *attempt) {
	o.setAttempt(a, attemptClosed)
}

// tidy deletes what nobody reads any more, when writes are plentiful.
func (o *owner) tidy() {
	o.dropShards()
	room := min(o.c.budget.WriteRoom(budget.Cleanup, o.c.now), o.c.cfg.TxnOps, len(o.garbage))
	if room < 1 {
		return
	}
	var writes []state.Write
	for _, k := range o.garbage[:room] {
		writes = append(writes, state.Write{Delete: k})
	}
	o.flushing = true
	o.c.store(budget.Cleanup, state.Commit(o.guards(nil), writes), func(r storeReply) {
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
