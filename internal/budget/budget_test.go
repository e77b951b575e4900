package budget

import (
	"testing"

	"tamarindlead/micros"
)

const start = micros.Hour

// userWrites is the number of writes that the tests commit in one transaction for users.
const userWrites = 2

func newBudget(requests, writes float64, nodes int) *Budget {
	return New(Limits{Requests: requests, Writes: writes, MinWriteBurst: userWrites + 1}, nodes)
}

// TestLargeTransactionBecomesDebt checks that a transaction larger than a burst is granted, which
// would wait forever otherwise, that its excess writes delay later transactions, and that this
// delay ends.
func TestLargeTransactionBecomesDebt(t *testing.T) {
	b := newBudget(100, 15, 5)
	now := start
	b.SetRole(Role{Nodes: 5, Owners: 1}, now)
	for _, purpose := range []Purpose{UserRequests, TaskUpdates} {
		now += micros.Minute
		if writes := b.WriteBurst() + 2; !b.Take(purpose, writes, now) {
			t.Fatalf("%v: %d writes are refused with a full burst of %d", purpose, writes, b.WriteBurst())
		}
		if b.Take(purpose, 1, now+100*micros.Millisecond) {
			t.Fatalf("%v: a write is granted despite the debt", purpose)
		}
	}
	// A transaction for users fits even in the burst of a much smaller share.
	b.limits.Writes = 4
	b.SetRole(Role{Nodes: 5, Owners: 5, OwnsTeams: true}, now)
	now += micros.Minute
	for _, purpose := range []Purpose{UserRequests, TaskUpdates} {
		if n := b.AvailableWrites(purpose, now); n < userWrites {
			t.Errorf("%v: %d writes are available, want at least %d", purpose, n, userWrites)
		}
	}
}

// TestReserves checks that calls for a purpose are refused when only the reserve for more urgent
// purposes is left.
func TestReserves(t *testing.T) {
	for _, c := range []struct {
		purpose Purpose
		want    int // requests of a burst of 100
	}{
		{Leadership, 100},
		{Ownership, 100},
		{UserRequests, 100},
		{TaskUpdates, 90},
		{Reads, 60},
		{Cleanup, 40},
	} {
		t.Run(c.purpose.String(), func(t *testing.T) {
			b := newBudget(100, 100, 1)
			granted := 0
			for b.Take(c.purpose, 0, start) {
				granted++
			}
			if granted != c.want {
				t.Errorf("%d requests are granted, want %d", granted, c.want)
			}
		})
	}
}

// TestReadsLeaveUserRequests checks that reads cannot use up the requests that transactions for
// users need.
func TestReadsLeaveUserRequests(t *testing.T) {
	b := newBudget(10, 10, 1)
	for b.Take(Reads, 0, start) {
	}
	if b.MayRequest(Reads, start) {
		t.Error("a read is granted although reads have used up their budget")
	}
	if !b.MayRequest(UserRequests, start) || b.AvailableWrites(UserRequests, start) == 0 {
		t.Error("reads leave no budget for user requests")
	}
}

// TestLeadershipWithoutWrites checks that a node that has used up its writes can still lead.
func TestLeadershipWithoutWrites(t *testing.T) {
	b := newBudget(100, 4, 1)
	for b.Take(UserRequests, 1, start) {
	}
	if n := b.AvailableWrites(UserRequests, start); n != 0 {
		t.Fatalf("%d writes are left, want 0", n)
	}
	if !b.Take(Leadership, 2, start) {
		t.Fatal("writes of the leader are refused")
	}
}

// TestPurposeString checks that all purposes have different names in logs.
func TestPurposeString(t *testing.T) {
	seen := map[string]Purpose{}
	for p := range Cleanup + 2 {
		if other, ok := seen[p.String()]; ok {
			t.Errorf("purposes %d and %d are both %q", other, p, p)
		}
		seen[p.String()] = p
	}
}
