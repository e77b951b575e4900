package controller

import (
	"tamarindlead/internal/cancellation"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file connects package cancellation, which bounds how long a task may run after a user's
// cancellation was acknowledged, with this node's records, peers and users.

func newCancellationTracker(c *Core) *cancellation.Tracker {
	settings := cancellation.Settings{Lease: c.cfg.WorkerLease, CancelWithin: c.cfg.CancellationDeadline}
	for _, peer := range c.cfg.Siblings {
		settings.Peers = append(settings.Peers, peer.Node)
	}
	return cancellation.New(settings, cancellationHost{c}, c.now)
}

// cancellationHost implements cancellation.Host.
type cancellationHost struct{ c *Core }

func (h cancellationHost) HandleCancelled(job string) {
	h.c.graph.ForgetVersion(job)
	h.c.handover.MarkCancelled(job, h.c.now)
	if h.c.owner != nil {
		h.c.owner.handleJobRemoved(job, h.c.now)
	}
}

func (h cancellationHost) HandleAcknowledgeable(job string) {
	h.c.jobView.TerminalStates().Remember(job, wire.JobCancelled)
}

func (h cancellationHost) SendAnnouncement(to, job string, acknowledged func(now micros.Micros)) {
	h.c.peers.AnnounceCancelled(to, job, func() { acknowledged(h.c.now) })
}

// announceCancellation announces the cancellation of a job to peers, and calls done when it is certain
// whether the cancellation may be acknowledged to users. The caller ignores a result after the
// deadline.
func (c *Core) announceCancellation(job string, deadline micros.Micros, done func(mayAcknowledge bool)) {
	if c.jobView.TerminalStates().Of(job) != "" {
		done(true)
		return
	}
	c.cancellations.Announce(job, deadline, c.now, done)
}

// cancellationsKnownUntil returns the time up to which this node's reads show all cancellations.
func (c *Core) cancellationsKnownUntil() micros.Micros {
	until := c.jobView.CancellationsKnownUntil()
	if c.owner != nil && c.owner.state == ownerActive {
		until = max(until, c.owner.cancellationsKnownUntil)
	}
	return until
}

// mayRenewLease reports whether responses to heartbeats may renew the leases of workers.
func (c *Core) mayRenewLease() bool {
	return c.cancellations.MayRenewLease(c.cancellationsKnownUntil(), c.now)
}
