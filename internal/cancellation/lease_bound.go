package cancellation

import "tamarindlead/micros"

// Grant is a promise to a peer that a node sends with the response to the peer's heartbeat.
type Grant struct {
	// Period is the time from now on during which the node acknowledges a cancellation to users
	// only after the peer has acknowledged it. 0 means that there is no grant.
	Period micros.Micros
	// SinceUserAcknowledged is the time since the node last acknowledged a cancellation to users
	// without the peer's acknowledgement, or since the node started.
	SinceUserAcknowledged micros.Micros
}

// Grant returns the grant for the response to a peer's heartbeat. It is empty if the peer has not
// acknowledged a cancellation for longer than grantPeriod, as happens if the peer's messages reach this
// node but the peer receives neither messages nor responses from it. Users therefore wait for a peer no
// longer than until the last grant to it expires.
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

// ApplyGrant extends the time up to which this node knows all cancellations that a peer acknowledged
// to users. The grant counts only if this node knows the last cancellation that the peer acknowledged
// without this node's acknowledgement, either by its own reads or by an earlier grant of any
// incarnation of the peer. sentAt is when the heartbeat was sent; readUntil is the time up to which
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

// minLocalDuration returns the shortest duration on this node's clock that a duration on a peer's
// clock may correspond to, given the bound on clock drift.
func minLocalDuration(duration micros.Micros) micros.Micros { return duration - duration/driftFraction }

// MaxStaleness returns the maximum age of the time up to which all cancellations are known. Leases are
// not renewed if it is older.
func (t *Tracker) MaxStaleness() micros.Micros {
	return t.settings.CancelWithin - t.settings.Lease - stopMargin
}

// MayRenewLease reports whether workers' leases may be renewed now. readUntil is the time up to which
// this node's own reads show all cancellations.
func (t *Tracker) MayRenewLease(readUntil, now micros.Micros) bool {
	return now <= max(readUntil, t.grantedUntil(now))+t.MaxStaleness()
}

// grantedUntil returns the time up to which, by the peers' grants, this node knows all cancellations.
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
