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

// View is the state of the cluster as its records show it: the members, and the owner of each
// team.
type View struct {
	teamNames []string // the configured teams
	members   map[string]Member
	teams     map[string]Team
}

// Member is a node whose record is on its lease.
type Member struct {
	Incarnation uint64
	Version     uint64 // of the record
}

// Team is a team's record with its version.
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

// put applies a member's or a team's record. A record that cannot be decoded is ignored.
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

// remove removes a member whose record was deleted. Teams' records are never deleted.
func (v *View) remove(key string) {
	if node, ok := strings.CutPrefix(key, record.MemberPrefix); ok {
		delete(v.members, node)
	}
}

// IsLive reports whether an owner, which is an incarnation of a node, is a member.
func (v *View) IsLive(owner record.OwnerID) bool {
	node := owner.Node()
	member, ok := v.members[node]
	return ok && record.NewOwnerID(node, member.Incarnation) == owner
}

// IsMember reports whether any incarnation of a node is a member.
func (v *View) IsMember(node string) bool {
	_, ok := v.members[node]
	return ok
}

// hasMemberBesides reports whether a node other than the given one is a member.
func (v *View) hasMemberBesides(node string) bool {
	for member := range v.members {
		if member != node {
			return true
		}
	}
	return false
}

// Members returns the names of the nodes that are members, sorted.
func (v *View) Members() []string { return slices.Sorted(maps.Keys(v.members)) }

// MemberID returns the identity of the incarnation of a node that is a member.
func (v *View) MemberID(node string) record.OwnerID {
	return record.NewOwnerID(node, v.members[node].Incarnation)
}

// MemberPrecondition returns the precondition that a node's record still has the version in the
// view.
func (v *View) MemberPrecondition(node string) kv.Precondition {
	return kv.Precondition{Key: record.MemberKey(node), Version: v.members[node].Version}
}

// OwnerCount returns the number of nodes that own teams, whether they are members or not. It
// returns at least 1.
func (v *View) OwnerCount() int {
	owners := map[string]bool{}
	for _, team := range v.teams {
		owners[team.Owner] = true
	}
	return max(1, len(owners))
}

// LiveOwnerCount returns the number of nodes that own teams and are members.
func (v *View) LiveOwnerCount() int {
	owners := map[string]bool{}
	for _, team := range v.teams {
		if v.IsLive(team.OwnerID()) {
			owners[team.Owner] = true
		}
	}
	return len(owners)
}

// FirstOwner returns the node that is responsible for objects without an owner: the owner of the
// first team, ordered by name, that has a live owner. It returns "" if no team has one.
func (v *View) FirstOwner() string {
	for _, name := range slices.Sorted(maps.Keys(v.teams)) {
		if team := v.teams[name]; v.IsLive(team.OwnerID()) {
			return team.Owner
		}
	}
	return ""
}

// NewerOwner returns the live node that owns a team by a record that is newer than the given version, or "".
func (v *View) NewerOwner(team string, version uint64) string {
	record := v.teams[team]
	if record.Version <= version || !v.IsLive(record.OwnerID()) {
		return ""
	}
	return record.Owner
}

// HasSuccessor reports whether an owner still owns a team, or the current owner of a team is its
// successor.
func (v *View) HasSuccessor(owner record.OwnerID) bool {
	for _, team := range v.teams {
		if slices.Contains(team.Predecessors, owner) || team.OwnerID() == owner {
			return true
		}
	}
	return false
}
