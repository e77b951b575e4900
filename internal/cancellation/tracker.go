// Package cancelack bounds how long a task may run on after a user was told that its job is
// cancelled. Two rules together do that, however messages are lost and nodes end:
//
// Acknowledgements. A node that answers a peer's heartbeat undertakes to tell no user of a
// cancellation, for ackPeriod from then on, before that peer has acknowledged that it knows of
// it. A node that starts keeps what an earlier incarnation of it may have undertaken.
//
// Lease bound. A node renews a worker's lease only while the time up to which it knows of all
// cancellations that any user was told of is recent enough: the lease, and what a worker needs
// to end its tasks, must fit into what is left of the time limit for cancelled tasks. It knows
// them from its own reads of the records, and from the acknowledgement periods that its peers
// granted. Where it cannot know, it stops renewing in time.
//
// Neither rule needs to know who owns what: an owner that has been replaced and has not heard
// of it, and a node in a partitioned zone, are under the same bound.
//
// The package has no clock and no network: the caller passes the time, and sends what Host is
// asked to send.
package cancellation

import (
	"maps"
	"slices"

	"tamarindlead/micros"
)

const (
	// ackPeriod covers a peer that ends and returns within it: the period that its earlier
	// incarnation granted still runs when it grants the next.
	ackPeriod = 12 * micros.Second
	// stopMargin is what a worker may take beyond its lease to end its tasks.
	stopMargin = 3 * micros.Second
	// driftFraction bounds by how much two clocks may differ in rate: one part in so many.
	driftFraction = 500

	// resendInterval is the time between announcements to a peer that has not acknowledged.
	resendInterval = 500 * micros.Millisecond
	// maxAnnouncements bounds the cancelled jobs that wait for acknowledgements.
	maxAnnouncements = 512
	// maxInHeartbeat bounds the cancelled jobs that one heartbeat names.
	maxInHeartbeat = 64
	// endedRetention is how long a job that is over is remembered; reads that were sent before are
	// answered by then.
	endedRetention = 2 * micros.Minute

	// never is later than any time.
	never = micros.Micros(1 << 62)
)

// Host is the node that a Tracker works for.
type Host interface {
	// JobEnded is called when the node learns that a job is over: its tasks must be stopped,
	// and a record of it that was read before is obsolete.
	JobEnded(job string)
	// MayAcknowledge is called once users may be told that a job is cancelled, before the requests
	// that wait for it are answered.
	MayAcknowledge(job string)
	// SendAnnouncement sends a peer that a job is cancelled, and calls acknowledged with the
	// time if the peer answers.
	SendAnnouncement(peer, job string, acknowledged func(now micros.Micros))
}

// Settings are what a Tracker must know of the cluster.
type Settings struct {
	Peers        []string      // the other controllers, in the order in which they are sent to
	Lease        micros.Micros // of a worker
	CancelWithin micros.Micros // the time within which tasks of a cancelled job must be gone
}

// Grant is what a node grants a peer by the answer to its heartbeat.
type Grant struct {
	// Period is for how long from now on the node tells no user of a cancellation that the
	// peer has not acknowledged; 0 if the node grants nothing.
	Period micros.Micros
	// SinceUserAcknowledged is how long ago the node last told users without the peer's acknowledgement,
	// or else started.
	SinceUserAcknowledged micros.Micros
}

// peer is what is kept about another controller.
type peer struct {
	name string
	// ackRequiredUntil is until when its acknowledgement is needed to tell users.
	ackRequiredUntil micros.Micros
	// userAcknowledgedWithoutPeer is when users were last told without its acknowledgement.
	userAcknowledgedWithoutPeer micros.Micros
	// cancellationsKnownUntil is the time up to which this node knows of all cancellations
	// that the peer told users.
	cancellationsKnownUntil micros.Micros
	// announcedByPeer are the cancelled jobs that its last heartbeat named.
	announcedByPeer []string
}

// announcement is a cancelled job of which users may be told once peers have acknowledged.
type announcement struct {
	job          string
	since        micros.Micros
	sent         bool
	nextSend     micros.Micros
	acknowledged map[string]bool // by peer
	requests     []request
}

// request is a user's request that waits for an announcement.
type request struct {
	deadline micros.Micros
	done     func(mayTell bool)
}

