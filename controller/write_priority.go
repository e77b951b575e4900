package controller

import (
	"cmp"
	"slices"
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
	block   *block
	segment *completionSegment
	urgency int
}

// flushClaims writes the blocks with machines that must be claimed, the most urgent first.
func (o *owner) flushClaims(t *transaction, room func() int) {
	var due []dueRecord
	for _, b := range o.blocks {
		if o.isDue(b) && b.hasUnclaimed() {
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
		if s.isDue() {
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

// isDue tells whether the block must and may be written.
func (o *owner) isDue(b *block) bool {
	return b.dirty && !b.writing && b.unwrittenTargets == 0 && o.c.now >= b.retryAt
}

// blockUrgency orders blocks that must be written.
func (o *owner) blockUrgency(b *block) int {
	n := int(blockWaitWeight * (o.c.now - b.dirtySince).Seconds())
	for _, m := range b.machines {
		n += m.urgency()
		if m.dirty {
			n += m.attemptsUrgency()
		}
	}
	return n
}

// urgency is what the machine's own state adds to the urgency of its block.
func (m *machine) urgency() int {
	switch {
	case m.isUnclaimed():
		return claimWeight
	case m.fencing == fencingNeeded:
		return fencingWeight
	case m.state == machineDecommissioning || m.state == machineTerminated:
		return machineWeight
	}
	return 0
}

// attemptsUrgency is what the attempts on a machine add to the urgency of its block.
func (m *machine) attemptsUrgency() int {
	n := 0
	for _, a := range m.attempts {
		switch {
		case a.state != attemptAssumed && a.state != attemptRemoving:
		case a.job.Gang:
			n += gangWeight
		default:
			n++
		}
	}
	return n
}

// segmentUrgency orders shards among blocks. A completion waits at no cost: its room is free,
// and its machine goes on reporting it. Many teams have as many shards, all of which change
// with every second; written first, they would take all writes from placements.
func (o *owner) segmentUrgency(s *completionSegment) int {
	return int(segmentWaitWeight * (o.c.now - s.dirtySince).Seconds())
}
