package cluster

import (
	"tamarindlead/internal/kv"
	"tamarindlead/micros"
)

const (
	// leaveRetryDelay is the delay before the node tries again to leave.
	leaveRetryDelay = micros.Second
	// leaveDuration is how long a node stays absent after it left because workers cannot reach it.
	leaveDuration = 20 * micros.Second
)

// leaving is the state of giving up membership because workers cannot reach the node.
type leaving struct {
	inFlight  bool          // the revocation of the lease is in flight
	retryAt   micros.Micros // earliest time of the next revocation
	requested bool          // a revocation was sent, and may be executed at any later time
	failures  int           // revocations without a confirmation
}

// leave gives up membership, and thereby leadership and teams, so that a node that workers can
// reach takes over. A successor needs the key-value store, so the node remains a member until the
// store has confirmed that its lease is gone: during an outage, nobody could take over what the
// node has to do.
func (n *Node) leave(now micros.Micros) {
	m := &n.membership
	if m.leaving.inFlight || now < m.leaving.retryAt {
		return
	}
	if !m.leaving.requested {
		n.log.Warn("leaving the cluster: workers reach a peer but not this node")
	}
	m.leaving.inFlight, m.leaving.requested = true, true
	lease := m.lease
	n.kvClient.Call(kv.RevokeLease(lease), func(now micros.Micros, result kv.Result) {
		if m.state != memberJoined || m.lease != lease {
			return
		}
		m.leaving.inFlight = false
		if result.Outcome == kv.OK || result.Outcome == kv.NotFound {
			n.endLeaving(now)
			return
		}
		m.leaving.retryAt = now + leaveRetryDelay
		m.leaving.failures++
		if m.leaving.failures == 1 {
			n.log.Info("still a member: leaving is not confirmed", "outcome", result.Outcome.String())
		}
	})
}

// endLeaving ends membership after the key-value store has confirmed that the lease is gone.
func (n *Node) endLeaving(now micros.Micros) {
	n.membership.pausedUntil = now + leaveDuration
	n.setMemberState(now, memberAbsent, "unreachable by workers")
}
