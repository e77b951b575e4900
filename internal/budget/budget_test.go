package budget

import (
	"math"
	"testing"

	"tamarindlead/micros"
)

const start = micros.Hour

// cancelWrites is how many writes the tests want to commit at once for users.
const cancelWrites = 2

func newBudget(requests, writes float64, nodes int) *Budget {
	return New(Limits{Requests: requests, Writes: writes, MinWriteBurst: cancelWrites + 1}, nodes)
}

// TestLargeTransactionIsOwed guards against commits that are larger than a burst: they would wait
// for ever. What they take beyond it is owed.
func TestLargeTransactionIsOwed(t *testing.T) {
	b := newBudget(100, 15, 5)
	now := start
	b.SetRole(Role{Nodes: 5, Owners: 1}, now)
	for _, purpose := range []Purpose{UserRequests, TaskUpdates} {
		now += micros.Minute
		if writes := b.WriteBurst() + 2; !b.Take(purpose, writes, now) {
			t.Fatalf("purpose %d: %d writes are refused with a full burst of %d", purpose, writes, b.WriteBurst())
		}
		if b.Take(purpose, 1, now+100*micros.Millisecond) {
			t.Fatal("what is owed is forgotten")
		}
	}
	b.limits.Writes = 4
	b.SetRole(Role{Nodes: 5, Owners: 5, OwnsTeams: true}, now)
	if now += micros.Minute; b.AvailableWrites(UserRequests, now) < cancelWrites || b.AvailableWrites(TaskUpdates, now) < 2 {
		t.Fatalf("room for %d and %d", b.AvailableWrites(UserRequests, now), b.AvailableWrites(TaskUpdates, now))
	}
}

// TestReserves checks that a purpose stops where its reserve for more urgent ones begins.
func TestReserves(t *testing.T) {
	granted := map[Purpose]int{}
	for _, purpose := range []Purpose{Leadership, Ownership, UserRequests, TaskUpdates, Reads, Cleanup} {
		b := newBudget(100, 100, 1)
		for b.Take(purpose, 0, start) {
			granted[purpose]++
		}
	}
	want := map[Purpose]int{Leadership: 100, Ownership: 100, UserRequests: 100, TaskUpdates: 90, Reads: 60, Cleanup: 40}
	for purpose, n := range want {
		if granted[purpose] != n {
			t.Errorf("purpose %d: %d requests of a burst of 100, not %d", purpose, granted[purpose], n)
		}
	}
}

// TestRequestsOfUrgentPurposes checks that queries cannot use up what users' commits need.
func TestRequestsOfUrgentPurposes(t *testing.T) {
	b := newBudget(10, 10, 1)
	for b.Take(Reads, 0, start) {
	}
	if b.MayRequest(Reads, start) || !b.MayRequest(UserRequests, start) || b.AvailableWrites(UserRequests, start) == 0 {
		t.Fatal("queries leave nothing to users")
	}
}

// TestLeadershipWithoutWrites checks that a node without any write left can still lead.
func TestLeadershipWithoutWrites(t *testing.T) {
	b := newBudget(100, 4, 1)
	for b.Take(UserRequests, 1, start) {
	}
	if b.AvailableWrites(UserRequests, start) != 0 {
		t.Fatal("writes are left")
	}
	if !b.Take(Leadership, 2, start) {
		t.Fatal("a write for leading is refused")
	}
}

// TestShares checks how the write limit is divided by roles.
func TestShares(t *testing.T) {
	b := newBudget(100, 50, 5)
	cases := []struct {
		role             Role
		requests, writes float64
	}{
		{Role{Nodes: 5, Owners: 1}, 20, 4},
		{Role{Nodes: 5, Owners: 1, OwnsTeams: true}, 20, 42},
		{Role{Nodes: 5, Owners: 5, OwnsTeams: true}, 20, 10},
		{Role{Nodes: 5}, 20, 10},
		{Role{}, 100, 50},
	}
	for _, c := range cases {
		requests, writes := b.shares(c.role)
		if requests != c.requests || math.Abs(writes-c.writes) > 1e-9 {
			t.Errorf("%+v: %v requests and %v writes, not %v and %v", c.role, requests, writes, c.requests, c.writes)
		}
	}
}
