package controller

import (
	"cmp"
	"slices"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/record"
)

// blockFor returns the block that a new machine's entry goes to. Machines of one type and
// zone share blocks, so that a gang is recorded by few writes.
func (o *owner) blockFor(kind, zone string) *inventory.Block {
	most := o.maxMachines(kind)
	for _, b := range o.blocks {
		if n := len(b.Machines); n == 0 || n >= most || b.IsSingleMachine() {
			continue
		}
		if first := b.Machines[0]; first.Type == kind && first.Zone == zone {
			return b
		}
	}
	return o.newBlock(record.FormatNumber(o.nextNumber()))
}

// maxMachines is how many machines of a type share a block: as many as fit, each with the
// tasks that it may get.
func (o *owner) maxMachines(kind string) int {
	tasks := inventory.DefaultTasksPerMachine
	if t := o.c.types.Find(kind); t != nil {
		if n := o.classes.MaxAverageTasks(t.Size, inventory.MaxEntryTasks); n > 0 {
			tasks = n
		}
	}
	fillBytes := int(float64(o.c.cfg.MaxValueBytes) * inventory.MaxFillForMachines)
	fitting := fillBytes / (inventory.MachineEntryBytes + tasks*inventory.TaskEntryBytes)
	return min(max(1, fitting), inventory.MaxBlockMachines)
}

// freeSlots is how many more tasks of one job a machine's entry can hold: a part of what is
// left in its block, by what a task took there when it was written last. The first is taken to
// bring the job's description. The free bytes of blocks are kept in freeBytes.
func (o *owner) freeSlots(m *inventory.Machine, freeBytes map[*inventory.Block]float64) int {
	b := m.Block
	free, ok := freeBytes[b]
	if !ok {
		free = o.freeBytes(b)
		freeBytes[b] = free
	}
	if b.Oversized || free < inventory.NewJobBytes {
		return 0
	}
	slots := 1 + int((free-inventory.NewJobBytes)/b.TaskBytes())
	return min(slots/min(inventory.MaxFreeBytesSplit, len(b.Machines)), inventory.MaxEntryTasks-len(m.Attempts))
}

// freeBytes is how much more of a value the tasks of a block may take. Of the tasks that are
// not recorded yet, one of each job is taken to bring the job's description: were all taken for
// that, a block would get few tasks with each write.
func (o *owner) freeBytes(b *inventory.Block) float64 {
	free := float64(o.c.cfg.MaxValueBytes) * inventory.MaxFillForTasks
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

// mergeTransferred moves a machine from the block in which it was transferred to a shared
// one: hundreds of blocks with one machine would use up the writes. The old record is deleted
// only after the new one is written; should both be found, the newer holds. The block of an
// adopted machine stays, since other owners' first claims are guarded against its name.
func (o *owner) mergeTransferred(b *inventory.Block) {
	if !b.IsTransfer() || len(b.Machines) != 1 || b.Writing {
		return
	}
	m := b.Machines[0]
	target := o.blockFor(m.Type, m.Zone)
	settled := m.FencingToken != 0 && m.Fencing == inventory.FencingNone && !m.Verifying && m.State < inventory.MachineTransferring
	if !settled || target.Writing {
		return
	}
	b.Machines, b.Dirty = nil, false
	target.Add(m)
	target.Sources = append(target.Sources, b)
	b.UnwrittenTargets++
	o.markDirty(m)
}

// newBlock makes a block; the owner's blocks are kept in the order of their names.
func (o *owner) newBlock(name string) *inventory.Block {
	b := &inventory.Block{Name: name}
	i, _ := slices.BinarySearchFunc(o.blocks, name, func(b *inventory.Block, n string) int { return cmp.Compare(b.Name, n) })
	o.blocks = slices.Insert(o.blocks, i, b)
	return b
}

// MarkDirty notes that a machine's entry must be written.
func (o *owner) markDirty(m *inventory.Machine) {
	m.Dirty = true
	m.Block.MarkDirty(o.c.now)
}

// removeEmptyBlock forgets a block without machines, once nothing must be written for it.
func (o *owner) removeEmptyBlock(b *inventory.Block) {
	if len(b.Machines) == 0 && !b.Writing && !b.Dirty {
		o.blocks = slices.DeleteFunc(o.blocks, func(x *inventory.Block) bool { return x == b })
	}
}
