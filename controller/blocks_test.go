package controller

import (
	"slices"
	"testing"

	"tamarindlead/internal/inventory"

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
		for _, m := range bl.Machines {
			stored[bl.Name] = append(stored[bl.Name], m.Name)
		}
	}
	names := slices.Clone(stored[b.Name])
	before := len(o.blocks)
	o.markDirty(b.Machines[0])
	for range 200 {
		for _, m := range b.Machines { // changes go on meanwhile
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
		if bl.UnwrittenTargets != 0 {
			t.Fatalf("block %s waits for ever", bl.Name)
		}
	}
}

// TestCompletionSegmentsYieldToPlacements guards against completions of many teams that take all writes: every team
// has a shard that changes all the time, and placements must not wait behind them.
func TestCompletionSegmentsYieldToPlacements(t *testing.T) {
	o := benchOwner()
	for _, b := range o.blocks {
		b.Dirty = false
	}
	waits := o.blocks[:3]
	for _, b := range waits {
		j := o.Queue[len(o.Queue)-1]
		o.AddAttempt(j, j.FirstPending, 9, b.Machines[0], inventory.AttemptAssumed)
		j.FirstPending++
		o.markDirty(b.Machines[0])
	}
	for i := range 10 {
		s := &inventory.CompletionSegment{Team: "red", Name: record.FormatNumber(uint64(i)), Chunks: map[inventory.ChunkKey]*inventory.Job{}}
		s.MarkDirty(o.c.now)
		o.completionSegments = append(o.completionSegments, s)
	}
	o.c.now += micros.Second
	tx := &transaction{preconditions: map[string]uint64{}}
	o.flushRecords(tx, func() int { return 5 - len(tx.writes) })
	for _, b := range waits {
		if !b.Writing {
			t.Errorf("block %s is not written with the first five records", b.Name)
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
		bl.Writing = false
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
		b.Dirty = false
	}
	from := o.newBlock(inventory.TransferPrefix + "m-900000")
	from.Version = 7
	m := o.addMachine(from, inventory.MachineInfo{Name: "m-900000", Type: "mid", Zone: o.c.cfg.Zones[0], Endpoint: "worker"})
	m.FencingToken, m.Recorded, m.State = 7, true, inventory.MachineReady
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
	if deleted := write(); len(deleted) > 0 || m.Block == from || !slices.Contains(m.Block.Machines, m) {
		t.Fatalf("with the first commit %v is deleted, the machine is in %s", deleted, m.Block.Name)
	}
	if deleted := write(); !slices.Equal(deleted, []string{record.BlockKey(from.Name)}) {
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
	var proposed []*inventory.Attempt
	for range 20 {
		j := o.Queue[len(o.Queue)-1]
		o.Queue = o.Queue[:len(o.Queue)-1]
		proposed = append(proposed, o.AddAttempt(j, j.FirstPending, 9, b.Machines[0], inventory.AttemptAssumed))
	}
	o.markDirty(b.Machines[0])
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
			if a.State == inventory.AttemptAssumed {
				waiting++
			}
		}
	}
}
