package commit

import (
	"errors"
	"slices"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// The tests in this file cover the adoption of a machine while there are other owners.
//
// An owner may receive a heartbeat from a machine that no live peer claims, although another owner has
// recorded the machine with tasks. The adopter used to write the machine's entry first and to read the
// other blocks afterwards. If it stopped in between, two entries were left, and its successor trusted
// the newer one, which had no attempts (TestAdoptionInterleavings in package controller has the log
// lines). Now the first write only creates the block, without an entry, and the entry is written
// after the other blocks were read.

const adoptedMachine = "m-9"

// maxVerificationPause bounds the pause before the blocks are read again.
const maxVerificationPause = 2 * micros.Second

// ownMember is the precondition that the owner's member record is unchanged.
var ownMember = (&testOwner{}).OwnPrecondition()

// newAdopter returns one of several owners, and a machine that it adopts.
func newAdopter(t *testing.T) (*testOwner, *inventory.Machine) {
	t.Helper()
	o := newSmallOwner(t)
	o.settings.Teams = append(o.settings.Teams, config.Team{Name: "of another owner"})
	b := o.NewBlock(inventory.AdoptedPrefix + adoptedMachine)
	return o, o.addMachine(b, inventory.MachineInfo{Name: adoptedMachine, Type: "mid", Zone: "a"}, 0)
}

// newRecoveredAdopter returns one of several owners that has recovered the block of an adopted machine
// with a task, which must be verified again.
func newRecoveredAdopter(t *testing.T) (*testOwner, *inventory.Machine) {
	t.Helper()
	o, m := newAdopter(t)
	m.Recorded, m.Block.Version = true, 6
	o.inv.AddAttempt(o.addJob("req-000001", 1, 2), 0, 5, m, inventory.AttemptStarting)
	return o, m
}

// sentTransaction is the body of a transaction.
type sentTransaction struct {
	Writes []struct {
		Put    string       `cbor:"put"`
		Delete string       `cbor:"delete"`
		Value  record.Block `cbor:"data"`
	} `cbor:"writes"`
}

// flushBlock sends a transaction, which must write a block, and returns the content of that block.
func (o *testOwner) flushBlock(t *testing.T, name string) *record.BlockData {
	t.Helper()
	o.now += flushInterval
	o.Flush()
	if len(o.calls) == 0 {
		t.Fatal("nothing is sent")
	}
	var sent sentTransaction
	if err := wire.Decode(o.calls[0].request.Body, &sent); err != nil {
		t.Fatal(err)
	}
	for _, w := range sent.Writes {
		if w.Put == record.BlockKey(name) {
			data, err := w.Value.Decode()
			if err != nil {
				t.Fatal(err)
			}
			return data
		}
	}
	t.Fatalf("the transaction does not put %s: %+v", name, sent.Writes)
	return nil
}

// blockOf returns the record of another owner's block with one machine.
func blockOf(machine string) kv.Entry {
	data := &record.BlockData{
		MachineTypes: []record.BlockMachineType{{Type: "mid", Zone: "a"}},
		Machines:     []record.BlockMachine{{Name: machine}},
	}
	return kv.Entry{Key: record.BlockKey("other"), Value: wire.Encode(data.Block("n1"))}
}

// TestAdoptionIsAnnouncedFirst checks that the entry of an adopted machine is written only after the
// other blocks were read, and holds the fencing token of the first write.
func TestAdoptionIsAnnouncedFirst(t *testing.T) {
	o, m := newAdopter(t)
	if data := o.flushBlock(t, m.Block.Name); len(data.Machines) != 0 {
		t.Fatalf("the entry is written before the other blocks are read: %+v", data.Machines)
	}
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
	if m.Recorded {
		t.Error("the machine counts as recorded")
	}
	o.nextCall(t).listed(kv.Listing{Entries: []kv.Entry{blockOf("m-8")}}, nil)
	data := o.flushBlock(t, m.Block.Name)
	if len(data.Machines) != 1 || data.Machines[0].Name != adoptedMachine || data.Machines[0].FencingToken != 8 {
		t.Errorf("entries %+v, want one of %s with token 8", data.Machines, adoptedMachine)
	}
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 9})
	if !m.Recorded || m.FencingToken != 8 || m.Block.Version != 9 || m.Block.Dirty {
		t.Errorf("recorded %v, token %d, block %+v; want true, 8 and a clean block of version 9", m.Recorded, m.FencingToken, m.Block)
	}
}

