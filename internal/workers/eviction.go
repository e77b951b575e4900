package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// reasonReclaimed is the reason for draining a spot machine and evicting its attempts after the cloud's
// preemption notice.
const reasonReclaimed = "spot machine is reclaimed"

// reclaimMargin is the safety margin before a machine is reclaimed: an attempt counts as able to complete
// on the machine only if it is expected to complete at least this long before the reclaim.
const reclaimMargin = micros.Second

// Evict stops an attempt, or all attempts if the job is a gang, with a grace period for a checkpoint if
// the job has checkpoints.
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

// handleReclaimNotice handles the cloud's preemption notice for a spot machine.
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
// the given time. An attempt that is not expected to complete by then is evicted immediately, so that
// it is checkpointed if possible and restarts earlier on another machine. An attempt without
// checkpoints that has run for at least that time keeps running in any case, since it would lose all
// its progress and may complete earlier than estimated.
func (w *Manager) keepsRunningUntilReclaim(a *inventory.Attempt, timeLeft micros.Micros) bool {
	unsavedProgress := micros.Micros(0)
	if a.RunningSince != 0 && a.Job.CheckpointInterval == 0 {
		unsavedProgress = w.host.Now() - a.RunningSince
	}
	return w.RemainingRunTime(a) <= timeLeft-reclaimMargin || unsavedProgress >= timeLeft
}

// RemainingRunTime estimates the remaining run time of an attempt. For an attempt that is running, it
// is the rest of the job's estimate, but at least a quarter of the time for which the attempt has run,
// and at least a second.
func (w *Manager) RemainingRunTime(a *inventory.Attempt) micros.Micros {
	total := w.host.EstimatedRunTime(a.Job)
	if a.RunningSince == 0 {
		return total
	}
	elapsed := w.host.Now() - a.RunningSince
	return max(total-elapsed, elapsed/4, micros.Second)
}
