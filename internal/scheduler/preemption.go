package scheduler

import (
	"tamarindlead/config"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// maxBootTimeToWait is the remaining boot time of a machine up to which a gang waits for it
	// instead of preempting tasks.
	maxBootTimeToWait = 12 * micros.Second
	// preemptionRetryDelay is the delay before the next attempt after no preemption plan was found.
	preemptionRetryDelay = 4 * micros.Second
)

// preempt plans preemption for a gang that could not be placed and reserves the machines for it. It
// reports whether machines were reserved.
func (s *Scheduler) preempt(j *inventory.Job) bool {
	now := s.host.Now()
	if !j.Gang || now < j.NextPreemptionAt || s.scaleOutSuffices(j) || s.machinesBootSoon(j) {
		return false
	}
	guaranteed := s.JobsWithinGuarantee()
	plan := s.planPreemption(j, guaranteed)
	if plan == nil {
		j.NextPreemptionAt = now + preemptionRetryDelay
		s.host.RequestMachines(j.Job, j.Tasks, guaranteed[j])
		return false
	}
	r := newReservation(j, plan)
	if kv.EncodedSizeBound(record.Reservation{Machines: r.machines}) > s.settings.MaxValueBytes {
		j.NextPreemptionAt = now + preemptionRetryDelay
		return false // its record exceeds the size limit of values
	}
	s.reservations[j.ID] = r
	s.logVictims(j, plan)
	s.LogPreemptionPlan(j.Job, plan)
	return true
}

// newReservation returns a reservation for the placement of a plan. It must be recorded before tasks are
// preempted.
func newReservation(j *inventory.Job, plan *sched.PreemptionPlan) *reservation {
	r := &reservation{job: j.ID, machines: map[string]int{}, need: j.Need, victims: plan.Victims}
	for _, a := range plan.Placement {
		r.machines[a.Machine.Name] = a.Count
	}
	return r
}

// logVictims logs the victims of a preemption plan. The key safe is set for surplus tasks, which may be
// stopped one by one; the tasks of any other victim are stopped together.
func (s *Scheduler) logVictims(j *inventory.Job, plan *sched.PreemptionPlan) {
	for _, b := range plan.Victims {
		s.log.Info("preemption victim", "job", b.Victim.Job, "team", b.Victim.Team, "safe", b.Safe, "tasks", len(b.Tasks), "preemptor", j.ID)
	}
}

// LogPreemptionPlan logs a preemption plan for a job, with further keys of the caller.
func (s *Scheduler) LogPreemptionPlan(job *sched.Job, plan *sched.PreemptionPlan, args ...any) {
	stops := 0
	for _, b := range plan.Victims {
		stops += len(b.Tasks)
	}
	common := []any{
		"job", job.ID, "class", job.Class, "mode", plan.Mode.String(), "domain", plan.Domain,
		"machines", len(plan.Placement), "stops", stops,
	}
	s.log.Info("preemption planned", append(common, args...)...)
}

// planPreemption plans which tasks are stopped for a gang: tasks of its own team or, if there is no such
// plan and its team's guaranteed quota covers the gang, tasks of teams that use more than their
// guaranteed quotas. It returns nil if there is no acceptable plan.
func (s *Scheduler) planPreemption(j *inventory.Job, guaranteed map[*inventory.Job]bool) *sched.PreemptionPlan {
	machines := s.preemptionView()
	plan := s.planForMode(j.Job, machines, sched.Preempt, guaranteed)
	if plan == nil && guaranteed[j] {
		plan = s.planForMode(j.Job, machines, sched.Reclaim, guaranteed)
	}
	return plan
}

// PlanReclaim plans which tasks of teams that use more than their guaranteed quotas are stopped for
// a job of another owner. It returns nil if there is no acceptable plan.
func (s *Scheduler) PlanReclaim(job *sched.Job) *sched.PreemptionPlan {
	return s.planForMode(job, s.preemptionView(), sched.Reclaim, s.JobsWithinGuarantee())
}

// planForMode returns a preemption plan of a mode, or nil if there is none.
func (s *Scheduler) planForMode(j *sched.Job, machines []*sched.Machine, mode sched.PreemptionMode, guaranteed map[*inventory.Job]bool) *sched.PreemptionPlan {
	victims := s.victims(j, mode, guaranteed)
	if len(victims) == 0 {
		return nil
	}
	tuning := &s.settings.Tuning
	rules := sched.PreemptionRules{Mode: mode, ROIThreshold: tuning.ROIThreshold, Teams: map[string]sched.TeamUsage{}}
	for name, t := range s.inventory.Teams {
		rules.Teams[name] = Usage(t)
	}
	domains := sched.Domains(j, machines, victims, tuning.MaxDomains)
	return sched.PlanPreemption(j, domains, victims, rules)
}

// scaleOutSuffices reports whether a machine requested from the cloud now would be ready before the
// start target of a gang, so that no tasks need to be preempted.
func (s *Scheduler) scaleOutSuffices(j *inventory.Job) bool {
	market, left := s.host.Market(), s.startTarget(j)-(s.host.WallClock()-j.ReadyAt)
	for _, t := range market.Types {
		if t.Boot > left || !j.Need.Fits(t.Size) {
			continue
		}
		for _, zone := range t.Zones {
			if market.CanScaleOut(j.Job, t.Name, zone) {
				return true
			}
		}
	}
	return false
}

// startTarget returns how long a gang may wait until it starts: the wait-time SLO of its class, or the
// reservation timeout if there is none.
func (s *Scheduler) startTarget(j *inventory.Job) micros.Micros {
	limit := s.settings.Tuning.ReservationTimeout
	for _, slo := range s.settings.SLOs {
		if slo.Kind == config.SLOWaitTime && slo.Class == j.Class {
			limit = slo.Threshold
		}
	}
	return limit
}

// machinesBootSoon reports whether a gang and the waiting gangs of its class that precede it in the
// queue fit on machines that will have booted soon.
func (s *Scheduler) machinesBootSoon(j *inventory.Job) bool {
	slots := s.bootingSlots(j)
	for _, other := range s.inventory.Queue {
		if !other.Gang || other.GangState != inventory.GangNone || other.Class != j.Class || s.HasReservation(other.ID) {
			continue
		}
		slots -= other.Tasks
		if other == j {
			return slots >= 0
		}
	}
	return false
}

// bootingSlots returns how many tasks of a gang fit on machines that will have booted soon.
func (s *Scheduler) bootingSlots(j *inventory.Job) int {
	slots, wallClock := 0, s.host.WallClock()
	for _, m := range s.inventory.SortedMachines {
		if m.State != inventory.MachineBooting {
			continue
		}
		t := s.machines.FindType(m.Type)
		if t == nil || !j.Allows(m.Type, m.Zone, m.Spot) {
			continue
		}
		if wallClock-m.ProvisionedAt+maxBootTimeToWait > t.Boot {
			slots += j.Need.Count(t.Size, j.Tasks)
		}
	}
	return slots
}

// preemptionView returns the machine view in which the resources of tasks that end soon are free.
func (s *Scheduler) preemptionView() []*sched.Machine {
	view, now := s.machineView(), s.host.Now()
	for _, v := range view {
		for _, a := range s.inventory.Machines[v.Name].Attempts {
			// Released resources are free in the view already. If they were counted twice, a
			// reservation could wait forever for resources that another gang has just used.
			if !a.ResourcesReleased && endsSoon(a, now) {
				v.Free = v.Free.Add(a.Job.Need)
			}
		}
	}
	return view
}
