package inventory

import (
	"cmp"
	"slices"

	"tamarindlead/micros"
)

// SetJobState changes the state of a job. Every change goes through it, so that all are logged.
func (inv *Inventory) SetJobState(j *Job, s JobState) {
	if j.State != s {
		inv.log.Debug("job state changed", "job", j.ID, "from", j.State.String(), "to", s.String())
		j.State = s
	}
}

// SetGangState changes the state of a gang's current run. Every change goes through it, so that all
// are logged.
func (inv *Inventory) SetGangState(j *Job, s GangState) {
	if j.GangState != s {
		inv.log.Debug("gang state changed", "job", j.ID, "from", j.GangState.String(), "to", s.String())
		j.GangState = s
	}
}

// StopJob stops all attempts of a job, with a grace period for checkpoints.
func (inv *Inventory) StopJob(j *Job, gracePeriod micros.Micros, reason string) {
	if j.GangState != GangNone {
		inv.SetGangState(j, GangStopping)
	}
	for _, a := range j.SortedAttempts() {
		inv.StopAttempt(a, gracePeriod, reason)
	}
}

// QueueJob adds a job to the queue.
func (inv *Inventory) QueueJob(j *Job) {
	i, _ := slices.BinarySearchFunc(inv.Queue, j, CompareQueueOrder)
	inv.Queue = slices.Insert(inv.Queue, i, j)
}

// CompareQueueOrder compares jobs by the order in which they are placed: by priority, the highest first,
// then by the time when they became ready.
func CompareQueueOrder(a, b *Job) int {
	return cmp.Or(-cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ReadyAt, b.ReadyAt), cmp.Compare(a.ID, b.ID))
}
