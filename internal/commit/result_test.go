package commit

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestFlushKeepsOneTransactionInFlight guards against a transaction that is based on state which
// the transaction in flight may change.
func TestFlushKeepsOneTransactionInFlight(t *testing.T) {
	o := newSmallOwner(t)
	o.MarkDirty(o.inv.SortedMachines[0])
	o.Flush()
	o.MarkDirty(o.inv.SortedMachines[1])
	o.Flush()
	if len(o.calls) != 1 || !o.InFlight() {
		t.Fatalf("%d transactions were sent, want 1 in flight", len(o.calls))
	}
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
	if o.Flush(); o.InFlight() {
		t.Fatal("the next transaction does not wait for the interval")
	}
	o.now += flushInterval
	if o.Flush(); !o.InFlight() {
		t.Fatal("the machine marked meanwhile is not written")
	}
}

// TestResults covers the handling of the outcomes of a transaction.
func TestResults(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []kv.Outcome // of the first transmission and of retransmissions
		written  bool         // the block is recorded and clean
		dirty    bool         // the block must be written again
		restart  bool         // recovery is restarted
		pause    micros.Micros
	}{
		{name: "committed", outcomes: []kv.Outcome{kv.OK}, written: true, pause: flushInterval},
		{name: "throttled", outcomes: []kv.Outcome{kv.Throttled}, dirty: true, pause: retryDelay},
		{name: "invalid", outcomes: []kv.Outcome{kv.InvalidRequest}, dirty: true, pause: invalidRequestDelay},
		{name: "refused", outcomes: []kv.Outcome{kv.PreconditionFailed}, dirty: true, pause: flushInterval},
		{name: "unknown", outcomes: []kv.Outcome{kv.Unknown}, pause: retryDelay},
		{name: "unknown, then committed", outcomes: []kv.Outcome{kv.Unknown, kv.OK}, written: true, pause: flushInterval},
		{name: "unknown, then throttled", outcomes: []kv.Outcome{kv.Unknown, kv.Throttled}, pause: retryDelay},
		{
			name: "unknown, throttled, then committed", outcomes: []kv.Outcome{kv.Unknown, kv.Throttled, kv.OK},
			written: true, pause: flushInterval,
		},
		{
			name: "unknown, then refused", outcomes: []kv.Outcome{kv.Unknown, kv.PreconditionFailed},
			restart: true, pause: retryDelay,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newSmallOwner(t)
			b := o.blocks[0]
			o.MarkDirty(b.Machines[0])
			o.Flush()
			first := o.calls[0].request
			for _, outcome := range test.outcomes {
				o.runTimers()
				if !slices.Equal(o.calls[0].request.Body, first.Body) {
					t.Error("another transaction is sent before the result of the first is known")
				}
				o.respond(t, outcome, kv.TransactionResult{Revision: 8})
			}
			if written := b.Version == 8 && !b.Dirty && !b.Writing; written != test.written {
				t.Errorf("written %v, want %v", written, test.written)
			}
			if b.Dirty != test.dirty {
				t.Errorf("dirty %v, want %v", b.Dirty, test.dirty)
			}
			if restarted := len(o.reactions) > 0; restarted != test.restart {
				t.Errorf("reactions %q, want one only if recovery must be restarted", o.reactions)
			}
			if pause := o.nextFlush - o.now; pause != test.pause {
				t.Errorf("pause %v, want %v", pause, test.pause)
			}
		})
	}
}

// TestUnreadableResult guards against a pipeline that continues without the revision of its
// transaction.
func TestUnreadableResult(t *testing.T) {
	o := newSmallOwner(t)
	o.MarkDirty(o.blocks[0].Machines[0])
	o.Flush()
	o.nextCall(t).done(kv.Result{Outcome: kv.OK, Body: []byte{0xff}})
	if len(o.reactions) != 1 || !strings.HasPrefix(o.reactions[0], "recovery restarted") {
		t.Errorf("reactions %q, want a restart of recovery", o.reactions)
	}
}

// TestSupersededOwnerIgnoresResults guards against results that change the state of a superseded
// owner.
func TestSupersededOwnerIgnoresResults(t *testing.T) {
	o := newSmallOwner(t)
	b := o.blocks[0]
	o.MarkDirty(b.Machines[0])
	o.Flush()
	o.superseded = true
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
	if b.Version != 7 || !b.Writing {
		t.Errorf("block %+v, want one of version 7 that is still being written", b)
	}
}

