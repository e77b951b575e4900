package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/micros"
)

// clusterStore makes the calls of this node's part in the cluster, which come first in the
// budget of calls to the state service.
type clusterStore struct{ core *Core }

// Call sends a request.
func (s clusterStore) Call(request kv.Request, done func(micros.Micros, kv.Result)) {
	s.core.store.Do(budget.Leadership, request, s.withTime(done))
}

// Watch waits for changes of keys with a prefix after a revision.
func (s clusterStore) Watch(prefix string, after uint64, done func(micros.Micros, kv.Result)) {
	s.core.store.Watch(budget.Leadership, prefix, after, kv.WatchWait, s.withTime(done))
}

func (s clusterStore) withTime(done func(micros.Micros, kv.Result)) func(kv.Result) {
	return func(reply kv.Result) { done(s.core.now, reply) }
}

// clusterHost takes the notifications of this node's part in the cluster.
type clusterHost struct{ core *Core }

// OwnershipChanged starts, changes or ends this node's part as an owner, as the teams'
// records tell.
func (h clusterHost) OwnershipChanged() {
	c := h.core
	teams := c.node.OwnTeams()
	switch {
	case len(teams) == 0 && c.owner == nil:
	case len(teams) == 0:
		c.setOwner(nil)
	case c.owner == nil:
		c.setOwner(newOwner(c, teams))
	default:
		c.owner.setTeams(teams)
	}
}

// ViewChanged shares the limits of the state service anew.
func (h clusterHost) ViewChanged() { h.core.updateRateLimits() }

// UnreachableByWorkers tells that the machines of this node's teams do not report to it, nor any other
// machine, although some report to a peer.
func (h clusterHost) UnreachableByWorkers() bool {
	c := h.core
	return c.owner != nil && c.owner.allMachinesUnresponsive() && c.onlyPeersReachable()
}

// setOwner is the one place where this node begins or ends owning.
func (c *Core) setOwner(o *owner) {
	if c.owner != nil {
		c.owner.refusePendingHeartbeats()
	}
	c.owner = o
	c.updateRateLimits()
}

// updateRateLimits sets this node's part of the state service's limits by who is a member.
func (c *Core) updateRateLimits() {
	role := budget.Role{Nodes: len(c.cluster.Members()), Owners: c.cluster.LiveOwners(), OwnsTeams: c.owner != nil}
	if !c.cluster.IsMember(c.cfg.Node) {
		role.Nodes++
	}
	if role.OwnsTeams && role.Owners == 0 {
		role.Owners = 1
	}
	c.budget.SetRole(role, c.now)
}

// onlyPeersReachable tells that no worker reaches this node although some reach a peer.
func (c *Core) onlyPeersReachable() bool {
	if len(c.recentHeartbeats) > 0 {
		return false
	}
	for _, s := range c.peers {
		if s.fresh(c.now) && s.recentHeartbeats > 0 {
			return true
		}
	}
	return false
}

// heartbeatTarget finds the node to which a machine's worker should report, or "".
func (c *Core) heartbeatTarget(machine string) string {
	to := c.claimant(machine)
	if to == "" {
		to = c.cluster.FirstOwner()
	}
	if to == c.cfg.Node {
		return ""
	}
	return to
}

// claimant finds the peer that says it owns a machine, or "".
func (c *Core) claimant(machine string) string {
	for _, cfg := range c.cfg.Siblings {
		if s := c.peers[cfg.Node]; s.fresh(c.now) && s.ownsMachine[machine] {
			return s.Node
		}
	}
	return ""
}
