package cluster

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// campaignJitter is the longest random pause before a campaign, so that nodes seldom
// campaign at the same time.
const campaignJitter = 150 * micros.Millisecond

// leadState is the state machine of leadership.
type leadState int

const (
	leadUnknown     leadState = iota // nothing read yet
	leadFollower                     // another node leads
	leadVacant                       // nobody leads
	leadCampaigning                  // trying to lead
	leadLeading                      // this node leads
)

func (s leadState) String() string {
	return [...]string{"unknown", "follower", "vacant", "campaigning", "leading"}[s]
}

// leadership is what a node knows of the leader, and its own part in it.
type leadership struct {
	state        leadState
	leader       string        // node
	term         uint64        // revision of the leader's record
	leadingSince micros.Micros // when this node began to lead
	campaignAt   micros.Micros
	pausedUntil  micros.Micros // before that it does not campaign
}

// IsLeader tells whether this node leads, as far as it knows.
func (n *Node) IsLeader() bool { return n.leadership.state == leadLeading }

// Leader returns the node that leads, as far as is known, or "", and its term.
func (n *Node) Leader() (node string, term uint64) { return n.leadership.leader, n.leadership.term }

// setLeadState is the one place where the state of leadership changes.
func (n *Node) setLeadState(now micros.Micros, to leadState) {
	l := &n.leadership
	if l.state == to {
		return
	}
	n.log.Info("leadership", "from", l.state.String(), "to", to.String(), "leader", l.leader, "term", l.term)
	l.state = to
	switch to {
	case leadLeading:
		l.leadingSince = now
	case leadVacant:
		l.leader = ""
		jitter := micros.Micros(n.random.Int64N(int64(campaignJitter)))
		l.campaignAt = max(now+jitter, l.pausedUntil)
	}
}

func (n *Node) tickLeadership(now micros.Micros) {
	l := &n.leadership
	switch {
	case !n.following:
		n.follow()
	case l.state == leadVacant && now >= l.campaignAt && n.membership.state == memberJoined:
		n.campaign(now)
	case l.state == leadLeading:
		n.assign(now)
	}
}

// leaderChanged takes the leader's record.
func (n *Node) leaderChanged(now micros.Micros, value []byte, version uint64) {
	l := &n.leadership
	var leader record.Leader
	if wire.Decode(value, &leader) != nil || version < l.term {
		return
	}
	if l.state == leadLeading && version == l.term {
		return
	}
	l.leader, l.term = leader.Node, version
	isOwn := leader.Node == n.config.Node
	switch {
	case !isOwn:
		n.setLeadState(now, leadFollower)
	case leader.Incarnation == n.incarnation && l.state == leadCampaigning:
		// This node's own commit, seen before its answer.
	default:
		// An earlier incarnation of this node led, or a commit of this one was executed that
		// seemed to have failed. There is no need to wait until that lease ends: commits
		// made under it fail on their guards.
		n.setLeadState(now, leadVacant)
	}
}

// leaderAbsent takes it that there was no leader's record at a revision.
func (n *Node) leaderAbsent(now micros.Micros, revision uint64) {
	l := &n.leadership
	if revision >= l.term && l.state != leadCampaigning {
		l.term = 0
		n.setLeadState(now, leadVacant)
	}
}

// ObserveTerm takes from another node that somebody leads by a newer record.
func (n *Node) ObserveTerm(now micros.Micros, term uint64, leader string) {
	l := &n.leadership
	if term > l.term && l.state == leadLeading && leader != n.config.Node {
		l.leader, l.term = leader, term
		n.setLeadState(now, leadFollower)
	}
}

// stopLeading ends leading or campaigning, since this node is no longer a member.
func (n *Node) stopLeading(now micros.Micros) {
	l := &n.leadership
	if l.state == leadLeading || l.state == leadCampaigning {
		l.term = 0
		n.setLeadState(now, leadVacant)
	}
}

// campaign tries to put the leader's record on this node's lease. Whatever is seen of a rival
// meanwhile makes the commit fail by its guard on the record's version.
func (n *Node) campaign(now micros.Micros) {
	l := &n.leadership
	n.setLeadState(now, leadCampaigning)
	guards := []kv.Precondition{{Key: record.LeaderKey, Version: l.term}, n.OwnPrecondition()}
	leader := record.Leader{Node: n.config.Node, Incarnation: n.incarnation}
	writes := []kv.Write{{Put: record.LeaderKey, Lease: n.membership.lease, Value: leader}}
	n.kvClient.Call(kv.Transaction(guards, writes), func(now micros.Micros, reply kv.Result) {
		var committed kv.TransactionResult
		if !decode(reply, &committed) || l.state != leadCampaigning {
			n.campaignFailed(now)
			return
		}
		l.leader, l.term = n.config.Node, committed.Revision
		n.setLeadState(now, leadLeading)
	})
}

// campaignFailed starts over: the commit may have been executed all the same, which reading
// the record will show.
func (n *Node) campaignFailed(now micros.Micros) {
	l := &n.leadership
	if l.state != leadCampaigning {
		return
	}
	l.pausedUntil = max(l.pausedUntil, now+2*campaignJitter)
	n.setLeadState(now, leadVacant)
	n.kvClient.Call(kv.Get(record.LeaderKey), func(now micros.Micros, reply kv.Result) {
		var entry kv.Entry
		switch {
		case decode(reply, &entry):
			n.leaderChanged(now, entry.Value, entry.Version)
		case reply.Outcome == kv.NotFound && l.state == leadVacant:
			l.term = 0
		}
	})
}
