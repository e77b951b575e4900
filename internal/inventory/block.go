package inventory

import (
	"slices"
	"strings"

	"tamarindlead/micros"
)

// Block is a record of machines at their owner. One write holds the entries of all machines
// of a block, so that a commit carries the starts and ends on hundreds of machines.
type Block struct {
	Name     string
	Version  uint64 // of the record; 0: not written yet
	Machines []*Machine

	Dirty      bool // it must be written
	DirtySince micros.Micros
	Writing    bool // a commit with it is under way

	// Sources are the blocks from which machines came since the last write. They are written
	// without them once this block has been written.
	Sources []*Block
	// UnwrittenTargets counts the blocks to which machines went and which are not written
	// yet. Until they are, this block must not be written.
	UnwrittenTargets int

	// Oversized: the block did not fit a value. Nothing is placed on its machines until it
	// has been written.
	Oversized bool
	RetryAt   micros.Micros // the next attempt to write it, if it fits no value
	// BytesPerTask is what a task took in the last write, with its part of the jobs' names.
	BytesPerTask float64
}

// TaskBytes is what a task takes, as a rule, of a job that the block describes already.
func (b *Block) TaskBytes() float64 { return max(b.BytesPerTask, TaskEntryBytes) }

// EntryBytes is what a machine's entry takes, as a rule.
func (b *Block) EntryBytes(m *Machine) float64 {
	return MachineEntryBytes + b.TaskBytes()*float64(len(m.Attempts))
}

// EstimatedBytes estimates what all entries take.
func (b *Block) EstimatedBytes() float64 {
	sum := 0.0
	for _, m := range b.Machines {
		sum += b.EntryBytes(m)
	}
	return sum
}

// IsAdopted tells that the block was made for a machine that had no entry in any record.
func (b *Block) IsAdopted() bool { return strings.HasPrefix(b.Name, AdoptedPrefix) }

// IsTransfer tells that the block was made by another owner, to transfer a machine.
func (b *Block) IsTransfer() bool { return strings.HasPrefix(b.Name, TransferPrefix) }

// IsSingleMachine tells that the block was made for one machine.
func (b *Block) IsSingleMachine() bool { return b.IsAdopted() || b.IsTransfer() }

// Add puts a machine's entry into the block.
func (b *Block) Add(m *Machine) {
	m.Block = b
	b.Machines = append(b.Machines, m)
}

// HasUnclaimed tells whether the block has machines that must be claimed.
func (b *Block) HasUnclaimed() bool { return slices.ContainsFunc(b.Machines, (*Machine).IsUnclaimed) }

// Prefixes of the names of blocks that are made for one machine.
const (
	AdoptedPrefix  = "x-" // the machine had no entry in any record
	TransferPrefix = "g-" // the machine was transferred by another owner
)

// Sizes of blocks, as a rule: the exact size is known only when a block is written.
const (
	// MaxBlockMachines bounds the machines of a block. Few can be that many in most values.
	MaxBlockMachines = 64
	// MaxEntryTasks bounds the tasks in one machine's entry, so that its block fits a value.
	MaxEntryTasks = 128
	// MachineEntryBytes is what a machine's entry takes without tasks.
	MachineEntryBytes = 32
	// TaskEntryBytes is the least that a task takes in an entry.
	TaskEntryBytes = 4
	// NewJobBytes is what a job's first task in a block takes, at most as a rule: it brings the
	// description of the job.
	NewJobBytes = 40
	// DefaultTasksPerMachine is how many tasks a machine gets while no job is known.
	DefaultTasksPerMachine = 16
	// MaxFillForMachines is the part of a value that a block may take when machines are added to it.
	MaxFillForMachines = 0.7
	// MaxFillForTasks is the part of a value that a block may take when tasks are placed on its machines.
	MaxFillForTasks = 0.85
	// MaxFreeBytesSplit is among how many machines the free bytes of a block are divided, at most:
	// tasks that are placed in one pass may go to several machines of one block.
	MaxFreeBytesSplit = 3
)

// IsDue reports whether the block must and may be written now.
func (b *Block) IsDue(now micros.Micros) bool {
	return b.Dirty && !b.Writing && b.UnwrittenTargets == 0 && now >= b.RetryAt
}

// AddSource records that machines came from another block, which must not be written before this one.
func (b *Block) AddSource(from *Block) {
	b.Sources = append(b.Sources, from)
	from.UnwrittenTargets++
}

// MarkDirty notes that the block must be written.
func (b *Block) MarkDirty(now micros.Micros) {
	if !b.Dirty {
		b.Dirty, b.DirtySince = true, now
	}
}
