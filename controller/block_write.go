package controller

import (
	"maps"
	"math"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
)

// maxPreconditionsPerOp bounds the guards of one block, in units of the operations that a commit may
// have: a commit takes four guards for each, and what other records need is left to them.
const maxPreconditionsPerOp = 3

// blockWrite is one write of a block: the record, the guards under which it is written, and
// the machines and attempts whose state changes once it has been.
type blockWrite struct {
	owner         *owner
	block         *inventory.Block
	data          *record.BlockData
	preconditions map[string]uint64
	// offerIndexes and jobs are indexes in the lists of the data.
	offerIndexes map[autoscaler.Offer]int
	jobIndexes   map[string]int
	// maxTransfers is how many machines may be transferred: each takes a write of its own.
	maxTransfers int

	stored  []*inventory.Machine // entries in the record
	tasks   int                  // in these entries
	sources []*inventory.Block   // blocks that machines came from, see block.sources

	claimed         []*inventory.Machine
	decommissioning []*inventory.Machine
	terminated      []*inventory.Machine
	transferred     []*inventory.Machine
	assumed         []*inventory.Attempt
	removing        []*inventory.Attempt
}

// writeBlock adds a block's record to a commit in which room writes are left. A block that
// the commit has no room for waits for the next one.
func (o *owner) writeBlock(t *transaction, b *inventory.Block, room int) {
	w := o.newBlockWrite(b, room)
	for _, m := range b.Machines {
		w.addMachine(m)
	}
	value := w.data.Block(o.c.node.ID())
	w.recordTaskSize(value.Size())
	if value.Size() > o.c.cfg.MaxValueBytes && len(w.stored) > 0 {
		o.handleOversized(b, value.Size(), w.assumed)
		return
	}
	if !t.hasRoomFor(w.preconditions, value.Size(), o.c.cfg.MaxTransactionOps) {
		return
	}
	w.addTo(t, value)
}

// newBlockWrite begins the write of a block, without entries.
func (o *owner) newBlockWrite(b *inventory.Block, room int) *blockWrite {
	w := &blockWrite{
		owner: o, block: b, maxTransfers: room - 1,
		data:          &record.BlockData{LaunchTimeBase: int64(o.c.wallClock), AttemptBase: math.MaxUint64},
		preconditions: map[string]uint64{record.BlockKey(b.Name): b.Version},
		offerIndexes:  map[autoscaler.Offer]int{}, jobIndexes: map[string]int{},
	}
	if b.HasUnclaimed() {
		o.addOwnTeamPreconditions(w.preconditions)
	}
	for _, m := range b.Machines {
		for _, a := range m.Attempts {
			w.data.AttemptBase = min(w.data.AttemptBase, a.Number)
		}
		w.data.LaunchTimeBase = min(w.data.LaunchTimeBase, int64(m.ProvisionedAt))
	}
	return w
}

// hasRoomForPreconditions tells whether the write has room for more guards. A block that needs more is
// written in several steps.
func (w *blockWrite) hasRoomForPreconditions(keys ...string) bool {
	n := len(w.preconditions)
	for _, key := range keys {
		if _, ok := w.preconditions[key]; !ok {
			n++
		}
	}
	return n < maxPreconditionsPerOp*w.owner.c.cfg.MaxTransactionOps
}

// addMachine adds a machine's entry, unless the machine is gone, goes to another owner or
// must wait for the next write.
func (w *blockWrite) addMachine(m *inventory.Machine) {
	if m.State == inventory.MachineTerminated {
		w.terminated = append(w.terminated, m)
		return
	}
	if w.transfer(m) {
		return
	}
	unknown := w.isUnknownToOthers(m)
	if unknown && !w.hasRoomForPreconditions(record.BlockKey(inventory.AdoptedPrefix+m.Name)) {
		return // its first claim comes with the next write
	}
	w.stored = append(w.stored, m)
	entry := w.newEntry(m)
	if m.FencingToken == 0 || m.Fencing == inventory.FencingNeeded {
		w.claim(m, &entry, unknown)
	}
	if m.State == inventory.MachineDecommissioning {
		w.decommissioning = append(w.decommissioning, m)
	}
	tasks := w.addAttempts(m)
	w.data.Pack(&entry, tasks)
	w.tasks += len(tasks)
	w.data.Machines = append(w.data.Machines, entry)
}

// transfer leaves out an empty machine that goes to another owner, if that owner lives and
// the commit has room for its record.
func (w *blockWrite) transfer(m *inventory.Machine) bool {
	if m.State != inventory.MachineTransferring || len(m.Attempts) > 0 || len(w.transferred) >= w.maxTransfers || !w.owner.canTransfer(m) {
		return false
	}
	successor := w.owner.c.cluster.MemberPrecondition(m.TransferTo.Node())
	if !w.hasRoomForPreconditions(successor.Key) {
		return false
	}
	w.preconditions[successor.Key] = successor.Version
	w.transferred = append(w.transferred, m)
	return true
}

// isUnknownToOthers tells that the write holds the first claim of a machine that another owner
// may adopt at the same time.
func (w *blockWrite) isUnknownToOthers(m *inventory.Machine) bool {
	return m.FencingToken == 0 && !m.Recorded && !w.owner.ownsAllTeams() && !w.block.IsAdopted()
}

// newEntry returns a machine's entry without its tasks.
func (w *blockWrite) newEntry(m *inventory.Machine) record.BlockMachine {
	return record.BlockMachine{
		Name: m.Name, FencingToken: m.FencingToken, Endpoint: m.Endpoint, MachineType: w.offerIndex(m),
		LaunchedAt:      int64(m.ProvisionedAt) - w.data.LaunchTimeBase,
		Decommissioning: m.State == inventory.MachineDecommissioning || m.State == inventory.MachineTerminating,
	}
}

