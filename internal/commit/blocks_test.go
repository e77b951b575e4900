package commit

import (
	"fmt"
	"slices"
	"testing"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// TestSplit guards against a block that outgrows a value: it would be refused for ever. Its
// machines' entries must be in some record at every moment.
func TestSplit(t *testing.T) {
	o := newLargeOwner(t)
	b := o.blocks[0]
	o.settings.MaxValueBytes = 400
	stored := map[string][]string{} // block -> machines, as the store has them
	for _, bl := range o.blocks {
		for _, m := range bl.Machines {
			stored[bl.Name] = append(stored[bl.Name], m.Name)
		}
	}
	names := slices.Clone(stored[b.Name])
	before := len(o.blocks)
	o.MarkDirty(b.Machines[0])
	for range 200 {
		for _, m := range b.Machines { // changes go on meanwhile
			o.MarkDirty(m)
		}
		tx := NewTransaction()
		o.addRecords(tx, func() int { return o.settings.MaxTransactionOps - len(tx.writes) })
		for _, w := range tx.writes {
			name := (w.Put + w.Delete)[len(record.BlockPrefix):]
			delete(stored, name)
			if w.Put == "" {
				continue
			}
			rec := w.Value.(record.Block)
			if rec.Size() > o.settings.MaxValueBytes {
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
		o.finish(tx, true, 10)
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
	o := newLargeOwner(t)
	for _, b := range o.blocks {
		b.Dirty = false
	}
	waits := o.blocks[:3]
	for _, b := range waits {
		j := o.inv.Queue[len(o.inv.Queue)-1]
		o.inv.AddAttempt(j, j.FirstPending, 9, b.Machines[0], inventory.AttemptAssumed)
		j.FirstPending++
		o.MarkDirty(b.Machines[0])
	}
	for i := range 10 {
		s := &inventory.CompletionSegment{Team: "red", Name: record.FormatNumber(uint64(i)), Chunks: map[inventory.ChunkKey]*inventory.Job{}}
		s.MarkDirty(o.now)
		o.segments = append(o.segments, s)
	}
	o.now += micros.Second
	tx := NewTransaction()
	o.addRecords(tx, func() int { return 5 - len(tx.writes) })
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
	o := newLargeOwner(b)
	for b.Loop() {
		t := NewTransaction()
		bl := o.blocks[0]
		bl.Writing = false
		o.addBlock(t, bl, 16)
		if _, err := t.writes[0].Value.(record.Block).Decode(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(o.blocks)), "blocks")
}

// TestMergeTransferred guards against a machine that is in no record while it leaves the
// block in which it was transferred.
func TestMergeTransferred(t *testing.T) {
	o := newLargeOwner(t)
	for _, b := range o.blocks {
		b.Dirty = false
	}
	from := o.NewBlock(inventory.TransferPrefix + "m-900000")
	from.Version = 7
	m := o.addMachine(from, inventory.MachineInfo{Name: "m-900000", Type: "mid", Zone: o.settings.Zones[0], Endpoint: "worker"}, 7)
	m.Recorded = true
	write := func() []string {
		tx := NewTransaction()
		o.addRecords(tx, func() int { return o.settings.MaxTransactionOps - len(tx.writes) })
		var deleted []string
		for _, w := range tx.writes {
			if w.Delete != "" {
				deleted = append(deleted, w.Delete)
			}
		}
		o.finish(tx, true, 10)
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
	o := newLargeOwner(t)
	o.settings.MaxTransactionOps = 3
	b := o.blocks[0]
	var proposed []*inventory.Attempt
	for range 20 {
		j := o.inv.Queue[len(o.inv.Queue)-1]
		o.inv.Queue = o.inv.Queue[:len(o.inv.Queue)-1]
		proposed = append(proposed, o.inv.AddAttempt(j, j.FirstPending, 9, b.Machines[0], inventory.AttemptAssumed))
	}
	o.MarkDirty(b.Machines[0])
	waiting := len(proposed)
	for commits := 0; waiting > 0; commits++ {
		if commits == len(proposed) {
			t.Fatalf("%d attempts are not recorded after %d commits", waiting, commits)
		}
		tx := NewTransaction()
		o.addBlock(tx, b, o.settings.MaxTransactionOps)
		if most := blockPreconditionsPerOp * o.settings.MaxTransactionOps; len(tx.writes) != 1 || len(tx.preconditions) > most {
			t.Fatalf("%d writes under %d guards", len(tx.writes), len(tx.preconditions))
		}
		o.finish(tx, true, 10)
		waiting = 0
		for _, a := range proposed {
			if a.State == inventory.AttemptAssumed {
				waiting++
			}
		}
	}
}

// TestOversizedBlockEntry guards against a commit that is refused for ever: one machine's entry,
// written while values were larger, fits none.
func TestOversizedBlockEntry(t *testing.T) {
	o := newLargeOwner(t)
	b := o.blocks[0]
	m := b.Machines[0]
	b.Machines = b.Machines[:1]
	m.FencingToken, o.settings.MaxValueBytes = 0, 60
	o.MarkDirty(m)
	tries := 0
	for end := o.now + micros.Minute; o.now < end && m.State < inventory.MachineTerminating; o.now += 100 * micros.Millisecond {
		if !b.IsDue(o.now) {
			continue
		}
		tries++
		tx := NewTransaction()
		if o.addBlock(tx, b, 16); len(tx.writes) > 0 {
			t.Fatal("it is written")
		}
	}
	if m.State != inventory.MachineTerminating || tries > 12 {
		t.Fatalf("state %v after %d tries", m.State, tries)
	}
}

// TestTaskSlotsOfIdleMachines guards against machines that stand idle for ever: where a block's record
// holds few tasks, its size is that of the entries, not of tasks.
func TestTaskSlotsOfIdleMachines(t *testing.T) {
	o := newTestOwner(t)
	o.settings.MaxValueBytes = 2 << 10
	j := o.addJob("req-000001", 40, 2)
	for i := range 6 {
		info := inventory.MachineInfo{
			Name: fmt.Sprintf("m-%06d", i*7919), Type: "mid", Zone: "a", Endpoint: fmt.Sprintf("10.1.%d.%d:9000", i*37, i*91%256),
		}
		o.addMachine(o.BlockFor(info.Type, info.Zone), info, uint64(1000+i*4711))
	}
	if len(o.blocks) != 1 {
		t.Fatalf("%d blocks", len(o.blocks))
	}
	o.inv.AddAttempt(j, 0, 1<<20|1, o.inv.SortedMachines[0], inventory.AttemptLive)
	o.addRecords(NewTransaction(), func() int { return 1 })
	if !o.blocks[0].Writing {
		t.Fatal("the block was not written")
	}
	for _, m := range o.inv.SortedMachines {
		if n := o.FreeSlots(m, map[*inventory.Block]float64{}); n < 5 {
			t.Errorf("%s takes %d more tasks", m.Name, n)
		}
	}
}
