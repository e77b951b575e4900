package commit

import (
	"math"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// oversizedRetryDelay is the pause before a block that exceeds the value limit is written again:
// tasks may have ended by then, which makes the block smaller.
const oversizedRetryDelay = 5 * micros.Second

// handleOversized handles a block that exceeds the value limit, which may have been lowered since
// the block was last written. Its assumed attempts are abandoned first, and no more tasks are
// placed on its machines. A block that is too large even without them is split.
func (p *Pipeline) handleOversized(b *inventory.Block, size int, assumed []*inventory.Attempt) {
	abandon := len(assumed) > 0 && (!b.Oversized || len(b.Machines) == 1)
	b.Oversized = true
	switch {
	case abandon:
		p.log.Warn("block exceeds the value limit", "block", b.Name, "bytes", size, "machines", len(b.Machines))
		p.abandonAssumed(assumed)
	case len(b.Machines) > 1:
		p.splitBlock(b, size)
	default:
		p.retireOversized(b, size)
	}
}

// abandonAssumed stops attempts that do not fit into the record; a gang is stopped as a whole.
func (p *Pipeline) abandonAssumed(assumed []*inventory.Attempt) {
	const reason = "no room in the record"
	for _, a := range assumed {
		if a.Job.Gang {
			p.inv.StopJob(a.Job, 0, reason)
		} else {
			p.inv.StopAttempt(a, 0, reason)
		}
	}
}

// retireOversized handles a single machine whose entry exceeds the value limit because it was
// written when the limit was higher. The machine's tasks end when its lease expires, since no owner
// can claim the machine; then the machine is terminated. Its record is kept until then, so that no
// owner starts these tasks on another machine.
func (p *Pipeline) retireOversized(b *inventory.Block, size int) {
	m := b.Machines[0]
	now := p.host.Now()
	b.RetryAt = now + oversizedRetryDelay
	p.log.Error("machine entry exceeds the value limit", "machine", m.Name, "bytes", size,
		"max_bytes", p.settings.MaxValueBytes, "tasks", len(m.Attempts))
	leaseEnded := now-b.DirtySince > p.settings.WorkerLease+p.settings.HeartbeatTimeout()
	if m.FencingToken == 0 && m.State < inventory.MachineTerminating && leaseEnded {
		p.inv.SetMachineState(m, inventory.MachineTerminating, "its entry exceeds the value limit")
	}
}

// splitBlock moves machines of a block that exceeds the value limit to new blocks, so that all
// parts have about the same size. The old record is written again only after the records of the new
// blocks contain the machines that were moved to them.
func (p *Pipeline) splitBlock(b *inventory.Block, size int) {
	machines := b.Machines
	parts := int(math.Ceil(float64(size) / (inventory.MaxFillForTasks * float64(p.settings.MaxValueBytes))))
	parts = min(max(2, parts), len(machines))
	bytesPerPart := b.EstimatedBytes() / float64(parts)
	b.Machines, b.Dirty = nil, false
	target, targets, assignedBytes := b, 1, 0.0
	for i, m := range machines {
		bytes := b.EntryBytes(m)
		full := assignedBytes+bytes/2 > bytesPerPart*float64(targets)
		oneMachinePerPart := len(machines)-i <= parts-targets // each remaining part needs a machine
		if len(target.Machines) > 0 && targets < parts && (full || oneMachinePerPart) {
			target = p.newSplitBlock(b)
			targets++
		}
		assignedBytes += bytes
		target.Add(m)
		m.Dirty = true
		if target != b {
			target.MarkDirty(p.host.Now())
		}
	}
	p.log.Info("block split", "block", b.Name, "bytes", size, "machines", len(machines),
		"remaining", len(b.Machines), "parts", targets)
}

// newSplitBlock adds a block for machines that are moved out of a block that is split.
func (p *Pipeline) newSplitBlock(b *inventory.Block) *inventory.Block {
	part := p.NewBlock(record.FormatNumber(p.host.NextNumber()))
	part.BytesPerTask = b.BytesPerTask
	part.AddSource(b)
	return part
}
