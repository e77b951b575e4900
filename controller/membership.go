package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/micros"
)

// This file connects package cluster, this node's membership and leadership, with the node's client of
// the key-value store, its owner and its rate limits.

// clusterKVClient implements cluster.KVClient: it sends the requests of membership and leadership to the
// key-value store. They have the most urgent purpose in the request budget.
type clusterKVClient struct{ core *Core }

// Call implements cluster.KVClient.
func (s clusterKVClient) Call(request kv.Request, done func(micros.Micros, kv.Result)) {
	s.core.store.Do(budget.Leadership, request, s.withTime(done))
}

// Watch implements cluster.KVClient.
func (s clusterKVClient) Watch(prefix string, after uint64, done func(micros.Micros, kv.Result)) {
	s.core.store.Watch(budget.Leadership, prefix, after, kv.WatchWait, s.withTime(done))
}

func (s clusterKVClient) withTime(done func(micros.Micros, kv.Result)) func(kv.Result) {
	return func(result kv.Result) { done(s.core.now, result) }
}

// clusterHost implements cluster.Host.
type clusterHost struct{ core *Core }

// OwnershipChanged creates, updates or removes the owner as the teams' records require.
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

// ViewChanged divides the limits of the key-value store among the members again.
func (h clusterHost) ViewChanged() { h.core.updateRateLimits() }

// UnreachableByWorkers reports whether no worker reaches this node, whether it owns the worker's machine
// or not, although some worker reaches a peer.
func (h clusterHost) UnreachableByWorkers() bool {
	c := h.core
	return c.owner != nil && c.owner.allMachinesUnresponsive() && c.onlyPeersReachable()
}

// setOwner replaces the owner; nil ends the ownership. No other function changes the owner. What the earlier
// owner knew of tasks on machines is retained until an owner has recovered it from the records.
func (c *Core) setOwner(o *owner) {
	if c.owner != nil {
		c.owner.workers.RefusePendingHeartbeats()
		c.owner.logDiscarded(o != nil)
		c.retainTasks(c.owner)
	}
	c.owner = o
	c.updateRateLimits()
}

// updateRateLimits sets this node's part of the key-value store's rate limits according to the numbers
// of members and owners.
func (c *Core) updateRateLimits() {
	role := budget.Role{Nodes: len(c.cluster.Members()), Owners: c.cluster.LiveOwnerCount(), OwnsTeams: c.owner != nil}
	if !c.cluster.IsMember(c.cfg.Node) {
		role.Nodes++
	}
	if role.OwnsTeams && role.Owners == 0 {
		role.Owners = 1
	}
	c.budget.SetRole(role, c.now)
}

// onlyPeersReachable reports whether no worker reaches this node although some reach a peer.
func (c *Core) onlyPeersReachable() bool {
	return c.workerHeartbeats.recentCount() == 0 && c.peers.AnyReceivesHeartbeats()
}

// heartbeatTarget returns the node to which a machine's worker should send its heartbeats, or "" if
// that is this node or unknown.
func (c *Core) heartbeatTarget(machine string) string {
	target := c.claimant(machine)
	if target == "" {
		target = c.cluster.FirstOwner()
	}
	if target == c.cfg.Node {
		return ""
	}
	return target
}
