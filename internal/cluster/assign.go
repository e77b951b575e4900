package cluster

import (
	"maps"
	"slices"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

const (
	// memberJoinGracePeriod is how long a new leader waits for the other nodes to join before it
	// spreads teams that were never assigned.
	memberJoinGracePeriod = 1500 * micros.Millisecond
	// assignRetryInterval is the minimum time between two transactions, so that the watch shows
	// the changes of the first one before the next is planned.
	assignRetryInterval = 500 * micros.Millisecond
	// maxPredecessors bounds the number of earlier owners whose machines an owner recovers.
	maxPredecessors = 12
)

// assignment is the state of the leader's assignment of teams to members.
type assignment struct {
	committing bool          // a transaction is in flight
	nextAt     micros.Micros // earliest time of the next transaction
}

// noOwner is the owner of teams that were never assigned.
const noOwner record.OwnerID = ""

// assign assigns orphaned teams to members. All teams of a failed owner are assigned to one
// successor, which takes over the failed owner's machines and their tasks.
func (n *Node) assign(now micros.Micros) {
	if n.assignment.committing || now < n.assignment.nextAt || !n.watching {
		return
	}
	orphaned := n.orphanedTeams()
	if len(orphaned) == 0 || len(orphaned[noOwner]) > 0 && n.awaitingMembers(now) {
		return
	}
	preconditions, writes := n.planAssignment(orphaned)
	if len(writes) == 0 {
		return
	}
	preconditions[record.LeaderKey] = n.leadership.term
	n.assignment.committing = true
	transaction := kv.Transaction(kv.SortedPreconditions(preconditions), writes)
	n.kvClient.Call(transaction, func(now micros.Micros, _ kv.Result) {
		// The result does not matter: the watch shows the new assignments, and teams that are
		// still orphaned are assigned by a later tick.
		n.assignment.committing = false
		n.assignment.nextAt = now + assignRetryInterval
	})
}

// orphanedTeams returns the teams without a live owner, grouped by their previous owner.
func (n *Node) orphanedTeams() map[record.OwnerID][]string {
	orphaned := map[record.OwnerID][]string{}
	for _, name := range n.view.teamNames {
		team, assigned := n.view.teams[name]
		switch {
		case !assigned:
			orphaned[noOwner] = append(orphaned[noOwner], name)
		case !n.view.IsLive(team.OwnerID()):
			orphaned[team.OwnerID()] = append(orphaned[team.OwnerID()], name)
		}
	}
	return orphaned
}

// awaitingMembers reports whether teams are to be spread and more nodes may still join within the
// grace period.
func (n *Node) awaitingMembers(now micros.Micros) bool {
	return n.config.Tuning.SpreadTeams && len(n.view.members) <= len(n.config.Siblings) &&
		now-n.leadership.leadingSince < memberJoinGracePeriod
}

// planAssignment chooses an owner for each orphaned team, up to the size limit of a transaction,
// and returns the transaction's preconditions and writes.
func (n *Node) planAssignment(orphaned map[record.OwnerID][]string) (preconditions map[string]uint64, writes []kv.Write) {
	preconditions = map[string]uint64{}
	assigned := map[string]int{} // number of teams by node
	for _, predecessor := range slices.Sorted(maps.Keys(orphaned)) {
		successor := ""
		for _, name := range orphaned[predecessor] {
			if successor == "" || predecessor == noOwner {
				successor = n.chooseOwner(assigned)
			}
			if successor == "" || len(writes) >= n.config.MaxTransactionOps {
				continue
			}
			assigned[successor]++
			member := n.view.MemberPrecondition(successor)
			preconditions[member.Key] = member.Version
			preconditions[record.TeamKey(name)] = n.view.teams[name].Version
			writes = append(writes, kv.Write{Put: record.TeamKey(name), Value: n.assignedTeam(name, successor)})
			n.log.Info("team assigned", "team", name, "to", successor, "from", predecessor, "term", n.leadership.term)
		}
	}
	return preconditions, writes
}

// assignedTeam returns a team's record with a new owner and the earlier owners as its predecessors.
func (n *Node) assignedTeam(name, owner string) record.Team {
	assigned := record.Team{Owner: owner, Incarnation: n.view.members[owner].Incarnation, Term: n.leadership.term}
	if team, ok := n.view.teams[name]; ok {
		predecessors := append(slices.Clone(team.Predecessors), team.OwnerID())
		assigned.Predecessors = predecessors[max(0, len(predecessors)-maxPredecessors):]
	}
	return assigned
}

// chooseOwner returns the member that is to own a team, or "" if there are no members. It chooses
// the member with the fewest teams if teams are spread, and otherwise the member with the most
// teams, so that one node owns all of them. Among members with equally many teams it prefers the
// leader, which is this node, and then the first by name.
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
