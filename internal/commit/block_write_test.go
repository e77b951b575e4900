package commit

import (
	"testing"

	"tamarindlead/internal/inventory"
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