// TestFailedPreconditions covers the handling of each kind of key whose precondition has failed.
func TestFailedPreconditions(t *testing.T) {
	adopted := record.BlockKey(inventory.AdoptedPrefix + "m-0")
	tests := []struct {
		name   string
		failed []string
		want   []string // reactions
	}{
		{"own member record", []string{record.MemberKey("n0"), record.ActiveJobKey("j")}, []string{"member record lost"}},
		{"member record of a new owner", []string{record.MemberKey("n1")}, nil},
		{"jobs", []string{record.ActiveJobKey("i"), record.ActiveJobKey("j")}, []string{"job record changed i", "job record changed j"}},
		{"first claim", []string{adopted}, []string{"m-0 owned elsewhere in x-m-0"}},
		{"own block", []string{record.BlockKey("b"), record.ActiveJobKey("j")}, []string{"recovery restarted: an own record was changed: " + record.BlockKey("b")}},
		{"unknown machine", []string{record.BlockKey("x-m-9")}, []string{"recovery restarted: an own record was changed: " + record.BlockKey("x-m-9")}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newSmallOwner(t)
			m := o.inv.Machines["m-0"]
			m.FencingToken = 0
			o.MarkDirty(m)
			o.Flush()
			o.respond(t, kv.PreconditionFailed, kv.TransactionResult{FailedPreconditions: test.failed})
			if !slices.Equal(o.reactions, test.want) {
				t.Errorf("reactions %q, want %q", o.reactions, test.want)
			}
		})
	}
}

// TestSources covers the order in which the owner's parts add their writes to a transaction, and
// how many writes each of them leaves to the others.
func TestSources(t *testing.T) {
	o := newSmallOwner(t)
	o.settings.MaxTransactionOps = 8
	var order []string
	source := func(name string) Source {
		return func(tx *Transaction, full func() bool) {
			n := 0
			for ; !full(); n++ {
				tx.Delete(name)
			}
			order = append(order, name, strings.Repeat("+", n))
		}
	}
	o.sources = Sources{CascadedCancellations: source("cascaded"), ScaleOutRequests: source("scale-out"), Reservations: source("reservations")}
	o.Flush()
	// A source that may need two writes at once leaves one. The cascaded cancellations leave half of
	// the writes at first.
	want := []string{"cascaded", "+++", "scale-out", "++++", "reservations", "+", "cascaded", ""}
	if !slices.Equal(order, want) {
		t.Errorf("writes %q, want %q", order, want)
	}
	if c := o.nextCall(t); c.purpose != budget.TaskUpdates || c.request.WriteCount != 8 {
		t.Errorf("%d writes for %v, want 8 for task updates", c.request.WriteCount, c.purpose)
	}
}

// TestTerminalState covers the write of the terminal state of a job whose tasks have all completed.
func TestTerminalState(t *testing.T) {
	for _, committed := range []bool{true, false} {
		o := newSmallOwner(t)
		j := o.addJob("req-000001", 1, 1)
		o.inv.SetJobState(j, inventory.JobFinishing)
		o.Flush()
		if !j.Writing || o.calls[0].request.WriteCount != 2 {
			t.Fatalf("the terminal state is not written: %+v", o.calls[0].request)
		}
		outcome, want := kv.OK, []string{"done req-000001"}
		if !committed {
			outcome, want = kv.Throttled, nil
		}
		o.respond(t, outcome, kv.TransactionResult{Revision: 8})
		if j.Writing || !slices.Equal(o.reactions, want) {
			t.Errorf("%v: writing %v, reactions %q, want %q", outcome, j.Writing, o.reactions, want)
		}
	}
}

