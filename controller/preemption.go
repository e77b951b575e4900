package controller

import (
	"cmp"
	"slices"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"

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
func (o *owner) preempt(j *inventory.Job) bool {
	if !j.Gang || o.c.now < j.NextPreemptionAt || o.scaleOutSuffices(j) || o.capacityComesSoon(j) {
		return false
	}
	covered := o.jobsWithinGuarantee()
	plan := o.planPreemption(j, covered)
	if plan == nil {
		j.NextPreemptionAt = o.c.now + preemptionRetryDelay
		o.requestMachines(j.Job, j.Tasks, covered[j])
		return false
	}
	h := newReservation(j, plan)
	if kv.EncodedSizeBound(record.Reservation{Machines: h.machines}) > o.c.cfg.MaxValueBytes {
		j.NextPreemptionAt = o.c.now + preemptionRetryDelay
		return false // it could never be recorded
	}
	o.reservations[j.ID] = h
	o.logPreemptionPlan(j, plan)
	return true
}

// planPreemption looks for work to stop: of the gang's own team, else of teams that use more than
// their guarantees if the gang is covered by its team's.
func (o *owner) planPreemption(j *inventory.Job, covered map[*inventory.Job]bool) *sched.PreemptionPlan {
	machines := o.preemptionView()
	plan := o.preemptionPlan(j.Job, machines, sched.Preempt, covered)
	if plan == nil && covered[j] {
		plan = o.preemptionPlan(j.Job, machines, sched.Reclaim, covered)
	}
	return plan
}

// newReservation returns a hold for the places of a plan, not recorded yet.
func newReservation(j *inventory.Job, plan *sched.PreemptionPlan) *reservation {
	h := &reservation{job: j.ID, machines: map[string]int{}, need: j.Need, victims: plan.Victims}
	for _, a := range plan.Placement {
		h.machines[a.Machine.Name] = a.Count
	}
	return h
}

func (o *owner) logPreemptionPlan(j *inventory.Job, plan *sched.PreemptionPlan) {
	stops := 0
	for _, b := range plan.Victims {
		stops += len(b.Tasks)
		o.c.log.Info("victim", "job", b.Victim.Job, "team", b.Victim.Team, "safe", b.Safe, "tasks", len(b.Tasks), "for", j.ID)
	}
	o.c.log.Info("making room", "job", j.ID, "class", j.Class, "ground", plan.Mode.String(), "domain", plan.Domain,
		"machines", len(plan.Placement), "stops", stops)
}

// preemptionPlan looks for victims on a ground and for the cheapest set of them.
func (o *owner) preemptionPlan(j *sched.Job, machines []*sched.Machine, mode sched.PreemptionMode, covered map[*inventory.Job]bool) *sched.PreemptionPlan {
	victims := o.victims(j, mode, covered)
	if len(victims) == 0 {
		return nil
	}
	rules := sched.PreemptionRules{Mode: mode, ROIThreshold: o.c.cfg.Tuning.ROIThreshold, Teams: map[string]sched.TeamUsage{}}
	for name, t := range o.Teams {
		rules.Teams[name] = o.teamUsage(t)
	}
	domains := sched.Domains(j, machines, victims, o.c.cfg.Tuning.MaxDomains)
	return sched.PlanPreemption(j, domains, victims, rules)
}

// teamUsage is what a team uses and will go on using: what is being stopped already must
// not be counted as surplus once more.
func (o *owner) teamUsage(t *inventory.Team) sched.TeamUsage {
	return sched.TeamUsage{Used: t.Used.Sub(t.Stopping), GuaranteedQuota: t.GuaranteedQuota}
}

// jobsWithinGuarantee finds the jobs that their teams' guarantees cover: each team's earliest
// unfinished ones, as long as they fit together. By what a team uses at the moment, a gang
// that was just stopped for another would be covered again and take the room back; two
// teams would stop each other's gangs in turn (docs/incidents/eyjafold-third-reclaim.md).
func (o *owner) jobsWithinGuarantee() map[*inventory.Job]bool {
	list := slices.Clone(o.Queue)
	slices.SortStableFunc(list, func(a, b *inventory.Job) int { return cmp.Compare(a.ReadyAt, b.ReadyAt) })
	covered, sums := map[*inventory.Job]bool{}, map[string]sched.Resources{}
	for _, j := range list {
		t := o.Teams[j.Team]
		if t == nil || j.State != inventory.JobActive || t.GuaranteedQuota.CPU == 0 && t.GuaranteedQuota.GPU == 0 {
			continue
		}
		sum := sums[j.Team].Add(j.Need.Times(j.Tasks - j.CompletedCount))
		sums[j.Team] = sum
		covered[j] = sum.CPU <= t.GuaranteedQuota.CPU && (sum.GPU <= t.GuaranteedQuota.GPU || j.Need.GPU == 0)
	}
	return covered
}

// scaleOutSuffices tells that a machine from the cloud would serve in time (ours): then
// nothing needs to be stopped.
func (o *owner) scaleOutSuffices(j *inventory.Job) bool {
	market, left := o.market(), o.startDeadline(j)-(o.c.wallClock-j.ReadyAt)
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
func (o *owner) startDeadline(j *inventory.Job) micros.Micros {
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
func (o *owner) capacityComesSoon(j *inventory.Job) bool {
	slots := o.bootingSlots(j)
	for _, q := range o.Queue {
		if q.Gang && q.GangState == inventory.GangNone && q.Class == j.Class && o.reservations[q.ID] == nil {
			if slots -= q.Tasks; q == j {
				return slots >= 0
			}
		}
	}
	return false
}

// bootingSlots counts the tasks of a gang that there is room for on machines that will have
// booted soon.
func (o *owner) bootingSlots(j *inventory.Job) int {
	slots := 0
	for _, m := range o.SortedMachines {
		t := o.c.types.find(m.Type)
		if m.State != inventory.MachineBooting || t == nil || !j.Allows(m.Type, m.Zone, m.Spot) {
			continue
		}
		if o.c.wallClock-m.ProvisionedAt+maxBootTimeToWait > t.Boot {
			slots += j.Need.Count(t.Size, j.Tasks)
		}
	}
	return slots
}

// endsSoon tells that an attempt's room will be free without a stop.
func (o *owner) endsSoon(a *inventory.Attempt) bool {
	switch a.State {
	case inventory.AttemptStopping, inventory.AttemptCompleted, inventory.AttemptRemoving:
		return true
	default: // nothing follows in the other states
	}
	return a.RunningSince != 0 && !a.Job.Gang && a.Job.Estimate-(o.c.now-a.RunningSince) < minRemainingForPreemption &&
		o.c.now-a.RunningSince < a.Job.Estimate+minRemainingForPreemption
}

// preemptionView is the view in which room is sought: what leaves soon is gone already.
func (o *owner) preemptionView() []*sched.Machine {
	view := o.machineView()
	for _, v := range view {
		for _, a := range o.Machines[v.Name].Attempts {
			// What is freed is in the view already: counted twice, it would promise room that
			// another gang may just have taken, and the hold would wait for it for ever.
			if !a.ResourcesReleased && o.endsSoon(a) {
				v.Free = v.Free.Add(a.Job.Need)
			}
		}
	}
	return view
}

// victims lists jobs that may be stopped for j.
func (o *owner) victims(j *sched.Job, mode sched.PreemptionMode, covered map[*inventory.Job]bool) []*sched.Victim {
	var list []*sched.Victim
	for _, id := range ordered.Keys(o.Jobs) {
		candidate := o.Jobs[id]
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
func mayPreemptFor(j *sched.Job, candidate *inventory.Job, mode sched.PreemptionMode, covered map[*inventory.Job]bool) bool {
	if candidate.State != inventory.JobActive || candidate.GangState == inventory.GangStopping || candidate.GangState == inventory.GangPlacing {
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
func (o *owner) describeVictim(j *inventory.Job) *sched.Victim {
	victim := &sched.Victim{Job: j.ID, Team: j.Team, Priority: j.Priority}
	if j.Gang {
		victim.MinTasks = j.Tasks
	}
	for _, a := range j.SortedAttempts() {
		if o.endsSoon(a) || a.State == inventory.AttemptAssumed {
			continue
		}
		victim.ReadyTasks++
		victim.TotalResources = victim.TotalResources.Add(j.Need)
		victim.Since = max(victim.Since, a.PlacedAt)
		victim.Tasks = append(victim.Tasks, sched.VictimTask{
			Index: a.Index, Machine: a.Machine.Name, Resources: j.Need, Since: a.PlacedAt, LostWork: o.preemptionCost(a),
		})
	}
	return victim
}

// preemptionCost is what a stop of an attempt undoes: all of its progress, or the time for
// saving.
func (o *owner) preemptionCost(a *inventory.Attempt) float64 {
	lost := a.Job.CheckpointDuration
	if a.Job.CheckpointInterval == 0 && a.RunningSince != 0 {
		lost = o.c.now - a.RunningSince
	}
	return a.Job.Need.CPUs() * lost.Seconds()
}

// preemptVictims begins the stops of a hold that is recorded.
func (o *owner) preemptVictims(h *reservation) {
	o.stopBundledAttempts(h.victims, "room for "+h.job)
	h.victims = nil
}

// stopBundledAttempts begins the stops of a plan, as far as its tasks are still where they were.
func (o *owner) stopBundledAttempts(bundles []sched.Bundle, why string) {
	for _, b := range bundles {
		v := o.Jobs[b.Victim.Job]
		if v == nil || v.State != inventory.JobActive {
			continue
		}
		for _, t := range b.Tasks {
			if a := v.Attempts[t.Index]; a != nil && a.Machine.Name == t.Machine {
				o.evict(a, why)
			}
		}
	}
}
