package commit

import (
	"cmp"
	"slices"

	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// Weights of the effects of writing a record, relative to one task that may start.
const (
	claimWeight       = 1000
	fencingWeight     = 100
	machineWeight     = 20
	gangWeight        = 8  // for each task of a gang, since a gang waits for its last task
	blockWaitWeight   = 20 // for each second that a block has waited, so that no block starves
	segmentWaitWeight = 4  // for each second that a segment has waited
)

// dueRecord is a block or a segment that must be written.
type dueRecord struct {
	block   *inventory.Block
	segment *inventory.CompletionSegment
	urgency int
}

// hasUnclaimedMachines reports whether this owner has machines that it must still claim.
func (p *Pipeline) hasUnclaimedMachines() bool {
	return slices.ContainsFunc(p.inv.SortedMachines, (*inventory.Machine).IsUnclaimed)
}

// addClaims adds the blocks with machines that must be claimed, the most urgent first.
func (p *Pipeline) addClaims(t *Transaction, remainingWrites func() int) {
	now := p.host.Now()
	var due []dueRecord
	for _, b := range p.blocks {
		if b.IsDue(now) && b.HasUnclaimed() {
			due = append(due, dueRecord{block: b, urgency: blockUrgency(b, now)})
		}
	}
	p.addDueRecords(t, due, remainingWrites)
}

// addRecords adds the blocks and segments that are due, the most urgent first.
func (p *Pipeline) addRecords(t *Transaction, remainingWrites func() int) {
	for _, b := range slices.Clone(p.blocks) {
		p.mergeTransferred(b)
	}
	now := p.host.Now()
	var due []dueRecord
	for _, b := range p.blocks {
		if b.IsDue(now) {
			due = append(due, dueRecord{block: b, urgency: blockUrgency(b, now)})
		}
	}
	for _, s := range p.segments {
		if s.IsDue() {
			due = append(due, dueRecord{segment: s, urgency: segmentUrgency(s, now)})
		}
	}
	p.addDueRecords(t, due, remainingWrites)
}

// addDueRecords adds records, the most urgent first, until the transaction is full.
func (p *Pipeline) addDueRecords(t *Transaction, due []dueRecord, remainingWrites func() int) {
	slices.SortStableFunc(due, func(a, b dueRecord) int { return cmp.Compare(b.urgency, a.urgency) })
	for _, r := range due {
		if remainingWrites() < 1 {
			return
		}
		if r.segment != nil {
			p.addSegment(t, r.segment)
		} else {
			p.addBlock(t, r.block, remainingWrites())
		}
	}
}

// blockUrgency returns the priority of the write of a block.
func blockUrgency(b *inventory.Block, now micros.Micros) int {
	n := int(blockWaitWeight * (now - b.DirtySince).Seconds())
	for _, m := range b.Machines {
		n += machineUrgency(m)
		if m.Dirty {
			n += attemptsUrgency(m)
		}
	}
	return n
}

// segmentUrgency returns the priority of the write of a segment, relative to blocks. Delaying a
// completion does no harm: its resources are free already, and its machine continues to report it.
// Segments change every second, and there is at least one for each team; if they were written
// first, they would use all writes, and none would be left for placements.
func segmentUrgency(s *inventory.CompletionSegment, now micros.Micros) int {
	return int(segmentWaitWeight * (now - s.DirtySince).Seconds())
}

// machineUrgency returns what the machine's own state adds to the urgency of its block.
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

// attemptsUrgency returns what the attempts on a machine add to the urgency of its block.
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
