package commit

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// TestCompletionSegmentsYieldToPlacements guards against completions of many teams that use all
// writes: every team has a segment that changes continuously, and placements must not wait for
// these segments.
func TestCompletionSegmentsYieldToPlacements(t *testing.T) {
	o := newLargeOwner(t)
	for _, b := range o.blocks {
		b.Dirty = false
	}
	waiting := o.blocks[:3]
	for _, b := range waiting {
		j := o.inv.Queue[len(o.inv.Queue)-1]
		o.inv.AddAttempt(j, j.FirstPending, 9, b.Machines[0], inventory.AttemptAssumed)
		j.FirstPending++
		o.MarkDirty(b.Machines[0])
	}
	for i := range 10 {
		s := inventory.NewCompletionSegment("red", record.FormatNumber(uint64(i)))
		s.MarkDirty(o.now)
		o.AddSegment(s)
	}
	o.now += micros.Second
	tx := NewTransaction()
	o.addRecords(tx, func() int { return 5 - len(tx.writes) })
	for _, b := range waiting {
		if !b.Writing {
			t.Errorf("block %s is not written with the first five records", b.Name)
		}
	}
	if len(tx.writes) != 5 {
		t.Errorf("%d records are written, want 5", len(tx.writes))
	}
}
