// Package cancellation bounds how long a task may keep running after a user was given the
// acknowledgement that its job is cancelled. Two rules together guarantee the bound, however
// messages are lost and nodes fail:
//
// Acknowledgements. A node that answers a peer's heartbeat grants that peer a period of
// ackPeriod: until it expires, no user gets an acknowledgement of a cancellation that the peer
// has not acknowledged first. A node that starts honors the grants that an earlier incarnation
// of it may have given.
//
// Lease bound. A node renews a worker's lease only while its knowledge of the cancellations
// that were acknowledged to any user is recent enough: the lease, and the time that a worker
// needs to end its tasks, must fit into the rest of the time limit for cancelled tasks. The
// knowledge comes from the node's own reads of the records and from the periods that its peers
// granted. A node that has neither stops renewing in time.
//
// Neither rule depends on which node owns a job: an owner that was replaced without noticing,
// and a node in a partitioned zone, are under the same bound.
//
// The package owns the state of announcements, grants and cancelled jobs. It has no clock and does
// no I/O: the caller passes the time in, and the Host sends messages. It must not know of teams,
// owners or placement.
package cancellation

import (
	"maps"
	"slices"

	"tamarindlead/micros"
)

const (
	// grantPeriod is the length of a grant. It is long enough for a peer that fails and restarts
	// within it: the grant of its earlier incarnation is still valid when it gives the next.
	grantPeriod = 12 * micros.Second
	// stopMargin is the time that a worker may need beyond its lease to end its tasks.
	stopMargin = 3 * micros.Second
	// driftFraction bounds the difference between the rates of two clocks: one part in
	// driftFraction.
	driftFraction = 500
	// cancelledRetention is how long a cancelled job is remembered; a read that was sent before the
	// job was cancelled is answered by then.
	cancelledRetention = 2 * micros.Minute
	// never is later than any time.
	never = micros.Micros(1 << 62)
)

// Host is the node that a Tracker works for.
type Host interface {
	// HandleCancelled is called when the node learns that a job is cancelled: its tasks must be stopped,
	// and a record of it that was read before is obsolete.
	HandleCancelled(job string)
	// HandleAcknowledgeable is called once the cancellation of a job may be acknowledged to users,
	// before the requests that are pending for it are answered.
	HandleAcknowledgeable(job string)
	// SendAnnouncement sends a peer the announcement that a job is cancelled, and calls
	// acknowledged with the time if the peer answers.
	SendAnnouncement(peer, job string, acknowledged func(now micros.Micros))
}

// Settings are the properties of the cluster that a Tracker depends on.
type Settings struct {
	Peers        []string      // the other controllers, in the order in which messages are sent to them
	Lease        micros.Micros // the duration of a worker's lease
	CancelWithin micros.Micros // the time limit for the tasks of a cancelled job to end
}

// peer is the state of another controller.
type peer struct {
	name string
	// ackRequiredUntil is when the latest grant to the peer expires: before, its
	// acknowledgement is required.
	ackRequiredUntil micros.Micros
	// lastUserAckWithoutPeer is when a cancellation was last acknowledged to users without
	// the peer's acknowledgement, or when this node started.
	lastUserAckWithoutPeer micros.Micros
	// cancellationsKnownUntil is the time up to which this node knows all cancellations that
	// the peer acknowledged to users.
	cancellationsKnownUntil micros.Micros
	// announcedByPeer are the cancelled jobs that the peer's last heartbeat listed.
	announcedByPeer []string
}

// Tracker records which peers have acknowledged which cancellations, and up to which time this
// node knows the cancellations of its peers.
type Tracker struct {
	settings      Settings
	host          Host
	peers         map[string]*peer
	announcements map[string]*announcement // by job
	cancelled     map[string]micros.Micros // cancelled jobs, and when this node learned of it
	// withholdUntil is when the grants of an earlier incarnation have expired at the latest.
	withholdUntil micros.Micros
}

// New returns the tracker of a node that has just started.
func New(settings Settings, host Host, now micros.Micros) *Tracker {
	t := &Tracker{
		settings:      settings,
		host:          host,
		peers:         map[string]*peer{},
		announcements: map[string]*announcement{},
		cancelled:     map[string]micros.Micros{},
	}
	for _, name := range settings.Peers {
		t.peers[name] = &peer{name: name, lastUserAckWithoutPeer: now}
	}
	if len(settings.Peers) > 0 {
		t.withholdUntil = now + grantPeriod + grantPeriod/driftFraction
	}
	return t
}

// Tick advances the announcements as time passes.
func (t *Tracker) Tick(now micros.Micros) {
	for _, job := range slices.Sorted(maps.Keys(t.announcements)) {
		t.advance(t.announcements[job], now)
	}
}

// MarkCancelled records that a job is cancelled, as this node's own transaction, a peer's announcement or
// a read has shown.
func (t *Tracker) MarkCancelled(job string, now micros.Micros) {
	t.cancelled[job] = now
	t.host.HandleCancelled(job)
}

// IsCancelled reports whether a job is known to be cancelled, whatever an older read shows.
func (t *Tracker) IsCancelled(job string) bool {
	_, cancelled := t.cancelled[job]
	return cancelled
}

// PruneCancelled removes jobs once no read from before their cancellation can still be answered.
func (t *Tracker) PruneCancelled(now micros.Micros) {
	for job, since := range t.cancelled {
		if now-since > cancelledRetention {
			delete(t.cancelled, job)
		}
	}
}
