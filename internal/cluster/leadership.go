package cluster

import (
	"fmt"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// campaignJitter bounds the random delay of a campaign, which makes simultaneous campaigns
// unlikely.
const campaignJitter = 150 * micros.Millisecond

// leadState is a state of a node's leadership.
type leadState int

const (
	leadUnknown     leadState = iota // the cluster's records were not read yet
	leadFollower                     // another node leads
	leadVacant                       // no node leads
	leadCampaigning                  // this node tries to become the leader
	leadLeading                      // this node leads
)

// String returns the name of the state in log lines.
func (s leadState) String() string {
	switch s {
	case leadUnknown:
		return "unknown"
	case leadFollower:
		return "follower"
	case leadVacant:
		return "vacant"
	case leadCampaigning:
		return "campaigning"
	case leadLeading:
		return "leading"
	default:
		return fmt.Sprintf("leadState(%d)", int(s))
	}
}

// leadership is a node's knowledge of the leader, and the state of its own campaign.
type leadership struct {
	state        leadState
	leader       string        // node, or ""
	term         uint64        // revision of the leader's record
	leadingSince micros.Micros // when this node became the leader
	campaignAt   micros.Micros // when the next campaign is due, while no node leads
	pausedUntil  micros.Micros // earliest time of the next campaign after a failure
}

// IsLeader reports whether this node leads, as far as it knows.
func (n *Node) IsLeader() bool { return n.leadership.state == leadLeading }

// Leader returns the last known leader, or "", and its term.
func (n *Node) Leader() (node string, term uint64) { return n.leadership.leader, n.leadership.term }

// setLeadState changes the state of leadership. No other function sets this state.
func (n *Node) setLeadState(now micros.Micros, to leadState) {
	l := &n.leadership
	if l.state == to {
		return
	}
	n.log.Info("leadership changed", "from", l.state.String(), "to", to.String(), "leader", l.leader, "term", l.term)
	l.state = to
	switch to {
	case leadLeading:
		l.leadingSince = now
	case leadVacant:
		l.leader = ""
		jitter := micros.Micros(n.random.Int64N(int64(campaignJitter)))
		l.campaignAt = max(now+jitter, l.pausedUntil)
	case leadUnknown, leadFollower, leadCampaigning: // no further state
	}
}

func (n *Node) tickLeadership(now micros.Micros) {
	l := &n.leadership
	switch {
	case !n.watching:
		n.readAndWatch()
	case l.state == leadVacant && now >= l.campaignAt && n.membership.state == memberJoined:
		n.campaign(now)
	case l.state == leadLeading:
		n.assign(now)
	}
}

// handleLeaderRecord applies the leader's record. A record that cannot be decoded is ignored.
func (n *Node) handleLeaderRecord(now micros.Micros, value []byte, version uint64) {
	l := &n.leadership
	var leader record.Leader
	if wire.Decode(value, &leader) != nil || version < l.term {
		return
	}
	if l.state == leadLeading && version == l.term {
		return
	}
	l.leader, l.term = leader.Node, version
	switch {
	case leader.Node != n.config.Node:
		n.setLeadState(now, leadFollower)
	case leader.Incarnation == n.incarnation && l.state == leadCampaigning:
		// The watch shows this node's own transaction before its result arrives.
	default:
		// An earlier incarnation of this node led, or a transaction of this incarnation was
		// executed although it seemed to have failed. The node need not wait until the lease
		// of that record expires: transactions of that term fail on their preconditions.
		n.setLeadState(now, leadVacant)
	}
}

// handleLeaderAbsence applies the absence of the leader's record at a revision.
func (n *Node) handleLeaderAbsence(now micros.Micros, revision uint64) {
	l := &n.leadership
	if revision >= l.term && l.state != leadCampaigning {
		l.term = 0
		n.setLeadState(now, leadVacant)
	}
}

// ObserveTerm applies the leader and term that another node reported, if the term is newer: this
// node then stops leading before the watch shows the leader's record.
func (n *Node) ObserveTerm(now micros.Micros, term uint64, leader string) {
	l := &n.leadership
	if term > l.term && l.state == leadLeading && leader != n.config.Node {
		l.leader, l.term = leader, term
		n.setLeadState(now, leadFollower)
	}
}

// stopLeading ends this node's leadership or campaign, because it is no longer a member.
func (n *Node) stopLeading(now micros.Micros) {
	l := &n.leadership
	if l.state == leadLeading || l.state == leadCampaigning {
		l.term = 0
		n.setLeadState(now, leadVacant)
	}
}

// campaign tries to put the leader's record on this node's lease. If another node has written the
// record meanwhile, the transaction fails on its precondition on the record's version.
func (n *Node) campaign(now micros.Micros) {
	l := &n.leadership
	n.setLeadState(now, leadCampaigning)
	preconditions := []kv.Precondition{{Key: record.LeaderKey, Version: l.term}, n.OwnPrecondition()}
	leader := record.Leader{Node: n.config.Node, Incarnation: n.incarnation}
	writes := []kv.Write{{Put: record.LeaderKey, Lease: n.membership.lease, Value: leader}}
	n.kvClient.Call(kv.Transaction(preconditions, writes), func(now micros.Micros, result kv.Result) {
		var committed kv.TransactionResult
		if !decode(result, &committed) || l.state != leadCampaigning {
			n.handleCampaignFailure(now)
			return
		}
		l.leader, l.term = n.config.Node, committed.Revision
		n.setLeadState(now, leadLeading)
	})
}

// handleCampaignFailure prepares the next campaign. The transaction may have been executed although
// no result arrived, so the leader's record is read.
func (n *Node) handleCampaignFailure(now micros.Micros) {
	l := &n.leadership
	if l.state != leadCampaigning {
		return
	}
	l.pausedUntil = max(l.pausedUntil, now+2*campaignJitter)
	n.setLeadState(now, leadVacant)
	n.kvClient.Call(kv.Get(record.LeaderKey), func(now micros.Micros, result kv.Result) {
		var entry kv.Entry
		switch {
		case decode(result, &entry):
			n.handleLeaderRecord(now, entry.Value, entry.Version)
		case result.Outcome == kv.NotFound && l.state == leadVacant:
			l.term = 0
		}
	})
}
