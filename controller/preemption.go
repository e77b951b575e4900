package controller

import (
	"cmp"
	"slices"

	"tamarindlead/config"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file looks for work to stop for gangs that find no room.

const (
	// minRemainingForPreemption is the remaining time below which a task is not stopped but waited for: a
	// stop would not be faster.
	minRemainingForPreemption = 3 * micros.Second
	// maxBootTimeToWait is the boot time left for which nothing is stopped.
	maxBootTimeToWait = 12 * micros.Second
	// preemptionRetryDelay is the pause after no room was found.
	preemptionRetryDelay = 4 * micros.Second
)

// preempt looks for work to stop for a gang that does not fit, and holds the machines.
func (o *owner) preempt(j *job) bool {
	if !j.Gang || o.c.now < j.nextPreemptionAt || o.scaleOutSuffices(j) || o.capacityComesSoon(j) {
		return false
	}
	covered := o.jobsWithinGuarantee()
	plan := o.planPreemption(j, covered)
	if plan == nil {
		j.nextPreemptionAt = o.c.now + preemptionRetryDelay
		o.requestMachines(j.Job, j.Tasks, covered[j])
		return false
	}
	h := newReservation(j, plan)
	if kv.EncodedSizeBound(record.Reservation{Machines: h.machines}) > o.c.cfg.MaxValueBytes {
		j.nextPreemptionAt = o.c.now + preemptionRetryDelay
		return false // it could never be recorded
	}
	o.reservations[j.ID] = h
	o.logPreemptionPlan(j, plan)
	return true
}

// planPreemption looks for work to stop: of the gang's own team, else of teams that use more than
// their guarantees if the gang is covered by its team's.
func (o *owner) planPreemption(j *job, covered map[*job]bool) *sched.PreemptionPlan {
	machines := o.preemptionView()
	plan := o.preemptionPlan(j.Job, machines, sched.Preempt, covered)
	if plan == nil && covered[j] {
		plan = o.preemptionPlan(j.Job, machines, sched.Reclaim, covered)
	}
	return plan
}

// newReservation returns a hold for the places of a plan, not recorded yet.
func newReservation(j *job, plan *sched.PreemptionPlan) *reservation {
	h := &reservation{job: j.ID, machines: map[string]int{}, need: j.Need, victims: plan.Victims}
	for _, a := range plan.Placement {
		h.machines[a.Machine.Name] = a.Count
	}
	return h
}

func (o *owner) logPreemptionPlan(j *job, plan *sched.PreemptionPlan) {
	stops := 0
	for _, b := range plan.Victims {
		stops += len(b.Tasks)
		o.c.log.Info("victim", "job", b.Victim.Job, "team", b.Victim.Team, "safe", b.Safe, "tasks", len(b.Tasks), "for", j.ID)
	}
	o.c.log.Info("making room", "job", j.ID, "class", j.Class, "ground", plan.Mode.String(), "domain", plan.Domain,
		"machines", len(plan.Placement), "stops", stops)
}

// preemptionPlan looks for victims on a ground and for the cheapest set of them.
func (o *owner) preemptionPlan(j *sched.Job, machines []*sched.Machine, mode sched.PreemptionMode, covered map[*job]bool) *sched.PreemptionPlan {
	victims := o.victims(j, mode, covered)
	if len(victims) == 0 {
		return nil
	}
	rules := sched.PreemptionRules{Mode: mode, ROIThreshold: o.c.cfg.Tuning.ROIThreshold, Teams: map[string]sched.TeamUsage{}}
	for name, t := range o.teams {
		rules.Teams[name] = o.teamUsage(t)
	}
	domains := sched.Domains(j, machines, victims, o.c.cfg.Tuning.MaxDomains)
	return sched.PlanPreemption(j, domains, victims, rules)
}

// teamUsage is what a team uses and will go on using: what is being stopped already must
// not be counted as surplus once more.
func (o *owner) teamUsage(t *team) sched.TeamUsage {
	return sched.TeamUsage{Used: t.used.Sub(t.stopping), GuaranteedQuota: t.GuaranteedQuota}
}

// jobsWithinGuarantee finds the jobs that their teams' guarantees cover: each team's earliest
// unfinished ones, as long as they fit together. By what a team uses at the moment, a gang
// that was just stopped for another would be covered again and take the room back; two
// teams would stop each other's gangs in turn (docs/incidents/eyjafold-third-reclaim.md).
func (o *owner) jobsWithinGuarantee() map[*job]bool {
	list := slices.Clone(o.queue)
	slices.SortStableFunc(list, func(a, b *job) int { return cmp.Compare(a.readyAt, b.readyAt) })
	covered, sums := map[*job]bool{}, map[string]sched.Resources{}
	for _, j := range list {
		t := o.teams[j.Team]
		if t == nil || j.state != jobActive || t.GuaranteedQuota.CPU == 0 && t.GuaranteedQuota.GPU == 0 {
			continue
		}
		sum := sums[j.Team].Add(j.Need.Times(j.Tasks - j.completedCount))
		sums[j.Team] = sum
		covered[j] = sum.CPU <= t.GuaranteedQuota.CPU && (sum.GPU <= t.GuaranteedQuota.GPU || j.Need.GPU == 0)
	}
	return covered
}

// scaleOutSuffices tells that a machine from the cloud would serve in time (ours): then
// nothing needs to be stopped.
func (o *owner) scaleOutSuffices(j *job) bool {
	market, left := o.market(), o.startDeadline(j)-(o.c.wallClock-j.readyAt)
	for _, t := range o.c.types.list {
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

// startDeadline is how long a gang should wait at the most.
func (o *owner) startDeadline(j *job) micros.Micros {
	limit := o.c.cfg.Tuning.ReservationTimeout
	for _, objective := range o.c.cfg.SLOs {
		if objective.Kind == config.SLOWaitTime && objective.Class == j.Class {
			limit = objective.Threshold
		}
	}
	return limit
}

// capacityComesSoon tells that a machine which boots will serve: one for each gang that waits,
// in the order of the queue.
func (o *owner) capacityComesSoon(j *job) bool {
	slots := o.bootingSlots(j)
	for _, q := range o.queue {
		if q.Gang && q.gangState == gangNone && q.Class == j.Class && o.reservations[q.ID] == nil {
			if slots -= q.Tasks; q == j {
				return slots >= 0
			}
		}
	}
	return false
}

// bootingSlots counts the tasks of a gang that there is room for on machines that will have
// booted soon.
func (o *owner) bootingSlots(j *job) int {
	slots := 0
	for _, m := range o.sortedMachines {
		t := o.c.types.find(m.machineType)
		if m.state != machineBooting || t == nil || !j.Allows(m.machineType, m.zone, m.spot) {
			continue
		}
		if o.c.wallClock-m.provisionedAt+maxBootTimeToWait > t.Boot {
			slots += j.Need.Count(t.Size, j.Tasks)
		}
	}
	return slots
}

// endsSoon tells that an attempt's room will be free without a stop.
func (o *owner) endsSoon(a *attempt) bool {
	switch a.state {
	case attemptStopping, attemptCompleted, attemptRemoving:
		return true
	}
	return a.runningSince != 0 && !a.job.Gang && a.job.Estimate-(o.c.now-a.runningSince) < minRemainingForPreemption &&
		o.c.now-a.runningSince < a.job.Estimate+minRemainingForPreemption
}

// preemptionView is the view in which room is sought: what leaves soon is gone already.
func (o *owner) preemptionView() []*sched.Machine {
	view := o.machineView()
	for _, v := range view {
		for _, a := range o.machines[v.Name].attempts {
			// What is freed is in the view already: counted twice, it would promise room that
			// another gang may just have taken, and the hold would wait for it for ever.
			if !a.resourcesReleased && o.endsSoon(a) {
				v.Free = v.Free.Add(a.job.Need)
			}
		}
	}
	return view
}

// victims lists jobs that may be stopped for j.
func (o *owner) victims(j *sched.Job, mode sched.PreemptionMode, covered map[*job]bool) []*sched.Victim {
	var list []*sched.Victim
	for _, id := range sortedKeys(o.jobs) {
		candidate := o.jobs[id]
		if candidate.Job == j || !mayPreemptFor(j, candidate, mode, covered) || o.reservations[id] != nil {
			continue
		}
		if victim := o.describeVictim(candidate); victim.ReadyTasks > 0 {
			list = append(list, victim)
		}
	}
	return list
}

// mayPreemptFor tells whether a job may be stopped for j. What another team's guarantee covers is
// not reclaimed: the part that it runs beyond is its later work.
func mayPreemptFor(j *sched.Job, candidate *job, mode sched.PreemptionMode, covered map[*job]bool) bool {
	if candidate.state != jobActive || candidate.gangState == gangStopping || candidate.gangState == gangPlacing {
		return false
	}
	sameTeam := candidate.Team == j.Team
	switch mode {
	case sched.Preempt:
		return sameTeam && candidate.Priority < j.Priority
	case sched.Reclaim:
		return !sameTeam && !covered[candidate]
	}
	return true
}

// describeVictim lists the tasks of a job that may be stopped.
func (o *owner) describeVictim(j *job) *sched.Victim {
	victim := &sched.Victim{Job: j.ID, Team: j.Team, Priority: j.Priority}
	if j.Gang {
		victim.MinTasks = j.Tasks
	}
	for _, a := range j.sortedAttempts() {
		if o.endsSoon(a) || a.state == attemptAssumed {
			continue
		}
		victim.ReadyTasks++
		victim.TotalResources = victim.TotalResources.Add(j.Need)
		victim.Since = max(victim.Since, a.placedAt)
		victim.Tasks = append(victim.Tasks, sched.VictimTask{
			Index: a.index, Machine: a.machine.name, Resources: j.Need, Since: a.placedAt, LostWork: o.preemptionCost(a),
		})
	}
	return victim
}

// preemptionCost is what a stop of an attempt undoes: all of its progress, or the time for
// saving.
func (o *owner) preemptionCost(a *attempt) float64 {
	lost := a.job.CheckpointDuration
	if a.job.CheckpointInterval == 0 && a.runningSince != 0 {
		lost = o.c.now - a.runningSince
	}
	return a.job.Need.CPUs() * lost.Seconds()
}

// preemptVictims begins the stops of a hold that is recorded.
func (o *owner) preemptVictims(h *reservation) {
	o.stopBundledAttempts(h.victims, "room for "+h.job)
	h.victims = nil
}

// stopBundledAttempts begins the stops of a plan, as far as its tasks are still where they were.
func (o *owner) stopBundledAttempts(bundles []sched.Bundle, why string) {
	for _, b := range bundles {
		v := o.jobs[b.Victim.Job]
		if v == nil || v.state != jobActive {
			continue
		}
		for _, t := range b.Tasks {
			if a := v.attempts[t.Index]; a != nil && a.machine.name == t.Machine {
				o.evict(a, why)
			}
		}
	}
}
