// Package cancellation bounds how long a task may keep running after the cancellation of its job was
// acknowledged to a user. Two rules together guarantee the bound, even if messages are lost and nodes
// fail:
//
// Acknowledgements. With the response to a peer's heartbeat, a node gives the peer a grant, which
// expires after grantPeriod. Until then, the node acknowledges a cancellation to users only after the
// peer has acknowledged it. A node that starts honors the grants that its earlier incarnations may
// have given.
//
// Lease bound. A node renews a worker's lease only while its knowledge of the cancellations that were
// acknowledged to any user is recent enough: the lease, and the time that a worker needs to end its
// tasks, must fit into the rest of the time limit for cancelled tasks. The knowledge comes from the
// node's own reads of the records and from the grants of its peers. A node that has neither stops
// renewing leases before the time limit could be exceeded.
//
// Neither rule depends on which node owns a job: the same bound applies to an owner that was replaced
// without noticing, and to a node in a partitioned zone.
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
	// grantPeriod is the duration of a grant. It is long enough for a peer that crashes and restarts
	// within it: the grant of the peer's earlier incarnation is still valid when the peer gives the
	// next one.
	grantPeriod = 12 * micros.Second
	// stopMargin is the time that a worker may need beyond its lease to end its tasks.
	stopMargin = 3 * micros.Second
	// driftFraction bounds the difference between the rates of two clocks: one part in
	// driftFraction.
	driftFraction = 500
	// cancelledRetention is how long a job is kept in Tracker.cancelled. Every read that was sent
	// before the job was cancelled has got its response by then.
	cancelledRetention = 2 * micros.Minute
	// never is later than any time.
	never = micros.Micros(1 << 62)
)

// Host is the node that a Tracker works for.
type Host interface {
	// HandleCancelled is called when the node learns that a job is cancelled: its tasks must be
	// stopped, and its record as read before is obsolete.
	HandleCancelled(job string)
	// HandleAcknowledgeable is called when the cancellation of a job may be acknowledged to users,
	// before the callbacks of the requests that are pending for it are called.
	HandleAcknowledgeable(job string)
	// SendAnnouncement sends a peer the announcement that a job is cancelled, and calls
	// acknowledged with the time of the response if the peer responds.
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
	// ackRequiredUntil is when the latest grant to the peer expires. Before that time, the peer's
	// acknowledgement is required.
	ackRequiredUntil micros.Micros
	// lastUserAckWithoutPeer is when a cancellation was last acknowledged to users without
	// the peer's acknowledgement, or when this node started.
	lastUserAckWithoutPeer micros.Micros
	// cancellationsKnownUntil is the time up to which this node knows all cancellations that
	// the peer acknowledged to users.
	cancellationsKnownUntil micros.Micros
	// announcedByPeer are the cancelled jobs that the peer's latest heartbeat listed.
	announcedByPeer []string
}

// Tracker records which peers have acknowledged which cancellations, and up to which time this
// node knows the cancellations of its peers.
type Tracker struct {
	settings      Settings
	host          Host
	peers         map[string]*peer
	announcements map[string]*announcement // by job
	cancelled     map[string]micros.Micros // by cancelled job: when this node learned of the cancellation
	// withholdUntil is the latest time at which a grant of an earlier incarnation expires. Before
	// that time, no cancellation is acknowledged to users.
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

// Tick completes or resends the announcements that are due at the time.
func (t *Tracker) Tick(now micros.Micros) {
	for _, job := range slices.Sorted(maps.Keys(t.announcements)) {
		t.advance(t.announcements[job], now)
	}
}

// MarkCancelled records that a job is cancelled. The caller knows it from this node's own transaction,
// a peer's announcement or a read.
func (t *Tracker) MarkCancelled(job string, now micros.Micros) {
	t.cancelled[job] = now
	t.host.HandleCancelled(job)
}

// IsCancelled reports whether a job is known to be cancelled, even if an older read shows it as active.
func (t *Tracker) IsCancelled(job string) bool {
	_, cancelled := t.cancelled[job]
	return cancelled
}

// PruneCancelled removes the jobs that were cancelled longer ago than cancelledRetention: no read that
// was sent before their cancellation can still get a response.
func (t *Tracker) PruneCancelled(now micros.Micros) {
	for job, since := range t.cancelled {
		if now-since > cancelledRetention {
			delete(t.cancelled, job)
		}
	}
}
