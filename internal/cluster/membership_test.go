package cluster

import (
	"fmt"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// expectJoinAfter checks that the node starts to join after a delay, and not earlier.
func (f *fixture) expectJoinAfter(delay micros.Micros) {
	f.t.Helper()
	f.tick(delay - 1)
	f.expectNoCall()
	f.tick(1)
	f.expect("GET", memberTarget)
}

// expectAbsent checks that the node is neither a member nor the leader.
func (f *fixture) expectAbsent() {
	f.t.Helper()
	if f.node.membership.state != memberAbsent || f.node.IsLeader() {
		f.t.Errorf("state %s, leading %t; want absent, false", f.node.membership.state, f.node.IsLeader())
	}
}

func TestJoin(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.tick(0)
	f.fail(f.expect("GET", memberTarget), kv.NotFound)
	f.expect("GET", listTarget)
	f.respond(f.expect("POST", "/leases"), kv.LeaseGrant{Lease: testLease})
	transaction, body := f.expectTransaction()
	if want := []kv.Precondition{{Key: "c/n/n0", Version: 0}}; fmt.Sprint(body.Preconditions) != fmt.Sprint(want) {
		t.Errorf("preconditions %v; want %v", body.Preconditions, want)
	}
	if len(body.Writes) != 1 || body.Writes[0].Put != "c/n/n0" || body.Writes[0].Lease != testLease ||
		body.Writes[0].Value["i"] != f.node.Incarnation() {
		t.Errorf("writes %v; want the record of this incarnation on its lease", body.Writes)
	}
	f.respond(transaction, kv.TransactionResult{Revision: joinRevision})
	if f.node.membership.state != memberJoined || f.node.RecordVersion() != joinRevision {
		t.Errorf("state %s, version %d; want joined, joinRevision", f.node.membership.state, f.node.RecordVersion())
	}
	if got, want := f.node.OwnPrecondition(), (kv.Precondition{Key: "c/n/n0", Version: joinRevision}); got != want {
		t.Errorf("own precondition %v; want %v", got, want)
	}
	if f.host.ownershipChanges != 2 { // joining, joined
		t.Errorf("%d notifications; want 2", f.host.ownershipChanges)
	}
}

// TestJoinReplacesEarlierIncarnation checks that the transaction has the record's version that was
// read before as its precondition, so that it fails if a delayed transaction of an earlier
// incarnation is executed in between.
func TestJoinReplacesEarlierIncarnation(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.tick(0)
	f.respond(f.expect("GET", memberTarget), memberEntry("n0", 1, 7))
	f.expect("GET", listTarget)
	f.respond(f.expect("POST", "/leases"), kv.LeaseGrant{Lease: testLease})
	transaction, body := f.expectTransaction()
	if body.Preconditions[0].Version != 7 {
		t.Errorf("precondition on version %d; want 7", body.Preconditions[0].Version)
	}
	f.fail(transaction, kv.PreconditionFailed)
	if f.node.membership.state != memberAbsent || f.node.RecordVersion() != 0 {
		t.Errorf("state %s, version %d; want absent, 0", f.node.membership.state, f.node.RecordVersion())
	}
	f.expectJoinAfter(joinRetryDelay)
}

func TestJoinRetriesAfterEachStep(t *testing.T) {
	for step, name := range []string{"read", "lease", "transaction"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testSettings("red"))
			f.tick(0)
			call := f.expect("GET", memberTarget)
			f.expect("GET", listTarget)
			if step > 0 {
				f.fail(call, kv.NotFound)
				call = f.expect("POST", "/leases")
			}
			if step > 1 {
				f.respond(call, kv.LeaseGrant{Lease: testLease})
				call, _ = f.expectTransaction()
			}
			f.fail(call, kv.Unknown)
			if f.node.membership.state != memberAbsent {
				t.Errorf("state %s; want %s", f.node.membership.state, memberAbsent)
			}
			f.tick(joinRetryDelay)
			f.expect("GET", memberTarget)
		})
	}
}

func TestRenewal(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.join(leaderEntry("n1", 1, 3))
	renewal := fmt.Sprintf("/leases/%d/extend", testLease)
	f.tick(testTTL/3 - 1)
	f.expectNoCall()
	f.tick(1)
	call := f.expect("POST", renewal)
	f.tick(micros.Second)
	f.expectNoCall() // one renewal at a time
	f.fail(call, kv.Unknown)
	if f.node.membership.state != memberJoined {
		t.Fatal("a failed renewal ends membership")
	}
	f.tick(renewRetryDelay)
	f.respond(f.expect("POST", renewal), nil)
	f.tick(testTTL/3 - 1)
	f.expectNoCall()
}

func TestLeaseExpires(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.lead(teamEntry("red", record.Team{Owner: "n0"}, 4))
	f.put(teamEntry("red", record.Team{Owner: "n0", Incarnation: f.node.Incarnation()}, 25))
	if len(f.node.OwnTeams()) != 1 {
		t.Fatal("the node owns no team")
	}
	f.kvClient.calls = nil
	f.tick(testTTL / 3)
	notified := f.host.ownershipChanges
	f.fail(f.expect("POST", fmt.Sprintf("/leases/%d/extend", testLease)), kv.NotFound)
	if f.node.membership.state != memberAbsent || f.node.IsLeader() || len(f.node.OwnTeams()) != 0 {
		t.Errorf("state %s, leading %t, teams %v; want absent, false, none", f.node.membership.state, f.node.IsLeader(), f.node.OwnTeams())
	}
	if f.host.ownershipChanges != notified+1 {
		t.Error("the host was not notified exactly once")
	}
	f.tick(0)
	f.expect("GET", memberTarget)
}

// TestDelayedRenewalResult checks that the result of renewing an earlier lease does not affect the current
// one.
func TestDelayedRenewalResult(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.join(leaderEntry("n1", 1, 3))
	f.tick(testTTL / 3)
	delayed := f.expect("POST", fmt.Sprintf("/leases/%d/extend", testLease))
	f.node.RecordLost(f.now)
	f.tick(joinRetryDelay)
	f.fail(f.expect("GET", memberTarget), kv.NotFound)
	f.respond(f.expect("POST", "/leases"), kv.LeaseGrant{Lease: testLease + 1})
	transaction, _ := f.expectTransaction()
	f.respond(transaction, kv.TransactionResult{Revision: 30})
	f.fail(delayed, kv.NotFound)
	if f.node.membership.state != memberJoined || f.node.RecordVersion() != 30 {
		t.Errorf("state %s, version %d; want joined, 30", f.node.membership.state, f.node.RecordVersion())
	}
}

func TestRecordLost(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.lead()
	f.kvClient.calls = nil
	f.node.RecordLost(f.now)
	f.expectAbsent()
	f.expectJoinAfter(joinRetryDelay)
}

func TestUnreachableNodeLeaves(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.lead()
	f.kvClient.calls = nil
	f.host.unreachable = true
	f.tick(0)
	f.expect("DELETE", fmt.Sprintf("/leases/%d", testLease))
	f.expectAbsent()
	f.expectJoinAfter(leaveDuration)
}
