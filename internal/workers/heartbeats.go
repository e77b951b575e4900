package workers

import (
	"cmp"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// reasonHigherToken is the reason for restarting recovery when a worker reports a fencing token that it
// can only have received from a later owner.
const reasonHigherToken = "machine has a higher fencing token"

// HandleHeartbeat handles a heartbeat that a worker sent on its own initiative.
func (w *Manager) HandleHeartbeat(request uint64, heartbeat *wire.Heartbeat) {
	if !w.host.IsActive() {
		w.host.Refuse(request, RefusalRecovering)
		return
	}
	m := w.inventory.Machines[heartbeat.Machine]
	if m == nil {
		if w.redirectOrRefuseUnknown(request, heartbeat.Machine) {
			return
		}
		m = w.host.Adopt(inventory.MachineInfo{
			Name: heartbeat.Machine, Type: heartbeat.Type, Zone: heartbeat.Zone,
			Spot: heartbeat.Spot, Endpoint: heartbeat.Endpoint,
		})
	}
	switch {
	case m.State >= inventory.MachineDecommissioning:
		w.host.Refuse(request, RefusalTerminating)
	case m.FencingToken == 0:
		w.addPendingHeartbeat(m, request, heartbeat)
	default:
		w.respond(m, request, heartbeat)
	}
}

// redirectOrRefuseUnknown redirects or refuses the heartbeat of a machine that is not in the inventory
// and must not be adopted. It reports whether it has responded.
func (w *Manager) redirectOrRefuseUnknown(request uint64, machine string) bool {
	claimant := w.host.Claimant(machine)
	switch {
	case claimant != "" || w.host.IsOwnedElsewhere(machine):
		w.host.Respond(request, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: claimant})
	case w.host.IsRecentlyTerminated(machine):
		w.host.Refuse(request, RefusalTerminated)
	default:
		return false
	}
	return true
}

// addPendingHeartbeat defers the response to a heartbeat until a record of this owner claims the
// machine. A newer heartbeat replaces the pending one; an older heartbeat that arrives out of order is
// refused.
func (w *Manager) addPendingHeartbeat(m *inventory.Machine, request uint64, heartbeat *wire.Heartbeat) {
	if m.PendingRequest != 0 {
		if orderOf(heartbeat).before(orderOf(m.PendingHeartbeat)) {
			w.host.Refuse(request, RefusalSuperseded)
			return
		}
		w.host.Refuse(m.PendingRequest, RefusalSuperseded)
	}
	m.PendingRequest, m.PendingHeartbeat = request, heartbeat
}

// HandlePendingHeartbeat handles the pending heartbeat of a machine that was claimed, if there is one.
func (w *Manager) HandlePendingHeartbeat(m *inventory.Machine) {
	if m.PendingRequest == 0 {
		return
	}
	request, heartbeat := m.PendingRequest, m.PendingHeartbeat
	m.PendingRequest, m.PendingHeartbeat = 0, nil
	w.respond(m, request, heartbeat)
}

// RefusePendingHeartbeats refuses all pending heartbeats because the owner is being replaced.
func (w *Manager) RefusePendingHeartbeats() {
	for _, m := range w.inventory.SortedMachines {
		w.RefusePendingHeartbeat(m, RefusalOwnershipLost)
	}
}

// RefusePendingHeartbeat refuses a machine's pending heartbeat, if there is one.
func (w *Manager) RefusePendingHeartbeat(m *inventory.Machine, reason wire.RefusalReason) {
	if m.PendingRequest == 0 {
		return
	}
	w.host.Refuse(m.PendingRequest, reason)
	m.PendingRequest, m.PendingHeartbeat = 0, nil
}

// respond applies a heartbeat and sends the response with the machine's commands.
func (w *Manager) respond(m *inventory.Machine, request uint64, heartbeat *wire.Heartbeat) {
	if heartbeat.FencingToken > m.FencingToken {
		// Another node now owns the machine. The worker discards this node's responses and would
		// stay with this node until its lease expires, so it is redirected immediately.
		w.host.Respond(request, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: w.host.Claimant(m.Name)})
		w.host.RestartRecovery(reasonHigherToken)
		return
	}
	if !w.host.MayRenewLease() {
		w.applyHeartbeat(m, heartbeat)
		w.host.Refuse(request, RefusalLeaseNotRenewable)
		return
	}
	response := wire.HeartbeatResponse{FencingToken: m.FencingToken}
	if w.applyHeartbeat(m, heartbeat) {
		response.Commands = w.permittedCommands(m, w.commands(m))
	}
	w.host.Respond(request, wire.StatusOK, response)
}

