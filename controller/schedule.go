package controller

import (
	"cmp"
	"slices"
	"strings"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds of one scheduling pass.
const (
	// passGap is the least time between two passes.
	passGap = 100 * micros.Millisecond
	// jobsPerPass is the number of jobs for which places are looked for in one pass.
	jobsPerPass = 200
	// maxProposed is the number of attempts that may wait for their record.
	maxProposed = 1000
	// minProposedJobs is the number of jobs that may have such attempts, however few guards
	// a commit takes.
	minProposedJobs = 24
	// recordSlots is the number of tasks in one machine's entry, so that its block fits a value.
	recordSlots = 128
)

// schedule proposes places for waiting tasks. A proposal takes effect only when the
// machine's record has been written with it.
func (o *owner) schedule() {
	if !o.wantSchedule || o.flushing || o.c.now < o.nextPass || o.proposed >= maxProposed {
		return
	}
	o.wantSchedule, o.nextPass = false, o.c.now+passGap
	view := o.placeView()
	kept := keptLimits{}
	looked, nowhere := 0, map[shape]bool{}
	for _, j := range o.inTurn() {
		if looked >= jobsPerPass || o.proposedJobs >= max(2*o.c.cfg.TxnOps, minProposedJobs) {
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
		if g.Priority > j.Priority || o.waitsLong(g) {
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
		return view // see reserveForGangs
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
