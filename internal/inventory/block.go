package inventory

import (
	"slices"
	"strings"

	"tamarindlead/micros"
)

// Block is a record with the entries of several machines of an owner. Since one write stores all of
// them, a single transaction can record the starts and ends of tasks on hundreds of machines.
type Block struct {
	Name     string
	Version  uint64 // of the record; 0 if it is not written yet
	Machines []*Machine

	Dirty      bool // the block must be written
	DirtySince micros.Micros
	Writing    bool // a transaction with the block is in flight

	// Sources are the blocks from which machines were moved to this block since its last write.
	// Their records still contain these machines, and are written without them after this block
	// has been written.
	Sources []*Block
	// UnwrittenTargets counts the blocks to which machines of this block were moved and which have
	// not been written since. Until they are, this block must not be written.
	UnwrittenTargets int

	// Oversized is set if the block exceeded the size limit of values in the key-value store. No
	// task is placed on its machines until it has been written.
	Oversized bool
	// RetryAt is when the write of a block that exceeds the size limit and cannot be split is tried
	// again.
	RetryAt micros.Micros
	// BytesPerTask is the average size of a task in the last write, including its part of the
	// descriptions of jobs.
	BytesPerTask float64
}

// TaskBytes returns the expected size of a further task of a job that the block describes already.
func (b *Block) TaskBytes() float64 { return max(b.BytesPerTask, TaskEntryBytes) }

// EntryBytes returns the expected size of a machine's entry.
func (b *Block) EntryBytes(m *Machine) float64 {
	return MachineEntryBytes + b.TaskBytes()*float64(len(m.Attempts))
}

// EstimatedBytes returns the expected size of all entries.
func (b *Block) EstimatedBytes() float64 {
	sum := 0.0
	for _, m := range b.Machines {
		sum += b.EntryBytes(m)
	}
	return sum
}

// IsAdopted reports whether the block was made for a machine that had no entry in any record.
func (b *Block) IsAdopted() bool { return strings.HasPrefix(b.Name, AdoptedPrefix) }

// IsTransfer reports whether the block was made by another owner, to transfer a machine.
func (b *Block) IsTransfer() bool { return strings.HasPrefix(b.Name, TransferPrefix) }

// IsSingleMachine reports whether the block was made for one machine.
func (b *Block) IsSingleMachine() bool { return b.IsAdopted() || b.IsTransfer() }

// Add adds a machine's entry to the block.
func (b *Block) Add(m *Machine) {
	m.Block = b
	b.Machines = append(b.Machines, m)
}

// HasUnclaimed reports whether the block has machines that must be claimed.
func (b *Block) HasUnclaimed() bool { return slices.ContainsFunc(b.Machines, (*Machine).IsUnclaimed) }

// Prefixes of the names of blocks that are made for one machine.
const (
	AdoptedPrefix  = "x-" // the machine had no entry in any record
	TransferPrefix = "g-" // the machine was transferred by another owner
)

// Sizes of blocks. They are estimates: the exact size is known only when a block is written.
const (
	// MaxBlockMachines is the largest number of machines in a block.
	MaxBlockMachines = 64
	// MaxEntryTasks is the largest number of tasks in one machine's entry, so that its block is
	// within the size limit of values.
	MaxEntryTasks = 128
	// MachineEntryBytes is the size of a machine's entry without tasks.
	MachineEntryBytes = 32
	// TaskEntryBytes is the minimum size of a task in an entry.
	TaskEntryBytes = 4
	// NewJobBytes is the usual upper bound of the size of a job's first task in a block, which
	// adds the description of the job.
	NewJobBytes = 40
	// DefaultTasksPerMachine is the assumed number of tasks of a machine while no job is known.
	DefaultTasksPerMachine = 16
	// MaxFillForMachines is the fraction of the size limit of values up to which machines are added
	// to a block.
	MaxFillForMachines = 0.7
	// MaxFillForTasks is the fraction of the size limit of values up to which tasks are placed on
	// the machines of a block.
	MaxFillForTasks = 0.85
	// MaxFreeBytesSplit is the largest number of machines among which the free bytes of a block
	// are divided. They are divided because the tasks that are placed in one pass may go to
	// several machines of one block.
	MaxFreeBytesSplit = 3
)

// IsDue reports whether the block must and may be written now.
func (b *Block) IsDue(now micros.Micros) bool {
	return b.Dirty && !b.Writing && b.UnwrittenTargets == 0 && now >= b.RetryAt
}

// AddSource records that machines were moved from another block, which must not be written before this
// one.
func (b *Block) AddSource(from *Block) {
	b.Sources = append(b.Sources, from)
	from.UnwrittenTargets++
}

// MarkDirty marks the block as one that must be written.
func (b *Block) MarkDirty(now micros.Micros) {
	if !b.Dirty {
		b.Dirty, b.DirtySince = true, now
	}
}
