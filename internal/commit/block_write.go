package commit

import (
	"maps"
	"math"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
)

// blockPreconditionsPerOp is the maximum number of preconditions of one block for each write
// allowed in a transaction. It is less than preconditionsPerOp, so that other records can use the
// rest.
const blockPreconditionsPerOp = 3

// blockWrite is one write of a block: the record, its preconditions, and the machines and attempts
// whose state changes when it is committed.
type blockWrite struct {
	pipeline      *Pipeline
	block         *inventory.Block
	data          *record.BlockData
	preconditions map[string]uint64
	// offerIndexes and jobIndexes are indexes in data.MachineTypes and data.Jobs.
	offerIndexes map[autoscaler.Offer]int
	jobIndexes   map[string]int
	// maxTransfers is the maximum number of machines to transfer: each takes an additional write.
	maxTransfers int

	stored    []*inventory.Machine // machines with an entry in the record
	announced []*inventory.Machine // adopted machines that are not verified yet, see adoption.go
	tasks     int                  // number of tasks in the entries
	sources   []*inventory.Block   // see inventory.Block.Sources

	claimed         []*inventory.Machine
	raised          []*inventory.Machine // machines whose fencing token becomes the revision of the write
	decommissioning []*inventory.Machine
	terminated      []*inventory.Machine
	transferred     []*inventory.Machine
	assumed         []*inventory.Attempt
	removing        []*inventory.Attempt
}

// addBlock adds a block's record to a transaction that can take remainingWrites more writes. If the
// record does not fit, the block waits for the next transaction.
func (p *Pipeline) addBlock(t *Transaction, b *inventory.Block, remainingWrites int) {
	w := p.newBlockWrite(b, remainingWrites)
	for _, m := range b.Machines {
		w.addMachine(m)
	}
	value := w.data.Block(p.member.ID())
	w.updateBytesPerTask(value.Size())
	if value.Size() > p.settings.MaxValueBytes && len(w.stored) > 0 {
		p.handleOversized(b, value.Size(), w.assumed)
		return
	}
	if !t.fits(w.preconditions, value.Size(), p.settings.MaxTransactionOps) {
		return
	}
	w.addTo(t, value)
}

// newBlockWrite returns the write of a block, without entries.
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

// fitsPreconditions reports whether the write may also have preconditions for these keys. A block
// that needs more preconditions is written in several steps.
func (w *blockWrite) fitsPreconditions(keys ...string) bool {
	n := len(w.preconditions)
	for _, key := range keys {
		if _, ok := w.preconditions[key]; !ok {
			n++
		}
	}
	return n < blockPreconditionsPerOp*w.pipeline.settings.MaxTransactionOps
}

// addMachine adds a machine's entry, unless the machine is terminated or transferred, or its entry
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
		return // its first claim is left to the next write
	}
	w.stored = append(w.stored, m)
	entry := w.newEntry(m)
	switch {
	case m.FencingToken == 0 || m.Fencing == inventory.FencingNeeded:
		w.claim(m, &entry, adoptable)
	case m.NeedsHigherToken():
		w.raised = append(w.raised, m)
	}
	if m.State == inventory.MachineDecommissioning {
		w.decommissioning = append(w.decommissioning, m)
	}
	tasks := w.addAttempts(m)
	w.data.Pack(&entry, tasks)
	w.tasks += len(tasks)
	w.data.Machines = append(w.data.Machines, entry)
}

// transfer omits the entry of a machine without attempts that is being transferred, if its new
// owner is live and the transaction can also take the record for that owner. It reports whether it
// omitted the entry.
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

// isAdoptableByOthers reports whether the write contains the first claim of a machine that another
// owner may adopt concurrently.
func (w *blockWrite) isAdoptableByOthers(m *inventory.Machine) bool {
	return m.FencingToken == 0 && !m.Recorded && !w.pipeline.OwnsAllTeams() && !w.block.IsAdopted()
}

// claim makes the revision of the write the machine's fencing token. If another owner may adopt the
// machine, the claim requires that none has.
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

// addAssumed adds the preconditions of an attempt that is recorded for the first time, since its
// job may have been cancelled and its team may have another owner. It reports whether the
// preconditions fit.
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

// deletes reports whether the write deletes the record because nothing is left in it.
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
