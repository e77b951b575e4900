package controller

import (
	"math"

	"tamarindlead/internal/inventory"

	"tamarindlead/sched"
)

// assume gives tasks their places, which take effect once they are recorded.
func (o *owner) assume(j *inventory.Job, got []sched.Assignment) {
	if len(got) == 0 {
		return
	}
	number := o.nextNumber()
	if j.Gang {
		o.SetGangState(j, inventory.GangPlacing)
	}
	for _, as := range got {
		m := o.Machines[as.Machine.Name]
		for n := 0; n < as.Count; n++ {
			for j.TaskState(j.FirstPending) != inventory.TaskPending {
				j.FirstPending++
			}
			o.AddAttempt(j, j.FirstPending, number, m, inventory.AttemptAssumed)
		}
		o.markDirty(m)
		as.Machine.Free = as.Machine.Free.Sub(j.Need.Times(as.Count))
		as.Machine.Slots -= as.Count
		as.Machine.Idle = false
		as.Machine.Images = m.CachedImages
	}
}

// Numbers of attempts, rentals, blocks and shards are unique for ever: the revision of this
// node's member record, then a count. The count goes on when all records are read again.
const (
	// sequenceBits is the width of the count.
	sequenceBits = 20
	// maxSequence is the largest count.
	maxSequence = 1<<sequenceBits - 1
	// sequenceMargin is how many numbers are left when a new member record is written. A pass
	// takes a number for each job at most, and passes are a few a second.
	sequenceMargin = 1 << 16
)

// numberGenerator gives out the counts of numbers.
type numberGenerator struct {
	revision uint64 // of the member record with which the count began
	sequence uint64
}

// next returns a number that nobody has given out before.
func (n *numberGenerator) next(revision uint64) uint64 {
	if n.revision != revision {
		n.revision, n.sequence = revision, 0
	}
	n.sequence++
	return n.revision<<sequenceBits | n.sequence
}

// nearlyExhausted tells that the counts for a revision are about to be used up.
func (n *numberGenerator) nearlyExhausted(revision uint64) bool {
	return n.revision == revision && n.sequence > maxSequence-sequenceMargin
}

// nextNumber gives out a number for an attempt, rental, block or shard.
func (o *owner) nextNumber() uint64 { return o.c.numbers.next(o.c.node.RecordVersion()) }

// handleAttemptRecorded handles a proposed attempt whose record was written.
func (o *owner) handleAttemptRecorded(a *inventory.Attempt) {
	if a.State != inventory.AttemptAssumed {
		return
	}
	o.SetAttemptState(a, inventory.AttemptRecorded)
	j := a.Job
	j.EverPlaced = j.EverPlaced || !j.Gang
	o.queueDispatch(a.Machine)
	if j.State != inventory.JobActive {
		o.StopAttempt(a, 0, "job is over")
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
	o.SetGangState(j, inventory.GangStarting)
	j.EverPlaced = true
	o.c.log.Info("gang placed", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "ordinary", j.MinOnDemandTasks,
		"since_accepted_s", math.Round((o.c.wallClock - j.ReadyAt).Seconds()))
	for _, b := range j.Attempts {
		o.queueDispatch(b.Machine)
	}
}
