package controller

import (
	"cmp"
	"slices"

	"tamarindlead/internal/record"
)

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

// markDirty notes that a machine's entry must be written.
func (o *owner) markDirty(m *machine) {
	m.dirty = true
	m.block.markDirty(o.c.now)
}

// removeEmptyBlock forgets a block without machines, once nothing must be written for it.
func (o *owner) removeEmptyBlock(b *block) {
	if len(b.machines) == 0 && !b.writing && !b.dirty {
		o.blocks = slices.DeleteFunc(o.blocks, func(x *block) bool { return x == b })
	}
}
