package controller

import (
	"log/slog"

	"tamarindlead/internal/frontend"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file connects internal/frontend, which handles users' requests, with this node.

// newFrontend returns the frontend of a node whose other parts exist.
func newFrontend(c *Core, log *slog.Logger) *frontend.Frontend {
	return frontend.New(
		frontend.Config{Settings: c.cfg, MaxTransactionBytes: maxCommitBytes, Log: log},
		frontend.Services{
			Host: frontendHost{c}, KV: c.store, Budget: c.budget, Graph: c.graph, JobView: c.jobView,
			TerminalStates: c.jobView.TerminalStates(), Cancellations: frontendCancellations{c},
			Owner: frontendOwnedJobs{c}, Peers: frontendPeerJobs{c},
		},
		frontendResponses{c},
	)
}

// frontendHost is the node as the frontend sees it.
type frontendHost struct{ c *Core }

func (h frontendHost) Now() micros.Micros { return h.c.now }

func (h frontendHost) WallClock() micros.Micros { return h.c.wallClock }

func (h frontendHost) IsIsolated() bool { return h.c.isIsolated() }

func (h frontendHost) MachineTypes() []sched.MachineType { return h.c.types.list }

func (h frontendHost) ReportViolation(what string, args ...any) { h.c.reportViolation(what, args...) }

// frontendResponses turns responses to users into effects.
type frontendResponses struct{ c *Core }

func (r frontendResponses) Respond(request uint64, status wire.Status, body any) {
	r.c.respond(request, status, body)
}

func (r frontendResponses) Refuse(request uint64, status wire.Status, reason frontend.RefusalReason) {
	r.c.refuse(request, status, reason)
}

// frontendCancellations holds which jobs are cancelled, and which cancellations may be
// acknowledged to users.
type frontendCancellations struct{ c *Core }

func (t frontendCancellations) HasEnded(job string) bool { return t.c.cancellations.HasEnded(job) }

func (t frontendCancellations) Announce(job string, deadline micros.Micros, done func(mayAcknowledge bool)) {
	t.c.announceCancellation(job, deadline, done)
}

// frontendOwnedJobs are the jobs of the teams that this node owns.
type frontendOwnedJobs struct{ c *Core }

func (o frontendOwnedJobs) Version(job string) (version uint64, owned bool) {
	if o.c.owner == nil {
		return 0, false
	}
	j := o.c.owner.Jobs[job]
	if j == nil || j.State == inventory.JobEnded {
		return 0, false
	}
	return j.Version, true
}

func (o frontendOwnedJobs) TaskCounts(job string) (counts frontend.TaskCounts, owned bool) {
	if o.c.owner == nil || o.c.owner.Jobs[job] == nil {
		return frontend.TaskCounts{}, false
	}
	done, running := o.c.owner.countsOf(job)
	return frontend.TaskCounts{Done: done, Running: running}, true
}

// frontendPeerJobs are the jobs that peers report on in their heartbeats.
type frontendPeerJobs struct{ c *Core }

func (p frontendPeerJobs) TaskCounts(job string) frontend.TaskCounts {
	var counts frontend.TaskCounts
	latest := micros.Micros(0)
	for _, sibling := range p.c.cfg.Siblings {
		peer := p.c.peers[sibling.Node]
		if count := peer.jobCounts[job]; count != nil && peer.lastHeartbeat > latest {
			latest = peer.lastHeartbeat
			counts = frontend.TaskCounts{Done: int(count.Done), Running: int(count.Running)}
		}
	}
	return counts
}
