// Package cluster is one controller node's part in the cluster. The node becomes a member by
// a record on a lease of the state service, follows the records of all members, of the leader
// and of the teams' owners, campaigns for leadership, and as the leader assigns teams to
// members. It has no clock and no connections: the time is passed in, and requests go out
// through a Store.
package cluster

import (
	"log/slog"
	"math/rand/v2"

	"tamarindlead/config"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// KVClient calls the state service for a Node.
type KVClient interface {
	// Call sends a request. Once the call has ended, done gets the time and the reply; that
	// is at once if the request cannot be sent now.
	Call(request kv.Request, done func(now micros.Micros, reply kv.Result))
	// Watch waits for changes of keys with a prefix after a revision.
	Watch(prefix string, after uint64, done func(now micros.Micros, reply kv.Result))
}

// Host is the user of a Node, which is told of changes.
type Host interface {
	// OwnershipChanged tells that the teams which this node owns may have changed.
	OwnershipChanged()
	// ViewChanged tells that records were read anew or changed. It follows
	// OwnershipChanged.
	ViewChanged()
	// UnreachableByWorkers tells whether workers reach other nodes but not this one, so that
	// another node should own this one's teams.
	UnreachableByWorkers() bool
}

// Node is a controller node as a member of the cluster, and perhaps its leader.
type Node struct {
	config      *config.Settings
	log         *slog.Logger
	random      *rand.Rand
	kvClient    KVClient
	host        Host
	incarnation uint64

	view       View
	following  bool // the records were read, or are being read, and a watch follows them
	membership membership
	leadership leadership
	assignment assignment
}

// incarnationBits is the size of the random number that tells incarnations of a node apart.
const incarnationBits = 52

// New returns the node of a process that has just started: a new incarnation, which is no
// member yet.
func New(settings *config.Settings, store KVClient, host Host, random *rand.Rand, log *slog.Logger) *Node {
	return &Node{
		config: settings, log: log, random: random, kvClient: store, host: host,
		incarnation: random.Uint64() >> (64 - incarnationBits),
		view:        newView(settings.Teams),
	}
}

// Tick does what is due at this time: it joins, renews the lease, campaigns, assigns teams.
func (n *Node) Tick(now micros.Micros) {
	n.tickMembership(now)
	n.tickLeadership(now)
}

// View returns what the records say of the cluster. It follows later changes.
func (n *Node) View() *View { return &n.view }

// ID names this incarnation of the node as an owner.
func (n *Node) ID() record.OwnerID { return record.NewOwnerID(n.config.Node, n.incarnation) }

// Incarnation is the number that tells this incarnation of the node from earlier ones.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// OwnTeams returns the teams that this node owns: none, unless it is a member.
func (n *Node) OwnTeams() map[string]Team {
	own := map[string]Team{}
	if n.membership.state != memberJoined {
		return own
	}
	for name, team := range n.view.teams {
		if team.OwnerID() == n.ID() {
			own[name] = team
		}
	}
	return own
}
