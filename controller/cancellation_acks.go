package controller

import (
	"tamarindlead/internal/cancellation"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file connects internal/cancelack, which bounds how long a task may run on after a user
// was told that its job is cancelled, with this node's records, peers and users.

func newCancellationTracker(c *Core) *cancellation.Tracker {
	settings := cancellation.Settings{Lease: c.cfg.WorkerLease, CancelWithin: c.cfg.CancellationDeadline}
	for _, peer := range c.cfg.Siblings {
		settings.Peers = append(settings.Peers, peer.Node)
	}
	return cancellation.New(settings, cancellationHost{c}, c.now)
}

// cancellationHost is what the tracker of cancellations may do to this node.
type cancellationHost struct{ c *Core }

func (h cancellationHost) JobEnded(job string) {
	h.c.graph.ForgetVersion(job)
	if h.c.owner != nil {
		h.c.owner.handleJobRemoved(job, h.c.now)
	}
}

func (h cancellationHost) MayAcknowledge(job string) {
	h.c.jobView.TerminalStates().Remember(job, wire.JobCancelled)
}

func (h cancellationHost) SendAnnouncement(to, job string, acknowledged func(now micros.Micros)) {
	m := &peer.Message{Body: &peer.Message_JobEnded{JobEnded: &peer.JobEnded{Id: job}}}
	h.c.callPeer(h.c.peers[to], m, peerHeartbeatTimeout, maxPeerBody, func(answer *peer.Message, _ bool) {
		if answer != nil {
			acknowledged(h.c.now)
		}
	})
}

// announceCancellation calls done once it is certain whether users may be told that a job is
// cancelled. An answer after the deadline is of no use to the caller.
func (c *Core) announceCancellation(job string, deadline micros.Micros, done func(mayTell bool)) {
	if c.jobView.TerminalStates().Of(job) != "" {
		done(true)
		return
	}
	c.cancellations.Announce(job, deadline, c.now, done)
}

// cancellationsKnownUntil is the time up to which this node's reads show all cancellations.
func (c *Core) cancellationsKnownUntil() micros.Micros {
	until := c.jobView.CancellationsKnownUntil()
	if c.owner != nil && c.owner.state == ownerActive {
		until = max(until, c.owner.cancellationsKnownUntil)
	}
	return until
}

// mayRenewLease tells whether a worker's lease may be renewed now.
func (c *Core) mayRenewLease() bool {
	return c.cancellations.MayRenewLease(c.cancellationsKnownUntil(), c.now)
}
