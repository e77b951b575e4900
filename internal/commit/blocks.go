package commit

import (
	"cmp"
	"slices"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
)

// Blocks returns the blocks sorted by name. The caller must not change the list.
func (p *Pipeline) Blocks() []*inventory.Block { return p.blocks }

// HasBlock reports whether a key is that of a block that this owner has written or read.
func (p *Pipeline) HasBlock(key string) bool {
	return slices.ContainsFunc(p.blocks, func(b *inventory.Block) bool { return b.Version > 0 && record.BlockKey(b.Name) == key })
}

// BlockFor returns the block to which the entry of a new machine is added. Machines of one type and
// zone share blocks, so that a gang is recorded by few writes.
func (p *Pipeline) BlockFor(machineType, zone string) *inventory.Block {
	maxMachines := p.maxBlockMachines(machineType)
	for _, b := range p.blocks {
		if n := len(b.Machines); n == 0 || n >= maxMachines || b.IsSingleMachine() {
			continue
		}
		if first := b.Machines[0]; first.Type == machineType && first.Zone == zone {
			return b
		}
	}
	return p.NewBlock(record.FormatNumber(p.host.NextNumber()))
}

// maxBlockMachines returns how many machines of a type share a block: as many as fit, each with the
// tasks that it is likely to run.
func (p *Pipeline) maxBlockMachines(machineType string) int {
	tasks := inventory.DefaultTasksPerMachine
	if n := p.host.TypicalTasks(machineType); n > 0 {
		tasks = n
	}
	fillBytes := int(float64(p.settings.MaxValueBytes) * inventory.MaxFillForMachines)
	fitting := fillBytes / (inventory.MachineEntryBytes + tasks*inventory.TaskEntryBytes)
	return min(max(1, fitting), inventory.MaxBlockMachines)
}

// FreeSlots returns how many more tasks of one job a machine's entry can hold. Each machine may use
// a part of the free bytes of its block; the size of a task is the estimate from the last write of
// the block. The first task is assumed to add the job's description. freeBytes caches the free
// bytes of blocks.
func (p *Pipeline) FreeSlots(m *inventory.Machine, freeBytes map[*inventory.Block]float64) int {
	b := m.Block
	free, ok := freeBytes[b]
	if !ok {
		free = p.FreeBytes(b)
		freeBytes[b] = free
	}
	if b.Oversized || free < inventory.NewJobBytes {
		return 0
	}
	slots := 1 + int((free-inventory.NewJobBytes)/b.TaskBytes())
	return min(slots/min(inventory.MaxFreeBytesSplit, len(b.Machines)), inventory.MaxEntryTasks-len(m.Attempts))
}

// FreeBytes returns how many more bytes the tasks of a block may take in its record. Of the tasks
// that are not recorded yet, only one of each job is assumed to add the job's description: if every
// task were assumed to add it, each write of a block would record only a few tasks.
func (p *Pipeline) FreeBytes(b *inventory.Block) float64 {
	free := float64(p.settings.MaxValueBytes) * inventory.MaxFillForTasks
	newJobs := map[*inventory.Job]bool{}
	for _, m := range b.Machines {
		free -= b.EntryBytes(m)
		for _, a := range m.Attempts {
			if a.State == inventory.AttemptAssumed && !newJobs[a.Job] {
				newJobs[a.Job] = true
				free -= max(0, inventory.NewJobBytes-b.TaskBytes())
			}
		}
	}
	return free
}

// NewBlock adds a block without machines.
func (p *Pipeline) NewBlock(name string) *inventory.Block {
	b := &inventory.Block{Name: name}
	i, _ := slices.BinarySearchFunc(p.blocks, name, func(b *inventory.Block, name string) int { return cmp.Compare(b.Name, name) })
	p.blocks = slices.Insert(p.blocks, i, b)
	return b
}

// MarkDirty marks the entry of a machine as one that must be written.
func (p *Pipeline) MarkDirty(m *inventory.Machine) {
	m.Dirty = true
	m.Block.MarkDirty(p.host.Now())
}

// mergeTransferred moves a machine from the block in which it was transferred to a shared block:
// hundreds of blocks with one machine would exhaust the write budget. The old record is deleted
// only after the new one is written; if a recovery finds both, the newer one takes precedence. The
// block of an adopted machine is kept, since the absence of a block with its name is a precondition
// of other owners' first claims.
func (p *Pipeline) mergeTransferred(b *inventory.Block) {
	if !b.IsTransfer() || len(b.Machines) != 1 || b.Writing {
		return
	}
	m := b.Machines[0]
	target := p.BlockFor(m.Type, m.Zone)
	settled := m.FencingToken != 0 && m.Fencing == inventory.FencingNone && !m.Verifying && m.State < inventory.MachineTransferring
	if !settled || target.Writing {
		return
	}
	b.Machines, b.Dirty = nil, false
	target.Add(m)
	target.AddSource(b)
	p.MarkDirty(m)
}

// removeEmptyBlock removes a block that has no machines and no outstanding write.
func (p *Pipeline) removeEmptyBlock(b *inventory.Block) {
	if len(b.Machines) == 0 && !b.Writing && !b.Dirty {
		p.blocks = slices.DeleteFunc(p.blocks, func(x *inventory.Block) bool { return x == b })
	}
}
