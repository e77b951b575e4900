package controller

import (
	"tamarindlead/internal/fleet"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/internal/workers"
	"tamarindlead/micros"
)

// This file connects package workers with its owner and node.

// workersHost implements workers.Host.
type workersHost struct{ o *owner }

func (h workersHost) Now() micros.Micros { return h.o.c.now }

func (h workersHost) Respond(request uint64, status wire.Status, body any) {
	h.o.c.respond(request, status, body)
}

func (h workersHost) Refuse(request uint64, reason wire.RefusalReason) {
	h.o.c.refuse(request, wire.StatusUnavailable, reason)
}

func (h workersHost) Call(call workers.Call, done func(workers.Response)) {
	h.o.c.call(Call{
		Addr: call.Address, Method: call.Method, Target: call.Path, Body: call.Body,
		Timeout: call.Timeout, MaxBody: call.MaxResponse,
	}, func(e CallDone) { done(workers.Response{Status: e.Status, Body: e.Body, Sent: e.Sent}) })
}

// ReportViolation adds the state of the owner to the violation.
func (h workersHost) ReportViolation(what string, args ...any) {
	h.o.c.reportViolation(what, append(args, "owner_state", h.o.state.String(), "superseded", h.o.superseded())...)
}

func (h workersHost) IsActive() bool { return h.o.isActiveOwner() }

func (h workersHost) ActiveSince() micros.Micros { return h.o.activeSince }

func (h workersHost) Superseded() bool { return h.o.superseded() }

func (h workersHost) RestartRecovery(reason string) { h.o.restartRecovery(reason) }

func (h workersHost) Claimant(machine string) string { return h.o.c.claimant(machine) }

func (h workersHost) IsOwnedElsewhere(machine string) bool {
	return h.o.fleet.IsOwnedElsewhere(machine)
}

func (h workersHost) IsRecentlyTerminated(machine string) bool {
	return h.o.fleet.IsRecentlyTerminated(machine)
}

func (h workersHost) Adopt(info inventory.MachineInfo) *inventory.Machine {
	return h.o.fleet.Adopt(info)
}

func (h workersHost) MayRenewLease() bool { return h.o.c.mayRenewLease() }

func (h workersHost) JobIsCancelled(job string) bool { return h.o.c.cancellations.IsCancelled(job) }

func (h workersHost) CancellationOverdue(m *inventory.Machine) bool {
	return h.o.fleet.CancellationOverdue(m, fleet.OverdueDecommissionFraction, h.o.c.now)
}

func (h workersHost) RecordRunTime(a *inventory.Attempt) { h.o.fleet.RecordRunTime(a) }

func (h workersHost) EstimatedRunTime(j *inventory.Job) micros.Micros {
	return h.o.scheduler.EstimatedRunTime(j)
}

func (h workersHost) RecordRestartedAttempt() { h.o.c.restartedAttempts++ }

func (h workersHost) RecordSpotReclaimed(m *inventory.Machine) { h.o.scheduler.RecordSpotReclaimed(m) }
