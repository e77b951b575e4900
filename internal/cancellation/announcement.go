package cancellation

import "tamarindlead/micros"

const (
	// resendInterval is the time between two sends of an announcement to peers that have not acknowledged it.
	resendInterval = 500 * micros.Millisecond
	// maxAnnouncements bounds the cancelled jobs whose acknowledgements are pending.
	maxAnnouncements = 512
)

// announcement is a cancelled job that peers must acknowledge before the cancellation may be
// acknowledged to users.
type announcement struct {
	job          string
	announcedAt  micros.Micros
	sent         bool
	nextSend     micros.Micros
	acknowledged map[string]bool // by peer
	requests     []request
}

// request is a user's request that is pending until an announcement completes.
type request struct {
	deadline micros.Micros
	done     func(mayAcknowledge bool)
}

// Announce announces to the peers that a job is cancelled, and calls done after it is decided whether
// the cancellation may be acknowledged to the user. If that is not permitted by the deadline, done is
// called with false.
func (t *Tracker) Announce(job string, deadline, now micros.Micros, done func(mayAcknowledge bool)) {
	a := t.announcements[job]
	if a == nil {
		if len(t.announcements) >= maxAnnouncements {
			done(false)
			return
		}
		t.MarkCancelled(job, now)
		a = &announcement{job: job, announcedAt: now, acknowledged: map[string]bool{}}
		t.announcements[job] = a
	}
	a.requests = append(a.requests, request{deadline, done})
	t.advance(a, now)
}

// Pending reports whether any announcement lacks a required acknowledgement.
func (t *Tracker) Pending() bool { return len(t.announcements) > 0 }

// advance completes and removes an announcement if no further acknowledgement is required. Otherwise
// it sends the announcement, at the earliest resendInterval after the previous time, to the peers that
// must acknowledge it.
func (t *Tracker) advance(a *announcement, now micros.Micros) {
	if t.announcements[a.job] != a {
		return // the announcement is already complete
	}
	complete := t.mayAcknowledge(a, now)
	if complete {
		delete(t.announcements, a.job)
		t.recordUnacknowledged(a, now)
		t.host.HandleAcknowledgeable(a.job)
	}
	t.completeRequests(a, complete, now)
	if !complete && now >= a.nextSend {
		t.send(a, now)
	}
}

// mayAcknowledge reports whether the announced cancellation may be acknowledged to users.
func (t *Tracker) mayAcknowledge(a *announcement, now micros.Micros) bool {
	if now < t.withholdUntil {
		return false
	}
	for _, p := range t.peers {
		if !a.acknowledged[p.name] && now < p.ackRequiredUntil {
			return false
		}
	}
	return true
}

// recordUnacknowledged records, for each peer that has not acknowledged the announcement, that the
// cancellation is acknowledged to users now without the peer's acknowledgement.
func (t *Tracker) recordUnacknowledged(a *announcement, now micros.Micros) {
	for _, p := range t.peers {
		if !a.acknowledged[p.name] {
			p.lastUserAckWithoutPeer = now
		}
	}
}

// completeRequests calls done for the requests of a complete announcement, and for those that cannot be
// acknowledged before their deadline.
func (t *Tracker) completeRequests(a *announcement, complete bool, now micros.Micros) {
	pending := a.requests[:0]
	for _, r := range a.requests {
		switch {
		case complete:
			r.done(true)
		case now > r.deadline || r.deadline < t.withholdUntil:
			r.done(false)
		default:
			pending = append(pending, r)
		}
	}
	a.requests = pending
}

// send sends an announcement to the peers that have not acknowledged it: the first time to all of them,
// because the job's owner should stop the tasks at once, and later only to those whose acknowledgement
// is required.
func (t *Tracker) send(a *announcement, now micros.Micros) {
	a.nextSend = now + resendInterval
	for _, name := range t.settings.Peers {
		p := t.peers[name]
		if a.acknowledged[name] || a.sent && now >= p.ackRequiredUntil {
			continue
		}
		t.host.SendAnnouncement(name, a.job, func(now micros.Micros) { t.acknowledge(a, name, now) })
	}
	a.sent = true
}

// acknowledge records a peer's acknowledgement of an announcement.
func (t *Tracker) acknowledge(a *announcement, peer string, now micros.Micros) {
	a.acknowledged[peer] = true
	t.advance(a, now)
}
