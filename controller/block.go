package controller

import (
	"slices"
	"strings"

	"tamarindlead/micros"
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

// taskBytes is what a task takes, as a rule, of a job that the block describes already.
func (b *block) taskBytes() float64 { return max(b.bytesPerTask, taskEntryBytes) }

// entryBytes is what a machine's entry takes, as a rule.
func (b *block) entryBytes(m *machine) float64 {
	return machineEntryBytes + b.taskBytes()*float64(len(m.attempts))
}

// estimatedBytes estimates what all entries take.
func (b *block) estimatedBytes() float64 {
	sum := 0.0
	for _, m := range b.machines {
		sum += b.entryBytes(m)
	}
	return sum
}

// isAdopted tells that the block was made for a machine that had no entry in any record.
func (b *block) isAdopted() bool { return strings.HasPrefix(b.name, adoptedPrefix) }

// isTransfer tells that the block was made by another owner, to transfer a machine.
func (b *block) isTransfer() bool { return strings.HasPrefix(b.name, transferPrefix) }

// isSingleMachine tells that the block was made for one machine.
func (b *block) isSingleMachine() bool { return b.isAdopted() || b.isTransfer() }

// add puts a machine's entry into the block.
func (b *block) add(m *machine) {
	m.block = b
	b.machines = append(b.machines, m)
}

// hasUnclaimed tells whether the block has machines that must be claimed.
func (b *block) hasUnclaimed() bool { return slices.ContainsFunc(b.machines, (*machine).isUnclaimed) }

// Prefixes of the names of blocks that are made for one machine.
const (
	adoptedPrefix  = "x-" // the machine had no entry in any record
	transferPrefix = "g-" // the machine was transferred by another owner
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

// markDirty notes that the block must be written.
func (b *block) markDirty(now micros.Micros) {
	if !b.dirty {
		b.dirty, b.dirtySince = true, now
	}
}