// claim makes the revision of the record the machine's token. The first claim of a machine is
// guarded on no other owner having adopted it.
func (w *blockWrite) claim(m *inventory.Machine, entry *record.BlockMachine, unknown bool) {
	entry.FencingToken = 0
	w.claimed = append(w.claimed, m)
	if unknown {
		w.preconditions[record.BlockKey(inventory.AdoptedPrefix+m.Name)] = 0
	}
}

// addAttempts returns the attempts of a machine's entry. An attempt that is recorded for the
// first time is guarded on its job, which may be cancelled, and on its team.
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

// addAssumed guards an attempt that is recorded for the first time, if there is room for that.
func (w *blockWrite) addAssumed(a *inventory.Attempt) bool {
	jobKey, teamKey := record.ActiveJobKey(a.Job.ID), record.TeamKey(a.Job.Team)
	if !w.hasRoomForPreconditions(jobKey, teamKey) {
		return false
	}
	w.preconditions[jobKey] = a.Job.Version
	w.preconditions[teamKey] = w.owner.Teams[a.Job.Team].Record.Version
	w.assumed = append(w.assumed, a)
	return true
}

// offerIndex returns the index of a machine's kind in the record.
func (w *blockWrite) offerIndex(m *inventory.Machine) int {
	offer := m.Offer()
	i, ok := w.offerIndexes[offer]
	if !ok {
		i = len(w.data.MachineTypes)
		w.offerIndexes[offer] = i
		w.data.MachineTypes = append(w.data.MachineTypes, record.BlockMachineType{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
	}
	return i
}

// jobIndex returns the index of a job in the record.
func (w *blockWrite) jobIndex(j *inventory.Job) int {
	i, ok := w.jobIndexes[j.ID]
	if !ok {
		i = len(w.data.Jobs)
		w.jobIndexes[j.ID] = i
		w.data.Jobs = append(w.data.Jobs, record.BlockJob{
			ID: j.ID, Team: j.Team, Tasks: j.Tasks, CPU: j.Need.CPU, GPU: j.Need.GPU, Mem: j.Need.Mem,
		})
	}
	return i
}

// recordTaskSize notes what a task takes in the block. With few tasks most of the record is the
// entries: taken for the tasks', nothing more would be placed on machines that stand idle,
// and so it would stay. So it is bounded.
func (w *blockWrite) recordTaskSize(size int) {
	if w.tasks == 0 {
		return
	}
	taskBytes := float64(size - len(w.stored)*inventory.MachineEntryBytes)
	w.block.BytesPerTask = min(taskBytes/float64(w.tasks), inventory.NewJobBytes)
}

// addTo puts the write into a commit.
func (w *blockWrite) addTo(t *transaction, value record.Block) {
	b := w.block
	maps.Copy(t.preconditions, w.preconditions)
	b.Writing, b.Dirty = true, false
	w.sources, b.Sources = b.Sources, nil
	key := record.BlockKey(b.Name)
	if len(w.stored) == 0 {
		t.writes = append(t.writes, kv.Write{Delete: key})
	} else {
		t.write(key, value, value.Size())
	}
	for _, m := range w.stored {
		m.Dirty = false
	}
	for _, m := range w.transferred {
		w.owner.writeTransfer(t, m)
	}
	t.results = append(t.results, w.finish)
}

// finish takes the result of the commit.
func (w *blockWrite) finish(committed bool, revision uint64) {
	w.block.Writing = false
	if !committed {
		w.rollBack()
		return
	}
	w.block.Version, w.block.Oversized = revision, false
	for _, m := range w.stored {
		m.Recorded = true
	}
	for _, source := range w.sources {
		source.UnwrittenTargets--
		source.MarkDirty(w.owner.c.now) // if it is empty now, its record is deleted
	}
	w.advanceMachines(revision)
	w.markChanged()
	w.owner.removeEmptyBlock(w.block)
}

// rollBack marks everything dirty again.
func (w *blockWrite) rollBack() {
	b := w.block
	b.MarkDirty(w.owner.c.now)
	b.Sources = append(b.Sources, w.sources...)
	for _, m := range b.Machines {
		m.Dirty = true
	}
}

// advanceMachines changes the states of machines and attempts that waited for the record.
func (w *blockWrite) advanceMachines(revision uint64) {
	o := w.owner
	for _, m := range w.decommissioning {
		if m.State == inventory.MachineDecommissioning {
			o.SetMachineState(m, inventory.MachineTerminating, "recorded")
		}
	}
	for _, m := range w.claimed {
		if w.block.IsAdopted() && m.FencingToken == 0 && !o.ownsAllTeams() {
			o.verifyAdopted(m, revision)
			continue
		}
		o.handleClaimed(m, revision)
	}
	for _, a := range w.removing {
		o.SetAttemptState(a, inventory.AttemptClosed)
	}
	for _, a := range w.assumed {
		o.handleAttemptRecorded(a)
	}
	for _, m := range w.terminated {
		o.forgetMachine(m)
	}
	for _, m := range w.transferred {
		o.completeTransfer(m)
	}
}

// markChanged marks what changed while the commit was under way.
func (w *blockWrite) markChanged() {
	for _, m := range w.block.Machines {
		m.Dirty = m.Dirty || m.NeedsWrite()
		if m.Dirty {
			w.block.MarkDirty(w.owner.c.now)
		}
	}
}
