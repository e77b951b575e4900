package peers

import (
	"slices"

	"tamarindlead/config"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// Peers are the other controllers of the cluster.
type Peers struct {
	host Host
	// self is the name of this node.
	self string
	// ordered are the peers in the order of the configuration.
	ordered []*node
	byName  map[string]*node
}

// node is a peer and its state according to its latest heartbeat.
type node struct {
	config.Sibling
	heartbeatInFlight bool
	nextHeartbeat     micros.Micros
	lastHeartbeat     micros.Micros
	reachableWorkers  int // number of workers whose heartbeats the peer received recently
	kvReachable       bool
	jobCounts         map[string]*peer.JobCount
	ownsMachine       map[string]bool
	idleMachines      []*peer.IdleMachine
	teams             []*peer.TeamUsage
}

// New returns the peers of a node, which are unreachable until their first heartbeat.
func New(settings *config.Settings, host Host) *Peers {
	p := &Peers{host: host, self: settings.Node, byName: make(map[string]*node, len(settings.Siblings))}
	for _, sibling := range settings.Siblings {
		n := &node{Sibling: sibling}
		p.ordered = append(p.ordered, n)
		p.byName[sibling.Node] = n
	}
	return p
}

// reachable reports whether the latest heartbeat of a peer is still valid.
func (n *node) reachable(now micros.Micros) bool {
	return n.lastHeartbeat > 0 && now-n.lastHeartbeat < heartbeatValidity
}

// firstReachable returns the first reachable peer that satisfies a condition, or nil.
func (p *Peers) firstReachable(satisfies func(*node) bool) *node {
	for _, n := range p.ordered {
		if n.reachable(p.host.Now()) && satisfies(n) {
			return n
		}
	}
	return nil
}

// firstReachableName returns the name of the first reachable peer that satisfies a condition, or "".
func (p *Peers) firstReachableName(satisfies func(*node) bool) string {
	if n := p.firstReachable(satisfies); n != nil {
		return n.Node
	}
	return ""
}

// AnyReachable reports whether any peer is reachable.
func (p *Peers) AnyReachable() bool {
	return p.firstReachable(func(*node) bool { return true }) != nil
}

// IsReachable reports whether a peer is reachable.
func (p *Peers) IsReachable(name string) bool {
	n := p.byName[name]
	return n != nil && n.reachable(p.host.Now())
}

// IsActiveOwner reports whether a reachable peer is the active owner of a team, as far as the peer knows.
func (p *Peers) IsActiveOwner(name, team string) bool {
	n := p.byName[name]
	return n != nil && n.reachable(p.host.Now()) && n.isActiveOwner(team)
}

// AnyActiveOwner reports whether any reachable peer is the active owner of a team, as far as the peer knows.
func (p *Peers) AnyActiveOwner(team string) bool {
	return p.firstReachable(func(n *node) bool { return n.isActiveOwner(team) }) != nil
}

// isActiveOwner reports whether the latest heartbeat of a peer lists a team. Only active owners list teams.
func (n *node) isActiveOwner(team string) bool {
	return slices.ContainsFunc(n.teams, func(usage *peer.TeamUsage) bool { return usage.Team == team })
}

// AnyReachableOutside reports whether a peer outside a zone is reachable.
func (p *Peers) AnyReachableOutside(zone string) bool {
	return p.firstReachable(func(n *node) bool { return n.Zone != zone }) != nil
}

// AnyReceivesHeartbeats reports whether a reachable peer recently received heartbeats from workers.
func (p *Peers) AnyReceivesHeartbeats() bool {
	return p.firstReachable(func(n *node) bool { return n.reachableWorkers > 0 }) != nil
}

// KVRelay returns a reachable peer that reaches the key-value store, or "".
func (p *Peers) KVRelay() string {
	return p.firstReachableName(func(n *node) bool { return n.kvReachable })
}

// MarkKVUnreachable excludes a peer as a relay to the key-value store until its next heartbeat.
func (p *Peers) MarkKVUnreachable(name string) {
	if n := p.byName[name]; n != nil {
		n.kvReachable = false
	}
}

// Claimant returns the reachable peer whose heartbeat lists a machine among those it owns, or "".
func (p *Peers) Claimant(machine string) string {
	return p.firstReachableName(func(n *node) bool { return n.ownsMachine[machine] })
}

// OwnerSummary returns the idle machines of a peer and the usage of its teams. Both are empty if the
// peer is not reachable.
func (p *Peers) OwnerSummary(name string) (idle []*peer.IdleMachine, teams []*peer.TeamUsage) {
	n := p.byName[name]
	if n == nil || !n.reachable(p.host.Now()) {
		return nil, nil
	}
	return n.idleMachines, n.teams
}

// JobCount returns the counts of a job's tasks in the most recent heartbeat that contains the job, or
// nil. Users are shown these counts even if the peer that sent them is no longer reachable.
func (p *Peers) JobCount(job string) *peer.JobCount {
	var latest *peer.JobCount
	var latestAt micros.Micros
	for _, n := range p.ordered {
		if count := n.jobCounts[job]; count != nil && n.lastHeartbeat > latestAt {
			latest, latestAt = count, n.lastHeartbeat
		}
	}
	return latest
}
