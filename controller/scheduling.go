package controller

import (
	"cmp"
	"slices"
	"strings"

	"tamarindlead/internal/inventory"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds of one scheduling pass.
const (
	// minPassInterval is the least time between two passes.
	minPassInterval = 100 * micros.Millisecond
	// jobsPerPass is the number of jobs for which places are looked for in one pass.
	jobsPerPass = 200
	// maxAssumed is the number of attempts that may wait for their record.
	maxAssumed = 1000
	// minAssumedJobs is the number of jobs that may have such attempts, however few guards
	// a commit takes.
	minAssumedJobs = 24
)

// schedule proposes places for waiting tasks. A proposal takes effect only when the
// machine's record has been written with it.
func (o *owner) schedule() {
	if !o.SchedulingNeeded || o.commits.InFlight() || o.c.now < o.nextSchedulingPass || o.Assumed >= maxAssumed {
		return
	}
	o.SchedulingNeeded, o.nextSchedulingPass = false, o.c.now+minPassInterval
	pass := &schedulingPass{o: o, view: o.placementView(), reservedQuotas: quotaReservations{}, unplaceableShapes: map[shape]bool{}}
	for _, j := range o.schedulingOrder() {
		if pass.isExhausted() {
			return
		}
		pass.place(j)
	}
}

// schedulingPass is one pass over the jobs in the order in which they are placed.
type schedulingPass struct {
	o                 *owner
	view              []*sched.Machine
	reservedQuotas    quotaReservations
	examinedJobs      int            // jobs for which places were looked for
	unplaceableShapes map[shape]bool // kinds of tasks for which there is no place left
}

// isExhausted tells whether the pass has done as much as one may: the guards of a commit are bounded.
func (p *schedulingPass) isExhausted() bool {
	return p.examinedJobs >= jobsPerPass || p.o.AssumedJobs >= max(2*p.o.c.cfg.MaxTransactionOps, minAssumedJobs)
}

// place looks for places for the waiting tasks of a job.
func (p *schedulingPass) place(j *inventory.Job) {
	o := p.o
	if !o.schedulable(j) {
		return
	}
	want, leftOut := p.allowance(j)
	if want == 0 {
		return
	}
	// Room only shrinks during a pass, so tasks alike to some that found no place find none.
	plain := !j.Gang && !j.OneZone && !j.Spread && o.reservations[j.ID] == nil
	if plain && p.unplaceableShapes[shapeOf(j)] {
		return
	}
	p.examinedJobs++
	if !j.Gang && (leftOut || o.isStarving(j)) {
		want = min(want, starvingBatchSize(j)) // it must begin; the rest waits its turn
	}
	if h := o.reservations[j.ID]; h != nil {
		p.placeReserved(j, h, want)
		return
	}
	assignments := sched.Place(j.Job, p.view, want, j.TasksByZone())
	if len(assignments) == 0 && o.isIdleTooLong(j) {
		assignments = placeOnReserved(j, p.view, min(want, starvingBatchSize(j)))
	}
	if len(assignments) == 0 {
		p.unplaceableShapes[shapeOf(j)] = plain
		p.handleNoPlacement(j)
		return
	}
	p.assume(j, assignments)
}

// schedulable tells whether places may be looked for now for tasks of a job.
func (o *owner) schedulable(j *inventory.Job) bool {
	if j.State != inventory.JobActive || j.Pending == 0 || j.RecordStale || o.c.now < j.BackoffUntil {
		return false
	}
	return !j.Gang || j.GangState == inventory.GangNone
}

// allowance returns how many tasks of a job its team's limit has room for now, 0 for a gang
// that does not fit whole, and whether the job takes what is kept for others since nothing
// of it has run for long.
func (p *schedulingPass) allowance(j *inventory.Job) (want int, leftOut bool) {
	want = p.o.quotaHeadroom(j, p.o.reservedQuota(p.reservedQuotas, j))
	if j.Gang && want < j.Tasks {
		p.reserveQuota(j)
		return 0, false
	}
	if want == 0 && p.o.isIdleTooLong(j) {
		return p.o.quotaHeadroom(j, sched.Resources{}), true
	}
	return want, false
}

// reserveQuota keeps a part of its team's limit for a gang that waits.
func (p *schedulingPass) reserveQuota(gang *inventory.Job) {
	p.reservedQuotas[gang.Team] = append(p.reservedQuotas[gang.Team], gang)
}

// placeReserved places a gang on the machines that are held for it, once their room is free.
func (p *schedulingPass) placeReserved(j *inventory.Job, h *reservation, want int) {
	if h.state == reservationReady {
		p.assume(j, sched.Place(j.Job, p.o.reservedView(h, p.view), want, nil))
	}
}

// handleNoPlacement makes room for a gang, or reserves machines for it.
func (p *schedulingPass) handleNoPlacement(j *inventory.Job) {
	if j.Gang { // when its machines come, it must be within the limit
		p.reserveQuota(j)
	}
	if p.o.preempt(j) {
		p.view = p.o.placementView() // without what is held now
		clear(p.unplaceableShapes)
		return
	}
	p.view = p.o.reserveSoonestFree(j, p.view)
}

func (p *schedulingPass) assume(j *inventory.Job, assignments []sched.Assignment) {
	p.o.assume(j, assignments)
	p.o.limitSlots(p.view, assignments)
}

// shape is what decides on which machines the tasks of a job fit.
type shape struct {
	need  sched.Resources
	zone  string
	spot  bool
	types string
}

// shapeOf returns the shape of the job's tasks.
func shapeOf(j *inventory.Job) shape {
	s := shape{j.Need, j.Zone, j.Spot, "any"}
	if j.Types != nil {
		s.types = "of " + strings.Join(j.Types, " ")
	}
	return s
}

// quotaReservations are gangs that wait, for their teams' limits or for machines. What comes free of a
// limit must not go to work that comes later, a task at a time: the gang would wait for all of
// it.
type quotaReservations map[string][]*inventory.Job

// reservedQuota is what of its team's limit is kept from a job: for gangs of higher priority, and
// for all that have waited for long.
func (o *owner) reservedQuota(k quotaReservations, j *inventory.Job) sched.Resources {
	var sum sched.Resources
	for _, g := range k[j.Team] {
		if g.Priority > j.Priority || o.waitsTooLong(g) {
			sum = sum.Add(g.Need.Times(g.Tasks))
		}
	}
	return sum
}

// starvingBatchDivisor is the divisor by which an array that starves is placed: one such part at a time.
const starvingBatchDivisor = 8

// starvingBatchSize is how many tasks of an array that starves are placed at a time.
func starvingBatchSize(j *inventory.Job) int { return max(1, j.Pending/starvingBatchDivisor) }

// maxArrayIdleTime is how long nothing of an array runs before it takes some of what is kept for
// gangs: it must not wait for long while there is room and its team is under its limit.
const maxArrayIdleTime = 60 * micros.Second

// isIdleTooLong tells whether nothing of an array has run for long.
func (o *owner) isIdleTooLong(j *inventory.Job) bool {
	return !j.Gang && len(j.Attempts) == 0 && o.c.now-j.IdleSince > maxArrayIdleTime
}

// placeOnReserved looks for places also on machines that are kept for gangs, though not on
// those kept for one that starves.
func placeOnReserved(j *inventory.Job, view []*sched.Machine, want int) []sched.Assignment {
	var kept []*sched.Machine
	for _, m := range view {
		if m.ReservedForGangs {
			kept, m.ReservedForGangs = append(kept, m), false
		}
	}
	got := sched.Place(j.Job, view, want, j.TasksByZone())
	for _, m := range kept {
		m.ReservedForGangs = true
	}
	return got
}

// isStarving tells that a job has waited for long and not begun.
func (o *owner) isStarving(j *inventory.Job) bool {
	return !j.EverPlaced && j.State == inventory.JobActive && o.c.wallClock-j.ReadyAt > o.c.cfg.Tuning.StarvationTimeout
}

// schedulingOrder lists the jobs in the order in which they are placed. Those that starve come first,
// whatever their priority, so that under lasting overload every job begins; then, of equal
// priority, those that their teams' guarantees cover, which need not wait for other teams;
// then those in pipelines whose deadlines press; then who came first.
func (o *owner) schedulingOrder() []*inventory.Job {
	covered := o.jobsWithinGuarantee()
	list := slices.Clone(o.Queue)
	slices.SortStableFunc(list, func(a, b *inventory.Job) int {
		x, y := o.isStarving(a), o.isStarving(b)
		switch {
		case x != y:
			return compareTrueFirst(x)
		case x:
			return cmp.Compare(a.ReadyAt, b.ReadyAt)
		case a.Priority == b.Priority && covered[a] != covered[b]:
			return compareTrueFirst(covered[a])
		case a.Priority == b.Priority:
			return cmp.Or(o.compareUrgency(a, b), inventory.CompareQueueOrder(a, b))
		}
		return inventory.CompareQueueOrder(a, b)
	})
	return list
}

// compareTrueFirst orders what has something before what has not.
func compareTrueFirst(has bool) int {
	if has {
		return -1
	}
	return 1
}

// quotaHeadroom tells how many tasks of a job its team's limit leaves room for, less what is
// kept for others.
func (o *owner) quotaHeadroom(j *inventory.Job, kept sched.Resources) int {
	t := o.Teams[j.Team]
	if t == nil {
		return 0
	}
	free := t.QuotaLimit.Sub(t.Used).Sub(kept)
	if t.QuotaLimit.CPU == 0 {
		free.CPU = 1 << 60
	}
	if t.QuotaLimit.GPU == 0 {
		free.GPU = 1 << 60
	}
	free.Mem = 1 << 60
	return j.Need.Count(free, j.Pending)
}

// reserveSoonestFree keeps the machine that will have room for a waiting gang the soonest free
// of jobs that come after it; without that, small tasks would fill every gap first.
func (o *owner) reserveSoonestFree(j *inventory.Job, view []*sched.Machine) []*sched.Machine {
	if !j.Gang || o.dependsOnMachineType(j) {
		return view // see reserveForGangs
	}
	best, soonest := -1, micros.Micros(0)
	for i, v := range view {
		m := o.Machines[v.Name]
		if v.Slack || !j.Allows(m.Type, m.Zone, m.Spot) || !j.Need.Fits(m.Size) {
			continue
		}
		wait := micros.Micros(0)
		for _, a := range m.Attempts {
			wait = max(wait, o.remainingRunTime(a))
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
