package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// leadState is the state machine of leadership.
type leadState int

const (
	leadUnknown     leadState = iota // nothing read yet
	leadFollower                     // somebody leads
	leadVacant                       // nobody leads
	leadCampaigning                  // trying to lead
	leadLeading                      // this node leads
)

func (s leadState) String() string {
	return [...]string{"unknown", "follower", "vacant", "campaigning", "leading"}[s]
}

// Times of elections.
const (
	campaignJitter = 150 * micros.Millisecond
	leavePause     = 20 * micros.Second // a node that workers cannot reach stays out for so long
	deafAfter      = 6 * micros.Second
)

// leadership is what a node knows of the leader, and its own part in it.
type leadership struct {
	state   leadState
	node    string // the leader
	life    uint64
	term    uint64        // revision of the leader's record
	since   micros.Micros // leading
	at      micros.Micros // when to campaign
	pauseTo micros.Micros
	// assigning: a commit that gives teams to owners is under way.
	assigning bool
	assignAt  micros.Micros
}

func (c *Core) setLead(s leadState) {
	l := &c.lead
	if l.state == s {
		return
	}
	c.log.Info("leadership", "from", l.state.String(), "to", s.String(), "leader", l.node, "term", l.term)
	l.state = s
	switch s {
	case leadLeading:
		l.since = c.now
	case leadVacant:
		l.node, l.at = "", c.now+micros.Micros(c.rng.Int64N(int64(campaignJitter)))
		l.at = max(l.at, l.pauseTo)
	}
}

// isDeaf tells that no worker reaches this node although some reach a sibling.
func (c *Core) isDeaf() bool {
	if len(c.heard) > 0 {
		return false
	}
	for _, s := range c.peers {
		if s.fresh(c.now) && s.heard > 0 {
			return true
		}
	}
	return false
}

func (c *Core) tickLeadership() {
	l := &c.lead
	switch {
	case !c.cluster.watching:
		c.readCluster()
	case l.state == leadVacant && c.now >= l.at && c.member.state == memberIn:
		c.campaign()
	case l.state == leadLeading:
		c.assign()
	}
}

func (c *Core) leaderIs(value []byte, version uint64) {
	l := &c.lead
	var rec leaderRecord
	if wire.Decode(value, &rec) != nil || version < l.term {
		return
	}
	if l.state == leadLeading && version == l.term {
		return
	}
	l.node, l.life, l.term = rec.Node, rec.Life, version
	if rec.Node == c.cfg.Node && rec.Life == c.life && l.state == leadCampaigning {
		return // our own commit, seen before its answer
	}
	if rec.Node == c.cfg.Node {
		// An earlier life of this node led, or a commit of ours was executed that
		// seemed to have failed. There is no need to wait for that lease: commits
		// made under it fail on their guards.
		c.setLead(leadVacant)
		return
	}
	c.setLead(leadFollower)
}

func (c *Core) leaderGone(revision uint64) {
	if revision >= c.lead.term && c.lead.state != leadCampaigning {
		c.lead.term = 0
		c.setLead(leadVacant)
	}
}

// heardOfTerm learns from a sibling that somebody leads by a newer record.
func (c *Core) heardOfTerm(term uint64, node string) {
	l := &c.lead
	if term > l.term && l.state == leadLeading && node != c.cfg.Node {
		l.node, l.term = node, term
		c.setLead(leadFollower)
	}
}

func (c *Core) campaign() {
	l := &c.lead
	c.setLead(leadCampaigning)
	guards := []state.Guard{
		// What is seen of a rival meanwhile must make the commit fail.
		{Key: keyLeader, Version: l.term}, {Key: memberKey(c.cfg.Node), Version: c.member.version},
	}
	writes := []state.Write{{Put: keyLeader, Lease: c.member.lease, Value: leaderRecord{c.cfg.Node, c.life}}}
	c.store(budget.Leadership, state.Commit(guards, writes), func(r storeReply) {
		var done state.Committed
		if r.outcome != outOK || !r.decode(&done) || l.state != leadCampaigning {
			c.campaignFailed()
			return
		}
		l.node, l.life, l.term = c.cfg.Node, c.life, done.Revision
		c.setLead(leadLeading)
	})
}

// campaignFailed starts over: the commit may have been executed all the same, which
// reading the record will show.
func (c *Core) campaignFailed() {
	l := &c.lead
	if l.state != leadCampaigning {
		return
	}
	l.pauseTo = max(l.pauseTo, c.now+2*campaignJitter)
	c.setLead(leadVacant)
	c.store(budget.Leadership, state.Get(keyLeader), func(r storeReply) {
		var e state.Entry
		switch {
		case r.outcome == outOK && r.decode(&e):
			c.leaderIs(e.Value, e.Version)
		case r.outcome == outMissing && l.state == leadVacant:
			l.term = 0
		}
	})
}
