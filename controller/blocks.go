package controller

import (
	"cmp"
	"slices"
	"strings"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// Sizes of blocks, as a rule: the exact size is known only when a block is written.
const (
	// maxBlockMachines bounds the machines of a block. Few can be that many in most values.
	maxBlockMachines = 64
	// maxEntryTasks bounds the tasks in one machine's entry, so that its block fits a value.
	maxEntryTasks = 128
	// machineEntryBytes is what a machine's entry takes without tasks.
	machineEntryBytes = 32
	// taskEntryBytes is the least that a task takes in an entry.
	taskEntryBytes = 4
	// newJobBytes is what a job's first task in a block takes, at most as a rule: it brings the
	// description of the job.
	newJobBytes = 40
	// defaultTasksPerMachine is how many tasks a machine gets while no job is known.
	defaultTasksPerMachine = 16
	// maxFillForMachines is the part of a value that a block may take when machines are added to it.
	maxFillForMachines = 0.7
	// maxFillForTasks is the part of a value that a block may take when tasks are placed on its machines.
	maxFillForTasks = 0.85
	// maxFreeBytesSplit is among how many machines the free bytes of a block are divided, at most:
	// tasks that are placed in one pass may go to several machines of one block.
	maxFreeBytesSplit = 3
)

// Prefixes of the names of blocks that are made for one machine.
const (
	adoptedPrefix  = "x-" // the machine had no entry in any record
	transferPrefix = "g-" // the machine was transferred by another owner
)

// block is a record of machines at their owner. One write holds the entries of all machines
// of a block, so that a commit carries the starts and ends on hundreds of machines.
type block struct {
	name     string
	version  uint64 // of the record; 0: not written yet
	machines []*machine

	dirty      bool // it must be written
	dirtySince micros.Micros
	writing    bool // a commit with it is under way

	// sources are the blocks from which machines came since the last write. They are written
	// without them once this block has been written.
	sources []*block
	// unwrittenTargets counts the blocks to which machines went and which are not written
	// yet. Until they are, this block must not be written.
	unwrittenTargets int

	// oversized: the block did not fit a value. Nothing is placed on its machines until it
	// has been written.
	oversized bool
	retryAt   micros.Micros // the next attempt to write it, if it fits no value
	// bytesPerTask is what a task took in the last write, with its part of the jobs' names.
	bytesPerTask float64
}

// blockFor returns the block that a new machine's entry goes to. Machines of one type and
// zone share blocks, so that a gang is recorded by few writes.
func (o *owner) blockFor(kind, zone string) *block {
	most := o.maxMachines(kind)
	for _, b := range o.blocks {
		if n := len(b.machines); n == 0 || n >= most || b.isSingleMachine() {
			continue
		}
		if first := b.machines[0]; first.machineType == kind && first.zone == zone {
			return b
		}
	}
	return o.newBlock(record.FormatNumber(o.nextNumber()))
}

// maxMachines is how many machines of a type share a block: as many as fit, each with the
// tasks that it may get.
func (o *owner) maxMachines(kind string) int {
	tasks := defaultTasksPerMachine
	if t := o.c.types.find(kind); t != nil {
		if n := o.classes.MaxAverageTasks(t.Size, maxEntryTasks); n > 0 {
			tasks = n
		}
	}
	fillBytes := int(float64(o.c.cfg.MaxValueBytes) * maxFillForMachines)
	fitting := fillBytes / (machineEntryBytes + tasks*taskEntryBytes)
	return min(max(1, fitting), maxBlockMachines)
}

// freeSlots is how many more tasks of one job a machine's entry can hold: a part of what is
// left in its block, by what a task took there when it was written last. The first is taken to
// bring the job's description. The free bytes of blocks are kept in freeBytes.
func (o *owner) freeSlots(m *machine, freeBytes map[*block]float64) int {
	b := m.block
	free, ok := freeBytes[b]
	if !ok {
		free = o.freeBytes(b)
		freeBytes[b] = free
	}
	if b.oversized || free < newJobBytes {
		return 0
	}
	slots := 1 + int((free-newJobBytes)/b.taskBytes())
	return min(slots/min(maxFreeBytesSplit, len(b.machines)), maxEntryTasks-len(m.attempts))
}

// freeBytes is how much more of a value the tasks of a block may take. Of the tasks that are
// not recorded yet, one of each job is taken to bring the job's description: were all taken for
// that, a block would get few tasks with each write.
func (o *owner) freeBytes(b *block) float64 {
	free := float64(o.c.cfg.MaxValueBytes) * maxFillForTasks
	newJobs := map[*job]bool{}
	for _, m := range b.machines {
		free -= b.entryBytes(m)
		for _, a := range m.attempts {
			if a.state == attemptAssumed && !newJobs[a.job] {
				newJobs[a.job] = true
				free -= max(0, newJobBytes-b.taskBytes())
			}
		}
	}
	return free
}

// taskBytes is what a task takes, as a rule, of a job that the block describes already.
func (b *block) taskBytes() float64 { return max(b.bytesPerTask, taskEntryBytes) }

// entryBytes is what a machine's entry takes, as a rule.
func (b *block) entryBytes(m *machine) float64 {
	return machineEntryBytes + b.taskBytes()*float64(len(m.attempts))
}

// isAdopted tells that the block was made for a machine that had no entry in any record.
func (b *block) isAdopted() bool { return strings.HasPrefix(b.name, adoptedPrefix) }

// isTransfer tells that the block was made by another owner, to transfer a machine.
func (b *block) isTransfer() bool { return strings.HasPrefix(b.name, transferPrefix) }

// isSingleMachine tells that the block was made for one machine.
func (b *block) isSingleMachine() bool { return b.isAdopted() || b.isTransfer() }

// mergeTransferred moves a machine from the block in which it was transferred to a shared
// one: hundreds of blocks with one machine would use up the writes. The old record is deleted
// only after the new one is written; should both be found, the newer holds. The block of an
// adopted machine stays, since other owners' first claims are guarded against its name.
func (o *owner) mergeTransferred(b *block) {
	if !b.isTransfer() || len(b.machines) != 1 || b.writing {
		return
	}
	m := b.machines[0]
	target := o.blockFor(m.machineType, m.zone)
	settled := m.fencingToken != 0 && m.fencing == fencingNone && !m.verifying && m.state < machineTransferring
	if !settled || target.writing {
		return
	}
	b.machines, b.dirty = nil, false
	target.add(m)
	target.sources = append(target.sources, b)
	b.unwrittenTargets++
	o.markDirty(m)
}

// newBlock makes a block; the owner's blocks are kept in the order of their names.
func (o *owner) newBlock(name string) *block {
	b := &block{name: name}
	i, _ := slices.BinarySearchFunc(o.blocks, name, func(b *block, n string) int { return cmp.Compare(b.name, n) })
	o.blocks = slices.Insert(o.blocks, i, b)
	return b
}

// add puts a machine's entry into the block.
func (b *block) add(m *machine) {
	m.block = b
	b.machines = append(b.machines, m)
}

// markDirty notes that a machine's entry must be written.
func (o *owner) markDirty(m *machine) {
	m.dirty = true
	o.markBlockDirty(m.block)
}

// markBlockDirty notes that a block must be written.
func (o *owner) markBlockDirty(b *block) {
	if !b.dirty {
		b.dirty, b.dirtySince = true, o.c.now
	}
}

// removeEmptyBlock forgets a block without machines, once nothing must be written for it.
func (o *owner) removeEmptyBlock(b *block) {
	if len(b.machines) == 0 && !b.writing && !b.dirty {
		o.blocks = slices.DeleteFunc(o.blocks, func(x *block) bool { return x == b })
	}
}
