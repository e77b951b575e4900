package commit

import "tamarindlead/internal/inventory"

// finish applies the changes that depend on the record if the transaction was committed. Otherwise
// it marks the block as dirty again.
func (w *blockWrite) finish(committed bool, revision uint64) {
	w.block.Writing = false
	if !committed {
		w.rollBack()
		return
	}
	now := w.pipeline.host.Now()
	w.block.Version, w.block.Oversized = revision, false
	if w.deletes() {
		w.block.Version = 0
	}
	for _, m := range w.stored {
		m.Recorded = true
	}
	for _, source := range w.sources {
		source.UnwrittenTargets--
		source.MarkDirty(now) // the next write deletes the record of an empty block
	}
	w.advanceMachines(revision)
	w.markChanged()
	w.pipeline.removeEmptyBlock(w.block)
}

// rollBack marks all machines as dirty, so that no change of the failed transaction is lost.
func (w *blockWrite) rollBack() {
	b := w.block
	b.MarkDirty(w.pipeline.host.Now())
	b.Sources = append(b.Sources, w.sources...)
	for _, m := range b.Machines {
		m.Dirty = true
	}
}

// advanceMachines applies the state changes of machines and attempts that depend on the record.
func (w *blockWrite) advanceMachines(revision uint64) {
	p := w.pipeline
	for _, m := range w.decommissioning {
		if m.State == inventory.MachineDecommissioning {
			p.inv.SetMachineState(m, inventory.MachineTerminating, "recorded")
		}
	}
	for _, m := range w.claimed {
		if w.block.IsAdopted() && m.FencingToken == 0 && !p.OwnsAllTeams() {
			p.verifyAdoption(m, revision)
			continue
		}
		p.setFencingToken(m, revision)
	}
	for _, m := range w.raised {
		m.RaiseToken(revision)
	}
	for _, m := range w.announced {
		if !m.Verifying {
			p.verifyAdoption(m, revision)
		}
	}
	for _, a := range w.removing {
		p.inv.SetAttemptState(a, inventory.AttemptClosed)
	}
	for _, a := range w.assumed {
		p.host.AttemptRecorded(a)
	}
	for _, m := range w.terminated {
		p.host.MachineRemoved(m)
	}
	for _, m := range w.transferred {
		p.transfers.Recorded(m)
	}
}

// markChanged marks the entries that changed while the transaction was in flight.
func (w *blockWrite) markChanged() {
	now := w.pipeline.host.Now()
	for _, m := range w.block.Machines {
		m.Dirty = m.Dirty || m.NeedsWrite()
		if m.Dirty {
			w.block.MarkDirty(now)
		}
	}
}
