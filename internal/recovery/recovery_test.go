package recovery

import (
	"errors"
	"slices"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

var errRead = errors.New("read failed")

// stages are the actions that follow each successful read of a recovery without records.
var stages = [][]string{
	{"reset", "list " + record.ActiveJobPrefix},
	{"jobs", "list " + record.CompletionSegmentPrefix},
	{"empty oversized segments", "list " + record.BlockPrefix},
	{"list " + record.ScaleOutRequestPrefix},
	{"scale-out requests", "list " + record.ReservationPrefix},
	{"reservations", "complete"},
}

// start starts a recovery and responds to its first reads.
func (o *testOwner) start(t *testing.T, reads int) {
	t.Helper()
	o.Advance()
	for range reads {
		o.now += micros.Second
		o.respondToList(t, kv.Listing{Revision: 9}, nil)
	}
}

// TestOrderOfReads checks that all kinds of records are read in the order in which they refer to each
// other, and that a recovery in progress does not start another one.
func TestOrderOfReads(t *testing.T) {
	o := newTestOwner(t)
	o.start(t, 0)
	for i, want := range stages {
		if got := o.takeActions(); !slices.Equal(got, want) {
			t.Fatalf("stage %d: actions %q, want %q", i, got, want)
		}
		if i == len(stages)-1 {
			break
		}
		if o.Advance(); len(o.actions) > 0 {
			t.Fatalf("stage %d: started again: %q", i, o.actions)
		}
		o.now += micros.Second
		o.respondToList(t, kv.Listing{Revision: 9}, nil)
	}
	if len(o.lists) > 0 {
		t.Error("reads are open after the recovery is complete")
	}
}

// TestRecoverJobs checks that the jobs are recovered with the revision of their listing and the
// time at which the listing was requested.
func TestRecoverJobs(t *testing.T) {
	o := newTestOwner(t)
	o.start(t, 0)
	requestedAt := o.now
	o.now += micros.Second
	o.respondToList(t, kv.Listing{Entries: []kv.Entry{{Key: record.ActiveJobKey("req-000001"), Version: 4}}, Revision: 9}, nil)
	if got := o.jobs; len(got.entries) != 1 || got.entries[0].Version != 4 || got.revision != 9 || got.requestedAt != requestedAt {
		t.Errorf("jobs %+v, want one of version 4 at revision 9, requested when the recovery started", got)
	}
}

// TestBlocksRecoveredLast checks that blocks are recovered after the reservations.
func TestBlocksRecoveredLast(t *testing.T) {
	o := newTestOwner(t)
	o.start(t, 2)
	o.respondToList(t, kv.Listing{Entries: []kv.Entry{blockEntry(self, "b", 3, "m-1")}}, nil)
	o.respondToList(t, kv.Listing{}, nil)
	o.takeActions()
	o.respondToList(t, kv.Listing{}, nil)
	if want := []string{"reservations", "block b", "complete"}; !slices.Equal(o.actions, want) {
		t.Errorf("actions %q, want %q", o.actions, want)
	}
	if o.inv.Machines["m-1"] == nil {
		t.Error("the machine is not recovered")
	}
}

// TestFailedReads checks that after any failed read all records are read again, but not before the
// pause has passed.
func TestFailedReads(t *testing.T) {
	for reads := range len(stages) - 1 {
		o := newTestOwner(t)
		o.start(t, reads)
		o.unresolvedJobs = append(o.unresolvedJobs, newJob("req-000001", 1, false))
		o.takeActions()
		o.respondToList(t, kv.Listing{}, errRead)
		o.now += retryDelay - 1
		if o.Advance(); len(o.actions) > 0 {
			t.Errorf("after %d reads: %q before the pause has passed", reads, o.actions)
		}
		o.now++
		if o.Advance(); !slices.Equal(o.takeActions(), stages[0]) || len(o.unresolvedJobs) > 0 {
			t.Errorf("after %d reads: not started again after the pause", reads)
		}
	}
}

// TestSupersededReads checks that the recovery of a superseded owner does nothing more.
func TestSupersededReads(t *testing.T) {
	for _, err := range []error{nil, errRead} {
		for reads := range len(stages) - 1 {
			o := newTestOwner(t)
			o.start(t, reads)
			o.takeActions()
			o.superseded = true
			o.respondToList(t, kv.Listing{}, err)
			o.now += micros.Hour
			if o.Advance(); len(o.actions) > 0 {
				t.Errorf("after %d reads, error %v: actions %q", reads, err, o.actions)
			}
		}
	}
}

// TestDelay checks that a delayed recovery starts at its time.
func TestDelay(t *testing.T) {
	o := newTestOwner(t)
	o.Delay(o.now + 5)
	o.now += 4
	if o.Advance(); len(o.actions) > 0 {
		t.Errorf("%q before the delay has passed", o.actions)
	}
	o.now++
	if o.Advance(); !slices.Equal(o.actions, stages[0]) {
		t.Errorf("actions %q, want %q", o.actions, stages[0])
	}
}
