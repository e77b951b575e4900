package cluster

import (
	"maps"
	"slices"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// Limits of assignment.
const (
	// memberJoinGracePeriod is how long a new leader waits for the other nodes to join before it
	// spreads teams that nobody owns yet.
	memberJoinGracePeriod = 1500 * micros.Millisecond
	// assignRetryInterval is the least time between two commits: the watch shows meanwhile what the
	// first one changed.
	assignRetryInterval = 500 * micros.Millisecond
	// maxPredecessors bounds the list of earlier owners whose machines an owner takes over.
	maxPredecessors = 12
)

// assignment is the leader's work of giving teams to members.
type assignment struct {
	committing bool
	nextAt     micros.Micros
}

// noOwner stands for the owner of teams that were never assigned.
const noOwner record.OwnerID = ""

// assign gives teams without a live owner to members. All teams of one lost owner go to one
// successor, which takes over its machines and what runs on them.
func (n *Node) assign(now micros.Micros) {
	if n.assignment.committing || now < n.assignment.nextAt || !n.following {
		return
	}
	lost := n.orphanedTeams()
	if len(lost) == 0 || len(lost[noOwner]) > 0 && n.awaitingMembers(now) {
		return
	}
	guards, writes := n.planAssignment(lost)
	if len(writes) == 0 {
		return
	}
	guards[record.LeaderKey] = n.leadership.term
	n.assignment.committing = true
	n.kvClient.Call(kv.Transaction(kv.SortedPreconditions(guards), writes), func(now micros.Micros, _ kv.Result) {
		// Whatever the outcome, the watch tells what holds.
		n.assignment.committing = false
		n.assignment.nextAt = now + assignRetryInterval
	})
}

// orphanedTeams lists the teams without a live owner by their earlier owner.
func (n *Node) orphanedTeams() map[record.OwnerID][]string {
	lost := map[record.OwnerID][]string{}
	for _, name := range n.view.teamNames {
		if team, ok := n.view.teams[name]; !ok {
			lost[noOwner] = append(lost[noOwner], name)
		} else if id := team.OwnerID(); !n.view.IsLive(id) {
			lost[id] = append(lost[id], name)
		}
	}
	return lost
}

// awaitingMembers tells that teams are to be spread and more nodes may soon join.
func (n *Node) awaitingMembers(now micros.Micros) bool {
	return n.config.Tuning.SpreadTeams && len(n.view.members) <= len(n.config.Siblings) &&
		now-n.leadership.leadingSince < memberJoinGracePeriod
}

// planAssignment chooses an owner for each lost team, as far as one commit can hold, and
// returns the commit's guards and writes.
func (n *Node) planAssignment(lost map[record.OwnerID][]string) (guards map[string]uint64, writes []kv.Write) {
	guards = map[string]uint64{}
	assigned := map[string]int{} // teams by node
	for _, lostOwner := range slices.Sorted(maps.Keys(lost)) {
		successor := ""
		for _, name := range lost[lostOwner] {
			if successor == "" || lostOwner == noOwner {
				successor = n.chooseOwner(assigned)
			}
			if successor == "" || len(writes) >= n.config.MaxTransactionOps {
				continue
			}
			assigned[successor]++
			memberGuard := n.view.MemberPrecondition(successor)
			guards[memberGuard.Key] = memberGuard.Version
			guards[record.TeamKey(name)] = n.view.teams[name].Version
			writes = append(writes, kv.Write{Put: record.TeamKey(name), Value: n.assignedRecord(name, successor)})
			n.log.Info("team assigned", "team", name, "to", successor, "from", lostOwner, "term", n.leadership.term)
		}
	}
	return guards, writes
}

// assignedRecord is a team's record with a new owner, who takes over from the earlier ones.
func (n *Node) assignedRecord(name, owner string) record.Team {
	assigned := record.Team{Owner: owner, Incarnation: n.view.members[owner].Incarnation, Term: n.leadership.term}
	if team, ok := n.view.teams[name]; ok {
		all := append(slices.Clone(team.Predecessors), team.OwnerID())
		assigned.Predecessors = all[max(0, len(all)-maxPredecessors):]
	}
	return assigned
}

// chooseOwner chooses a member for a team. If teams are not spread, all go to one node: this
// one, or the one that owns teams already. If they are, the one with the fewest is chosen.
func (n *Node) chooseOwner(assigned map[string]int) string {
	owned := maps.Clone(assigned)
	for _, team := range n.view.teams {
		if n.view.IsLive(team.OwnerID()) {
			owned[team.Owner]++
		}
	}
	chosen := ""
	for _, node := range n.view.Members() {
		better := owned[node] > owned[chosen]
		if n.config.Tuning.SpreadTeams {
			better = owned[node] < owned[chosen]
		}
		equal := owned[node] == owned[chosen]
		if chosen == "" || better || equal && node == n.config.Node {
			chosen = node
		}
	}
	return chosen
}
