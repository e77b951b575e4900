package scheduler

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// MinRemainingForPreemption is the remaining run time below which a task is not stopped, since
// stopping it would not free its resources earlier.
const MinRemainingForPreemption = 3 * micros.Second

// endsSoon reports whether the resources of an attempt will be free soon without preemption.
func endsSoon(a *inventory.Attempt, now micros.Micros) bool {
	leaving := a.State == inventory.AttemptStopping || a.State == inventory.AttemptCompleted || a.State == inventory.AttemptRemoving
	if leaving {
		return true
	}
	if a.RunningSince == 0 || a.Job.Gang {
		return false
	}
	ran := now - a.RunningSince
	return a.Job.Estimate-ran < MinRemainingForPreemption && ran < a.Job.Estimate+MinRemainingForPreemption
}

// victims returns the jobs whose tasks may be preempted for j, with these tasks.
func (s *Scheduler) victims(j *sched.Job, mode sched.PreemptionMode, guaranteed map[*inventory.Job]bool) []*sched.Victim {
	now := s.host.Now()
	var list []*sched.Victim
	for _, id := range ordered.Keys(s.inventory.Jobs) {
		candidate := s.inventory.Jobs[id]
		if candidate.Job == j || !mayPreempt(candidate, j, mode, guaranteed) || s.HasReservation(id) {
			continue
		}
		if victim := newVictim(candidate, now); victim.ReadyTasks > 0 {
			list = append(list, victim)
		}
	}
	return list
}

// mayPreempt reports whether tasks of a candidate may be preempted for j. Jobs of another team that its
// guaranteed quota covers are not reclaimed; only later jobs of that team exceed the quota.
func mayPreempt(candidate *inventory.Job, j *sched.Job, mode sched.PreemptionMode, guaranteed map[*inventory.Job]bool) bool {
	if candidate.State != inventory.JobActive || candidate.GangState == inventory.GangStopping || candidate.GangState == inventory.GangPlacing {
		return false
	}
	sameTeam := candidate.Team == j.Team
	switch mode {
	case sched.Preempt:
		return sameTeam && candidate.Priority < j.Priority
	case sched.Reclaim:
		return !sameTeam && !guaranteed[candidate]
	}
	return true
}

// newVictim describes the tasks of a job that may be preempted.
func newVictim(j *inventory.Job, now micros.Micros) *sched.Victim {
	victim := &sched.Victim{Job: j.ID, Team: j.Team, Priority: j.Priority}
	if j.Gang {
		victim.MinTasks = j.Tasks
	}
	for _, a := range j.SortedAttempts() {
		if endsSoon(a, now) || a.State == inventory.AttemptAssumed {
			continue
		}
		victim.ReadyTasks++
		victim.TotalResources = victim.TotalResources.Add(j.Need)
		victim.LatestPlacedAt = max(victim.LatestPlacedAt, a.PlacedAt)
		victim.Tasks = append(victim.Tasks, sched.VictimTask{
			Index: a.Index, Machine: a.Machine.Name, Resources: j.Need, PlacedAt: a.PlacedAt, LostWork: lostWork(a, now),
		})
	}
	return victim
}

// lostWork returns the CPU seconds that stopping an attempt costs: the time for saving a
// checkpoint or, for a job without checkpoints, the whole run time so far.
func lostWork(a *inventory.Attempt, now micros.Micros) float64 {
	lost := a.Job.CheckpointDuration
	if a.Job.CheckpointInterval == 0 && a.RunningSince != 0 {
		lost = now - a.RunningSince
	}
	return a.Job.Need.CPUs() * lost.Seconds()
}

// PreemptionReason returns the reason with which victims of a job are stopped.
func PreemptionReason(job string) string { return "preempted for " + job }

// EvictVictims starts to stop the victims of a preemption plan: those tasks that are still on the machines
// on which they were when the plan was made.
func (s *Scheduler) EvictVictims(bundles []sched.Bundle, reason string) {
	for _, b := range bundles {
		v := s.inventory.Jobs[b.Victim.Job]
		if v == nil || v.State != inventory.JobActive {
			continue
		}
		for _, t := range b.Tasks {
			if a := v.Attempts[t.Index]; a != nil && a.Machine.Name == t.Machine {
				s.host.Evict(a, reason)
			}
		}
	}
}
