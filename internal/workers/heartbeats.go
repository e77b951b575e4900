package workers

import (
	"cmp"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// HandleHeartbeat handles the report of a machine at an owner.
func (w *Manager) HandleHeartbeat(req uint64, report *wire.Heartbeat) {
	if !w.host.IsActive() {
		w.host.Refuse(req, RefusalRecovering)
		return
	}
	m := w.inventory.Machines[report.Machine]
	if m == nil {
		if to := w.host.Claimant(report.Machine); to != "" || w.host.OwnedElsewhere(report.Machine) {
			w.host.Respond(req, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: to})
			return
		}
		if w.host.RecentlyTerminated(report.Machine) {
			w.host.Refuse(req, RefusalTerminated)
			return
		}
		m = w.host.Adopt(inventory.MachineInfo{
			Name: report.Machine, Type: report.Type, Zone: report.Zone, Spot: report.Spot, Endpoint: report.Endpoint,
		})
	}
	switch {
	case m.State >= inventory.MachineDecommissioning:
		w.host.Refuse(req, RefusalTerminating)
	case m.FencingToken == 0:
		w.deferHeartbeat(m, req, report)
	default:
		w.respondToHeartbeat(m, req, report)
	}
}

// deferHeartbeat keeps a report until its machine is claimed by a record of this owner. A newer
// report takes the place of an older one, but a late copy does not.
func (w *Manager) deferHeartbeat(m *inventory.Machine, req uint64, report *wire.Heartbeat) {
	if m.PendingRequest != 0 {
		if isOlderHeartbeat(report.AgentEpoch, report.HeartbeatSeq, m.PendingHeartbeat.AgentEpoch, m.PendingHeartbeat.HeartbeatSeq) {
			w.host.Refuse(req, RefusalSuperseded)
			return
		}
		w.host.Refuse(m.PendingRequest, RefusalSuperseded)
	}
	m.PendingRequest, m.PendingHeartbeat = req, report
}

// AnswerDeferredHeartbeat answers the report that waited for its machine to be claimed.
func (w *Manager) AnswerDeferredHeartbeat(m *inventory.Machine) {
	if m.PendingRequest == 0 {
		return
	}
	req, report := m.PendingRequest, m.PendingHeartbeat
	m.PendingRequest, m.PendingHeartbeat = 0, nil
	w.respondToHeartbeat(m, req, report)
}

// respondToHeartbeat takes a report and answers it with the machine's commands.
func (w *Manager) respondToHeartbeat(m *inventory.Machine, req uint64, report *wire.Heartbeat) {
	if report.FencingToken > m.FencingToken {
		// Another node owns the machine by now. Its worker drops this node's answers and would
		// stay here until its lease ends, so it is redirected at once.
		w.host.Respond(req, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: w.host.Claimant(m.Name)})
		w.host.RestartRecovery("a machine has seen a higher token")
		return
	}
	if !w.host.MayRenewLease() {
		w.applyHeartbeat(m, report, true)
		w.host.Refuse(req, RefusalLeaseNotRenewable)
		return
	}
	answer := wire.HeartbeatResponse{FencingToken: m.FencingToken}
	if w.applyHeartbeat(m, report, true) {
		answer.Commands = w.commands(m)
	}
	w.host.Respond(req, wire.StatusOK, answer)
}

// applyHeartbeat learns from a report. It returns false for one that is older than what is known.
//
// A regular report is one that the worker sent by itself. Only such a report shows that starts
// in the answer to the report before it were executed or dropped; the answer to a direct
// command may have overtaken that answer.
func (w *Manager) applyHeartbeat(m *inventory.Machine, report *wire.Heartbeat, regular bool) bool {
	if !isOlderHeartbeat(m.AgentEpoch, m.HeartbeatSeq, report.AgentEpoch, report.HeartbeatSeq) {
		return false // a late copy tells nothing, not even that the machine is alive
	}
	w.updateContact(m, report, regular)
	if report.PreemptionNoticeS != nil {
		w.handleReclaimNotice(m, micros.FromSeconds(*report.PreemptionNoticeS))
	} else {
		m.ReclaimAt = 0
	}
	listed := w.reconcileTasks(m, report)
	if m.DispatchNeeded {
		w.QueueDispatch(m)
	}
	// Only a machine that has seen this owner's token, and for which no command is open, can
	// show that a task is not there and will not appear.
	if !regular || !m.TokenConfirmed || m.Fencing != inventory.FencingNone || m.CommandsInFlight {
		return true
	}
	for _, a := range m.SortedAttempts() {
		if !listed[a.Key()] {
			w.reconcileMissing(a)
		}
	}
	return true
}

