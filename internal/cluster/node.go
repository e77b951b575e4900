// Package cluster implements a controller node's membership, leadership and the assignment of
// teams. The node becomes a member by a record on a lease of the key-value store, watches the
// records of all members, of the leader and of the teams' owners, campaigns for leadership, and
// as the leader assigns teams to members.
//
// It owns the node's lease and record, its incarnation, and the view of the cluster's records.
// It has no clock and does no I/O: the time is passed in, and requests are sent through a
// KVClient. It must not know about the jobs, machines and workers of the teams' owners.
package cluster

import (
	"log/slog"
	"math/rand/v2"

	"tamarindlead/config"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// KVClient sends a Node's requests to the key-value store.
type KVClient interface {
	// Call sends a request and calls done with the time and the result when the request has
	// ended. If the request cannot be sent now, Call calls done before it returns.
	Call(request kv.Request, done func(now micros.Micros, result kv.Result))
	// Watch waits for changes of keys with a prefix after a revision, and calls done with the
	// time and the result.
	Watch(prefix string, after uint64, done func(now micros.Micros, result kv.Result))
}

// Host is the part of the program that uses a Node. The Node notifies it of changes.
type Host interface {
	// OwnershipChanged is called when the teams that this node owns may have changed.
	OwnershipChanged()
	// ViewChanged is called when records were read or have changed, after OwnershipChanged.
	ViewChanged()
	// UnreachableByWorkers reports whether workers reach other nodes but not this one, so that
	// another node should own this one's teams.
	UnreachableByWorkers() bool
}

// Node is a controller node as a member of the cluster, and possibly its leader.
type Node struct {
	config      *config.Settings
	log         *slog.Logger
	random      *rand.Rand
	kvClient    KVClient
	host        Host
	incarnation uint64

	view       View
	watching   bool // the cluster's records are being read or watched
	membership membership
	leadership leadership
	assignment assignment
}

// incarnationBits is the size of the random number that identifies an incarnation of a node.
const incarnationBits = 52

// New returns the node of a process that has just started: a new incarnation, which is not a
// member yet.
func New(settings *config.Settings, kvClient KVClient, host Host, random *rand.Rand, log *slog.Logger) *Node {
	return &Node{
		config:      settings,
		log:         log,
		random:      random,
		kvClient:    kvClient,
		host:        host,
		incarnation: random.Uint64() >> (64 - incarnationBits),
		view:        newView(settings.Teams),
	}
}

// Tick performs the actions that are due: it joins the cluster, renews the lease, campaigns for
// leadership and assigns teams.
func (n *Node) Tick(now micros.Micros) {
	n.tickMembership(now)
	n.tickLeadership(now)
}

// View returns the view of the cluster's records. The view is updated when the records change.
func (n *Node) View() *View { return &n.view }

// ID returns the identity of this incarnation of the node as an owner.
func (n *Node) ID() record.OwnerID { return record.NewOwnerID(n.config.Node, n.incarnation) }

// Incarnation returns the number that distinguishes this incarnation of the node from others.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// OwnTeams returns the teams that this node owns, by name. It returns none if the node is not a
// member.
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
