package cluster

import (
	"fmt"
	"slices"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
)

// assignments are the owners of the teams that a commit writes.
func assignments(body transactionBody) map[string]string {
	owners := map[string]string{}
	for _, write := range body.Writes {
		owners[write.Put] = fmt.Sprint(write.Value["o"])
	}
	return owners
}

func (f *fixture) expectAssignment(want map[string]string) (stubCall, transactionBody) {
	f.t.Helper()
	call, body := f.expectTransaction()
	if got := assignments(body); fmt.Sprint(got) != fmt.Sprint(want) {
		f.t.Errorf("assigned %v; want %v", got, want)
	}
	return call, body
}

func TestUnassignedTeamsGoToTheLeader(t *testing.T) {
	f := newFixture(t, testSettings("blue", "red"))
	f.leading(memberEntry("n1", 1, 2))
	f.tick(0)
	call, body := f.expectAssignment(map[string]string{"c/t/blue": "n0", "c/t/red": "n0"})
	want := []kv.Precondition{
		{Key: "c/leader", Version: leaderRevision}, {Key: "c/n/n0", Version: joinRevision},
		{Key: "c/t/blue"}, {Key: "c/t/red"},
	}
	if !slices.Equal(body.Preconditions, want) {
		t.Errorf("guards %v; want %v", body.Preconditions, want)
	}
	record := body.Writes[0].Value
	if record["i"] != f.node.Incarnation() || record["e"] != uint64(leaderRevision) || record["h"] != nil {
		t.Errorf("record %v", record)
	}
	f.tick(assignRetryInterval)
	f.expectNoCall() // one commit at a time
	f.fail(call, kv.Unknown)
	f.tick(assignRetryInterval - 1)
	f.expectNoCall()
	f.tick(1)
	f.expectTransaction()
}

// TestTeamsOfAFailedOwnerGoToOneSuccessor: also if teams are spread, since its machines go with them.
func TestTeamsOfAFailedOwnerGoToOneSuccessor(t *testing.T) {
	for _, spread := range []bool{false, true} {
		settings := testSettings("blue", "green", "red")
		settings.Tuning.SpreadTeams = spread
		f := newFixture(t, settings)
		lost := record.Team{Owner: "n2", Incarnation: 9, Predecessors: []record.OwnerID{"n1/3"}}
		f.leading(memberEntry("n1", 1, 2), memberEntry("n2", 10, 8), teamEntry("blue", lost, 4), teamEntry("red", lost, 5),
			teamEntry("green", record.Team{Owner: "n1", Incarnation: 1}, 6))
		f.tick(0)
		call, body := f.expectTransaction()
		owners := assignments(body)
		if len(owners) != 2 || owners["c/t/blue"] != owners["c/t/red"] {
			t.Errorf("spread %t: assigned %v; want both to one", spread, owners)
		}
		// Together: where teams are. Spread: this node is one of the two without any.
		if want := map[bool]string{false: "n1", true: "n0"}[spread]; owners["c/t/red"] != want {
			t.Errorf("spread %t: assigned to %s; want %s", spread, owners["c/t/red"], want)
		}
		if got := fmt.Sprint(body.Writes[0].Value["h"]); got != "[n1/3 n2/9]" {
			t.Errorf("predecessors %s", got)
		}
		if !slices.Contains(body.Preconditions, kv.Precondition{Key: "c/t/red", Version: 5}) {
			t.Errorf("guards %v lack the team's version", body.Preconditions)
		}
		f.answer(call, kv.TransactionResult{Revision: 30})
	}
}

func TestPredecessorsAreBounded(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	lost := record.Team{Owner: "n2", Incarnation: 9}
	for i := range maxPredecessors {
		lost.Predecessors = append(lost.Predecessors, record.NewOwnerID("n1", uint64(i)))
	}
	f.leading(teamEntry("red", lost, 4))
	f.tick(0)
	_, body := f.expectTransaction()
	list := body.Writes[0].Value["h"].([]any)
	if len(list) != maxPredecessors || list[0] != "n1/1" || list[maxPredecessors-1] != "n2/9" {
		t.Errorf("predecessors %v", list)
	}
}

func TestTeamsAreSpreadOnceNodesHaveJoined(t *testing.T) {
	settings := testSettings("blue", "green", "red")
	settings.Tuning.SpreadTeams = true
	f := newFixture(t, settings)
	f.leading(memberEntry("n1", 1, 2))
	f.tick(0)
	f.expectNoCall() // n2 may join yet
	f.changed(memberEntry("n2", 1, 21))
	f.tick(0)
	f.expectAssignment(map[string]string{"c/t/blue": "n0", "c/t/green": "n1", "c/t/red": "n2"})
}

func TestSpreadingDoesNotWaitForever(t *testing.T) {
	settings := testSettings("blue", "green", "red")
	settings.Tuning.SpreadTeams = true
	f := newFixture(t, settings)
	f.leading(memberEntry("n1", 1, 2))
	f.tick(memberJoinGracePeriod - 1)
	f.expectNoCall()
	f.tick(1)
	f.expectAssignment(map[string]string{"c/t/blue": "n0", "c/t/green": "n1", "c/t/red": "n0"})
}

func TestAssignmentFitsATransaction(t *testing.T) {
	settings := testSettings("a", "b", "c")
	settings.MaxTransactionOps = 2
	f := newFixture(t, settings)
	f.leading()
	f.tick(0)
	f.expectAssignment(map[string]string{"c/t/a": "n0", "c/t/b": "n0"})
}

func TestOnlyTheLeaderAssigns(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.joined(leaderEntry("n1", 1, 3))
	f.tick(0)
	f.expectNoCall()
}

// TestLeaderTakesTeamsItselfIfAllIsEqual: without owners, and also if its name comes later.
func TestLeaderTakesTeamsItselfIfAllIsEqual(t *testing.T) {
	for _, spread := range []bool{false, true} {
		settings := testSettings("red")
		settings.Node, settings.Tuning.SpreadTeams = "n1", spread
		f := newFixture(t, settings)
		for _, node := range []string{"n0", "n1", "n2"} {
			entry := memberEntry(node, 1, 2)
			f.node.view.put(entry.Key, entry.Value, entry.Version)
		}
		if got := f.node.chooseOwner(map[string]int{}); got != "n1" {
			t.Errorf("spread %t: %s is chosen; want n1", spread, got)
		}
	}
}
