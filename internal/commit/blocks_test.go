package commit

import (
	"fmt"
	"slices"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
)

// TestMergeTransferred guards against a machine that is in no record while it is moved out of the
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
		t.Fatalf("the first transaction deletes %v, the machine is in %s; want no deletion and another block", deleted, m.Block.Name)
	}
	if deleted := write(); !slices.Equal(deleted, []string{record.BlockKey(from.Name)}) {
		t.Fatalf("the second transaction deletes %v, want the block of the transfer", deleted)
	}
	if slices.Contains(o.blocks, from) {
		t.Fatal("the empty block is kept")
	}
}

// TestTaskSlotsOfIdleMachines guards against machines that stay idle permanently: in a record with
// few tasks, most bytes belong to the entries of machines, and must not count as the size of tasks.
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
		t.Fatalf("%d blocks, want 1", len(o.blocks))
	}
	o.inv.AddAttempt(j, 0, 1<<20|1, o.inv.SortedMachines[0], inventory.AttemptLive)
	o.addRecords(NewTransaction(), func() int { return 1 })
	if !o.blocks[0].Writing {
		t.Fatal("the block was not written")
	}
	for _, m := range o.inv.SortedMachines {
		if n := o.FreeSlots(m, map[*inventory.Block]float64{}); n < 5 {
			t.Errorf("%s can take %d more tasks, want at least 5", m.Name, n)
		}
	}
}
