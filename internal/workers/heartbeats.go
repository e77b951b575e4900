package workers

import (
	"cmp"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// reasonHigherToken is the reason for which recovery restarts when a worker shows a fencing token
// that only a later owner can have given it.
const reasonHigherToken = "machine has a higher fencing token"

// HandleHeartbeat handles a heartbeat that a worker sent by itself.
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
// and must not be adopted. It reports whether it did.
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

// addPendingHeartbeat keeps a heartbeat until its machine is claimed by a record of this owner. A
// newer heartbeat replaces an older one, but a late duplicate does not.
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

// HandlePendingHeartbeat handles the heartbeat that was pending until its machine was claimed, if
// there is one.
func (w *Manager) HandlePendingHeartbeat(m *inventory.Machine) {
	if m.PendingRequest == 0 {
		return
	}
	request, heartbeat := m.PendingRequest, m.PendingHeartbeat
	m.PendingRequest, m.PendingHeartbeat = 0, nil
	w.respond(m, request, heartbeat)
}

// RefusePendingHeartbeats refuses all pending heartbeats because the owner is replaced.
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

// respond applies a heartbeat and responds with the machine's commands.
func (w *Manager) respond(m *inventory.Machine, request uint64, heartbeat *wire.Heartbeat) {
	if heartbeat.FencingToken > m.FencingToken {
		// Another node owns the machine by now. The worker drops this node's responses and
		// would stay here until its lease expires, so it is redirected at once.
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
		response.Commands = w.commands(m)
	}
	w.host.Respond(request, wire.StatusOK, response)
}

// applyHeartbeat applies a heartbeat that the worker sent by itself and reports whether it was
// newer than the last one. A late duplicate shows nothing, not even that the machine is alive.
//
// Only such a heartbeat shows that the starts in the response to the previous one were executed or
// dropped: the response to a direct command may have overtaken that response.
func (w *Manager) applyHeartbeat(m *inventory.Machine, heartbeat *wire.Heartbeat) bool {
	if !lastOrder(m).before(orderOf(heartbeat)) {
		return false
	}
	now := w.host.Now()
	w.lastHeartbeat, m.HeartbeatReceived = now, true
	m.LastHeartbeat = max(m.LastHeartbeat, now) // after a failover it is in the future
	reported := w.applyStatus(m, heartbeat)
	// A task that is not reported is certainly not there, and will not appear, only if the worker
	// has confirmed this owner's token and no command is in flight.
	if m.TokenConfirmed && m.Fencing == inventory.FencingNone && !m.CommandsInFlight {
		w.reconcileMissing(m, reported)
	}
	return true
}

// applyCommandResponse applies the heartbeat with which a worker responds to a request, and reports
// whether it was newer than the last one.
//
// It does not count as a heartbeat of a worker that has sent one by itself: a machine that only
// responds to commands is of no use, since its lease is not renewed.
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

// applyStatus applies a heartbeat's state of the machine and its tasks, and returns which attempts
// it reports.
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

// updateContact records the agent epoch, the endpoint and the fencing token of a heartbeat.
func (w *Manager) updateContact(m *inventory.Machine, heartbeat *wire.Heartbeat) {
	if heartbeat.AgentEpoch > m.AgentEpoch && m.AgentEpoch != 0 {
		// The agent has restarted, so it will not execute commands sent to the old epoch.
		w.inventory.SetFencingState(m, inventory.FencingNone)
	}
	m.AgentEpoch, m.HeartbeatSeq, m.ReportedTasks = heartbeat.AgentEpoch, heartbeat.HeartbeatSeq, heartbeat.Tasks
	m.Endpoint = cmp.Or(heartbeat.Endpoint, m.Endpoint)
	m.TokenConfirmed = heartbeat.FencingToken == m.FencingToken
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

// heartbeatOrder orders the heartbeats of a machine by the time at which they were sent.
type heartbeatOrder struct{ agentEpoch, seq uint64 }

// orderOf returns a heartbeat's place in the order.
func orderOf(heartbeat *wire.Heartbeat) heartbeatOrder {
	return heartbeatOrder{heartbeat.AgentEpoch, heartbeat.HeartbeatSeq}
}

// lastOrder returns the place in the order of the machine's last heartbeat.
func lastOrder(m *inventory.Machine) heartbeatOrder {
	return heartbeatOrder{m.AgentEpoch, m.HeartbeatSeq}
}

// before reports whether a heartbeat was sent before another one.
func (o heartbeatOrder) before(other heartbeatOrder) bool {
	return o.agentEpoch < other.agentEpoch || o.agentEpoch == other.agentEpoch && o.seq < other.seq
}
