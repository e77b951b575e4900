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

// newUnreachableNode returns a fixture whose node leads, beside member n1, and is unreachable by workers.
func newUnreachableNode(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, testSettings("red"))
	f.lead(memberEntry("n1", 1, 3), teamEntry("red", record.Team{Owner: "n0", Incarnation: f.node.Incarnation()}, 4))
	f.kvClient.calls = nil
	f.host.unreachable = true
	return f
}

// expectMember checks that the node is a member, leads and owns its team.
func (f *fixture) expectMember() {
	f.t.Helper()
	if f.node.membership.state != memberJoined || !f.node.IsLeader() || len(f.node.OwnTeams()) != 1 {
		f.t.Errorf("state %s, leading %t, %d teams; want joined, true, 1",
			f.node.membership.state, f.node.IsLeader(), len(f.node.OwnTeams()))
	}
}

var revokeTarget = fmt.Sprintf("/leases/%d", testLease)

// TestUnreachableNodeLeaves checks that an unreachable node gives up its teams when the store has
// confirmed that its lease is gone, and stays absent for a while.
func TestUnreachableNodeLeaves(t *testing.T) {
	for _, outcome := range []kv.Outcome{kv.OK, kv.NotFound} {
		t.Run(outcome.String(), func(t *testing.T) {
			f := newUnreachableNode(t)
			f.tick(0)
			revocation := f.expect("DELETE", revokeTarget)
			f.expectMember()
			f.tick(0)
			f.expectNoCall() // one revocation at a time
			f.fail(revocation, outcome)
			f.expectAbsent()
			f.expectJoinAfter(leaveDuration)
		})
	}
}

// TestNoLeavingWithoutConfirmation guards against an owner that gives up its teams during an outage of
// the key-value store, when no peer can take over what it has to do (review case 4).
func TestNoLeavingWithoutConfirmation(t *testing.T) {
	for _, outcome := range []kv.Outcome{kv.Refused, kv.Throttled, kv.Unknown} {
		t.Run(outcome.String(), func(t *testing.T) {
			f := newUnreachableNode(t)
			f.tick(0)
			f.fail(f.expect("DELETE", revokeTarget), outcome)
			f.expectMember()
			f.tick(leaveRetryDelay - 1)
			f.expectNoCall()
			f.tick(1)
			f.fail(f.expect("DELETE", revokeTarget), kv.OK)
			f.expectAbsent()
			f.expectJoinAfter(leaveDuration)
		})
	}
}

// TestLeavingExecutedWithoutResult checks that a node whose revocation was executed, but got no result,
// stays absent as after a confirmed one, unless workers reach it again.
func TestLeavingExecutedWithoutResult(t *testing.T) {
	for _, unreachable := range []bool{true, false} {
		f := newUnreachableNode(t)
		f.tick(0)
		f.fail(f.expect("DELETE", revokeTarget), kv.Unknown)
		f.host.unreachable = false
		f.tick(testTTL / renewalsPerLease)
		renewal := f.expect("POST", revokeTarget+"/extend")
		f.host.unreachable = unreachable
		f.fail(renewal, kv.NotFound)
		f.expectAbsent()
		if unreachable {
			f.tick(leaveDuration - 1)
			f.expectNoCall()
		}
		f.tick(1)
		f.expect("GET", memberTarget)
	}
}

// TestLastMemberStays checks that an unreachable node does not leave if no other node is a member.
func TestLastMemberStays(t *testing.T) {
	f := newUnreachableNode(t)
	f.delete(record.MemberKey("n1"), leaderRevision+1)
	f.tick(0)
	f.expectNoCall()
	f.expectMember()
}
