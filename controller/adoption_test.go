package controller

import (
	"testing"

	"tamarindlead/internal/cluster"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// TestMachinesWithTasksAreNotDropped checks the assertion that an owner does not leave a machine with
// recorded tasks to another owner: the tasks would be lost.
func TestMachinesWithTasksAreNotDropped(t *testing.T) {
	o, a := activeOwner()
	o.dropOwnedElsewhere(a.Machine, "other")
	if o.c.Violations() != 1 || o.Machines[a.Machine.Name] == nil || a.State != inventory.AttemptRecorded {
		t.Errorf("%d violations, attempt %v, want 1 and recorded, and the machine kept", o.c.Violations(), a.State)
	}
	o.SetAttemptState(a, inventory.AttemptClosed)
	o.dropOwnedElsewhere(a.Machine, "other")
	if o.c.Violations() != 1 || o.Machines[a.Machine.Name] != nil {
		t.Errorf("%d violations, want 1, and the machine without tasks dropped", o.c.Violations())
	}
}

// TestLateAdoptedBlock checks that an owner reads its records again when its own block of an adopted
// machine was written with a delay, but not when it already knows the block or the block belongs to
// another owner.
func TestLateAdoptedBlock(t *testing.T) {
	const name = inventory.AdoptedPrefix + "m-000009"
	for _, c := range []struct {
		name       string
		own, known bool
		recovers   bool
	}{
		{"own, delayed", true, false, true},
		{"own, known", true, true, false},
		{"of another owner", false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := newRespondingCore()
			o := newOwner(core, map[string]cluster.Team{})
			core.setOwner(o)
			o.setState(ownerActive)
			if c.known {
				o.commits.NewBlock(name).Version = 8
			}
			by := record.OwnerID("n1/7")
			if c.own {
				by = core.node.ID()
			}
			empty := record.BlockData{}
			o.checkAdoptedBlock(kv.Entry{Key: record.BlockKey(name), Value: wire.Encode(empty.Block(by)), Version: 8})
			if recovers := core.owner.state == ownerRecovering; recovers != c.recovers {
				t.Errorf("recovery restarted %v, want %v", recovers, c.recovers)
			}
		})
	}
}
