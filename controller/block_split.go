package controller

import (
	"math"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// unwritable is the pause before a block that fits no value is tried again: tasks may have
// ended meanwhile.
const unwritable = 5 * micros.Second

// outgrown deals with a block that fits no value. What is proposed is given up at first,
// and nothing more is placed there; what is too large without it is split. The limits may
// have become smaller since the block was written.
func (o *owner) outgrown(b *block, size int, proposed []*attempt) {
	if len(proposed) > 0 && (!b.tooLarge || len(b.machines) == 1) {
		b.tooLarge = true
		o.c.log.Warn("block too large", "block", b.name, "bytes", size, "machines", len(b.machines))
		for _, a := range proposed {
			if a.job.Gang {
				o.stopJob(a.job, 0, "no room in the record")
			} else {
				o.stop(a, 0, "no room in the record")
			}
		}
		return
	}
	b.tooLarge = true
	if len(b.machines) > 1 {
		o.split(b, size)
		return
	}
	// One entry alone, from the time of larger values. Its tasks end with their lease, since
	// nobody can claim the machine; then the cloud takes it. Its record stays until then, so
	// that nobody starts these tasks elsewhere.
	m := b.machines[0]
	b.notBefore = o.c.now + unwritable
	o.c.log.Error("a machine's entry fits no value", "machine", m.name, "bytes", size, "most", o.c.cfg.ValueBytes, "tasks", len(m.attempts))
	if m.token == 0 && m.state < machineReleasing && o.c.now-b.since > o.c.cfg.Lease+o.c.cfg.SilentAfter() {
		o.setMachine(m, machineReleasing, "its entry fits no value")
	}
}

// split moves all but some machines of a block that has outgrown a value to new ones, as
// many as will each fit. As with gather, the old record is written again only after the new
// ones hold them.
func (o *owner) split(b *block, size int) {
	parts := int(math.Ceil(float64(size) / (blockFull * float64(o.c.cfg.ValueBytes))))
	parts = min(max(2, parts), len(b.machines))
	weight := func(m *machine) float64 { return entryBytes + max(b.taskBytes, taskBytes)*float64(len(m.attempts)) }
	total := 0.0
	for _, m := range b.machines {
		total += weight(m)
	}
	all, each, sum := b.machines, total/float64(parts), 0.0
	b.machines, b.dirty = nil, false
	to, made := b, 1
	for i, m := range all {
		if len(to.machines) > 0 && made < parts && (sum+weight(m)/2 > each*float64(made) || len(all)-i <= parts-made) {
			to = o.newBlock(record.NumberName(o.nextNumber()))
			to.left = append(to.left, b)
			to.taskBytes = b.taskBytes
			b.behind++
			made++
		}
		sum += weight(m)
		to.add(m)
		m.dirty = true
		if to != b {
			o.markBlockDirty(to)
		}
	}
	o.c.log.Info("block split", "block", b.name, "bytes", size, "machines", len(all), "kept", len(b.machines), "parts", made)
}