// Tracker keeps which peers have acknowledged which cancellations, and how far this node knows
// of those of its peers.
type Tracker struct {
	settings      Settings
	host          Host
	peers         map[string]*peer
	announcements map[string]*announcement // by job
	ended         map[string]micros.Micros // jobs that are over, and when that became known
	// withholdUntil is until when an earlier incarnation's grants to peers may last.
	withholdUntil micros.Micros
}

// New returns the tracker of a node that has just started.
func New(settings Settings, host Host, now micros.Micros) *Tracker {
	t := &Tracker{
		settings: settings, host: host,
		peers: map[string]*peer{}, announcements: map[string]*announcement{}, ended: map[string]micros.Micros{},
	}
	for _, name := range settings.Peers {
		t.peers[name] = &peer{name: name, userAcknowledgedWithoutPeer: now}
		t.withholdUntil = now + ackPeriod + ackPeriod/driftFraction
	}
	return t
}

// Announce announces to the peers that a job is cancelled, and calls done once it is certain
// whether users may be told. An answer after the deadline is of no use to the caller.
func (t *Tracker) Announce(job string, deadline, now micros.Micros, done func(mayTell bool)) {
	a := t.announcements[job]
	if a == nil {
		if len(t.announcements) >= maxAnnouncements {
			done(false)
			return
		}
		t.MarkEnded(job, now)
		a = &announcement{job: job, since: now, acknowledged: map[string]bool{}}
		t.announcements[job] = a
	}
	a.requests = append(a.requests, request{deadline, done})
	t.advance(a, now)
}

// Pending tells whether announcements wait for acknowledgements.
func (t *Tracker) Pending() bool { return len(t.announcements) > 0 }

// Tick advances the announcements as time passes.
func (t *Tracker) Tick(now micros.Micros) {
	for _, job := range slices.Sorted(maps.Keys(t.announcements)) {
		t.advance(t.announcements[job], now)
	}
}

// advance completes an announcement that no peer must acknowledge any more, and sends it again
// to peers that must.
func (t *Tracker) advance(a *announcement, now micros.Micros) {
	if t.announcements[a.job] != a {
		return // complete
	}
	complete := t.complete(a, now)
	if complete {
		delete(t.announcements, a.job)
		t.recordUnacknowledged(a, now)
		t.host.MayAcknowledge(a.job)
	}
	t.answerRequests(a, complete, now)
	if !complete && now >= a.nextSend {
		t.send(a, now)
	}
}

// complete tells whether users may be told of an announcement's job.
func (t *Tracker) complete(a *announcement, now micros.Micros) bool {
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

// recordUnacknowledged notes for each peer that has not acknowledged that users are told now.
func (t *Tracker) recordUnacknowledged(a *announcement, now micros.Micros) {
	for _, p := range t.peers {
		if !a.acknowledged[p.name] {
			p.userAcknowledgedWithoutPeer = now
		}
	}
}

// answerRequests answers the requests that need not wait for an announcement any longer.
func (t *Tracker) answerRequests(a *announcement, complete bool, now micros.Micros) {
	waiting := a.requests[:0]
	for _, r := range a.requests {
		switch {
		case complete:
			r.done(true)
		case now > r.deadline || r.deadline < t.withholdUntil:
			r.done(false)
		default:
			waiting = append(waiting, r)
		}
	}
	a.requests = waiting
}

// send sends an announcement to the peers that have not acknowledged it: the first time to
// all, since an owner should stop the tasks at once, then to those whose acknowledgement is
// needed.
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

func (t *Tracker) acknowledge(a *announcement, peer string, now micros.Micros) {
	a.acknowledged[peer] = true
	t.advance(a, now)
}

// MarkEnded notes that a job is over, by a peer's announcement or by a read.
func (t *Tracker) MarkEnded(job string, now micros.Micros) {
	t.ended[job] = now
	t.host.JobEnded(job)
}

// HasEnded tells whether a job is known to be over, whatever an older read says.
func (t *Tracker) HasEnded(job string) bool {
	_, ended := t.ended[job]
	return ended
}

// PruneEnded forgets jobs that have been over for so long that no older read can be answered.
func (t *Tracker) PruneEnded(now micros.Micros) {
	for job, since := range t.ended {
		if now-since > endedRetention {
			delete(t.ended, job)
		}
	}
}
