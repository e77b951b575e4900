package cluster

import (
	"maps"
	"slices"
	"strings"

	"tamarindlead/config"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// View is what the records say of the cluster: which nodes are members, and which node owns
// each team.
type View struct {
	teamNames []string // the configured teams
	members   map[string]Member
	teams     map[string]Team
}

// Member is a node that has a record on its lease.
type Member struct {
	Incarnation uint64
	Version     uint64 // of the record
}

// Team is a team's record.
type Team struct {
	record.Team
	Version uint64
}

func newView(teams []config.Team) View {
	view := View{}
	for _, team := range teams {
		view.teamNames = append(view.teamNames, team.Name)
	}
	view.reset()
	return view
}

func (v *View) reset() { v.members, v.teams = map[string]Member{}, map[string]Team{} }

// put takes a member's or a team's record. One that cannot be read is ignored.
func (v *View) put(key string, value []byte, version uint64) {
	if node, ok := strings.CutPrefix(key, record.MemberPrefix); ok {
		var member record.Member
		if wire.Decode(value, &member) == nil {
			v.members[node] = Member{member.Incarnation, version}
		}
		return
	}
	for _, name := range v.teamNames {
		var team record.Team
		if key == record.TeamKey(name) && wire.Decode(value, &team) == nil {
			v.teams[name] = Team{team, version}
		}
	}
}

// remove forgets a member whose record is gone. Teams' records are never deleted.
func (v *View) remove(key string) {
	if node, ok := strings.CutPrefix(key, record.MemberPrefix); ok {
		delete(v.members, node)
	}
}

// IsLive tells whether an incarnation of a node is a member.
func (v *View) IsLive(owner record.OwnerID) bool {
	node := owner.Node()
	member, ok := v.members[node]
	return ok && record.NewOwnerID(node, member.Incarnation) == owner
}

// IsMember tells whether any incarnation of a node is a member.
func (v *View) IsMember(node string) bool {
	_, ok := v.members[node]
	return ok
}

// Members returns the nodes that are members, in the order of their names.
func (v *View) Members() []string { return slices.Sorted(maps.Keys(v.members)) }

// MemberID names the incarnation of a node that is a member.
func (v *View) MemberID(node string) record.OwnerID {
	return record.NewOwnerID(node, v.members[node].Incarnation)
}

// MemberPrecondition is the guard that a node is still the member that is known here.
func (v *View) MemberPrecondition(node string) kv.Precondition {
	return kv.Precondition{Key: record.MemberKey(node), Version: v.members[node].Version}
}

// Owners counts the nodes that own teams, members or not; at least 1.
func (v *View) Owners() int {
	owners := map[string]bool{}
	for _, team := range v.teams {
		owners[team.Owner] = true
	}
	return max(1, len(owners))
}

// LiveOwners counts the nodes that own teams and are members.
func (v *View) LiveOwners() int {
	owners := map[string]bool{}
	for _, team := range v.teams {
		if v.IsLive(team.OwnerID()) {
			owners[team.Owner] = true
		}
	}
	return len(owners)
}

// FirstOwner is the node that takes what belongs to no owner: the one that owns the first of
// the teams with a live owner. It is "" if there is none.
func (v *View) FirstOwner() string {
	for _, name := range slices.Sorted(maps.Keys(v.teams)) {
		if team := v.teams[name]; v.IsLive(team.OwnerID()) {
			return team.Owner
		}
	}
	return ""
}

// HasSuccessor tells whether an owner still owns a team, or a team's present owner takes over
// from it.
func (v *View) HasSuccessor(owner record.OwnerID) bool {
	for _, team := range v.teams {
		if slices.Contains(team.Predecessors, owner) || team.OwnerID() == owner {
			return true
		}
	}
	return false
}
