package controller

import (
	"cmp"
	"slices"
)

// Weights of what a write of a block brings, in tasks that may start.
const (
	claimWeight   = 1000
	fenceWeight   = 100
	machineWeight = 20
	gangWeight    = 8  // a gang waits for its last task
	waitWeight    = 20 // for each second that a block has waited: none may starve
	shardWeight   = 4  // and for each that a shard has
)

// urgency orders blocks that must be written.
func (o *owner) urgency(b *block) int {
	n := int(waitWeight * (o.c.now - b.since).Seconds())
	for _, m := range b.machines {
		switch {
		case m.token == 0 && !m.verifying:
			n += claimWeight
		case m.fence == fenceWanted:
			n += fenceWeight
		case m.state == machineCondemned || m.state == machineDeleted:
			n += machineWeight
		}
		if !m.dirty {
			continue
		}
		for _, a := range m.attempts {
			switch {
			case a.state != attemptProposed && a.state != attemptLeaving:
			case a.job.Gang:
				n += gangWeight
			default:
				n++
			}
		}
	}
	return n
}

// flushClaims writes the blocks with machines that must be claimed, the most urgent first.
func (o *owner) flushClaims(t *txn, room func() int) {
	var due []dueRecord
	for _, b := range o.blocks {
		if o.due(b) && b.claims() {
			due = append(due, dueRecord{block: b, n: o.urgency(b)})
		}
	}
	o.flushDue(t, due, room)
}

// flushRecords writes blocks and shards, the most urgent first.
func (o *owner) flushRecords(t *txn, room func() int) {
	for _, b := range slices.Clone(o.blocks) {
		o.gather(b)
	}
	var due []dueRecord
	for _, b := range o.blocks {
		if o.due(b) {
			due = append(due, dueRecord{block: b, n: o.urgency(b)})
		}
	}
	for _, s := range o.shards {
		if s.dirty && !s.writing && s.behind == 0 {
			due = append(due, dueRecord{shard: s, n: o.shardUrgency(s)})
		}
	}
	o.flushDue(t, due, room)
}

// dueRecord is a block or a shard that must be written.
type dueRecord struct {
	block *block
	shard *shard
	n     int // urgency
}

func (o *owner) flushDue(t *txn, due []dueRecord, room func() int) {
	slices.SortStableFunc(due, func(x, y dueRecord) int { return cmp.Compare(y.n, x.n) })
	for _, r := range due {
		if room() < 1 {
			return
		}
		if r.shard != nil {
			o.writeShard(t, r.shard)
		} else {
			o.writeBlock(t, r.block, room())
		}
	}
}

// due tells whether the block must and may be written.
func (o *owner) due(b *block) bool {
	return b.dirty && !b.writing && b.behind == 0 && o.c.now >= b.notBefore
}

// shardUrgency orders shards among blocks. A completion waits at no cost: its room is free,
// and its machine goes on reporting it. Many teams have as many shards, all of which change
// with every second; written first, they would take all writes from placements.
func (o *owner) shardUrgency(s *shard) int {
	return int(shardWeight * (o.c.now - s.since).Seconds())
}

// claims tells whether machines of the block are not claimed yet.
func (b *block) claims() bool {
	return slices.ContainsFunc(b.machines, func(m *machine) bool { return m.token == 0 && !m.verifying })
}