// updateContact notes when and in which session the machine was heard, and which token it has
// seen.
func (w *Manager) updateContact(m *inventory.Machine, report *wire.Heartbeat, regular bool) {
	if regular {
		w.lastHeartbeat, m.HeartbeatReceived = w.host.Now(), true
	}
	if report.AgentEpoch > m.AgentEpoch && m.AgentEpoch != 0 {
		w.inventory.SetFencingState(m, inventory.FencingNone)
	}
	m.AgentEpoch, m.HeartbeatSeq, m.ReportedTasks = report.AgentEpoch, report.HeartbeatSeq, report.Tasks
	// A machine that only answers commands is no use, since its lease is not renewed. Until it
	// has reported here at all, an answer shows that it is up.
	if regular || !m.HeartbeatReceived {
		m.LastHeartbeat = max(m.LastHeartbeat, w.host.Now()) // after a takeover it has longer
	}
	m.Endpoint = cmp.Or(report.Endpoint, m.Endpoint)
	if m.TokenConfirmed = report.FencingToken == m.FencingToken; m.TokenConfirmed {
		m.TokenConfirmedAt = max(m.TokenConfirmedAt, w.host.Now())
	}
	if m.TokenConfirmed && m.Fencing == inventory.FencingPending {
		w.inventory.SetFencingState(m, inventory.FencingNone)
	}
	if m.State == inventory.MachineBooting {
		w.inventory.SetMachineState(m, inventory.MachineReady, "reports")
	}
}

// reconcileTasks applies the reported tasks to the machine's attempts and returns which of these
// were listed.
func (w *Manager) reconcileTasks(m *inventory.Machine, report *wire.Heartbeat) map[inventory.TaskKey]bool {
	listed := make(map[inventory.TaskKey]bool, len(report.Tasks))
	for i := range report.Tasks {
		task := &report.Tasks[i]
		id, index, ok := wire.SplitTaskName(task.Task)
		if !ok {
			continue
		}
		a := m.Attempts[inventory.TaskKey{Job: id, Index: index}]
		if a == nil || a.Number != task.Attempt {
			continue
		}
		listed[a.Key()] = true
		w.reconcileTask(a, task)
	}
	return listed
}

// isOlderHeartbeat tells whether the first of two reports was sent before the second.
func isOlderHeartbeat(session, seq, thanSession, thanSeq uint64) bool {
	return session < thanSession || session == thanSession && seq < thanSeq
}

// reconcileTask applies what a report says of an attempt.
func (w *Manager) reconcileTask(a *inventory.Attempt, t *wire.TaskStatus) {
	a.HeartbeatSeen, a.Phase = true, t.Phase
	switch a.State {
	case inventory.AttemptRecorded, inventory.AttemptStarting:
		w.inventory.SetAttemptState(a, inventory.AttemptLive)
	case inventory.AttemptCompleted, inventory.AttemptRemoving:
		return
	}
	switch {
	case t.Phase == wire.PhaseExited && !a.Machine.TokenConfirmed:
		// It may be an old report, of an earlier start of the same attempt: nothing is
		// concluded before a report shows this owner's token.
	case t.Phase == wire.PhaseExited:
		w.handleTaskExit(a, t)
	case t.Phase == wire.PhaseRunning && a.RunningSince == 0:
		a.RunningSince = w.host.Now()
	}
	a.SetCountedRunning(a.State == inventory.AttemptLive && t.Phase == wire.PhaseRunning)
}

// reconcileMissing handles an attempt that is certainly not on its machine.
func (w *Manager) reconcileMissing(a *inventory.Attempt) {
	switch a.State {
	case inventory.AttemptStarting:
		if a.HeartbeatSeen {
			w.handleAttemptLost(a, "vanished")
		} else if a.StartHeartbeatSeq < a.Machine.HeartbeatSeq {
			w.inventory.SetAttemptState(a, inventory.AttemptRecorded) // the start was lost
		}
	case inventory.AttemptLive:
		w.handleAttemptLost(a, "vanished")
	case inventory.AttemptStopping:
		w.inventory.SetAttemptState(a, inventory.AttemptRemoving)
	}
}

// handleAttemptLost handles an attempt that ended without a result.
func (w *Manager) handleAttemptLost(a *inventory.Attempt, why string) {
	a.Reason = why
	w.inventory.SetAttemptState(a, inventory.AttemptRemoving)
	if a.Job.Gang && a.Job.GangState != inventory.GangStopping {
		w.inventory.StopJob(a.Job, 0, "gang lost a task")
	}
}

// RefusePendingHeartbeats answers the reports that wait, when this node stops owning.
func (w *Manager) RefusePendingHeartbeats() {
	for _, m := range w.inventory.SortedMachines {
		w.RefusePendingHeartbeat(m, RefusalOwnershipLost)
	}
}

// RefusePendingHeartbeat answers the report of a machine that waits, if there is one.
func (w *Manager) RefusePendingHeartbeat(m *inventory.Machine, reason RefusalReason) {
	if m.PendingRequest != 0 {
		w.host.Refuse(m.PendingRequest, reason)
		m.PendingRequest = 0
	}
}
