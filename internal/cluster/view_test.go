package cluster

import (
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
)

func testView(entries ...kv.Entry) *View {
	view := newView([]config.Team{{Name: "blue"}, {Name: "red"}})
	for _, entry := range entries {
		view.put(entry.Key, entry.Value, entry.Version)
	}
	return &view
}

func TestViewOfMembers(t *testing.T) {
	view := testView(memberEntry("n2", 5, 7), memberEntry("n1", 4, 6))
	if got := view.Members(); len(got) != 2 || got[0] != "n1" || got[1] != "n2" {
		t.Errorf("members %v; want [n1 n2]", got)
	}
	if !view.IsLive("n1/4") || view.IsLive("n1/3") || view.IsLive("n0/4") {
		t.Error("IsLive differs from the incarnations of the members' records")
	}
	if view.MemberID("n2") != "n2/5" || view.MemberPrecondition("n2") != (kv.Precondition{Key: "c/n/n2", Version: 7}) {
		t.Errorf("ID %s, precondition %v; want n2/5 and version 7 of c/n/n2", view.MemberID("n2"), view.MemberPrecondition("n2"))
	}
	view.remove("c/n/n1")
	if view.IsMember("n1") || !view.IsMember("n2") {
		t.Error("IsMember differs from the members whose records remain")
	}
}

func TestViewOfOwners(t *testing.T) {
	view := testView(memberEntry("n1", 4, 6),
		teamEntry("blue", record.Team{Owner: "n2", Incarnation: 5, Predecessors: []record.OwnerID{"n0/1"}}, 8),
		teamEntry("red", record.Team{Owner: "n1", Incarnation: 4}, 9),
		teamEntry("gone", record.Team{Owner: "n0"}, 10)) // not configured
	if view.OwnerCount() != 2 || view.LiveOwnerCount() != 1 {
		t.Errorf("%d owners, %d live; want 2, 1", view.OwnerCount(), view.LiveOwnerCount())
	}
	if got := view.FirstOwner(); got != "n1" {
		t.Errorf("first owner %q; want n1, because the owner of blue is not a member", got)
	}
	for _, test := range []struct {
		team    string
		version uint64
		want    string
	}{{"red", 8, "n1"}, {"red", 9, ""}, {"blue", 7, ""}, {"green", 0, ""}} {
		if got := view.NewerOwner(test.team, test.version); got != test.want {
			t.Errorf("owner of %s newer than %d is %q, want %q", test.team, test.version, got, test.want)
		}
	}
	for id, want := range map[record.OwnerID]bool{"n0/1": true, "n2/5": true, "n1/4": true, "n2/4": false} {
		if view.HasSuccessor(id) != want {
			t.Errorf("HasSuccessor(%s) is %t", id, !want)
		}
	}
}

func TestViewIgnoresUndecodableRecords(t *testing.T) {
	view := testView(kv.Entry{Key: "c/n/n1", Value: []byte{0xff}, Version: 1}, kv.Entry{Key: "c/t/red", Value: []byte{0xff}, Version: 2})
	if view.IsMember("n1") || len(view.teams) > 0 {
		t.Error("an undecodable record was applied")
	}
}

func TestEmptyView(t *testing.T) {
	view := testView()
	if view.OwnerCount() != 1 || view.LiveOwnerCount() != 0 || view.FirstOwner() != "" {
		t.Errorf("%d owners, %d live, first %q; want 1, 0, none", view.OwnerCount(), view.LiveOwnerCount(), view.FirstOwner())
	}
}

// TestOwnTeams checks that a node does not own the teams of another incarnation of the same node.
func TestOwnTeams(t *testing.T) {
	f := newFixture(t, testSettings("blue", "red"))
	f.join(leaderEntry("n1", 1, 3), teamEntry("blue", record.Team{Owner: "n0", Incarnation: 1}, 4))
	if got := f.node.OwnTeams(); len(got) != 0 {
		t.Errorf("teams %v of an earlier incarnation; want none", got)
	}
	f.put(teamEntry("red", record.Team{Owner: "n0", Incarnation: f.node.Incarnation()}, 12))
	if got := f.node.OwnTeams(); len(got) != 1 || got["red"].Version != 12 {
		t.Errorf("teams %v; want red", got)
	}
}
