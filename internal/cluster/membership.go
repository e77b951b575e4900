package cluster

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// Times of membership.
const (
	// joinRetry is the pause after joining failed or the record was lost.
	joinRetry = 300 * micros.Millisecond
	// renewalsPerLease is how often a lease is renewed in its time: two renewals may fail.
	renewalsPerLease = 3
	// renewRetry is the pause after a renewal that failed.
	renewRetry = 250 * micros.Millisecond
	// leavePause is how long a node that workers cannot reach stays out.
	leavePause = 20 * micros.Second
)

// memberState is the state machine of membership.
type memberState int

const (
	memberAbsent  memberState = iota // has no lease
	memberJoining                    // is getting one
	memberJoined                     // its record is on its lease
)

func (s memberState) String() string { return [...]string{"out", "joining", "in"}[s] }

// membership is this node's own record. It hangs on a lease, as does the leader's record if
// this node leads. Whatever the node writes as an owner is guarded on it.
type membership struct {
	state       memberState
	lease       uint64
	version     uint64
	renewing    bool
	renewAt     micros.Micros
	pausedUntil micros.Micros // before that it does not join
}

// RecordVersion is the version of this node's own record: the last one it had, and 0 before
// it was a member.
func (n *Node) RecordVersion() uint64 { return n.membership.version }

// OwnPrecondition is the guard that this incarnation of the node is still a member.
func (n *Node) OwnPrecondition() kv.Precondition {
	return kv.Precondition{Key: record.MemberKey(n.config.Node), Version: n.membership.version}
}

// setMemberState is the one place where the state of membership changes.
func (n *Node) setMemberState(now micros.Micros, to memberState, why string) {
	m := &n.membership
	if m.state == to {
		return
	}
	n.log.Info("membership", "from", m.state.String(), "to", to.String(), "why", why, "incarnation", n.incarnation,
		"lease", m.lease, "version", m.version)
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
		if n.host.UnreachableByWorkers() {
			n.leave(now)
		}
	}
}

// join reads the version of this node's record, gets a lease, and puts the record on it.
func (n *Node) join(now micros.Micros) {
	n.setMemberState(now, memberJoining, "starts")
	n.kvClient.Call(kv.Get(record.MemberKey(n.config.Node)), func(now micros.Micros, reply kv.Result) {
		var earlier kv.Entry
		if reply.Outcome != kv.NotFound && !decode(reply, &earlier) {
			n.joinFailed(now)
			return
		}
		n.grantLease(earlier.Version)
	})
}

func (n *Node) grantLease(earlierVersion uint64) {
	n.kvClient.Call(kv.GrantLease(n.config.Tuning.LeaderTTL), func(now micros.Micros, reply kv.Result) {
		var granted kv.LeaseGrant
		if !decode(reply, &granted) {
			n.joinFailed(now)
			return
		}
		n.putRecord(granted.Lease, earlierVersion)
	})
}

// putRecord writes this node's record. The guard on the version that was read before the
// lease was granted keeps late commits of an earlier incarnation from replacing it.
func (n *Node) putRecord(lease, earlierVersion uint64) {
	key := record.MemberKey(n.config.Node)
	guards := []kv.Precondition{{Key: key, Version: earlierVersion}}
	writes := []kv.Write{{Put: key, Lease: lease, Value: record.Member{Incarnation: n.incarnation}}}
	n.kvClient.Call(kv.Transaction(guards, writes), func(now micros.Micros, reply kv.Result) {
		var committed kv.TransactionResult
		if !decode(reply, &committed) {
			n.joinFailed(now)
			return
		}
		m := &n.membership
		m.lease, m.version = lease, committed.Revision
		m.renewAt = now + n.renewInterval()
		n.setMemberState(now, memberJoined, "joined")
	})
}

func (n *Node) joinFailed(now micros.Micros) {
	n.membership.pausedUntil = now + joinRetry
	n.setMemberState(now, memberAbsent, "could not join")
}

func (n *Node) renewInterval() micros.Micros { return n.config.Tuning.LeaderTTL / renewalsPerLease }

func (n *Node) renew(now micros.Micros) {
	m := &n.membership
	if m.renewing || now < m.renewAt {
		return
	}
	m.renewing = true
	lease := m.lease
	n.kvClient.Call(kv.RenewLease(lease), func(now micros.Micros, reply kv.Result) {
		m.renewing = false
		if m.state != memberJoined || m.lease != lease {
			return
		}
		switch reply.Outcome {
		case kv.OK:
			m.renewAt = now + n.renewInterval()
		case kv.NotFound:
			n.setMemberState(now, memberAbsent, "its lease has ended")
		default:
			// In an outage, or if this node alone is refused, it cannot tell whether the
			// lease has ended. It goes on: if others have taken over, the machines'
			// tokens and the guards of commits are theirs.
			m.renewAt = now + renewRetry
		}
	})
}

// leave gives up membership, and with it leading and owning, so that a node that workers can
// reach takes over.
func (n *Node) leave(now micros.Micros) {
	n.log.Warn("leaving: workers reach a peer but not this node")
	n.membership.pausedUntil = now + leavePause
	n.kvClient.Call(kv.RevokeLease(n.membership.lease), func(micros.Micros, kv.Result) {})
	n.setMemberState(now, memberAbsent, "workers do not reach it")
}

// RecordLost must be called when a guard on this node's own record did not hold: another
// incarnation has replaced the record, or its lease has ended.
func (n *Node) RecordLost(now micros.Micros) { n.Rejoin(now, "its record has changed") }

// Rejoin has the node write its record anew, so that the record has a higher version. What it
// owned it owns again afterwards, since its incarnation stays the same.
func (n *Node) Rejoin(now micros.Micros, why string) {
	n.membership.pausedUntil = now + joinRetry
	n.setMemberState(now, memberAbsent, why)
}
