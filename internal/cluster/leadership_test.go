package cluster

import (
	"fmt"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
)

func (f *fixture) expectLeadState(want leadState, leader string, term uint64) {
	f.t.Helper()
	node, got := f.node.Leader()
	if f.node.leadership.state != want || node != leader || got != term {
		f.t.Errorf("%s, leader %q, term %d; want %s, %q, %d", f.node.leadership.state, node, got, want, leader, term)
	}
}

// campaign makes the node a member that campaigns, and returns the campaign's transaction.
func (f *fixture) campaign(entries ...kv.Entry) (fakeCall, transactionBody) {
	f.t.Helper()
	f.join(entries...)
	f.tick(campaignJitter)
	return f.expectTransaction()
}

func TestCampaign(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	transaction, body := f.campaign()
	want := []kv.Precondition{{Key: record.LeaderKey, Version: 0}, {Key: "c/n/n0", Version: joinRevision}}
	if fmt.Sprint(body.Preconditions) != fmt.Sprint(want) {
		t.Errorf("preconditions %v; want %v", body.Preconditions, want)
	}
	if len(body.Writes) != 1 || body.Writes[0].Put != record.LeaderKey || body.Writes[0].Lease != testLease ||
		body.Writes[0].Value["n"] != "n0" || body.Writes[0].Value["i"] != f.node.Incarnation() {
		t.Errorf("writes %v; want the leader's record of this incarnation on its lease", body.Writes)
	}
	f.respond(transaction, kv.TransactionResult{Revision: leaderRevision})
	f.expectLeadState(leadLeading, "n0", leaderRevision)
}

func TestNoCampaignWhileAnotherLeads(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.join(leaderEntry("n1", 1, 3))
	f.expectLeadState(leadFollower, "n1", 3)
	f.tick(campaignJitter)
	f.expectNoCall()
	f.delete(record.LeaderKey, 12)
	f.expectLeadState(leadVacant, "", 0)
	f.tick(campaignJitter)
	f.expectTransaction()
}

func TestNoCampaignBeforeJoining(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.tick(0)
	f.expect("GET", memberTarget)
	f.respond(f.expect("GET", listTarget), kv.Page{Revision: 1})
	f.expectLeadState(leadVacant, "", 0)
	f.tick(campaignJitter)
	f.expectNoCall()
}

func TestCampaignLost(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	transaction, _ := f.campaign()
	f.fail(transaction, kv.PreconditionFailed)
	f.expectLeadState(leadVacant, "", 0)
	f.respond(f.expect("GET", leaderTarget), leaderEntry("n1", 1, 15))
	f.expectLeadState(leadFollower, "n1", 15)
}

func TestCampaignFailsWithoutRival(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	transaction, _ := f.campaign(leaderEntry("n0", 1, 3))
	f.fail(transaction, kv.PreconditionFailed)
	f.fail(f.expect("GET", leaderTarget), kv.NotFound)
	f.expectLeadState(leadVacant, "", 0)
	f.tick(2*campaignJitter - 1)
	f.expectNoCall()
	f.tick(campaignJitter)
	_, body := f.expectTransaction()
	if body.Preconditions[0].Version != 0 {
		t.Errorf("precondition on version %d of the leader's record; want 0", body.Preconditions[0].Version)
	}
}

// TestRivalSeenWhileCampaigning checks a campaign that fails because another node became the leader.
// The watch shows the other node's record before the result of the transaction arrives.
func TestRivalSeenWhileCampaigning(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	transaction, _ := f.campaign()
	f.put(leaderEntry("n2", 4, 15))
	f.expectLeadState(leadFollower, "n2", 15)
	f.fail(transaction, kv.PreconditionFailed)
	f.expectLeadState(leadFollower, "n2", 15)
	f.expectNoCall()
}

func TestOwnTransactionSeenBeforeItsResult(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	transaction, _ := f.campaign()
	f.put(leaderEntry("n0", f.node.Incarnation(), leaderRevision))
	f.expectLeadState(leadCampaigning, "n0", leaderRevision)
	f.respond(transaction, kv.TransactionResult{Revision: leaderRevision})
	f.expectLeadState(leadLeading, "n0", leaderRevision)
}