// TestAdoptionIsNotRecordedUnverified checks that a machine that stops sending heartbeats while the
// other blocks are read is neither recorded before it is verified nor written repeatedly.
func TestAdoptionIsNotRecordedUnverified(t *testing.T) {
	o, m := newAdopter(t)
	o.flushBlock(t, m.Block.Name)
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
	read := o.nextCall(t)
	o.inv.SetMachineState(m, inventory.MachineDecommissioning, "no heartbeats")
	if data := o.flushBlock(t, m.Block.Name); len(data.Machines) != 0 {
		t.Errorf("an unverified machine is recorded: %+v", data.Machines)
	}
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 9})
	o.now += flushInterval
	if o.Flush(); len(o.calls) > 0 {
		t.Fatal("the block is written, or the other blocks are read, repeatedly")
	}
	read.listed(kv.Listing{}, nil)
	data := o.flushBlock(t, m.Block.Name)
	if len(data.Machines) != 1 || !data.Machines[0].Decommissioning || data.Machines[0].FencingToken != 8 {
		t.Errorf("entries %+v after the machine is verified, want a decommissioning one with token 8", data.Machines)
	}
}

// TestAdoptionWaitsForReadableBlocks checks that an adopted machine is not claimed while some block
// cannot be read, since that block may contain the machine. The blocks are read again after a
// pause.
func TestAdoptionWaitsForReadableBlocks(t *testing.T) {
	for _, unreadable := range []kv.Entry{
		{Key: record.BlockKey("damaged"), Value: []byte{0xff}},
		{Key: record.BlockKey("damaged"), Value: wire.Encode(record.Block{Owner: "n1", Data: "?"})},
	} {
		o, m := newAdopter(t)
		o.flushBlock(t, m.Block.Name)
		o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
		o.nextCall(t).listed(kv.Listing{Entries: []kv.Entry{unreadable, blockOf("m-8")}}, nil)
		if m.FencingToken != 0 || m.Verifying {
			t.Fatalf("token %d, verifying %v; want 0, false", m.FencingToken, m.Verifying)
		}
		if o.Flush(); len(o.calls) > 0 {
			t.Fatal("the adoption is retried without a pause")
		}
		o.now += maxVerificationPause
		o.flushBlock(t, m.Block.Name)
		o.respond(t, kv.OK, kv.TransactionResult{Revision: 10})
		o.nextCall(t).listed(kv.Listing{Entries: []kv.Entry{blockOf("m-8")}}, nil)
		if m.FencingToken != 10 {
			t.Errorf("token %d after the blocks could be read, want 10", m.FencingToken)
		}
	}
}

