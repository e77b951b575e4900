package commit

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
)

// BenchmarkBlock measures writing and decoding the record of a full block.
func BenchmarkBlock(b *testing.B) {
	o := newLargeOwner(b)
	for b.Loop() {
		tx := NewTransaction()
		o.blocks[0].Writing = false
		o.addBlock(tx, o.blocks[0], 16)
		if _, err := writtenBlock(b, tx.writes[0]).Decode(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(o.blocks)), "blocks")
}

// TestBlockPreconditionLimit checks that a block that needs more preconditions than a transaction
// may have is written in several steps, and that every attempt is eventually recorded.
func TestBlockPreconditionLimit(t *testing.T) {
	o := newLargeOwner(t)
	o.settings.MaxTransactionOps = 3
	b := o.blocks[0]
	var assumed []*inventory.Attempt
	for range 20 {
		j := o.inv.Queue[len(o.inv.Queue)-1]
		o.inv.Queue = o.inv.Queue[:len(o.inv.Queue)-1]
		assumed = append(assumed, o.inv.AddAttempt(j, j.FirstPending, 9, b.Machines[0], inventory.AttemptAssumed))
	}
	o.MarkDirty(b.Machines[0])
	waiting := len(assumed)
	for transactions := 0; waiting > 0; transactions++ {
		if transactions == len(assumed) {
			t.Fatalf("%d attempts are not recorded after %d transactions", waiting, transactions)
		}
		tx := NewTransaction()
		o.addBlock(tx, b, o.settings.MaxTransactionOps)
		if limit := blockPreconditionsPerOp * o.settings.MaxTransactionOps; len(tx.writes) != 1 || len(tx.preconditions) > limit {
			t.Fatalf("%d writes with %d preconditions, want 1 with no more than the limit", len(tx.writes), len(tx.preconditions))
		}
		o.finish(tx, true, 10)
		waiting = 0
		for _, a := range assumed {
			if a.State == inventory.AttemptAssumed {
				waiting++
			}
		}
	}
}

// TestTokenIsRaisedWithTheRecord checks that the fencing token of a machine is raised to the revision of
// the write that removes an ended attempt, but not if the write is refused, and that the entry keeps
// the token of the claim.
func TestTokenIsRaisedWithTheRecord(t *testing.T) {
	for _, c := range []struct {
		name      string
		ended     bool
		outcome   kv.Outcome
		wantToken uint64
	}{
		{"committed", true, kv.OK, 8},
		{"refused", true, kv.PreconditionFailed, 7},
		{"attempt still runs", false, kv.OK, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newSmallOwner(t)
			m := o.blocks[0].Machines[0]
			a := o.inv.AddAttempt(o.addJob("req-000001", 1, 2), 0, 1, m, inventory.AttemptLive)
			m.StartsSent([]wire.Command{{Verb: wire.VerbStart, Task: a.TaskName(), Attempt: a.Number}})
			if c.ended {
				o.inv.SetAttemptState(a, inventory.AttemptRemoving)
			}
			o.MarkDirty(m)
			if data := o.flushBlock(t, o.blocks[0].Name); data.Machines[0].FencingToken != 7 {
				t.Errorf("token %d in the entry, want 7", data.Machines[0].FencingToken)
			}
			o.respond(t, c.outcome, kv.TransactionResult{Revision: 8})
			if m.FencingToken != c.wantToken || m.ClaimToken != 7 {
				t.Errorf("token %d, claimed with %d; want %d and 7", m.FencingToken, m.ClaimToken, c.wantToken)
			}
			if got, want := m.MayForget(a.AttemptKey()), c.wantToken == 8; got != want {
				t.Errorf("MayForget() = %t, want %t", got, want)
			}
			o.now += flushInterval
			o.MarkDirty(m)
			if data := o.flushBlock(t, o.blocks[0].Name); data.Machines[0].FencingToken != 7 {
				t.Errorf("token %d in the next entry, want 7", data.Machines[0].FencingToken)
			}
		})
	}
}
