package commit

import (
	"maps"
	"math"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
)

// blockPreconditionsPerOp bounds the preconditions of one block, for each write that a transaction
// may have. It is less than preconditionsPerOp, which leaves the rest to other records.
const blockPreconditionsPerOp = 3

// blockWrite is one write of a block: the record, its preconditions, and the machines and attempts
// whose state changes when it is committed.
type blockWrite struct {
	pipeline      *Pipeline
	block         *inventory.Block
	data          *record.BlockData
	preconditions map[string]uint64
	// offerIndexes and jobIndexes are indexes in the lists of the data.
	offerIndexes map[autoscaler.Offer]int
	jobIndexes   map[string]int
	// maxTransfers is how many machines may be transferred: each takes a write of its own.
	maxTransfers int

	stored    []*inventory.Machine // those with an entry in the record
	announced []*inventory.Machine // adopted ones whose entry must wait, see adoption.go
	tasks     int                  // in the entries
	sources   []*inventory.Block   // see inventory.Block.Sources

	claimed         []*inventory.Machine
	decommissioning []*inventory.Machine
	terminated      []*inventory.Machine
	transferred     []*inventory.Machine
	assumed         []*inventory.Attempt
	removing        []*inventory.Attempt
}

// addBlock adds a block's record to a transaction in which room writes are left. If the transaction
// has no room for it, the block waits for the next one.
func (p *Pipeline) addBlock(t *Transaction, b *inventory.Block, remainingWrites int) {
	w := p.newBlockWrite(b, remainingWrites)
	for _, m := range b.Machines {
		w.addMachine(m)
	}
	value := w.data.Block(p.member.ID())
	w.recordTaskSize(value.Size())
	if value.Size() > p.settings.MaxValueBytes && len(w.stored) > 0 {
		p.handleOversized(b, value.Size(), w.assumed)
		return
	}
	if !t.fits(w.preconditions, value.Size(), p.settings.MaxTransactionOps) {
		return
	}
	w.addTo(t, value)
}

// newBlockWrite begins the write of a block, without entries.
func (p *Pipeline) newBlockWrite(b *inventory.Block, remainingWrites int) *blockWrite {
	w := &blockWrite{
		pipeline: p, block: b, maxTransfers: remainingWrites - 1,
		data:          &record.BlockData{LaunchTimeBase: int64(p.host.WallClock()), AttemptBase: math.MaxUint64},
		preconditions: map[string]uint64{record.BlockKey(b.Name): b.Version},
		offerIndexes:  map[autoscaler.Offer]int{}, jobIndexes: map[string]int{},
	}
	if b.HasUnclaimed() {
		p.requireTeamOwnership(w.preconditions)
	}
	for _, m := range b.Machines {
		for _, a := range m.Attempts {
			w.data.AttemptBase = min(w.data.AttemptBase, a.Number)
		}
		w.data.LaunchTimeBase = min(w.data.LaunchTimeBase, int64(m.ProvisionedAt))
	}
	return w
}

// fitsPreconditions reports whether the write may have preconditions for these keys too. A
// block that needs more is written in several steps.
func (w *blockWrite) fitsPreconditions(keys ...string) bool {
	n := len(w.preconditions)
	for _, key := range keys {
		if _, ok := w.preconditions[key]; !ok {
			n++
		}
	}
	return n < blockPreconditionsPerOp*w.pipeline.settings.MaxTransactionOps
}

// addMachine adds a machine's entry, unless the machine is terminated, is transferred, or its entry
// must wait for a later write.
func (w *blockWrite) addMachine(m *inventory.Machine) {
	if m.State == inventory.MachineTerminated {
		w.terminated = append(w.terminated, m)
		return
	}
	if w.announces(m) {
		w.announced = append(w.announced, m)
		return
	}
	if w.transfer(m) {
		return
	}
	adoptable := w.isAdoptableByOthers(m)
	if adoptable && !w.fitsPreconditions(record.BlockKey(inventory.AdoptedPrefix+m.Name)) {
		return // its first claim comes with the next write
	}
	w.stored = append(w.stored, m)
	entry := w.newEntry(m)
	if m.FencingToken == 0 || m.Fencing == inventory.FencingNeeded {
		w.claim(m, &entry, adoptable)
	}
	if m.State == inventory.MachineDecommissioning {
		w.decommissioning = append(w.decommissioning, m)
	}
	tasks := w.addAttempts(m)
	w.data.Pack(&entry, tasks)
	w.tasks += len(tasks)
	w.data.Machines = append(w.data.Machines, entry)
}