// TestAdoptionReadsChangesBetweenPages checks that the verification finds a machine that its owner
// moved from a block on a later page to a block on an earlier page while the pages were read.
func TestAdoptionReadsChangesBetweenPages(t *testing.T) {
	change := func(e kv.Entry) kv.WatchResult {
		return kv.WatchResult{Revision: 12, Events: []kv.Change{{Put: e.Key, Value: e.Value, Version: 11}}}
	}
	for _, c := range []struct {
		name    string
		outcome kv.Outcome
		changes kv.WatchResult
		claimed bool
		want    []string
	}{
		{"moved", kv.OK, change(blockOf(adoptedMachine)), false, []string{"m-9 owned elsewhere in other"}},
		{"others changed", kv.OK, change(blockOf("m-8")), true, []string{"claimed m-9"}},
		{"own announcement", kv.OK, kv.WatchResult{Revision: 12}, true, []string{"claimed m-9"}},
		{"revision compacted", kv.Compacted, kv.WatchResult{}, false, nil},
		{"no response", kv.Unknown, kv.WatchResult{}, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, m := newAdopter(t)
			o.flushBlock(t, m.Block.Name)
			o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
			o.nextCall(t).listed(kv.Listing{Revision: 9, LastRevision: 11}, nil)
			if m.FencingToken != 0 {
				t.Fatal("claimed before the changes between the pages were read")
			}
			read := o.nextCall(t)
			if want := kv.Watch(record.BlockPrefix, 9, 0); read.request.Target != want.Target {
				t.Errorf("target %s, want %s", read.request.Target, want.Target)
			}
			read.done(kv.Result{Outcome: c.outcome, Body: wire.Encode(c.changes)})
			if claimed := m.FencingToken == 8; claimed != c.claimed || m.Verifying || !slices.Equal(o.reactions, c.want) {
				t.Errorf("token %d, verifying %v, reactions %q", m.FencingToken, m.Verifying, o.reactions)
			}
		})
	}
}

// TestAdoptedWithTasksElsewhere checks that the attempts of a recovered adopted machine are not
// lost if another owner has recorded the machine too: the machine is terminated first.
func TestAdoptedWithTasksElsewhere(t *testing.T) {
	o, m := newRecoveredAdopter(t)
	o.flushBlock(t, m.Block.Name)
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
	o.nextCall(t).listed(kv.Listing{Entries: []kv.Entry{blockOf(adoptedMachine)}}, nil)
	if len(o.reactions) > 0 || len(m.Attempts) != 1 || o.IsObsolete(record.BlockKey(m.Block.Name)) {
		t.Fatalf("reactions %q, %d attempts: the task is lost", o.reactions, len(m.Attempts))
	}
	data := o.flushBlock(t, m.Block.Name)
	if len(data.Machines) != 1 || !data.Machines[0].Decommissioning || len(data.Machines[0].Tasks) == 0 {
		t.Fatalf("entries %+v, want one of a machine that is terminated, with its task", data.Machines)
	}
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 9})
	if m.State != inventory.MachineTerminating || m.FencingToken != 0 {
		t.Errorf("machine is %v, token %d; want terminating, 0", m.State, m.FencingToken)
	}
}

// TestRecoveredAdoptionIsVerified checks that a recovered entry stays recorded while it is verified
// again, and that the machine has no fencing token until then.
func TestRecoveredAdoptionIsVerified(t *testing.T) {
	o, m := newRecoveredAdopter(t)
	if data := o.flushBlock(t, m.Block.Name); len(data.Machines) != 1 || len(data.Machines[0].Tasks) == 0 {
		t.Fatalf("entries %+v: the recorded task is lost", data.Machines)
	}
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
	o.nextCall(t).listed(kv.Listing{}, errors.New("unavailable"))
	if m.FencingToken != 0 || m.Verifying || !m.Block.Dirty {
		t.Errorf("token %d, verifying %v, block %+v; want 0, false and a dirty block", m.FencingToken, m.Verifying, m.Block)
	}
}

