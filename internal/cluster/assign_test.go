package cluster

import (
	"fmt"
	"slices"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
)

// assignments returns the owners that a transaction writes, by the keys of the teams.
func assignments(body transactionBody) map[string]string {
	owners := map[string]string{}
	for _, write := range body.Writes {
		owners[write.Put] = fmt.Sprint(write.Value["o"])
	}
	return owners
}

// expectAssignment removes the earliest pending call, which must assign teams as wanted.
func (f *fixture) expectAssignment(want map[string]string) (fakeCall, transactionBody) {
	f.t.Helper()
	call, body := f.expectTransaction()
	if got := assignments(body); fmt.Sprint(got) != fmt.Sprint(want) {
		f.t.Errorf("assigned %v; want %v", got, want)
	}
	return call, body
}

func TestUnassignedTeamsGoToTheLeader(t *testing.T) {
	f := newFixture(t, testSettings("blue", "red"))
	f.lead(memberEntry("n1", 1, 2))
	f.tick(0)
	call, body := f.expectAssignment(map[string]string{"c/t/blue": "n0", "c/t/red": "n0"})
	want := []kv.Precondition{
		{Key: "c/leader", Version: leaderRevision},
		{Key: "c/n/n0", Version: joinRevision},
		{Key: "c/t/blue"},
		{Key: "c/t/red"},
	}
	if !slices.Equal(body.Preconditions, want) {
		t.Errorf("preconditions %v; want %v", body.Preconditions, want)
	}
	team := body.Writes[0].Value
	if team["i"] != f.node.Incarnation() || team["e"] != uint64(leaderRevision) || team["h"] != nil {
		t.Errorf("record %v; want this incarnation, the leader's term and no predecessors", team)
	}
	f.tick(assignRetryInterval)
	f.expectNoCall() // one transaction at a time
	f.fail(call, kv.Unknown)
	f.tick(assignRetryInterval - 1)
	f.expectNoCall()
	f.tick(1)
	f.expectTransaction()
}

// TestTeamsOfFailedOwnerGoToOneSuccessor checks that all teams of a failed owner are assigned to one
// successor even if teams are spread, because the successor takes over the failed owner's machines.
func TestTeamsOfFailedOwnerGoToOneSuccessor(t *testing.T) {
	cases := []struct {
		name   string
		spread bool
		want   string
	}{
		{"together", false, "n1"}, // n1 owns a team
		{"spread", true, "n0"},    // n0 owns no team
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings("blue", "green", "red")
			settings.Tuning.SpreadTeams = c.spread
			f := newFixture(t, settings)
			orphaned := record.Team{Owner: "n2", Incarnation: 9, Predecessors: []record.OwnerID{"n1/3"}}
			f.lead(memberEntry("n1", 1, 2), memberEntry("n2", 10, 8), teamEntry("blue", orphaned, 4), teamEntry("red", orphaned, 5),
				teamEntry("green", record.Team{Owner: "n1", Incarnation: 1}, 6))
			f.tick(0)
			call, body := f.expectAssignment(map[string]string{"c/t/blue": c.want, "c/t/red": c.want})
			if got := fmt.Sprint(body.Writes[0].Value["h"]); got != "[n1/3 n2/9]" {
				t.Errorf("predecessors %s; want [n1/3 n2/9]", got)
			}
			if !slices.Contains(body.Preconditions, kv.Precondition{Key: "c/t/red", Version: 5}) {
				t.Errorf("preconditions %v; want version 5 of team red among them", body.Preconditions)
			}
			f.respond(call, kv.TransactionResult{Revision: 30})
		})
	}
}

func TestPredecessorsAreBounded(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	orphaned := record.Team{Owner: "n2", Incarnation: 9}
	for i := range maxPredecessors {
		orphaned.Predecessors = append(orphaned.Predecessors, record.NewOwnerID("n1", uint64(i)))
	}
	f.lead(teamEntry("red", orphaned, 4))
	f.tick(0)
	_, body := f.expectTransaction()
	list := body.Writes[0].Value["h"].([]any)
	if len(list) != maxPredecessors || list[0] != "n1/1" || list[maxPredecessors-1] != "n2/9" {
		t.Errorf("predecessors %v; want the latest maxPredecessors, from n1/1 to n2/9", list)
	}
}

func TestTeamsAreSpreadAfterNodesHaveJoined(t *testing.T) {
	settings := testSettings("blue", "green", "red")
	settings.Tuning.SpreadTeams = true
	f := newFixture(t, settings)
	f.lead(memberEntry("n1", 1, 2))
	f.tick(0)
	f.expectNoCall() // n2 may still join
	f.put(memberEntry("n2", 1, 21))
	f.tick(0)
	f.expectAssignment(map[string]string{"c/t/blue": "n0", "c/t/green": "n1", "c/t/red": "n2"})
}

func TestTeamsAreSpreadAfterGracePeriod(t *testing.T) {
	settings := testSettings("blue", "green", "red")
	settings.Tuning.SpreadTeams = true
	f := newFixture(t, settings)
	f.lead(memberEntry("n1", 1, 2))
	f.tick(memberJoinGracePeriod - 1)
	f.expectNoCall()
	f.tick(1)
	f.expectAssignment(map[string]string{"c/t/blue": "n0", "c/t/green": "n1", "c/t/red": "n0"})
}

func TestAssignmentFitsATransaction(t *testing.T) {
	settings := testSettings("a", "b", "c")
	settings.MaxTransactionOps = 2
	f := newFixture(t, settings)
	f.lead()
	f.tick(0)
	f.expectAssignment(map[string]string{"c/t/a": "n0", "c/t/b": "n0"})
}

func TestOnlyTheLeaderAssigns(t *testing.T) {
	f := newFixture(t, testSettings("red"))
	f.join(leaderEntry("n1", 1, 3))
	f.tick(0)
	f.expectNoCall()
}

// TestChooseOwnerPrefersLeader checks that the leader is chosen among members with equally many
// teams, even if the name of another member comes first.
func TestChooseOwnerPrefersLeader(t *testing.T) {
	for _, spread := range []bool{false, true} {
		t.Run(fmt.Sprintf("spread %t", spread), func(t *testing.T) {
			settings := testSettings("red")
			settings.Node, settings.Tuning.SpreadTeams = "n1", spread
			f := newFixture(t, settings)
			for _, node := range []string{"n0", "n1", "n2"} {
				entry := memberEntry(node, 1, 2)
				f.node.view.put(entry.Key, entry.Value, entry.Version)
			}
			if got := f.node.chooseOwner(map[string]int{}); got != "n1" {
				t.Errorf("chose %s; want n1", got)
			}
		})
	}
}
