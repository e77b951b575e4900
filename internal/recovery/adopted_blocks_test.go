package recovery

import (
	"slices"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// TestRecoverAdoptedAndOtherBlock checks what an owner recovers when a machine is both in the block
// of an adopter and in another block.
//
// This happens if an owner running the production version stops between writing the block of a
// machine that it adopted and reading the other blocks. Recovery used to take the entry of the
// newest block and to drop the attempts in the others, so that a task could start on a second
// machine, as TestAdoptionInterleavings shows ("ran_twice: req-000003/0 starts on m-000004 while on
// m-000000"). Now the entry of the other block takes precedence, the attempts of both blocks are
// kept, and the adopter's block is deleted only after the other block has been written with them.
func TestRecoverAdoptedAndOtherBlock(t *testing.T) {
	const machine = "m-000001"
	for _, c := range []struct {
		name                                     string
		otherVersion                             uint64 // the adopter's block has version 20
		inOther, inAdopted                       []int  // tasks with attempts
		otherDecommissions, adopterDecommissions bool   // the machine is being terminated by one of the owners
		want                                     []int
	}{
		{"older, adopted without attempts", 10, []int{0, 1}, nil, false, false, []int{0, 1}},
		{"newer, adopted without attempts", 30, []int{0, 1}, nil, false, false, []int{0, 1}},
		{"older, both with attempts", 10, []int{0}, []int{1, 2}, false, false, []int{0, 1, 2}},
		{"newer, both with attempts", 30, []int{0}, []int{1, 2}, false, false, []int{0, 1, 2}},
		{"older, without attempts", 10, nil, []int{1}, false, false, []int{1}},
		{"the same task in both", 10, []int{0}, []int{0, 1}, false, false, []int{0, 1}},
		{"terminated by its owner", 10, []int{0}, nil, true, false, []int{0}},
		{"terminated by the adopter", 10, []int{0}, nil, false, true, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newTestOwner(t)
			j := o.addJob("req-000001", 3, false)
			placements := func(tasks []int) []placement {
				var list []placement
				for _, i := range tasks {
					list = append(list, placement{j, i})
				}
				return list
			}
			adopted := inventory.AdoptedPrefix + machine
			o.RecoverBlocks([]kv.Entry{
				decommissioned(t, c.otherDecommissions, blockEntry(self, "other", c.otherVersion, machine, placements(c.inOther)...)),
				decommissioned(t, c.adopterDecommissions, blockEntry(self, adopted, 20, machine, placements(c.inAdopted)...)),
			})
			m := o.inv.Machines[machine]
			if m == nil || m.Block.Name != "other" {
				t.Fatalf("machine %+v, want one in the other block", m)
			}
			var got []int
			for i, a := range j.Attempts {
				if a.Machine == m {
					got = append(got, i)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("attempts of the tasks %v are kept, want %v", got, c.want)
			}
			if terminating := m.State == inventory.MachineTerminating; terminating != (c.otherDecommissions || c.adopterDecommissions) {
				t.Errorf("machine is %v, want terminating only if an owner decommissions it", m.State)
			}
			o.checkDeletedAfter(t, adopted, m.Block)
		})
	}
}

// checkDeletedAfter checks that a block has no machines, and that it will be written, which deletes
// it, only after another block.
func (o *testOwner) checkDeletedAfter(t *testing.T, name string, after *inventory.Block) {
	t.Helper()
	i := slices.IndexFunc(o.blocks, func(b *inventory.Block) bool { return b.Name == name })
	if i < 0 {
		t.Fatalf("block %s is not recovered, so it is never deleted", name)
	}
	b := o.blocks[i]
	if len(b.Machines) > 0 || !b.Dirty || b.IsDue(o.now) {
		t.Errorf("%d machines, dirty %v, due before the other block %v; want 0, true, false", len(b.Machines), b.Dirty, b.IsDue(o.now))
	}
	if !after.IsDue(o.now) || !slices.Contains(after.Sources, b) {
		t.Error("the other block is not written first")
	}
}

// decommissioned returns the record of a block after setting whether its machine is being
// decommissioned.
func decommissioned(t *testing.T, set bool, e kv.Entry) kv.Entry {
	t.Helper()
	var block record.Block
	if err := wire.Decode(e.Value, &block); err != nil {
		t.Fatal(err)
	}
	data, err := block.Decode()
	if err != nil {
		t.Fatal(err)
	}
	data.Machines[0].Decommissioning = set
	e.Value = wire.Encode(data.Block(block.Owner))
	return e
}

// TestRecoverAnnouncement checks that the block of an adopter that stopped before it had read the
// other blocks is deleted: it has no machine, but prevents other owners from claiming the machine.
func TestRecoverAnnouncement(t *testing.T) {
	o := newTestOwner(t)
	name := inventory.AdoptedPrefix + "m-000001"
	empty := record.BlockData{}
	o.RecoverBlocks([]kv.Entry{{Key: record.BlockKey(name), Value: wire.Encode(empty.Block(self)), Version: 20}})
	if len(o.inv.Machines) > 0 || len(o.blocks) != 1 || !o.blocks[0].IsDue(o.now) {
		t.Errorf("machines %v, blocks %+v, want one empty block that is due", o.inv.Machines, o.blocks)
	}
}
