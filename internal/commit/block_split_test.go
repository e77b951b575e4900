package commit

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// TestBlockSplit guards against a block that outgrows the value limit, so that all its writes are
// rejected permanently. During the split, the entry of each of its machines must always be in some
// record.
func TestBlockSplit(t *testing.T) {
	o := newLargeOwner(t)
	b := o.blocks[0]
	o.settings.MaxValueBytes = 400
	stored := map[string][]string{} // machines by block, as the key-value store has them
	for _, block := range o.blocks {
		stored[block.Name] = machineNames(block)
	}
	machines := slices.Clone(stored[b.Name])
	before := len(o.blocks)
	for range 200 {
		for _, m := range b.Machines { // the entries continue to change
			o.MarkDirty(m)
		}
		tx := NewTransaction()
		o.addRecords(tx, func() int { return o.settings.MaxTransactionOps - len(tx.writes) })
		for _, w := range tx.writes {
			applyBlockWrite(t, stored, w, o.settings.MaxValueBytes)
		}
		o.finish(tx, true, 10)
		all := slices.Concat(slices.Collect(maps.Values(stored))...)
		for _, name := range machines {
			if !slices.Contains(all, name) {
				t.Fatalf("%s is in no record", name)
			}
		}
	}
	if len(o.blocks) == before {
		t.Fatal("no block was split")
	}
	for _, block := range o.blocks {
		if block.UnwrittenTargets != 0 {
			t.Fatalf("block %s still waits for the writes of other blocks", block.Name)
		}
	}
}

func machineNames(b *inventory.Block) []string {
	var names []string
	for _, m := range b.Machines {
		names = append(names, m.Name)
	}
	return names
}

// applyBlockWrite applies the write of a block to the stored ones, and checks its size.
func applyBlockWrite(t *testing.T, stored map[string][]string, w kv.Write, maxBytes int) {
	t.Helper()
	name := strings.TrimPrefix(w.Key(), record.BlockPrefix)
	delete(stored, name)
	if w.Delete != "" {
		return
	}
	block := writtenBlock(t, w)
	if block.Size() > maxBytes {
		t.Fatalf("%s has %d bytes, more than the value limit", w.Put, block.Size())
	}
	data, err := block.Decode()
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range data.Machines {
		stored[name] = append(stored[name], m.Name)
	}
}

// writtenBlock returns the block that a write puts.
func writtenBlock(tb testing.TB, w kv.Write) record.Block {
	tb.Helper()
	block, ok := w.Value.(record.Block)
	if !ok {
		tb.Fatalf("the value of %s is a %T, want a block", w.Put, w.Value)
	}
	return block
}

// TestOversizedBlockEntry guards against a transaction that is rejected permanently because the
// entry of one machine, which was written under a higher value limit, exceeds the current limit.
func TestOversizedBlockEntry(t *testing.T) {
	o := newLargeOwner(t)
	b := o.blocks[0]
	m := b.Machines[0]
	b.Machines = b.Machines[:1]
	m.FencingToken, o.settings.MaxValueBytes = 0, 60
	o.MarkDirty(m)
	attempts := 0
	for end := o.now + micros.Minute; o.now < end && m.State < inventory.MachineTerminating; o.now += 100 * micros.Millisecond {
		if !b.IsDue(o.now) {
			continue
		}
		attempts++
		tx := NewTransaction()
		if o.addBlock(tx, b, 16); len(tx.writes) > 0 {
			t.Fatal("the oversized block is written")
		}
	}
	if m.State != inventory.MachineTerminating || attempts > 12 {
		t.Fatalf("state %v after %d attempts, want terminating after at most 12", m.State, attempts)
	}
}
