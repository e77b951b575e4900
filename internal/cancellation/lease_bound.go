package cancellation

import "tamarindlead/micros"

// Grant is what a node grants a peer with the answer to the peer's heartbeat.
type Grant struct {
	// Period is how long from now on the node acknowledges to users no cancellation that the
	// peer has not acknowledged; 0 if the node grants nothing.
	Period micros.Micros
	// SinceUserAcknowledged is how long ago the node last acknowledged a cancellation to users
	// without the peer's acknowledgement, or how long ago it started.
	SinceUserAcknowledged micros.Micros
}

// Grant returns the grant for the answer to a peer's heartbeat. It is empty if the peer has left
// a cancellation unacknowledged for ackPeriod, as a peer does that reaches this node but gets
// neither messages nor answers from it. So no user waits for a peer longer than until the
// last grant to it expires.
func (t *Tracker) Grant(peer string, now micros.Micros) Grant {
	for _, a := range t.announcements {
		if !a.acknowledged[peer] && now-max(a.announcedAt, t.withholdUntil) > grantPeriod {
			return Grant{}
		}
	}
	p := t.peers[peer]
	p.ackRequiredUntil = now + grantPeriod
	return Grant{Period: grantPeriod, SinceUserAcknowledged: now - p.lastUserAckWithoutPeer}
}

// ApplyGrant extends the time up to which this node knows all cancellations that a peer
// acknowledged to users. The grant counts only if this node knows the last cancellation that the
// peer acknowledged without it: if its own reads, or an earlier grant of any incarnation of the
// peer, reach that far. sentAt is when the heartbeat was sent, readUntil the time up to which
// this node's own reads show all cancellations.
func (t *Tracker) ApplyGrant(peer string, grant Grant, sentAt, readUntil, now micros.Micros) {
	if grant.Period == 0 {
		return
	}
	p := t.peers[peer]
	lastUserAck := now - minLocalDuration(grant.SinceUserAcknowledged)
	if max(readUntil, p.cancellationsKnownUntil) < lastUserAck {
		return
	}
	p.cancellationsKnownUntil = max(p.cancellationsKnownUntil, sentAt+minLocalDuration(grant.Period))
}

// minLocalDuration returns the least duration on this node's clock that a duration on a peer's clock may
// correspond to.
func minLocalDuration(duration micros.Micros) micros.Micros { return duration - duration/driftFraction }

// MaxStaleness returns how far the time up to which all cancellations are known may lie in the
// past for leases to be renewed.
func (t *Tracker) MaxStaleness() micros.Micros {
	return t.settings.CancelWithin - t.settings.Lease - stopMargin
}

// MayRenewLease reports whether a worker's lease may be renewed now. readUntil is the time up to
// which this node's own reads show all cancellations.
func (t *Tracker) MayRenewLease(readUntil, now micros.Micros) bool {
	return now <= max(readUntil, t.grantedUntil(now))+t.MaxStaleness()
}

// grantedUntil returns the time up to which the peers' grants show all cancellations.
func (t *Tracker) grantedUntil(now micros.Micros) micros.Micros {
	if len(t.peers) == 0 {
		return now // no other node acknowledges cancellations
	}
	until := never
	for _, p := range t.peers {
		until = min(until, p.cancellationsKnownUntil)
	}
	return until
}
