package controller

import (
	"fmt"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// cluster is what the records say of the controllers: who is a member, who leads, and
// who owns which team. Every node follows these records by one watch.
type cluster struct {
	watching bool
	members  map[string]member
	teams    map[string]teamView
}

type member struct {
	life    uint64
	version uint64
}

type teamView struct {
	teamRecord
	version uint64
}

// ownerID names one life of a node.
func ownerID(node string, life uint64) string { return fmt.Sprintf("%s/%d", node, life) }

func nodeOf(id string) string {
	node, _, _ := strings.Cut(id, "/")
	return node
}

func (c *Core) ownID() string { return ownerID(c.cfg.Node, c.life) }

// lives tells whether a life of a node is a member.
func (c *Core) lives(id string) bool {
	node := nodeOf(id)
	m, ok := c.cluster.members[node]
	return ok && ownerID(node, m.life) == id
}

// readCluster reads the cluster's records and then watches them.
func (c *Core) readCluster() {
	cl := &c.cluster
	cl.watching = true
	c.store(budget.Leadership, state.List(prefixCluster, ""), func(r storeReply) {
		var p state.Page
		if r.outcome != outOK || !r.decode(&p) {
			cl.watching = false
			return
		}
		cl.members, cl.teams = map[string]member{}, map[string]teamView{}
		found := false
		for _, e := range p.Entries {
			c.clusterRecord(e.Key, e.Value, e.Version)
			found = found || e.Key == keyLeader
		}
		if !found {
			c.leaderGone(p.Revision)
		}
		c.checkOwnership()
		c.shareLimits()
		c.watchCluster(p.Revision)
	})
}

func (c *Core) watchCluster(after uint64) {
	c.storeWithin(budget.Leadership, state.Watch(prefixCluster, after, watchWait), watchTimeout, func(r storeReply) {
		var ch state.Changes
		if r.outcome != outOK || !r.decode(&ch) {
			c.cluster.watching = false // read again with the next tick
			return
		}
		for _, e := range ch.Events {
			if e.Put != "" {
				c.clusterRecord(e.Put, e.Value, e.Version)
				continue
			}
			node, isMember := strings.CutPrefix(e.Delete, prefixMember)
			switch {
			case e.Delete == keyLeader:
				c.leaderGone(e.Version)
			case isMember:
				delete(c.cluster.members, node)
			}
		}
		if len(ch.Events) > 0 {
			c.checkOwnership()
			c.shareLimits()
		}
		c.watchCluster(max(after, ch.Revision))
	})
}

func (c *Core) clusterRecord(key string, value []byte, version uint64) {
	if key == keyLeader {
		c.leaderIs(value, version)
		return
	}
	if node, ok := strings.CutPrefix(key, prefixMember); ok {
		var rec memberRecord
		if wire.Decode(value, &rec) == nil {
			c.cluster.members[node] = member{rec.Life, version}
		}
		return
	}
	for _, t := range c.cfg.Teams {
		var rec teamRecord
		if key == teamKey(t.Name) && wire.Decode(value, &rec) == nil {
			c.cluster.teams[t.Name] = teamView{rec, version}
		}
	}
}

// memberState is the state machine of membership.
type memberState int

const (
	memberOut     memberState = iota // has no lease
	memberJoining                    // is getting one
	memberIn                         // its record is on its lease
)

func (s memberState) String() string { return [...]string{"out", "joining", "in"}[s] }

// membership is this node's own record. It hangs on a lease, as does the leader's
// record if this node leads. Whatever the node writes as an owner is guarded on it.
type membership struct {
	state    memberState
	lease    uint64
	version  uint64
	renewing bool
	renewAt  micros.Micros
	pauseTo  micros.Micros
}

func (c *Core) setMember(s memberState, why string) {
	m := &c.member
	if m.state == s {
		return
	}
	c.log.Info("membership", "from", m.state.String(), "to", s.String(), "why", why)
	m.state = s
	if s == memberOut {
		if c.lead.state == leadLeading || c.lead.state == leadCampaigning {
			c.lead.term = 0
			c.setLead(leadVacant)
		}
	}
	c.checkOwnership()
}

func (c *Core) tickMembership() {
	m := &c.member
	switch m.state {
	case memberOut:
		if c.now >= m.pauseTo {
			c.join()
		}
	case memberIn:
		c.renew()
		if c.owner != nil && c.owner.deaf() && c.isDeaf() {
			c.leave()
		}
	}
}

const joinRetry = 300 * micros.Millisecond

// join gets a lease and puts this node's record on it. The guard on the record's
// version keeps late commits of an earlier life from replacing it.
func (c *Core) join() {
	m := &c.member
	c.setMember(memberJoining, "starts")
	fail := func() {
		m.pauseTo = c.now + joinRetry
		c.setMember(memberOut, "could not join")
	}
	c.get(budget.Leadership, memberKey(c.cfg.Node), func(out outcome, e state.Entry) {
		if out != outOK && out != outMissing {
			fail()
			return
		}
		c.store(budget.Leadership, state.Grant(c.cfg.Tuning.LeaderTTL), func(r storeReply) {
			var g state.Granted
			if r.outcome != outOK || !r.decode(&g) {
				fail()
				return
			}
			guards := []state.Guard{{Key: memberKey(c.cfg.Node), Version: e.Version}}
			writes := []state.Write{{Put: memberKey(c.cfg.Node), Lease: g.Lease, Value: memberRecord{c.life}}}
			c.store(budget.Leadership, state.Commit(guards, writes), func(r storeReply) {
				var done state.Committed
				if r.outcome != outOK || !r.decode(&done) {
					fail()
					return
				}
				m.lease, m.version = g.Lease, done.Revision
				m.renewAt = c.now + c.cfg.Tuning.LeaderTTL/3
				c.setMember(memberIn, "joined")
			})
		})
	})
}

func (c *Core) renew() {
	m := &c.member
	if m.renewing || c.now < m.renewAt {
		return
	}
	m.renewing = true
	lease := m.lease
	c.store(budget.Leadership, state.Renew(lease), func(r storeReply) {
		m.renewing = false
		if m.state != memberIn || m.lease != lease {
			return
		}
		switch r.outcome {
		case outOK:
			m.renewAt = c.now + c.cfg.Tuning.LeaderTTL/3
		case outMissing:
			c.setMember(memberOut, "its lease has ended")
		default:
			// An outage, or this node alone is refused: it cannot tell. It goes on;
			// if others have taken over, the tokens and guards are theirs.
			m.renewAt = c.now + slowTick
		}
	})
}

// leave gives up membership, and with it leading and owning, so that a node that
// workers can reach takes over.
func (c *Core) leave() {
	m := &c.member
	c.log.Warn("leaving: workers reach a sibling but not this node")
	m.pauseTo = c.now + leavePause
	c.store(budget.Leadership, state.Revoke(m.lease), func(storeReply) {})
	c.setMember(memberOut, "workers do not reach it")
}

// memberLost is called when a guard on this node's own record did not hold.
func (c *Core) memberLost() {
	c.member.pauseTo = c.now + joinRetry
	c.setMember(memberOut, "its record has changed")
}

// checkOwnership starts, changes or ends this node's part as an owner, as the teams'
// records tell.
func (c *Core) checkOwnership() {
	mine := map[string]teamView{}
	if c.member.state == memberIn {
		for name, t := range c.cluster.teams {
			if ownerID(t.Owner, t.Life) == c.ownID() {
				mine[name] = t
			}
		}
	}
	switch {
	case len(mine) == 0 && c.owner == nil:
	case len(mine) == 0:
		c.setOwner(nil)
	case c.owner == nil:
		c.setOwner(newOwner(c, mine))
	default:
		c.owner.teamsAre(mine)
	}
}

// setOwner is the one place where this node begins or ends owning.
func (c *Core) setOwner(o *owner) {
	if c.owner != nil {
		c.owner.dropAll()
	}
	c.owner = o
	c.shareLimits()
}

// shareLimits sets this node's part of the state service's limits by who lives.
func (c *Core) shareLimits() {
	role := budget.Role{Nodes: len(c.cluster.members), Owns: c.owner != nil}
	if _, ok := c.cluster.members[c.cfg.Node]; !ok {
		role.Nodes++
	}
	owners := map[string]bool{}
	for _, t := range c.cluster.teams {
		if c.lives(ownerID(t.Owner, t.Life)) {
			owners[t.Owner] = true
		}
	}
	if role.Owners = len(owners); role.Owns && role.Owners == 0 {
		role.Owners = 1
	}
	c.budget.SetRole(role, c.now)
}

// owners counts the nodes that own teams.
func (c *Core) owners() int {
	seen := map[string]bool{}
	for _, t := range c.cluster.teams {
		seen[t.Owner] = true
	}
	return max(1, len(seen))
}

// firstOwner is the owner that takes what belongs to nobody.
func (c *Core) firstOwner() string {
	for _, name := range sortedKeys(c.cluster.teams) {
		if t := c.cluster.teams[name]; c.lives(ownerID(t.Owner, t.Life)) {
			return t.Owner
		}
	}
	return ""
}

// reportTo finds the node to which a machine's worker should report, or "".
func (c *Core) reportTo(machine string) string {
	to := c.claimant(machine)
	if to == "" {
		to = c.firstOwner()
	}
	if to == c.cfg.Node {
		return ""
	}
	return to
}

// claimant finds the sibling that says it owns a machine, or "".
func (c *Core) claimant(machine string) string {
	for _, cfg := range c.cfg.Siblings {
		if s := c.peers[cfg.Node]; s.fresh(c.now) && s.machines[machine] {
			return s.Node
		}
	}
	return ""
}
