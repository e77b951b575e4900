package scheduler

import (
	"math"

	"tamarindlead/internal/inventory"
	"tamarindlead/sched"
)

// assume adds attempts for assignments. The attempts take effect after they have been recorded.
func (s *Scheduler) assume(j *inventory.Job, assignments []sched.Assignment) {
	if len(assignments) == 0 {
		return
	}
	number := s.host.NextNumber()
	if j.Gang {
		s.inventory.SetGangState(j, inventory.GangPlacing)
	}
	for _, assignment := range assignments {
		m, v := s.inventory.Machines[assignment.Machine.Name], assignment.Machine
		for range assignment.Count {
			for j.TaskState(j.FirstPending) != inventory.TaskPending {
				j.FirstPending++
			}
			s.inventory.AddAttempt(j, j.FirstPending, number, m, inventory.AttemptAssumed)
		}
		s.host.EntryChanged(m)
		v.Free = v.Free.Sub(j.Need.Times(assignment.Count))
		v.Slots -= assignment.Count
		v.Idle = false
		v.Images = m.CachedImages
	}
}

// HandleAttemptRecorded handles an assumed attempt whose record was written. Its task may be started;
// the tasks of a gang may be started after all attempts of the gang have been recorded.
func (s *Scheduler) HandleAttemptRecorded(a *inventory.Attempt) {
	if a.State != inventory.AttemptAssumed {
		return
	}
	s.inventory.SetAttemptState(a, inventory.AttemptRecorded)
	j := a.Job
	j.EverPlaced = j.EverPlaced || !j.Gang
	s.host.CommandsNeeded(a.Machine)
	if j.State != inventory.JobActive {
		s.inventory.StopAttempt(a, 0, inventory.ReasonJobEnded)
		return
	}
	if j.Gang && j.GangState == inventory.GangPlacing && j.Assumed == 0 {
		s.startGang(j)
	}
}

// startGang starts a gang whose attempts have all been recorded.
func (s *Scheduler) startGang(j *inventory.Job) {
	s.inventory.SetGangState(j, inventory.GangStarting)
	j.EverPlaced = true
	s.log.Info("gang placed", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "min_on_demand", j.MinOnDemandTasks,
		"queued_s", math.Round((s.host.WallClock() - j.ReadyAt).Seconds()))
	for _, a := range j.SortedAttempts() {
		s.host.CommandsNeeded(a.Machine)
	}
}
