package scheduler

import (
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Limits of one scheduling pass.
const (
	// MinPassInterval is the minimum time between two passes.
	MinPassInterval = 100 * micros.Millisecond
	// maxJobsPerPass is how many jobs a pass tries to place.
	maxJobsPerPass = 200
	// maxAssumed is the largest number of attempts that may wait until they are recorded.
	maxAssumed = 1000
	// minAssumedJobs is how many jobs may have such attempts even if a transaction can contain
	// only few preconditions.
	minAssumedJobs = 24
)

// Parameters for arrays that have had no running task for a long time.
const (
	// starvingBatchDivisor is the number by which the pending tasks of a starving array are divided
	// to get the number of tasks that are placed in one pass.
	starvingBatchDivisor = 8
	// maxArrayIdleTime is how long an array must have had no attempts before it may use machines and
	// quota that are reserved for gangs. The quota limit of its team still applies.
	maxArrayIdleTime = 60 * micros.Second
)

// pass is one pass over the jobs in scheduling order.
type pass struct {
	scheduler         *Scheduler
	now, wallClock    micros.Micros
	view              []*sched.Machine
	reservedQuotas    quotaReservations
	examinedJobs      int            // jobs that the pass tried to place
	unplaceableShapes map[shape]bool // shapes of tasks that fit on no machine
}

// Schedule places pending tasks. A placement takes effect only after it has been written to the
// machine's record.
func (s *Scheduler) Schedule() {
	now := s.host.Now()
	if !s.inventory.SchedulingNeeded || s.host.Committing() || now < s.nextPass || s.inventory.Assumed >= maxAssumed {
		return
	}
	s.inventory.SchedulingNeeded, s.nextPass = false, now+MinPassInterval
	p := &pass{
		scheduler:         s,
		now:               now,
		wallClock:         s.host.WallClock(),
		view:              s.placementView(),
		reservedQuotas:    quotaReservations{},
		unplaceableShapes: map[shape]bool{},
	}
	for _, j := range s.schedulingOrder() {
		if p.exhausted() {
			return
		}
		p.place(j)
	}
}

// exhausted reports whether the pass has reached its limits. The number of jobs with assumed attempts
// is limited because a transaction can contain only a limited number of preconditions.
func (p *pass) exhausted() bool {
	maxJobs := max(2*p.scheduler.settings.MaxTransactionOps, minAssumedJobs)
	return p.examinedJobs >= maxJobsPerPass || p.scheduler.inventory.AssumedJobs >= maxJobs
}

// place places pending tasks of a job, as many as its team's quota limit and the free resources allow.
func (p *pass) place(j *inventory.Job) {
	s := p.scheduler
	if !schedulable(j, p.now) {
		return
	}
	tasks, idle := p.quotaAllowance(j)
	if tasks == 0 {
		return
	}
	// Free resources only decrease during a pass, so a shape that could not be placed earlier in the
	// pass cannot be placed now.
	reservation := s.reservations[j.ID]
	plain := !j.Gang && !j.OneZone && !j.Spread && reservation == nil
	if plain && p.unplaceableShapes[shapeOf(j)] {
		return
	}
	p.examinedJobs++
	if !j.Gang && (idle || s.isStarving(j, p.wallClock)) {
		tasks = min(tasks, starvingBatchSize(j)) // enough to start; the rest is placed in later passes
	}
	if reservation != nil {
		p.placeReserved(j, reservation, tasks)
		return
	}
	assignments := sched.Place(j.Job, p.view, tasks, j.TasksByZone())
	if len(assignments) == 0 && isIdleTooLong(j, p.now) {
		assignments = placeOnReserved(j, p.view, min(tasks, starvingBatchSize(j)))
	}
	if len(assignments) == 0 {
		p.unplaceableShapes[shapeOf(j)] = plain
		p.handleNoPlacement(j)
		return
	}
	p.assume(j, assignments)
}

// schedulable reports whether tasks of a job may be placed now.
func schedulable(j *inventory.Job, now micros.Micros) bool {
	if j.State != inventory.JobActive || j.Pending == 0 || j.RecordStale || now < j.BackoffUntil {
		return false
	}
	return !j.Gang || j.GangState == inventory.GangNone
}

// quotaAllowance returns how many pending tasks of a job its team's quota limit allows, 0 for a gang
// that it does not allow as a whole. idle is set if the job has had no attempts for so long that it
// may use quota that is reserved for gangs, and needs it.
func (p *pass) quotaAllowance(j *inventory.Job) (tasks int, idle bool) {
	s := p.scheduler
	tasks = s.QuotaHeadroom(j, p.reservedQuotas.reservedFrom(j, p.wallClock))
	if j.Gang && tasks < j.Tasks {
		p.reservedQuotas.add(j)
		return 0, false
	}
	if tasks == 0 && isIdleTooLong(j, p.now) {
		return s.QuotaHeadroom(j, sched.Resources{}), true
	}
	return tasks, false
}

// placeReserved places a gang on the machines that are reserved for it, if their resources are free
// already.
func (p *pass) placeReserved(j *inventory.Job, r *reservation, tasks int) {
	if r.state == reservationReady {
		p.assume(j, sched.Place(j.Job, r.view(p.view), tasks, nil))
	}
}

// handleNoPlacement handles a job if no task of it could be placed. For a gang, it preempts tasks or
// excludes a machine from the rest of the pass, so that later jobs do not use the machine.
func (p *pass) handleNoPlacement(j *inventory.Job) {
	s := p.scheduler
	if j.Gang { // keep quota for it until its machines are free
		p.reservedQuotas.add(j)
	}
	if s.preempt(j) {
		p.view = s.placementView() // without the resources of the new reservation
		clear(p.unplaceableShapes)
		return
	}
	p.view = s.withoutSoonestFree(j, p.view)
}

// assume assigns tasks to machines and updates the view.
func (p *pass) assume(j *inventory.Job, assignments []sched.Assignment) {
	p.scheduler.assume(j, assignments)
	p.scheduler.limitSlots(p.view, assignments)
}

// shape is the set of properties of a job that determine on which machines its tasks fit.
type shape struct {
	need  sched.Resources
	zone  string
	spot  bool
	types string
}

// shapeOf returns the shape of the job's tasks.
func shapeOf(j *inventory.Job) shape {
	tasks := shape{need: j.Need, zone: j.Zone, spot: j.Spot, types: "any"}
	if j.Types != nil {
		tasks.types = "of " + strings.Join(j.Types, " ")
	}
	return tasks
}

// starvingBatchSize returns how many tasks of a starving array are placed in one pass.
func starvingBatchSize(j *inventory.Job) int { return max(1, j.Pending/starvingBatchDivisor) }

// isIdleTooLong reports whether an array has had no attempts for longer than maxArrayIdleTime.
func isIdleTooLong(j *inventory.Job, now micros.Micros) bool {
	return !j.Gang && len(j.Attempts) == 0 && now-j.IdleSince > maxArrayIdleTime
}

// placeOnReserved places tasks also on machines that are reserved for gangs in general, but not on those
// that are reserved for a single gang, which has waited for too long.
func placeOnReserved(j *inventory.Job, view []*sched.Machine, tasks int) []sched.Assignment {
	var reserved []*sched.Machine
	for _, m := range view {
		if m.ReservedForGangs {
			reserved, m.ReservedForGangs = append(reserved, m), false
		}
	}
	assignments := sched.Place(j.Job, view, tasks, j.TasksByZone())
	for _, m := range reserved {
		m.ReservedForGangs = true
	}
	return assignments
}

// withoutSoonestFree removes from the view the machine whose resources become free for a waiting gang
// the soonest. Otherwise, small tasks of later jobs would use the resources as they become free.
func (s *Scheduler) withoutSoonestFree(j *inventory.Job, view []*sched.Machine) []*sched.Machine {
	if !j.Gang || s.fitsSingleType(j) {
		return view // reserveForGangs reserves machines for such gangs
	}
	best, soonest := -1, micros.Micros(0)
	for i, v := range view {
		m := s.inventory.Machines[v.Name]
		if v.Slack || !j.Allows(m.Type, m.Zone, m.Spot) || !j.Need.Fits(m.Size) {
			continue
		}
		wait := micros.Micros(0)
		for _, a := range m.Attempts {
			wait = max(wait, s.machines.RemainingRunTime(a))
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
