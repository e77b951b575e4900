package scheduler

import (
	"math"

	"tamarindlead/internal/inventory"

	"tamarindlead/sched"
)

// assume gives tasks their places, which take effect once they are recorded.
func (s *Scheduler) assume(j *inventory.Job, got []sched.Assignment) {
	if len(got) == 0 {
		return
	}
	number := s.host.NextNumber()
	if j.Gang {
		s.inventory.SetGangState(j, inventory.GangPlacing)
	}
	for _, as := range got {
		m := s.inventory.Machines[as.Machine.Name]
		for n := 0; n < as.Count; n++ {
			for j.TaskState(j.FirstPending) != inventory.TaskPending {
				j.FirstPending++
			}
			s.inventory.AddAttempt(j, j.FirstPending, number, m, inventory.AttemptAssumed)
		}
		s.host.EntryChanged(m)
		as.Machine.Free = as.Machine.Free.Sub(j.Need.Times(as.Count))
		as.Machine.Slots -= as.Count
		as.Machine.Idle = false
		as.Machine.Images = m.CachedImages
	}
}

// handleAttemptRecorded handles a proposed attempt whose record was written.
func (s *Scheduler) HandleAttemptRecorded(a *inventory.Attempt) {
	if a.State != inventory.AttemptAssumed {
		return
	}
	s.inventory.SetAttemptState(a, inventory.AttemptRecorded)
	j := a.Job
	j.EverPlaced = j.EverPlaced || !j.Gang
	s.host.CommandsNeeded(a.Machine)
	if j.State != inventory.JobActive {
		s.inventory.StopAttempt(a, 0, "job is over")
		return
	}
	if !j.Gang || j.GangState != inventory.GangPlacing {
		return
	}
	for _, b := range j.Attempts {
		if b.State == inventory.AttemptAssumed {
			return
		}
	}
	s.inventory.SetGangState(j, inventory.GangStarting)
	j.EverPlaced = true
	s.log.Info("gang placed", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "ordinary", j.MinOnDemandTasks,
		"since_accepted_s", math.Round((s.host.WallClock() - j.ReadyAt).Seconds()))
	for _, b := range j.Attempts {
		s.host.CommandsNeeded(b.Machine)
	}
}
