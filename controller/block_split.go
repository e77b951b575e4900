package controller

import (
	"math"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// oversizedRetryDelay is the pause before a block that fits no value is written again: tasks may
// have ended meanwhile.
const oversizedRetryDelay = 5 * micros.Second

// handleOversized deals with a block that fits no value. What is proposed is given up first,
// and nothing more is placed there; what is too large without it is split. The limits may
// have become smaller since the block was written.
func (o *owner) handleOversized(b *block, size int, proposed []*attempt) {
	giveUp := len(proposed) > 0 && (!b.oversized || len(b.machines) == 1)
	b.oversized = true
	switch {
	case giveUp:
		o.c.log.Warn("block too large", "block", b.name, "bytes", size, "machines", len(b.machines))
		o.abandonAssumed(proposed)
	case len(b.machines) > 1:
		o.splitBlock(b, size)
	default:
		o.retireOversized(b, size)
	}
}

// abandonAssumed ends attempts that no record has room for; gangs end as a whole.
func (o *owner) abandonAssumed(proposed []*attempt) {
	const why = "no room in the record"
	for _, a := range proposed {
		if a.job.Gang {
			o.stopJob(a.job, 0, why)
		} else {
			o.stopAttempt(a, 0, why)
		}
	}
}

// retireOversized deals with one machine whose entry fits no value, from the time of larger
// values. Its tasks end with their lease, since nobody can claim the machine; then it is
// returned to the cloud. Its record stays until then, so that nobody starts these tasks
// elsewhere.
func (o *owner) retireOversized(b *block, size int) {
	m := b.machines[0]
	b.retryAt = o.c.now + oversizedRetryDelay
	o.c.log.Error("a machine's entry fits no value", "machine", m.name, "bytes", size, "most", o.c.cfg.MaxValueBytes, "tasks", len(m.attempts))
	leaseEnded := o.c.now-b.dirtySince > o.c.cfg.WorkerLease+o.c.cfg.HeartbeatTimeout()
	if m.fencingToken == 0 && m.state < machineTerminating && leaseEnded {
		o.setMachineState(m, machineTerminating, "its entry fits no value")
	}
}

// splitBlock moves machines of a block that has outgrown a value to new blocks, so that each
// part takes about the same. The old record is written again only after the new ones hold
// the machines that left it.
func (o *owner) splitBlock(b *block, size int) {
	parts := int(math.Ceil(float64(size) / (maxFillForTasks * float64(o.c.cfg.MaxValueBytes))))
	parts = min(max(2, parts), len(b.machines))
	all := b.machines
	share := b.estimatedBytes() / float64(parts)
	b.machines, b.dirty = nil, false
	target, made, filled := b, 1, 0.0
	for i, m := range all {
		bytes := b.entryBytes(m)
		full := filled+bytes/2 > share*float64(made)
		lastChance := len(all)-i <= parts-made // each part gets a machine
		if len(target.machines) > 0 && made < parts && (full || lastChance) {
			target = o.newSplitBlock(b)
			made++
		}
		filled += bytes
		target.add(m)
		m.dirty = true
		if target != b {
			o.markBlockDirty(target)
		}
	}
	o.c.log.Info("block split", "block", b.name, "bytes", size, "machines", len(all), "kept", len(b.machines), "parts", made)
}

// newSplitBlock makes a block for machines of one that is split.
func (o *owner) newSplitBlock(b *block) *block {
	part := o.newBlock(record.FormatNumber(o.nextNumber()))
	part.sources = append(part.sources, b)
	part.bytesPerTask = b.bytesPerTask
	b.unwrittenTargets++
	return part
}

// estimatedBytes estimates what all entries take.
func (b *block) estimatedBytes() float64 {
	sum := 0.0
	for _, m := range b.machines {
		sum += b.entryBytes(m)
	}
	return sum
}
