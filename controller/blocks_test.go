package controller

import (
	"slices"
	"testing"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// TestSplit guards against a block that outgrows a value: it would be refused for ever. Its
// machines' entries must be in some record at every moment.
func TestSplit(t *testing.T) {
	o := benchOwner()
	b := o.blocks[0]
	o.c.cfg.MaxValueBytes = 400
	stored := map[string][]string{} // block -> machines, as the store has them
	for _, bl := range o.blocks {
		for _, m := range bl.machines {
			stored[bl.name] = append(stored[bl.name], m.name)
		}
	}
	names := slices.Clone(stored[b.name])
	before := len(o.blocks)
	o.markDirty(b.machines[0])
	for range 200 {
		for _, m := range b.machines { // changes go on meanwhile
			o.markDirty(m)
		}
		tx := &transaction{preconditions: map[string]uint64{}}
		o.flushRecords(tx, func() int { return o.c.cfg.MaxTransactionOps - len(tx.writes) })
		for _, w := range tx.writes {
			name := (w.Put + w.Delete)[len(record.BlockPrefix):]
			delete(stored, name)
			if w.Put == "" {
				continue
			}
			rec := w.Value.(record.Block)
			if rec.Size() > o.c.cfg.MaxValueBytes {
				t.Fatalf("%s has %d bytes", w.Put, rec.Size())
			}
			d, err := rec.Decode()
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range d.Machines {
				stored[name] = append(stored[name], m.Name)
			}
		}
		o.finishTransaction(tx, true, 10)
		all := map[string]bool{}
		for _, list := range stored {
			for _, name := range list {
				all[name] = true
			}
		}
		for _, name := range names {
			if !all[name] {
				t.Fatalf("%s is in no record", name)
			}
		}
	}
	if len(o.blocks) == before {
		t.Fatal("no block was split")
	}
	for _, bl := range o.blocks {
		if bl.unwrittenTargets != 0 {
			t.Fatalf("block %s waits for ever", bl.name)
		}
	}
}

// TestCompletionSegmentsYieldToPlacements guards against completions of many teams that take all writes: every team
// has a shard that changes all the time, and placements must not wait behind them.
func TestCompletionSegmentsYieldToPlacements(t *testing.T) {
	o := benchOwner()
	for _, b := range o.blocks {
		b.dirty = false
	}
	waits := o.blocks[:3]
	for _, b := range waits {
		j := o.queue[len(o.queue)-1]
		o.addAttempt(j, j.firstPending, 9, b.machines[0], attemptAssumed)
		j.firstPending++
		o.markDirty(b.machines[0])
	}
	for i := range 10 {
		s := &completionSegment{team: "red", name: record.FormatNumber(uint64(i)), chunks: map[chunkKey]*job{}}
		s.markDirty(o.c.now)
		o.completionSegments = append(o.completionSegments, s)
	}
	o.c.now += micros.Second
	tx := &transaction{preconditions: map[string]uint64{}}
	o.flushRecords(tx, func() int { return 5 - len(tx.writes) })
	for _, b := range waits {
		if !b.writing {
			t.Errorf("block %s is not written with the first five records", b.name)
		}
	}
	if len(tx.writes) != 5 {
		t.Errorf("%d records are written", len(tx.writes))
	}
}

// BenchmarkBlock writes the record of a full block, and reads it.
func BenchmarkBlock(b *testing.B) {
	o := benchOwner()
	for b.Loop() {
		t := &transaction{preconditions: map[string]uint64{}}
		bl := o.blocks[0]
		bl.writing = false
		o.writeBlock(t, bl, 16)
		if _, err := t.writes[0].Value.(record.Block).Decode(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(o.blocks)), "blocks")
}

// TestMergeTransferred guards against a machine that is in no record while it leaves the
// block in which it was transferred.
func TestMergeTransferred(t *testing.T) {
	o := benchOwner()
	for _, b := range o.blocks {
		b.dirty = false
	}
	from := o.newBlock(transferPrefix + "m-900000")
	from.version = 7
	m := o.newMachineInBlock(from, machineInfo{name: "m-900000", machineType: "mid", zone: o.c.cfg.Zones[0], endpoint: "worker"})
	m.fencingToken, m.recorded, m.state = 7, true, machineReady
	write := func() []string {
		tx := &transaction{preconditions: map[string]uint64{}}
		o.flushRecords(tx, func() int { return o.c.cfg.MaxTransactionOps - len(tx.writes) })
		var deleted []string
		for _, w := range tx.writes {
			if w.Delete != "" {
				deleted = append(deleted, w.Delete)
			}
		}
		o.finishTransaction(tx, true, 10)
		return deleted
	}
	if deleted := write(); len(deleted) > 0 || m.block == from || !slices.Contains(m.block.machines, m) {
		t.Fatalf("with the first commit %v is deleted, the machine is in %s", deleted, m.block.name)
	}
	if deleted := write(); !slices.Equal(deleted, []string{record.BlockKey(from.name)}) {
		t.Fatalf("with the second commit %v is deleted", deleted)
	}
	if slices.Contains(o.blocks, from) {
		t.Fatal("the empty block is kept")
	}
}

// TestBlockPreconditionLimit guards against a block that needs more guards than a commit takes: it is
// written in several steps, and every attempt is recorded in the end.
func TestBlockPreconditionLimit(t *testing.T) {
	o := benchOwner()
	o.c.cfg.MaxTransactionOps = 3
	b := o.blocks[0]
	var proposed []*attempt
	for range 20 {
		j := o.queue[len(o.queue)-1]
		o.queue = o.queue[:len(o.queue)-1]
		proposed = append(proposed, o.addAttempt(j, j.firstPending, 9, b.machines[0], attemptAssumed))
	}
	o.markDirty(b.machines[0])
	waiting := len(proposed)
	for commits := 0; waiting > 0; commits++ {
		if commits == len(proposed) {
			t.Fatalf("%d attempts are not recorded after %d commits", waiting, commits)
		}
		tx := &transaction{preconditions: map[string]uint64{}}
		o.writeBlock(tx, b, o.c.cfg.MaxTransactionOps)
		if most := maxPreconditionsPerOp * o.c.cfg.MaxTransactionOps; len(tx.writes) != 1 || len(tx.preconditions) > most {
			t.Fatalf("%d writes under %d guards", len(tx.writes), len(tx.preconditions))
		}
		o.finishTransaction(tx, true, 10)
		waiting = 0
		for _, a := range proposed {
			if a.state == attemptAssumed {
				waiting++
			}
		}
	}
}
