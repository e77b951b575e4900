package controller

import (
	"math"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// oversizedRetryDelay is the pause before a block that fits no value is written again: tasks may
// have ended meanwhile.
const oversizedRetryDelay = 5 * micros.Second

// handleOversized deals with a block that fits no value. What is proposed is given up first,
// and nothing more is placed there; what is too large without it is split. The limits may
// have become smaller since the block was written.
func (o *owner) handleOversized(b *inventory.Block, size int, proposed []*inventory.Attempt) {
	giveUp := len(proposed) > 0 && (!b.Oversized || len(b.Machines) == 1)
	b.Oversized = true
	switch {
	case giveUp:
		o.c.log.Warn("block too large", "block", b.Name, "bytes", size, "machines", len(b.Machines))
		o.abandonAssumed(proposed)
	case len(b.Machines) > 1:
		o.splitBlock(b, size)
	default:
		o.retireOversized(b, size)
	}
}

// abandonAssumed ends attempts that no record has room for; gangs end as a whole.
func (o *owner) abandonAssumed(proposed []*inventory.Attempt) {
	const why = "no room in the record"
	for _, a := range proposed {
		if a.Job.Gang {
			o.StopJob(a.Job, 0, why)
		} else {
			o.StopAttempt(a, 0, why)
		}
	}
}

// retireOversized deals with one machine whose entry fits no value, from the time of larger
// values. Its tasks end with their lease, since nobody can claim the machine; then it is
// returned to the cloud. Its record stays until then, so that nobody starts these tasks
// elsewhere.
func (o *owner) retireOversized(b *inventory.Block, size int) {
	m := b.Machines[0]
	b.RetryAt = o.c.now + oversizedRetryDelay
	o.c.log.Error("a machine's entry fits no value", "machine", m.Name, "bytes", size, "most", o.c.cfg.MaxValueBytes, "tasks", len(m.Attempts))
	leaseEnded := o.c.now-b.DirtySince > o.c.cfg.WorkerLease+o.c.cfg.HeartbeatTimeout()
	if m.FencingToken == 0 && m.State < inventory.MachineTerminating && leaseEnded {
		o.SetMachineState(m, inventory.MachineTerminating, "its entry fits no value")
	}
}

// splitBlock moves machines of a block that has outgrown a value to new blocks, so that each
// part takes about the same. The old record is written again only after the new ones hold
// the machines that left it.
func (o *owner) splitBlock(b *inventory.Block, size int) {
	parts := int(math.Ceil(float64(size) / (inventory.MaxFillForTasks * float64(o.c.cfg.MaxValueBytes))))
	parts = min(max(2, parts), len(b.Machines))
	all := b.Machines
	share := b.EstimatedBytes() / float64(parts)
	b.Machines, b.Dirty = nil, false
	target, made, filled := b, 1, 0.0
	for i, m := range all {
		bytes := b.EntryBytes(m)
		full := filled+bytes/2 > share*float64(made)
		lastChance := len(all)-i <= parts-made // each part gets a machine
		if len(target.Machines) > 0 && made < parts && (full || lastChance) {
			target = o.newSplitBlock(b)
			made++
		}
		filled += bytes
		target.Add(m)
		m.Dirty = true
		if target != b {
			target.MarkDirty(o.c.now)
		}
	}
	o.c.log.Info("block split", "block", b.Name, "bytes", size, "machines", len(all), "kept", len(b.Machines), "parts", made)
}

// newSplitBlock makes a block for machines of one that is split.
func (o *owner) newSplitBlock(b *inventory.Block) *inventory.Block {
	part := o.newBlock(record.FormatNumber(o.nextNumber()))
	part.Sources = append(part.Sources, b)
	part.BytesPerTask = b.BytesPerTask
	b.UnwrittenTargets++
	return part
}
