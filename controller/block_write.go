package controller

import (
	"maps"
	"math"

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
	block         *block
	data          *record.BlockData
	preconditions map[string]uint64
	// offerIndexes and jobs are indexes in the lists of the data.
	offerIndexes map[autoscaler.Offer]int
	jobIndexes   map[string]int
	// maxTransfers is how many machines may be transferred: each takes a write of its own.
	maxTransfers int

	stored  []*machine // entries in the record
	tasks   int        // in these entries
	sources []*block   // blocks that machines came from, see block.sources

	claimed         []*machine
	decommissioning []*machine
	terminated      []*machine
	transferred     []*machine
	assumed         []*attempt
	removing        []*attempt
}

// writeBlock adds a block's record to a commit in which room writes are left. A block that
// the commit has no room for waits for the next one.
func (o *owner) writeBlock(t *transaction, b *block, room int) {
	w := o.newBlockWrite(b, room)
	for _, m := range b.machines {
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
func (o *owner) newBlockWrite(b *block, room int) *blockWrite {
	w := &blockWrite{
		owner: o, block: b, maxTransfers: room - 1,
		data:          &record.BlockData{LaunchTimeBase: int64(o.c.wallClock), AttemptBase: math.MaxUint64},
		preconditions: map[string]uint64{record.BlockKey(b.name): b.version},
		offerIndexes:  map[autoscaler.Offer]int{}, jobIndexes: map[string]int{},
	}
	if b.hasUnclaimed() {
		o.addOwnTeamPreconditions(w.preconditions)
	}
	for _, m := range b.machines {
		for _, a := range m.attempts {
			w.data.AttemptBase = min(w.data.AttemptBase, a.number)
		}
		w.data.LaunchTimeBase = min(w.data.LaunchTimeBase, int64(m.provisionedAt))
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
func (w *blockWrite) addMachine(m *machine) {
	if m.state == machineTerminated {
		w.terminated = append(w.terminated, m)
		return
	}
	if w.transfer(m) {
		return
	}
	unknown := w.isUnknownToOthers(m)
	if unknown && !w.hasRoomForPreconditions(record.BlockKey(adoptedPrefix+m.name)) {
		return // its first claim comes with the next write
	}
	w.stored = append(w.stored, m)
	entry := w.newEntry(m)
	if m.fencingToken == 0 || m.fencing == fencingNeeded {
		w.claim(m, &entry, unknown)
	}
	if m.state == machineDecommissioning {
		w.decommissioning = append(w.decommissioning, m)
	}
	tasks := w.addAttempts(m)
	w.data.Pack(&entry, tasks)
	w.tasks += len(tasks)
	w.data.Machines = append(w.data.Machines, entry)
}

// transfer leaves out an empty machine that goes to another owner, if that owner lives and
// the commit has room for its record.
func (w *blockWrite) transfer(m *machine) bool {
	if m.state != machineTransferring || len(m.attempts) > 0 || len(w.transferred) >= w.maxTransfers || !w.owner.canTransfer(m) {
		return false
	}
	successor := w.owner.c.cluster.MemberPrecondition(m.transferTo.Node())
	if !w.hasRoomForPreconditions(successor.Key) {
		return false
	}
	w.preconditions[successor.Key] = successor.Version
	w.transferred = append(w.transferred, m)
	return true
}

// isUnknownToOthers tells that the write holds the first claim of a machine that another owner
// may adopt at the same time.
func (w *blockWrite) isUnknownToOthers(m *machine) bool {
	return m.fencingToken == 0 && !m.recorded && !w.owner.ownsAllTeams() && !w.block.isAdopted()
}

// newEntry returns a machine's entry without its tasks.
func (w *blockWrite) newEntry(m *machine) record.BlockMachine {
	return record.BlockMachine{
		Name: m.name, FencingToken: m.fencingToken, Endpoint: m.endpoint, MachineType: w.offerIndex(m),
		LaunchedAt:      int64(m.provisionedAt) - w.data.LaunchTimeBase,
		Decommissioning: m.state == machineDecommissioning || m.state == machineTerminating,
	}
}

// claim makes the revision of the record the machine's token. The first claim of a machine is
// guarded on no other owner having adopted it.
func (w *blockWrite) claim(m *machine, entry *record.BlockMachine, unknown bool) {
	entry.FencingToken = 0
	w.claimed = append(w.claimed, m)
	if unknown {
		w.preconditions[record.BlockKey(adoptedPrefix+m.name)] = 0
	}
}

// addAttempts returns the attempts of a machine's entry. An attempt that is recorded for the
// first time is guarded on its job, which may be cancelled, and on its team.
func (w *blockWrite) addAttempts(m *machine) []record.BlockTask {
	var tasks []record.BlockTask
	for _, a := range m.attemptsInRecordOrder() {
		if a.state == attemptRemoving {
			w.removing = append(w.removing, a)
			continue
		}
		if a.state == attemptAssumed && !w.addAssumed(a) {
			continue
		}
		tasks = append(tasks, record.BlockTask{Job: w.jobIndex(a.job), Index: a.index, Attempt: a.number})
	}
	return tasks
}

// addAssumed guards an attempt that is recorded for the first time, if there is room for that.
func (w *blockWrite) addAssumed(a *attempt) bool {
	jobKey, teamKey := record.ActiveJobKey(a.job.ID), record.TeamKey(a.job.Team)
	if !w.hasRoomForPreconditions(jobKey, teamKey) {
		return false
	}
	w.preconditions[jobKey] = a.job.version
	w.preconditions[teamKey] = w.owner.teams[a.job.Team].record.Version
	w.assumed = append(w.assumed, a)
	return true
}

// offerIndex returns the index of a machine's kind in the record.
func (w *blockWrite) offerIndex(m *machine) int {
	offer := m.offer()
	i, ok := w.offerIndexes[offer]
	if !ok {
		i = len(w.data.MachineTypes)
		w.offerIndexes[offer] = i
		w.data.MachineTypes = append(w.data.MachineTypes, record.BlockMachineType{Type: m.machineType, Zone: m.zone, Spot: m.spot})
	}
	return i
}

// jobIndex returns the index of a job in the record.
func (w *blockWrite) jobIndex(j *job) int {
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
	taskBytes := float64(size - len(w.stored)*machineEntryBytes)
	w.block.bytesPerTask = min(taskBytes/float64(w.tasks), newJobBytes)
}

// addTo puts the write into a commit.
func (w *blockWrite) addTo(t *transaction, value record.Block) {
	b := w.block
	maps.Copy(t.preconditions, w.preconditions)
	b.writing, b.dirty = true, false
	w.sources, b.sources = b.sources, nil
	key := record.BlockKey(b.name)
	if len(w.stored) == 0 {
		t.writes = append(t.writes, kv.Write{Delete: key})
	} else {
		t.write(key, value, value.Size())
	}
	for _, m := range w.stored {
		m.dirty = false
	}
	for _, m := range w.transferred {
		w.owner.writeTransfer(t, m)
	}
	t.results = append(t.results, w.finish)
}

// finish takes the result of the commit.
func (w *blockWrite) finish(committed bool, revision uint64) {
	w.block.writing = false
	if !committed {
		w.rollBack()
		return
	}
	w.block.version, w.block.oversized = revision, false
	for _, m := range w.stored {
		m.recorded = true
	}
	for _, source := range w.sources {
		source.unwrittenTargets--
		w.owner.markBlockDirty(source) // if it is empty now, its record is deleted
	}
	w.advanceMachines(revision)
	w.markChanged()
	w.owner.removeEmptyBlock(w.block)
}

// rollBack marks everything dirty again.
func (w *blockWrite) rollBack() {
	b := w.block
	w.owner.markBlockDirty(b)
	b.sources = append(b.sources, w.sources...)
	for _, m := range b.machines {
		m.dirty = true
	}
}

// advanceMachines changes the states of machines and attempts that waited for the record.
func (w *blockWrite) advanceMachines(revision uint64) {
	o := w.owner
	for _, m := range w.decommissioning {
		if m.state == machineDecommissioning {
			o.setMachineState(m, machineTerminating, "recorded")
		}
	}
	for _, m := range w.claimed {
		if w.block.isAdopted() && m.fencingToken == 0 && !o.ownsAllTeams() {
			o.verifyAdopted(m, revision)
			continue
		}
		o.handleClaimed(m, revision)
	}
	for _, a := range w.removing {
		o.setAttemptState(a, attemptClosed)
	}
	for _, a := range w.assumed {
		o.handleAttemptRecorded(a)
	}
	for _, m := range w.terminated {
		o.removeMachine(m)
	}
	for _, m := range w.transferred {
		o.completeTransfer(m)
	}
}

// markChanged marks what changed while the commit was under way.
func (w *blockWrite) markChanged() {
	for _, m := range w.block.machines {
		m.dirty = m.dirty || m.needsWrite()
		if m.dirty {
			w.owner.markBlockDirty(w.block)
		}
	}
}

// needsWrite tells whether a machine's state or an attempt on it waits for the record.
func (m *machine) needsWrite() bool {
	for _, a := range m.attempts {
		if a.state == attemptAssumed || a.state == attemptRemoving {
			return true
		}
	}
	switch m.state {
	case machineDecommissioning, machineTerminated:
		return true
	case machineTransferring:
		if len(m.attempts) == 0 {
			return true
		}
	}
	return m.isUnclaimed() || m.fencing == fencingNeeded
}
