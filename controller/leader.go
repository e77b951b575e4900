package controller

import (
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
	c.store(forLeading, state.Commit(guards, writes), func(r storeReply) {
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
	c.store(forLeading, state.Get(keyLeader), func(r storeReply) {
		var e state.Entry
		switch {
		case r.outcome == outOK && r.decode(&e):
			c.leaderIs(e.Value, e.Version)
		case r.outcome == outMissing && l.state == leadVacant:
			l.term = 0
		}
	})
}

// tickTypes keeps the table of machine types. It is kept in the state service too: a
// node that starts while the cloud does not answer must still be able to accept.
func (c *Core) tickTypes() {
	t := &c.types
	if t.asking || c.now < t.next {
		return
	}
	t.asking, t.next = true, c.now+2*micros.Second
	if len(t.list) == 0 {
		c.get(forLeading, keyTypes, func(out outcome, e state.Entry) {
			t.asking = false
			var m wire.MachineTypes
			if out == outOK && wire.Decode(e.Value, &m) == nil && len(t.list) == 0 {
				t.list = m.Types()
			}
			if len(t.list) == 0 {
				c.askTypes()
			}
		})
		return
	}
	if c.owner == nil && t.fromAPI || c.owner != nil && c.owner.state != ownerActive {
		t.asking = false
		return
	}
	c.askTypes()
}

const typesEvery = 30 * micros.Second

func (c *Core) askTypes() {
	t := &c.types
	t.asking = true
	c.cloud("GET", "/machine_types", nil, func(status int, body []byte) {
		t.asking = false
		var m wire.MachineTypes
		if status != 200 || wire.Decode(body, &m) != nil || len(m.Types()) == 0 {
			return
		}
		t.list, t.raw, t.fromAPI = m.Types(), m, true
		t.next = c.now + typesEvery
		c.recordTypes()
	})
}

// recordTypes keeps the types in the state service, once in a life.
func (c *Core) recordTypes() {
	t := &c.types
	if c.owner == nil || t.recorded || state.Size(t.raw) > c.cfg.ValueBytes {
		return
	}
	write := []state.Write{{Put: keyTypes, Value: t.raw}}
	c.store(forWork, state.Commit(c.owner.guards(nil), write), func(r storeReply) {
		t.recorded = t.recorded || r.outcome == outOK
	})
}

const cloudTimeout = 5 * micros.Second

// cloud calls the cloud; status 0: no response.
func (c *Core) cloud(method, target string, body any, done func(status int, body []byte)) {
	var data []byte
	if body != nil {
		data = wire.Encode(body)
	}
	c.call(Call{
		Addr: c.cfg.CloudAddr, Method: method, Target: target, Body: data,
		Timeout: cloudTimeout, MaxBody: maxStoreBody,
	}, func(e CallDone) { done(e.Status, e.Body) })
}
