package cluster

import (
	"fmt"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

func TestJoin(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.tick(0)
	f.fail(f.expect("GET", memberTarget), kv.NotFound)
	f.expect("GET", listTarget)
	f.answer(f.expect("POST", "/leases"), kv.LeaseGrant{Lease: testLease})
	commit, body := f.expectTransaction()
	if want := []kv.Precondition{{Key: "c/n/n0", Version: 0}}; fmt.Sprint(body.Preconditions) != fmt.Sprint(want) {
		t.Errorf("guards %v; want %v", body.Preconditions, want)
	}
	if len(body.Writes) != 1 || body.Writes[0].Put != "c/n/n0" || body.Writes[0].Lease != testLease ||
		body.Writes[0].Value["i"] != f.node.Incarnation() {
		t.Errorf("writes %v", body.Writes)
	}
	f.answer(commit, kv.TransactionResult{Revision: joinRevision})
	if f.node.membership.state != memberJoined || f.node.RecordVersion() != joinRevision {
		t.Errorf("state %s, version %d", f.node.membership.state, f.node.RecordVersion())
	}
	if guard := f.node.OwnPrecondition(); guard != (kv.Precondition{Key: "c/n/n0", Version: joinRevision}) {
		t.Errorf("own guard %v", guard)
	}
	if f.host.ownershipChanges != 2 { // joining, in
		t.Errorf("%d notifications; want 2", f.host.ownershipChanges)
	}
}

// TestJoinReplacesEarlierIncarnation: the commit is guarded on the version that was read first,
// so a commit of the earlier incarnation that is executed meanwhile makes it fail.
func TestJoinReplacesEarlierIncarnation(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.tick(0)
	f.answer(f.expect("GET", memberTarget), memberEntry("n0", 1, 7))
	f.expect("GET", listTarget)
	f.answer(f.expect("POST", "/leases"), kv.LeaseGrant{Lease: testLease})
	commit, body := f.expectTransaction()
	if body.Preconditions[0].Version != 7 {
		t.Errorf("guarded on version %d; want 7", body.Preconditions[0].Version)
	}
	f.fail(commit, kv.PreconditionFailed)
	if f.node.membership.state != memberAbsent || f.node.RecordVersion() != 0 {
		t.Errorf("state %s, version %d", f.node.membership.state, f.node.RecordVersion())
	}
	f.tick(joinRetry - 1)
	f.expectNoCall()
	f.tick(1)
	f.expect("GET", memberTarget)
}

func TestJoinRetriesAfterEachStep(t *testing.T) {
	for step := range 3 {
		f := newFixture(t, testSettings("red"))
		f.tick(0)
		call := f.expect("GET", memberTarget)
		f.expect("GET", listTarget)
		if step > 0 {
			f.fail(call, kv.NotFound)
			call = f.expect("POST", "/leases")
		}
		if step > 1 {
			f.answer(call, kv.LeaseGrant{Lease: testLease})
			call, _ = f.expectTransaction()
		}
		f.fail(call, kv.Unknown)
		if f.node.membership.state != memberAbsent {
			t.Errorf("step %d: state %s; want out", step, f.node.membership.state)
		}
		f.tick(joinRetry)
		f.expect("GET", memberTarget)
	}
}

func TestRenewal(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.joined(leaderEntry("n1", 1, 3))
	renewal := fmt.Sprintf("/leases/%d/extend", testLease)
	f.tick(testTTL/3 - 1)
	f.expectNoCall()
	f.tick(1)
	call := f.expect("POST", renewal)
	f.tick(micros.Second)
	f.expectNoCall() // one at a time
	f.fail(call, kv.Unknown)
	if f.node.membership.state != memberJoined {
		t.Fatal("a renewal that fails does not end the lease")
	}
	f.tick(renewRetry)
	f.answer(f.expect("POST", renewal), nil)
	f.tick(testTTL/3 - 1)
	f.expectNoCall()
}

func TestLeaseEnds(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.leading(teamEntry("red", record.Team{Owner: "n0"}, 4))
	f.changed(teamEntry("red", record.Team{Owner: "n0", Incarnation: f.node.Incarnation()}, 25))
	if len(f.node.OwnTeams()) != 1 {
		t.Fatal("the node owns no team")
	}
	f.kvClient.calls = nil
	f.tick(testTTL / 3)
	notified := f.host.ownershipChanges
	f.fail(f.expect("POST", fmt.Sprintf("/leases/%d/extend", testLease)), kv.NotFound)
	if f.node.membership.state != memberAbsent || f.node.IsLeader() || len(f.node.OwnTeams()) != 0 {
		t.Errorf("state %s, leading %t, teams %v", f.node.membership.state, f.node.IsLeader(), f.node.OwnTeams())
	}
	if f.host.ownershipChanges != notified+1 {
		t.Error("the host was not told")
	}
	f.tick(0)
	f.expect("GET", memberTarget)
}

// TestLateRenewal: the answer to a renewal of an earlier lease says nothing of the present one.
func TestLateRenewal(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.joined(leaderEntry("n1", 1, 3))
	f.tick(testTTL / 3)
	late := f.expect("POST", fmt.Sprintf("/leases/%d/extend", testLease))
	f.node.RecordLost(f.now)
	f.tick(joinRetry)
	f.fail(f.expect("GET", memberTarget), kv.NotFound)
	f.answer(f.expect("POST", "/leases"), kv.LeaseGrant{Lease: testLease + 1})
	commit, _ := f.expectTransaction()
	f.answer(commit, kv.TransactionResult{Revision: 30})
	f.fail(late, kv.NotFound)
	if f.node.membership.state != memberJoined || f.node.RecordVersion() != 30 {
		t.Errorf("state %s, version %d", f.node.membership.state, f.node.RecordVersion())
	}
}

func TestRecordLost(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.leading()
	f.kvClient.calls = nil
	f.node.RecordLost(f.now)
	if f.node.membership.state != memberAbsent || f.node.IsLeader() {
		t.Errorf("state %s, leading %t", f.node.membership.state, f.node.IsLeader())
	}
	f.tick(joinRetry - 1)
	f.expectNoCall()
	f.tick(1)
	f.expect("GET", memberTarget)
}

func TestUnreachableNodeLeaves(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.leading()
	f.kvClient.calls = nil
	f.host.unreachable = true
	f.tick(0)
	f.expect("DELETE", fmt.Sprintf("/leases/%d", testLease))
	if f.node.membership.state != memberAbsent || f.node.IsLeader() {
		t.Errorf("state %s, leading %t", f.node.membership.state, f.node.IsLeader())
	}
	f.tick(leavePause - 1)
	f.expectNoCall()
	f.tick(1)
	f.expect("GET", memberTarget)
}
