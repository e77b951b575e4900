package controller

import (
	"cmp"
	"slices"
	"strings"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// This file keeps the machines' entries. One write holds the entries of a whole block,
// so that a commit carries the starts and ends on hundreds of machines.

// Bounds of a block. Its size is bounded by the settings; these keep it below.
const (
	blockMost      = 64   // machines
	entryBytes     = 32   // of a machine without tasks, as a rule
	taskBytes      = 4    // of a task in an entry, as a rule
	freshBytes     = 40   // of a task that is not recorded yet, at most as a rule: it may bring its job's name
	blockTasks     = 16   // for each machine, when a block is filled with machines and no job is known
	blockUsed      = 0.7  // of a value, when a block is filled with machines
	blockFull      = 0.85 // of a value, when machines are filled with tasks
	adoptedPrefix  = "x-" // prefix of the block of a machine that nobody expected
	transferPrefix = "g-" // and of one that another owner gave
)

// block is a record of machines at their owner.
type block struct {
	name     string
	version  uint64
	machines []*machine
	dirty    bool
	since    micros.Micros // dirty
	writing  bool
	left     []*block // of machines that came from these, until the record says so
	behind   int      // new records of machines that left it which are not written yet: it must wait
	// tooLarge: it outgrew a value, and nothing is placed on its machines until it is written.
	tooLarge  bool
	notBefore micros.Micros // the next attempt to write what fits no value
	// taskBytes is what a task takes, with its part of the names of jobs.
	taskBytes float64
}

// blockFor finds the block that a new machine's entry goes to. Machines of one type and
// zone share blocks: a gang is then recorded by few writes.
func (o *owner) blockFor(kind, zone string) *block {
	for _, b := range o.blocks {
		if n := len(b.machines); n > 0 && n < o.blockRoom(kind) && b.machines[0].kind == kind && b.machines[0].zone == zone &&
			!b.single() {
			return b
		}
	}
	return o.newBlock(record.NumberName(o.nextNumber()))
}

// blockRoom is how many machines of a type share a block: as many as fit, each with the
// tasks that it may get.
func (o *owner) blockRoom(kind string) int {
	tasks := blockTasks
	if t := o.c.types.find(kind); t != nil {
		if n := o.classes.MostUsualTasks(t.Size, recordSlots); n > 0 {
			tasks = n
		}
	}
	return min(max(1, int(float64(o.c.cfg.ValueBytes)*blockUsed)/(entryBytes+tasks*taskBytes)), blockMost)
}

// slotsOf is how many more tasks a machine's entry can hold: a part of what is left in
// its block, by what a task took there when it was written last. A task that is not recorded
// yet is taken for the first of its job.
func (o *owner) slotsOf(m *machine, left map[*block]float64) int {
	b := m.block
	free, ok := left[b]
	if !ok {
		free = o.freeBytes(b)
		left[b] = free
	}
	if b.tooLarge {
		return 0
	}
	return min(int(free/max(b.taskBytes, freshBytes))/min(3, len(b.machines)), recordSlots-len(m.attempts))
}

// freeBytes is what is left of a value in a block.
func (o *owner) freeBytes(b *block) float64 {
	each := max(b.taskBytes, taskBytes)
	left := float64(o.c.cfg.ValueBytes) * blockFull
	for _, m := range b.machines {
		left -= entryBytes
		for _, a := range m.attempts {
			if a.state == attemptProposed {
				left -= max(each, freshBytes)
			} else {
				left -= each
			}
		}
	}
	return left
}

// single tells a block that was made for one machine by its name.
func (b *block) single() bool {
	return strings.HasPrefix(b.name, adoptedPrefix) || strings.HasPrefix(b.name, transferPrefix)
}

// gather moves a machine that was given out of its block of its own: hundreds of such would
// use up the writes. The old record goes only after the new one is written; should both be
// found, the newer holds. The block of an adopted machine stays, since other owners' first
// claims are guarded against its name.
func (o *owner) gather(b *block) {
	if !strings.HasPrefix(b.name, transferPrefix) || len(b.machines) != 1 || b.writing {
		return
	}
	m := b.machines[0]
	to := o.blockFor(m.kind, m.zone)
	if m.token == 0 || m.fence != fenceNone || m.verifying || to.writing || m.state >= machineMoving {
		return
	}
	b.machines, b.dirty = nil, false
	to.add(m)
	to.left = append(to.left, b)
	o.markDirty(m)
}

func (o *owner) newBlock(name string) *block {
	b := &block{name: name}
	i, _ := slices.BinarySearchFunc(o.blocks, name, func(b *block, n string) int { return cmp.Compare(b.name, n) })
	o.blocks = slices.Insert(o.blocks, i, b)
	return b
}

func (b *block) add(m *machine) {
	m.block = b
	b.machines = append(b.machines, m)
}

// markDirty notes that a machine's entry must be written.
func (o *owner) markDirty(m *machine) {
	m.dirty = true
	o.markBlockDirty(m.block)
}

func (o *owner) markBlockDirty(b *block) {
	if !b.dirty {
		b.dirty, b.since = true, o.c.now
	}
}

func (o *owner) dropEmpty(b *block) {
	if len(b.machines) == 0 && !b.writing && !b.dirty {
		o.blocks = slices.DeleteFunc(o.blocks, func(x *block) bool { return x == b })
	}
}
