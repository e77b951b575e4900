package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// reasonReclaimed is the reason for which the cloud's notice drains a spot machine and evicts
// attempts.
const reasonReclaimed = "spot machine is reclaimed"

// reclaimMargin is the part of the time until a machine is reclaimed in which no task is expected
// to complete any more.
const reclaimMargin = micros.Second

// Evict stops an attempt with a grace period for a checkpoint; of a gang, all attempts.
func (w *Manager) Evict(a *inventory.Attempt, reason string) {
	gracePeriod := micros.Micros(0)
	if a.Job.CheckpointInterval > 0 {
		gracePeriod = a.Job.CheckpointDuration + micros.Second
	}
	if a.Job.Gang {
		w.inventory.StopJob(a.Job, gracePeriod, reason)
		return
	}
	w.inventory.StopAttempt(a, gracePeriod, reason)
}

// handleReclaimNotice handles the cloud's notice that it reclaims a spot machine.
func (w *Manager) handleReclaimNotice(m *inventory.Machine, timeLeft micros.Micros) {
	first := m.ReclaimAt == 0
	m.ReclaimAt = w.host.Now() + timeLeft
	if m.State == inventory.MachineReady || m.State == inventory.MachineTransferring {
		w.inventory.SetMachineState(m, inventory.MachineDraining, reasonReclaimed)
	}
	if !first {
		return
	}
	w.host.RecordSpotReclaimed(m)
	for _, a := range m.SortedAttempts() {
		if !w.keepsRunningUntilReclaim(a, timeLeft) {
			w.Evict(a, reasonReclaimed)
		}
	}
}

// keepsRunningUntilReclaim reports whether an attempt keeps running on a machine that is reclaimed after
// the given time. One that is not expected to complete is evicted at once: it is checkpointed if
// possible and restarts elsewhere earlier. But one without checkpoints that has run for at least
// that time keeps running, since it may complete earlier than estimated and would lose much.
func (w *Manager) keepsRunningUntilReclaim(a *inventory.Attempt, timeLeft micros.Micros) bool {
	unsavedProgress := micros.Micros(0)
	if a.RunningSince != 0 && a.Job.CheckpointInterval == 0 {
		unsavedProgress = w.host.Now() - a.RunningSince
	}
	return w.RemainingRunTime(a) <= timeLeft-reclaimMargin || unsavedProgress >= timeLeft
}

// RemainingRunTime estimates how long an attempt will still run.
func (w *Manager) RemainingRunTime(a *inventory.Attempt) micros.Micros {
	total := w.host.EstimatedRunTime(a.Job)
	if a.RunningSince == 0 {
		return total
	}
	elapsed := w.host.Now() - a.RunningSince
	return max(total-elapsed, elapsed/4, micros.Second)
}
