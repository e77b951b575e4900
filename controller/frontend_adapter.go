package controller

import (
	"log/slog"

	"tamarindlead/internal/frontend"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file connects package frontend, which handles users' requests, with this node.

// newFrontend returns the frontend of a node. The services that it uses must have been created.
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

// frontendHost implements frontend.Host.
type frontendHost struct{ c *Core }

func (h frontendHost) Now() micros.Micros { return h.c.now }

func (h frontendHost) WallClock() micros.Micros { return h.c.wallClock }

func (h frontendHost) IsIsolated() bool { return h.c.isIsolated() }

func (h frontendHost) MachineTypes() []sched.MachineType { return h.c.types.List() }

func (h frontendHost) ConfirmMachineTypes(done func(confirmed bool)) { h.c.types.Confirm(done) }

func (h frontendHost) MachineTypesOrigin() (source string, age micros.Micros) {
	from, age := h.c.types.Origin()
	return from.String(), age
}

func (h frontendHost) ReportViolation(what string, args ...any) { h.c.reportViolation(what, args...) }

// frontendResponses implements the frontend's responses as effects.
type frontendResponses struct{ c *Core }

func (r frontendResponses) Respond(request uint64, status wire.Status, body any) {
	r.c.respond(request, status, body)
}

func (r frontendResponses) Refuse(request uint64, status wire.Status, reason wire.RefusalReason) {
	r.c.refuse(request, status, reason)
}

// frontendCancellations gives the frontend access to the tracker of cancellations.
type frontendCancellations struct{ c *Core }

func (t frontendCancellations) IsCancelled(job string) bool {
	return t.c.cancellations.IsCancelled(job)
}

func (t frontendCancellations) Announce(job string, deadline micros.Micros, done func(mayAcknowledge bool)) {
	t.c.announceCancellation(job, deadline, done)
}

// frontendOwnedJobs gives the frontend access to the jobs of the teams that this node owns.
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
	done, running := o.c.owner.taskCounts(job)
	return frontend.TaskCounts{Done: done, Running: running}, true
}

// frontendPeerJobs gives the frontend access to the progress of jobs that peers report in heartbeats.
type frontendPeerJobs struct{ c *Core }

func (p frontendPeerJobs) TaskCounts(job string) frontend.TaskCounts {
	count := p.c.peers.JobCount(job)
	return frontend.TaskCounts{Done: int(count.GetDone()), Running: int(count.GetRunning())}
}