// transfer omits an empty machine that is transferred, if its new owner is live and the transaction
// has room for that owner's record. It reports whether it did.
func (w *blockWrite) transfer(m *inventory.Machine) bool {
	if m.State != inventory.MachineTransferring || len(m.Attempts) > 0 || len(w.transferred) >= w.maxTransfers {
		return false
	}
	successor, live := w.pipeline.transfers.Successor(m)
	if !live || !w.fitsPreconditions(successor.Key) {
		return false
	}
	w.preconditions[successor.Key] = successor.Version
	w.transferred = append(w.transferred, m)
	return true
}

// isAdoptableByOthers reports whether the write holds the first claim of a machine that another owner
// may adopt at the same time.
func (w *blockWrite) isAdoptableByOthers(m *inventory.Machine) bool {
	return m.FencingToken == 0 && !m.Recorded && !w.pipeline.OwnsAllTeams() && !w.block.IsAdopted()
}

// claim makes the revision of the record the machine's fencing token. The first claim of a machine
// requires that no other owner has adopted it.
func (w *blockWrite) claim(m *inventory.Machine, entry *record.BlockMachine, adoptable bool) {
	entry.FencingToken = 0
	w.claimed = append(w.claimed, m)
	if adoptable {
		w.preconditions[record.BlockKey(inventory.AdoptedPrefix+m.Name)] = 0
	}
}

// addAttempts returns the attempts of a machine's entry.
func (w *blockWrite) addAttempts(m *inventory.Machine) []record.BlockTask {
	var tasks []record.BlockTask
	for _, a := range m.AttemptsInRecordOrder() {
		if a.State == inventory.AttemptRemoving {
			w.removing = append(w.removing, a)
			continue
		}
		if a.State == inventory.AttemptAssumed && !w.addAssumed(a) {
			continue
		}
		tasks = append(tasks, record.BlockTask{Job: w.jobIndex(a.Job), Index: a.Index, Attempt: a.Number})
	}
	return tasks
}

// addAssumed adds the preconditions of an attempt that is recorded for the first time, and reports
// whether there was room for them: its job may have been cancelled, and its team may have another
// owner.
func (w *blockWrite) addAssumed(a *inventory.Attempt) bool {
	jobKey, teamKey := record.ActiveJobKey(a.Job.ID), record.TeamKey(a.Job.Team)
	if !w.fitsPreconditions(jobKey, teamKey) {
		return false
	}
	w.preconditions[jobKey] = a.Job.Version
	w.preconditions[teamKey] = w.pipeline.inv.Teams[a.Job.Team].Record.Version
	w.assumed = append(w.assumed, a)
	return true
}

// deletes reports whether the write deletes the record, since nothing is left in it.
func (w *blockWrite) deletes() bool { return len(w.stored) == 0 && len(w.announced) == 0 }

// addTo adds the write to a transaction.
func (w *blockWrite) addTo(t *Transaction, value record.Block) {
	b := w.block
	maps.Copy(t.preconditions, w.preconditions)
	b.Writing, b.Dirty = true, false
	w.sources, b.Sources = b.Sources, nil
	key := record.BlockKey(b.Name)
	if w.deletes() {
		t.Delete(key)
	} else {
		t.putSized(key, value, value.Size())
	}
	for _, m := range w.stored {
		m.Dirty = false
	}
	for _, m := range w.announced {
		m.Dirty = false
	}
	for _, m := range w.transferred {
		w.pipeline.transfers.AddTo(t, m)
	}
	t.OnResult(w.finish)
}
