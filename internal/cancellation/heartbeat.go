package cancellation

import (
	"maps"
	"slices"

	"tamarindlead/micros"
)

// Unacknowledged lists cancelled jobs for a heartbeat to a peer: heartbeats suffice for
// acknowledgements if announcements or their answers are lost.
func (t *Tracker) Unacknowledged(peer string) []string {
	var jobs []string
	for _, job := range slices.Sorted(maps.Keys(t.announcements)) {
		if !t.announcements[job].acknowledged[peer] && len(jobs) < maxInHeartbeat {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// PendingAcknowledgements lists the cancelled jobs that a peer's last heartbeat named: the next
// heartbeat to it acknowledges them.
func (t *Tracker) PendingAcknowledgements(peer string) []string { return t.peers[peer].announcedByPeer }

// HandlePeerHeartbeat takes what a peer's heartbeat says of cancelled jobs: those that it wants
// acknowledged, and those that it acknowledges.
func (t *Tracker) HandlePeerHeartbeat(peer string, cancelled, acknowledged []string, now micros.Micros) {
	t.peers[peer].announcedByPeer = cancelled
	for _, job := range cancelled {
		t.MarkEnded(job, now)
	}
	for _, job := range acknowledged {
		if a := t.announcements[job]; a != nil {
			t.acknowledge(a, peer, now)
		}
	}
}

// Grant returns what a peer may rely on from now on, for the answer to its heartbeat: nothing
// new if it has left a cancellation unacknowledged for long, as a peer does that reaches this
// node and is not reached even by answers. So no user waits longer for a peer than the last
// period that was granted lasts.
func (t *Tracker) Grant(peer string, now micros.Micros) Grant {
	for _, a := range t.announcements {
		if !a.acknowledged[peer] && now-max(a.since, t.withholdUntil) > ackPeriod {
			return Grant{}
		}
	}
	p := t.peers[peer]
	p.ackRequiredUntil = now + ackPeriod
	return Grant{Period: ackPeriod, SinceUserAcknowledged: now - p.userAcknowledgedWithoutPeer}
}

// ApplyGrant learns from a peer's grant how far this node knows all that the peer told users.
// The grant counts only if this node knows what the peer last told without its acknowledgement:
// if its own reads, or an earlier grant of the peer, whichever incarnation gave it, reach that
// far. asked is when the heartbeat was sent, readUntil the time up to which this node's own
// reads show all cancellations.
func (t *Tracker) ApplyGrant(peer string, grant Grant, asked, readUntil, now micros.Micros) {
	if grant.Period == 0 {
		return
	}
	p := t.peers[peer]
	told := now - (grant.SinceUserAcknowledged - grant.SinceUserAcknowledged/driftFraction)
	if max(readUntil, p.cancellationsKnownUntil) < told {
		return
	}
	lasts := grant.Period - grant.Period/driftFraction
	p.cancellationsKnownUntil = max(p.cancellationsKnownUntil, asked+lasts)
}

// MaxStaleness is how long ago the time may be up to which all cancellations are known, for
// leases to be renewed.
func (t *Tracker) MaxStaleness() micros.Micros {
	return t.settings.CancelWithin - t.settings.Lease - stopMargin
}

// MayRenewLease tells whether a worker's lease may be renewed now. readUntil is the time up to
// which this node's own reads show all cancellations.
func (t *Tracker) MayRenewLease(readUntil, now micros.Micros) bool {
	return now <= max(readUntil, t.grantedUntil(now))+t.MaxStaleness()
}

// grantedUntil is the time up to which the peers' grants show all cancellations.
func (t *Tracker) grantedUntil(now micros.Micros) micros.Micros {
	if len(t.peers) == 0 {
		return now // nobody else tells users anything
	}
	until := never
	for _, p := range t.peers {
		until = min(until, p.cancellationsKnownUntil)
	}
	return until
}
