package workers

import (
	"io"
	"log/slog"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// fakeHost is a host whose results are set by the test. It records the calls of its methods.
type fakeHost struct {
	manager *Manager

	now, activeSince   micros.Micros
	active, superseded bool
	mayRenewLease      bool
	claimants          map[string]string
	ownedElsewhere     map[string]bool
	recentlyTerminated map[string]bool
	cancelledJobs      map[string]bool
	overdue            map[string]bool
	estimatedRunTime   micros.Micros

	responses         []fakeResponse
	calls             []fakeCall
	violations        []string
	restarts          []string
	adopted           []string
	runTimes          int
	restartedAttempts int
	spotReclaims      int
}

// fakeResponse is a response to or refusal of a heartbeat.
type fakeResponse struct {
	request uint64
	status  wire.Status
	body    any
	refusal wire.RefusalReason
}

// fakeCall is a request to a worker.
type fakeCall struct {
	Call
	done func(Response)
}

func (h *fakeHost) Now() micros.Micros { return h.now }

func (h *fakeHost) Respond(request uint64, status wire.Status, body any) {
	h.responses = append(h.responses, fakeResponse{request: request, status: status, body: body})
}

func (h *fakeHost) Refuse(request uint64, reason wire.RefusalReason) {
	h.responses = append(h.responses, fakeResponse{request: request, status: wire.StatusUnavailable, refusal: reason})
}

func (h *fakeHost) Call(call Call, done func(Response)) {
	h.calls = append(h.calls, fakeCall{call, done})
}

func (h *fakeHost) ReportViolation(what string, _ ...any) {
	h.violations = append(h.violations, what)
}

func (h *fakeHost) IsActive() bool             { return h.active && !h.superseded }
func (h *fakeHost) ActiveSince() micros.Micros { return h.activeSince }
func (h *fakeHost) Superseded() bool           { return h.superseded }

func (h *fakeHost) RestartRecovery(reason string) {
	h.restarts = append(h.restarts, reason)
	h.superseded = true
}

func (h *fakeHost) Claimant(machine string) string           { return h.claimants[machine] }
func (h *fakeHost) IsOwnedElsewhere(machine string) bool     { return h.ownedElsewhere[machine] }
func (h *fakeHost) IsRecentlyTerminated(machine string) bool { return h.recentlyTerminated[machine] }

func (h *fakeHost) Adopt(info inventory.MachineInfo) *inventory.Machine {
	h.adopted = append(h.adopted, info.Name)
	return h.manager.inventory.AddMachine(&inventory.Block{}, info, sched.NewResources(8, 0, 8))
}

func (h *fakeHost) MayRenewLease() bool            { return h.mayRenewLease }
func (h *fakeHost) JobIsCancelled(job string) bool { return h.cancelledJobs[job] }

func (h *fakeHost) CancellationOverdue(m *inventory.Machine) bool { return h.overdue[m.Name] }

func (h *fakeHost) RecordRunTime(*inventory.Attempt) { h.runTimes++ }

func (h *fakeHost) EstimatedRunTime(*inventory.Job) micros.Micros { return h.estimatedRunTime }

func (h *fakeHost) RecordRestartedAttempt() { h.restartedAttempts++ }

func (h *fakeHost) RecordSpotReclaimed(*inventory.Machine) { h.spotReclaims++ }

// fakeInventoryHost handles notifications of changes in the inventory in the same way as an owner.
type fakeInventoryHost struct{ *fakeHost }

func (h fakeInventoryHost) EntryChanged(*inventory.Machine)          {}
func (h fakeInventoryHost) CompletionUnrecorded(*inventory.Job, int) {}
func (h fakeInventoryHost) AttemptClosed(a *inventory.Attempt)       { h.manager.AttemptClosed(a) }
func (h fakeInventoryHost) CommandsNeeded(m *inventory.Machine)      { h.manager.QueueDispatch(m) }

// newFakeHost returns the host of an active owner, with a manager and an empty inventory.
func newFakeHost(t *testing.T) *fakeHost {
	t.Helper()
	h := &fakeHost{
		now: micros.Hour, activeSince: micros.Hour, active: true, mayRenewLease: true,
		claimants: map[string]string{}, ownedElsewhere: map[string]bool{}, recentlyTerminated: map[string]bool{},
		cancelledJobs: map[string]bool{}, overdue: map[string]bool{}, estimatedRunTime: 100 * micros.Second,
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	settings := &config.Settings{Sockets: 64, Tuning: config.DefaultTuning()}
	h.manager = New(inventory.New(fakeInventoryHost{h}, log), settings, log, h)
	return h
}

// addMachine adds a ready machine that is claimed by the owner and whose worker has confirmed the
// fencing token.
func (h *fakeHost) addMachine(name string) *inventory.Machine {
	info := inventory.MachineInfo{Name: name, Type: "small", Zone: "a", Endpoint: "worker:" + name}
	m := h.manager.inventory.AddMachine(&inventory.Block{}, info, sched.NewResources(8, 0, 8))
	m.Claim(7)
	m.State, m.TokenConfirmed, m.Recorded = inventory.MachineReady, true, true
	return m
}

// jobID identifies the job that addJob adds.
const jobID = "req-000001"

// addJob adds an active job with the given number of tasks.
func (h *fakeHost) addJob(tasks int) *inventory.Job {
	j := inventory.NewJob(&sched.Job{ID: jobID, Team: "red", Tasks: tasks, Need: sched.NewResources(1, 0, 1)}, 5, 0)
	h.manager.inventory.Jobs[j.ID] = j
	return j
}
