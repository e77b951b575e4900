package controller

import (
	"cmp"
	"slices"

	"tamarindlead/internal/inventory"
)

// Weights of what the write of a record brings, in tasks that may start.
const (
	claimWeight       = 1000
	fencingWeight     = 100
	machineWeight     = 20
	gangWeight        = 8  // a gang waits for its last task
	blockWaitWeight   = 20 // for each second that a block has waited: none may starve
	segmentWaitWeight = 4  // for each second that a shard has waited
)

// dueRecord is a block or a shard that must be written.
type dueRecord struct {
	block   *inventory.Block
	segment *inventory.CompletionSegment
	urgency int
}

// flushClaims writes the blocks with machines that must be claimed, the most urgent first.
func (o *owner) flushClaims(t *transaction, room func() int) {
	var due []dueRecord
	for _, b := range o.blocks {
		if o.isDue(b) && b.HasUnclaimed() {
			due = append(due, dueRecord{block: b, urgency: o.blockUrgency(b)})
		}
	}
	o.flushDueRecords(t, due, room)
}

// flushRecords writes blocks and shards, the most urgent first.
func (o *owner) flushRecords(t *transaction, room func() int) {
	for _, b := range slices.Clone(o.blocks) {
		o.mergeTransferred(b)
	}
	var due []dueRecord
	for _, b := range o.blocks {
		if o.isDue(b) {
			due = append(due, dueRecord{block: b, urgency: o.blockUrgency(b)})
		}
	}
	for _, s := range o.completionSegments {
		if s.IsDue() {
			due = append(due, dueRecord{segment: s, urgency: o.segmentUrgency(s)})
		}
	}
	o.flushDueRecords(t, due, room)
}

// flushDueRecords writes records while the commit has room.
func (o *owner) flushDueRecords(t *transaction, due []dueRecord, room func() int) {
	slices.SortStableFunc(due, func(a, b dueRecord) int { return cmp.Compare(b.urgency, a.urgency) })
	for _, r := range due {
		if room() < 1 {
			return
		}
		if r.segment != nil {
			o.writeSegment(t, r.segment)
		} else {
			o.writeBlock(t, r.block, room())
		}
	}
}

// IsDue tells whether the block must and may be written.
func (o *owner) isDue(b *inventory.Block) bool {
	return b.Dirty && !b.Writing && b.UnwrittenTargets == 0 && o.c.now >= b.RetryAt
}

// blockUrgency orders blocks that must be written.
func (o *owner) blockUrgency(b *inventory.Block) int {
	n := int(blockWaitWeight * (o.c.now - b.DirtySince).Seconds())
	for _, m := range b.Machines {
		n += machineUrgency(m)
		if m.Dirty {
			n += attemptsUrgency(m)
		}
	}
	return n
}

// segmentUrgency orders shards among blocks. A completion waits at no cost: its room is free,
// and its machine goes on reporting it. Many teams have as many shards, all of which change
// with every second; written first, they would take all writes from placements.
func (o *owner) segmentUrgency(s *inventory.CompletionSegment) int {
	return int(segmentWaitWeight * (o.c.now - s.DirtySince).Seconds())
}

// machineUrgency is what the machine's own state adds to the urgency of its block.
func machineUrgency(m *inventory.Machine) int {
	switch {
	case m.IsUnclaimed():
		return claimWeight
	case m.Fencing == inventory.FencingNeeded:
		return fencingWeight
	case m.State == inventory.MachineDecommissioning || m.State == inventory.MachineTerminated:
		return machineWeight
	}
	return 0
}

// attemptsUrgency is what the attempts on a machine add to the urgency of its block.
func attemptsUrgency(m *inventory.Machine) int {
	n := 0
	for _, a := range m.Attempts {
		switch {
		case a.State != inventory.AttemptAssumed && a.State != inventory.AttemptRemoving:
		case a.Job.Gang:
			n += gangWeight
		default:
			n++
		}
	}
	return n
}
