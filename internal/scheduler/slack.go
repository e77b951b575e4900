package scheduler

import (
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file sees to it that gangs find machines: how many of a gang may be spot machines,
// which machines are kept ready for gangs that come, and what gangs leave of the machines
// that they use. Which machines are reserved for gangs that wait is in gang_reservations.go.

// gangStarvationAfter is how long a gang that waits lets gangs that came later pass.
const gangStarvationAfter = 40 * micros.Second

// waitsTooLong tells that a job has waited for longer than gangs let later ones pass.
func (s *Scheduler) waitsTooLong(j *inventory.Job) bool {
	return s.host.WallClock()-j.ReadyAt > gangStarvationAfter
}

// recordSpotUptime counts the time that spot machines are up.
func (s *Scheduler) RecordSpotUptime(elapsed micros.Micros) {
	for _, m := range s.inventory.SortedMachines {
		if m.Spot && (m.State == inventory.MachineReady || m.State == inventory.MachineDraining) {
			s.spotRisk.RecordUptime(elapsed)
		}
	}
}

// recordSpotReclaimed counts a spot machine that the cloud took.
func (s *Scheduler) RecordSpotReclaimed(m *inventory.Machine) {
	if m.Spot && !m.SpotReclaimed {
		m.SpotReclaimed = true
		s.spotRisk.RecordLoss()
	}
}

// minOnDemandTasks tells how many tasks of a gang must not be on spot machines. A gang that waits
// for long takes as many spot machines as make good progress.
func (s *Scheduler) MinOnDemandTasks(j *inventory.Job) int {
	if !j.Spot {
		return j.Tasks
	}
	catalog := s.host.Catalog()
	mix := autoscaler.GangMix{
		Tasks:         j.Tasks,
		SpotPrice:     catalog.LowestPrice(j.Job, true),
		OnDemandPrice: catalog.LowestPrice(j.Job, false),
		Estimate:      s.EstimatedRunTime(j),
		Checkpoint:    j.CheckpointInterval,
		Recovery:      catalog.BootTime(j.Job),
		LossPerSecond: s.spotRisk.PerSecond(s.settings.Tuning.SpotLossesPerHour),
		MaxSpot:       s.waitsTooLong(j),
	}
	return mix.OnDemandTasks()
}

// dependsOnMachineType tells that a class of jobs fits one machine type only.
func (s *Scheduler) dependsOnMachineType(j *inventory.Job) bool { return s.classes.SingleType(j.Class) }

// hasNoDependentTasks tells that no job which depends on the machine's type has tasks on it.
func (s *Scheduler) HasNoDependentTasks(m *inventory.Machine) bool {
	for _, a := range m.Attempts {
		if !a.ResourcesReleased && s.dependsOnMachineType(a.Job) {
			return false
		}
	}
	return true
}

// addSlack adds to the view what gangs leave on the machines that they use: the part that
// no other task of theirs could use is paid for in any case, so short work goes there
// first, and it never stands in a gang's way.
func (s *Scheduler) addSlack(view []*sched.Machine) []*sched.Machine {
	needs := s.classes.LargestSingleTypeNeeds(s.host.Now())
	if len(needs) == 0 {
		return view
	}
	for _, v := range view {
		need, ok := needs[v.Type]
		if !ok || !v.Scarce || v.Slots <= 0 || v.Free.CPU <= 0 {
			continue
		}
		left, ok := s.slackLeft(s.inventory.Machines[v.Name], v, need)
		if !ok {
			continue
		}
		view = append(view, splitSlack(v, left))
	}
	return view
}

// slackLeft is what gangs that need so much for a task leave of a machine that they use, as
// far as it is free, and whether there is any.
func (s *Scheduler) slackLeft(m *inventory.Machine, v *sched.Machine, need sched.Resources) (sched.Resources, bool) {
	left := m.Slack(need)
	if left.CPU <= 0 || s.HasNoDependentTasks(m) || s.IsReserved(v.Name) {
		return sched.Resources{}, false
	}
	for _, a := range m.Attempts {
		if !a.ResourcesReleased && !s.dependsOnMachineType(a.Job) {
			left = left.Sub(a.Job.Need)
		}
	}
	left = sched.Resources{CPU: min(left.CPU, v.Free.CPU), GPU: min(left.GPU, v.Free.GPU), Mem: min(left.Mem, v.Free.Mem)}
	return left, left.CPU > 0 && left.Mem >= 0 && left.GPU >= 0
}

// splitSlack takes a part off a machine in the view, which only short work uses.
func splitSlack(v *sched.Machine, left sched.Resources) *sched.Machine {
	part := *v
	part.Free, part.Slack, part.Scarce, part.ReservedForGangs, part.ReservedForJob, part.Price = left, true, false, false, "", 0
	part.Slots = v.Slots / 2
	v.Free, v.Slots = v.Free.Sub(left), v.Slots-part.Slots
	return &part
}