// TestObsoleteKeys covers when obsolete keys are deleted: all of them when there is nothing else to
// write, and one together with other writes after the keys have waited for obsoleteKeyMaxWait.
func TestObsoleteKeys(t *testing.T) {
	o := newSmallOwner(t)
	o.Flush() // the wait begins now: there are no obsolete keys yet
	for _, key := range []string{"a", "b", "c"} {
		o.DeleteLater(key)
	}
	flushDirty := func() int {
		o.MarkDirty(o.blocks[0].Machines[0])
		o.now += flushInterval
		o.Flush()
		writes := o.calls[0].request.WriteCount
		o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
		return writes
	}
	if n := flushDirty(); n != 1 {
		t.Errorf("%d writes at first, want 1", n)
	}
	o.now += obsoleteKeyMaxWait
	if n := flushDirty(); n != 2 || o.IsObsolete("a") || !o.IsObsolete("b") {
		t.Errorf("%d writes after %v, want 2, of which one deletes the first obsolete key", n, obsoleteKeyMaxWait)
	}
	o.now += flushInterval
	o.Flush()
	if c := o.calls[0]; c.purpose != budget.Cleanup || c.request.WriteCount != 2 {
		t.Fatalf("%d writes for %v, want 2 for cleanup", c.request.WriteCount, c.purpose)
	}
	o.respond(t, kv.OK, kv.TransactionResult{Revision: 9})
	if len(o.obsoleteKeys) != 0 || o.InFlight() {
		t.Errorf("obsolete keys %q are left, or a transaction is in flight", o.obsoleteKeys)
	}
}

// TestVerifyAdopted covers the claim of an adopted machine by one of several owners: the claim is
// valid only if no other owner has recorded the machine before.
func TestVerifyAdopted(t *testing.T) {
	other := func(machine string) kv.Entry {
		data := &record.BlockData{
			MachineTypes: []record.BlockMachineType{{Type: "mid", Zone: "a"}},
			Machines:     []record.BlockMachine{{Name: machine}},
		}
		return kv.Entry{Key: record.BlockKey("other"), Value: wire.Encode(data.Block("n1"))}
	}
	tests := []struct {
		name    string
		entries []kv.Entry
		err     error
		want    []string // reactions
		dirty   bool     // the claim is retried
	}{
		{"no other owner has it", []kv.Entry{other("m-8")}, nil, []string{"claimed m-9"}, false},
		{"a block cannot be read", []kv.Entry{other("m-8"), {Key: record.BlockKey("damaged"), Value: []byte{0xff}}}, nil, nil, true},
		{"another owner has it", []kv.Entry{other("m-9")}, nil, []string{"m-9 owned elsewhere in other"}, false},
		{"the list cannot be read", nil, errors.New("unavailable"), nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newSmallOwner(t)
			o.settings.Teams = append(o.settings.Teams, o.settings.Teams[0]) // of another owner
			b := o.NewBlock(inventory.AdoptedPrefix + "m-9")
			m := o.addMachine(b, inventory.MachineInfo{Name: "m-9", Type: "mid", Zone: "a"}, 0)
			o.Flush()
			if c := o.calls[0]; c.purpose != budget.Ownership {
				t.Errorf("the claim is sent for %v, want ownership", c.purpose)
			}
			o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
			if !m.Verifying || m.FencingToken != 0 {
				t.Fatal("the machine is claimed before the adoption is verified")
			}
			o.nextCall(t).listed(kv.Listing{Entries: test.entries}, test.err)
			if m.Verifying || !slices.Equal(o.reactions, test.want) || m.Dirty != test.dirty {
				t.Errorf("verifying %v, reactions %q, dirty %v", m.Verifying, o.reactions, m.Dirty)
			}
			if claimed := m.FencingToken == 8; claimed != slices.Contains(test.want, "claimed m-9") {
				t.Errorf("fencing token %d, want 8 only if the machine is claimed", m.FencingToken)
			}
			if elsewhere := o.IsObsolete(record.BlockKey(b.Name)); elsewhere != slices.Equal(test.want, []string{"m-9 owned elsewhere in other"}) {
				t.Errorf("own record is obsolete: %v, want this only if another owner has the machine", elsewhere)
			}
		})
	}
}

// TestTransfer covers a machine that is transferred with a record for its new owner, and a machine
// whose new owner is no longer a member.
func TestTransfer(t *testing.T) {
	for _, live := range []bool{true, false} {
		o := newSmallOwner(t)
		o.successorLive = live
		m := o.inv.Machines["m-0"]
		m.TransferTo = "n1"
		o.inv.SetMachineState(m, inventory.MachineTransferring, "test")
		o.Flush()
		writes, want := 1, []string(nil)
		if live {
			writes, want = 2, []string{"transferred m-0"}
		}
		if n := o.calls[0].request.WriteCount; n != writes {
			t.Errorf("new owner live %v: %d writes, want 2 if it is live and 1 otherwise", live, n)
		}
		o.respond(t, kv.OK, kv.TransactionResult{Revision: 8})
		if !slices.Equal(o.reactions, want) {
			t.Errorf("new owner live %v: reactions %q, want the transfer only if it is live", live, o.reactions)
		}
	}
}