// TestAbandonedAdoptionIsDeleted checks that the deletion of the block of an abandoned adoption
// requires the block's version: a deletion that is applied late must not delete the block of the
// next adoption. If the machine is adopted again before the deletion, that block is written again,
// and no second block is added.
func TestAbandonedAdoptionIsDeleted(t *testing.T) {
	abandoned := func() *testOwner {
		o, m := newAdopter(t)
		o.flushBlock(t, m.Block.Name)
		o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
		o.nextCall(t).listed(kv.Listing{Entries: []kv.Entry{blockOf(adoptedMachine)}}, nil)
		o.now += flushInterval
		return o
	}
	key := record.BlockKey(inventory.AdoptedPrefix + adoptedMachine)
	preconditions := []kv.Precondition{ownMember, {Key: key, Version: 8}}

	o := abandoned()
	o.Flush()
	want := kv.Transaction(preconditions, []kv.Write{{Delete: key}})
	if got := o.calls[0].request.Body; !slices.Equal(got, want.Body) {
		t.Errorf("sent %q, want %q", got, want.Body)
	}
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 9})
	if o.HasBlock(key) {
		t.Error("the block is kept")
	}

	o = abandoned()
	b := o.AdoptedBlock(adoptedMachine)
	o.addMachine(b, inventory.MachineInfo{Name: adoptedMachine, Type: "mid", Zone: "a"}, 0)
	if data := o.flushBlock(t, b.Name); b.Version != 8 || len(data.Machines) > 0 {
		t.Errorf("block %+v with entries %+v, want the announcement in the block of version 8", b, data.Machines)
	}
}

// TestAdoptedAgainDuringDeletion checks that a machine can be adopted while the deletion of its
// earlier block is in flight, which happens after a recovery that found an announcement. The block
// used to keep the revision of its deletion as its version. The next announcement then failed
// because of its own precondition, and the owner dropped the machine for ten seconds and read its
// records again ("version 9 of a record that is deleted").
func TestAdoptedAgainDuringDeletion(t *testing.T) {
	o := newSmallOwner(t)
	o.settings.Teams = append(o.settings.Teams, config.Team{Name: "of another owner"})
	b := o.NewBlock(inventory.AdoptedPrefix + adoptedMachine)
	b.Version = 8
	b.MarkDirty(o.now)
	o.now += flushInterval
	o.Flush()
	o.addMachine(o.AdoptedBlock(adoptedMachine), inventory.MachineInfo{Name: adoptedMachine, Type: "mid", Zone: "a"}, 0)
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 9})
	if b.Version != 0 {
		t.Errorf("version %d of a record that is deleted", b.Version)
	}
	o.flushBlock(t, b.Name)
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 10})
	o.nextCall(t).listed(kv.Listing{}, nil)
	if m := o.inv.Machines[adoptedMachine]; m == nil || m.FencingToken != 10 {
		t.Errorf("machine %+v, reactions %q; want a machine with token 10", m, o.reactions)
	}
}

// TestTwoAdopters checks that the second of two owners that adopt a machine drops the machine and
// continues, since the record belongs to the first one. The second owner used to read all its
// records again for each such machine:
//
//	msg="recovery restarted" node=n0 reason="an own record was changed: m/x-m-000002"
func TestTwoAdopters(t *testing.T) {
	o, m := newAdopter(t)
	o.flushBlock(t, m.Block.Name)
	o.respond(t, kv.PreconditionFailed, kv.TransactionResult{FailedPreconditions: []string{record.BlockKey(m.Block.Name)}})
	if want := []string{"m-9 owned elsewhere in x-m-9"}; !slices.Equal(o.reactions, want) {
		t.Fatalf("reactions %q, want %q", o.reactions, want)
	}
	o.now += flushInterval
	if o.Flush(); len(o.calls) > 0 {
		t.Errorf("writes to the block of the other adopter: %s", o.calls[0].request.Body)
	}
}

// TestOwnAdoptedBlockChanged checks that an owner reads its records again if its own block of an
// adopted machine has changed. Since the block has a task, the owner must not treat it as the block
// of another owner.
func TestOwnAdoptedBlockChanged(t *testing.T) {
	o, m := newRecoveredAdopter(t)
	key := record.BlockKey(m.Block.Name)
	o.flushBlock(t, m.Block.Name)
	o.respond(t, kv.PreconditionFailed, kv.TransactionResult{FailedPreconditions: []string{key}})
	if want := []string{"recovery restarted: an own record was changed: " + key}; !slices.Equal(o.reactions, want) {
		t.Errorf("reactions %q, want %q", o.reactions, want)
	}
}