// TestTransactionExecutedAfterItFailed checks a campaign whose result is unknown, but whose
// transaction was executed. The node does not become the leader by that record; its next campaign
// has the record's version as a precondition.
func TestTransactionExecutedAfterItFailed(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	transaction, _ := f.campaign()
	f.fail(transaction, kv.Unknown)
	f.expect("GET", leaderTarget)
	f.put(leaderEntry("n0", f.node.Incarnation(), leaderRevision))
	if f.node.IsLeader() {
		t.Fatal("the node leads although its transaction seemed to have failed")
	}
	f.tick(3 * campaignJitter)
	_, body := f.expectTransaction()
	if body.Preconditions[0].Version != leaderRevision {
		t.Errorf("precondition on version %d; want %d", body.Preconditions[0].Version, leaderRevision)
	}
}

func TestEarlierIncarnationLed(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	_, body := f.campaign(leaderEntry("n0", 1, 3))
	if body.Preconditions[0].Version != 3 {
		t.Errorf("precondition on version %d; want 3", body.Preconditions[0].Version)
	}
}

func TestOlderLeaderRecordsAreIgnored(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.lead()
	f.put(leaderEntry("n1", 1, leaderRevision-1))
	f.expectLeadState(leadLeading, "n0", leaderRevision)
	f.delete(record.LeaderKey, leaderRevision-1)
	f.expectLeadState(leadLeading, "n0", leaderRevision)
	f.delete(record.LeaderKey, leaderRevision+1)
	f.expectLeadState(leadVacant, "", 0)
}

func TestObserveTerm(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.lead()
	f.node.ObserveTerm(f.now, leaderRevision, "n1")
	f.node.ObserveTerm(f.now, leaderRevision+1, "n0")
	f.expectLeadState(leadLeading, "n0", leaderRevision)
	f.node.ObserveTerm(f.now, leaderRevision+1, "n1")
	f.expectLeadState(leadFollower, "n1", leaderRevision+1)
}

func TestRecordsAreReadAgainAfterFailure(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.join(leaderEntry("n1", 1, 3), memberEntry("n1", 1, 2))
	f.fail(f.kvClient.watches[0], kv.Unknown)
	f.kvClient.watches = nil
	f.tick(0)
	f.respond(f.expect("GET", listTarget), kv.Page{Revision: 40, Entries: []kv.Entry{f.ownEntry()}})
	f.expectLeadState(leadVacant, "", 0)
	if f.node.View().IsMember("n1") {
		t.Error("a record that was deleted is still known")
	}
	if f.host.viewChanges != 2 {
		t.Errorf("%d notifications of changes; want 2", f.host.viewChanges)
	}
}

// TestEarlierIncarnationSeenWhileCampaigning checks a campaign that fails because a delayed
// transaction of an earlier incarnation wrote the leader's record. The next campaign has that
// record's version as a precondition.
func TestEarlierIncarnationSeenWhileCampaigning(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	transaction, _ := f.campaign()
	f.put(leaderEntry("n0", f.node.Incarnation()+1, 15))
	f.expectLeadState(leadVacant, "", 15)
	f.fail(transaction, kv.PreconditionFailed)
	f.tick(campaignJitter)
	_, body := f.expectTransaction()
	if body.Preconditions[0].Version != 15 {
		t.Errorf("precondition on version %d; want 15", body.Preconditions[0].Version)
	}
}

// TestWatchNeverGoesBack checks that the watch continues from the same revision after a result with
// an older revision.
func TestWatchNeverGoesBack(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.join(leaderEntry("n1", 1, 3))
	f.respondToWatch(kv.WatchResult{Revision: joinRevision - 1})
	want := kv.Watch(record.ClusterPrefix, joinRevision, 0).Target
	if len(f.kvClient.watches) != 1 || f.kvClient.watches[0].request.Target != want {
		t.Errorf("watches %v; want %s", f.kvClient.watches, want)
	}
}
