package cluster

import (
	"fmt"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

const (
	// joinRetryDelay is the delay before joining again after a failure or the loss of the record.
	joinRetryDelay = 300 * micros.Millisecond
	// renewalsPerLease is the number of renewals within the duration of a lease, so that two may
	// fail.
	renewalsPerLease = 3
	// renewRetryDelay is the delay before renewing again after a failure.
	renewRetryDelay = 250 * micros.Millisecond
)

// memberState is a state of a node's membership.
type memberState int

const (
	memberAbsent  memberState = iota // the node has no lease
	memberJoining                    // the node requests a lease and writes its record
	memberJoined                     // the node's record is on its lease
)

// String returns the name of the state in log lines.
func (s memberState) String() string {
	switch s {
	case memberAbsent:
		return "absent"
	case memberJoining:
		return "joining"
	case memberJoined:
		return "joined"
	default:
		return fmt.Sprintf("memberState(%d)", int(s))
	}
}

// membership is the state of this node's own record. The record is on a lease, as is the leader's
// record if this node leads. Everything that the node writes as an owner has the version of this
// record as a precondition.
type membership struct {
	state       memberState
	lease       uint64
	version     uint64 // of the record
	renewing    bool   // a renewal is in flight
	renewAt     micros.Micros
	pausedUntil micros.Micros // earliest time to join
	leaving     leaving
}

// RecordVersion returns the last known version of this node's own record, or 0 if the node has
// never been a member.
func (n *Node) RecordVersion() uint64 { return n.membership.version }

// OwnPrecondition returns the precondition that this incarnation of the node is still a member.
func (n *Node) OwnPrecondition() kv.Precondition {
	return kv.Precondition{Key: record.MemberKey(n.config.Node), Version: n.membership.version}
}

// setMemberState changes the state of membership. No other function sets this state.
func (n *Node) setMemberState(now micros.Micros, to memberState, reason string) {
	m := &n.membership
	if m.state == to {
		return
	}
	n.log.Info("membership changed", "from", m.state.String(), "to", to.String(), "reason", reason,
		"incarnation", n.incarnation, "lease", m.lease, "version", m.version)
	m.state = to
	if to == memberAbsent {
		n.stopLeading(now)
	}
	n.host.OwnershipChanged()
}

func (n *Node) tickMembership(now micros.Micros) {
	switch n.membership.state {
	case memberAbsent:
		if now >= n.membership.pausedUntil {
			n.join(now)
		}
	case memberJoined:
		n.renew(now)
		if n.host.UnreachableByWorkers() && n.view.hasMemberBesides(n.config.Node) {
			n.leave(now)
		}
	case memberJoining: // the result of each call starts the next step
	}
}

// join reads the version of this node's record, requests a lease, and puts the record on it.
func (n *Node) join(now micros.Micros) {
	n.setMemberState(now, memberJoining, "joining")
	n.kvClient.Call(kv.Get(record.MemberKey(n.config.Node)), func(now micros.Micros, result kv.Result) {
		var earlier kv.Entry
		if result.Outcome != kv.NotFound && !decode(result, &earlier) {
			n.handleJoinFailure(now)
			return
		}
		n.requestLease(earlier.Version)
	})
}

func (n *Node) requestLease(earlierVersion uint64) {
	n.kvClient.Call(kv.GrantLease(n.config.Tuning.LeaderTTL), func(now micros.Micros, result kv.Result) {
		var granted kv.LeaseGrant
		if !decode(result, &granted) {
			n.handleJoinFailure(now)
			return
		}
		n.putRecord(granted.Lease, earlierVersion)
	})
}

// putRecord writes this node's record. The precondition on the version that was read before the
// lease was granted rejects the write if a delayed transaction of an earlier incarnation was
// executed first.
func (n *Node) putRecord(lease, earlierVersion uint64) {
	key := record.MemberKey(n.config.Node)
	preconditions := []kv.Precondition{{Key: key, Version: earlierVersion}}
	writes := []kv.Write{{Put: key, Lease: lease, Value: record.Member{Incarnation: n.incarnation}}}
	n.kvClient.Call(kv.Transaction(preconditions, writes), func(now micros.Micros, result kv.Result) {
		var committed kv.TransactionResult
		if !decode(result, &committed) {
			n.handleJoinFailure(now)
			return
		}
		m := &n.membership
		m.lease, m.version, m.leaving = lease, committed.Revision, leaving{}
		m.renewAt = now + n.renewInterval()
		n.setMemberState(now, memberJoined, "joined")
	})
}

func (n *Node) handleJoinFailure(now micros.Micros) {
	n.membership.pausedUntil = now + joinRetryDelay
	n.setMemberState(now, memberAbsent, "joining failed")
}

func (n *Node) renewInterval() micros.Micros { return n.config.Tuning.LeaderTTL / renewalsPerLease }

// renew renews the lease if a renewal is due.
func (n *Node) renew(now micros.Micros) {
	m := &n.membership
	if m.renewing || now < m.renewAt {
		return
	}
	m.renewing = true
	lease := m.lease
	n.kvClient.Call(kv.RenewLease(lease), func(now micros.Micros, result kv.Result) {
		m.renewing = false
		if m.state != memberJoined || m.lease != lease {
			return
		}
		switch result.Outcome {
		case kv.OK:
			m.renewAt = now + n.renewInterval()
		case kv.NotFound:
			n.handleLeaseGone(now)
		default:
			// During an outage of the key-value store, or if it refuses only this node's
			// requests, the node does not know whether the lease has expired. It stays a
			// member: after a failover, the fencing tokens of machines and the preconditions
			// of transactions reject its actions.
			m.renewAt = now + renewRetryDelay
		}
	})
}

// handleLeaseGone ends membership because the key-value store has no lease of this node any more.
func (n *Node) handleLeaseGone(now micros.Micros) {
	if n.membership.leaving.requested && n.host.UnreachableByWorkers() {
		n.endLeaving(now) // the revocation was executed, though its result did not arrive
		return
	}
	n.setMemberState(now, memberAbsent, "lease expired")
}

// RecordLost must be called when a precondition on this node's own record failed: another
// incarnation has replaced the record, or its lease has expired.
func (n *Node) RecordLost(now micros.Micros) { n.Rejoin(now, "record changed") }

// Rejoin makes the node write its record again, so that the record gets a higher version. The node
// then owns the same teams, because its incarnation stays the same.
func (n *Node) Rejoin(now micros.Micros, reason string) {
	n.membership.pausedUntil = now + joinRetryDelay
	n.setMemberState(now, memberAbsent, reason)
}