// applyHeartbeat applies a heartbeat that the worker sent on its own initiative, and reports whether it
// was newer than the last one. A delayed or duplicate heartbeat is ignored; it does not even show that
// the machine is alive.
//
// Only such a heartbeat shows whether the start commands in the response to the previous heartbeat
// were executed or lost. The heartbeat in a response to direct commands does not show it, since the
// worker may have sent it before the start commands arrived.
func (w *Manager) applyHeartbeat(m *inventory.Machine, heartbeat *wire.Heartbeat) bool {
	if !lastOrder(m).before(orderOf(heartbeat)) {
		return false
	}
	now := w.host.Now()
	w.lastHeartbeat, m.HeartbeatReceived = now, true
	m.LastHeartbeat = max(m.LastHeartbeat, now) // after a failover, LastHeartbeat is in the future
	reported := w.applyStatus(m, heartbeat)
	// A task that the heartbeat does not report counts as missing only if the worker has confirmed
	// this owner's token and no command is in flight. Otherwise the task may still be started on the
	// machine.
	if m.TokenConfirmed && m.Fencing == inventory.FencingNone && !m.CommandsInFlight {
		w.reconcileMissing(m, reported)
	}
	return true
}

// applyCommandResponse applies the heartbeat in a worker's response to a request, and reports whether it
// was newer than the last one.
//
// After the worker has sent a heartbeat on its own initiative, such a response no longer counts towards
// LastHeartbeat: a machine that only responds to commands is of no use, since its lease is not renewed.
func (w *Manager) applyCommandResponse(m *inventory.Machine, heartbeat *wire.Heartbeat) bool {
	if !lastOrder(m).before(orderOf(heartbeat)) {
		return false
	}
	if !m.HeartbeatReceived {
		m.LastHeartbeat = max(m.LastHeartbeat, w.host.Now())
	}
	w.applyStatus(m, heartbeat)
	return true
}

// applyStatus applies the status of the machine and its tasks in a heartbeat, and returns the set of
// reported attempts.
func (w *Manager) applyStatus(m *inventory.Machine, heartbeat *wire.Heartbeat) map[inventory.TaskKey]bool {
	w.updateContact(m, heartbeat)
	if heartbeat.PreemptionNoticeS != nil {
		w.handleReclaimNotice(m, micros.FromSeconds(*heartbeat.PreemptionNoticeS))
	} else {
		m.ReclaimAt = 0
	}
	reported := w.reconcileTasks(m, heartbeat.Tasks)
	if m.DispatchNeeded {
		w.QueueDispatch(m)
	}
	return reported
}

// updateContact updates the machine's contact state from a heartbeat: the agent epoch, sequence number,
// reported tasks, endpoint and confirmation of the fencing token. The first heartbeat of a booting
// machine makes it ready.
func (w *Manager) updateContact(m *inventory.Machine, heartbeat *wire.Heartbeat) {
	if heartbeat.AgentEpoch > m.AgentEpoch && m.AgentEpoch != 0 {
		// The agent has restarted and will not execute commands that were sent to the old epoch.
		w.inventory.SetFencingState(m, inventory.FencingNone)
		m.AgentRestarted()
	}
	m.AgentEpoch, m.HeartbeatSeq, m.ReportedTasks = heartbeat.AgentEpoch, heartbeat.HeartbeatSeq, heartbeat.Tasks
	m.Endpoint = cmp.Or(heartbeat.Endpoint, m.Endpoint)
	m.TokenConfirmed = m.Confirms(heartbeat.FencingToken)
	if m.TokenConfirmed {
		m.TokenConfirmedAt = max(m.TokenConfirmedAt, w.host.Now())
		if m.Fencing == inventory.FencingPending {
			w.inventory.SetFencingState(m, inventory.FencingNone)
		}
	}
	if m.State == inventory.MachineBooting {
		w.inventory.SetMachineState(m, inventory.MachineReady, "first heartbeat")
	}
}

// heartbeatOrder is the position of a heartbeat in the order in which a machine sent its heartbeats.
type heartbeatOrder struct{ agentEpoch, seq uint64 }

// orderOf returns the position of a heartbeat in the order.
func orderOf(heartbeat *wire.Heartbeat) heartbeatOrder {
	return heartbeatOrder{heartbeat.AgentEpoch, heartbeat.HeartbeatSeq}
}

// lastOrder returns the position of the machine's last applied heartbeat.
func lastOrder(m *inventory.Machine) heartbeatOrder {
	return heartbeatOrder{m.AgentEpoch, m.HeartbeatSeq}
}

// before reports whether the heartbeat was sent before the other one.
func (o heartbeatOrder) before(other heartbeatOrder) bool {
	return o.agentEpoch < other.agentEpoch || o.agentEpoch == other.agentEpoch && o.seq < other.seq
}
