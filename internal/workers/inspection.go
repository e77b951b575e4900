package workers

import (
	"net/http"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Limits on inspections of machines that have not sent a heartbeat to this owner.
const (
	// inspectionDelay is the time from when the owner becomes active until the first inspections.
	inspectionDelay = 2 * micros.Second
	// inspectionBatchSize is the maximum number of machines that one call of InspectMachines inspects.
	inspectionBatchSize = 4
)

// InspectMachines requests heartbeats from a few machines that were recovered from records, written by
// another owner or by this node, and that have not sent a heartbeat yet. Most workers find this node on
// their own, and requests to all machines at the same time would delay their heartbeats.
func (w *Manager) InspectMachines() {
	if w.callLimitReached() {
		return
	}
	inspected := 0
	for _, m := range w.inventory.SortedMachines {
		if !w.needsInspection(m) {
			continue
		}
		m.Inspected = true
		w.inspect(m)
		inspected++
		if inspected == inspectionBatchSize {
			return
		}
	}
}

// needsInspection reports whether a machine must be inspected now. A machine with an overdue
// cancellation is inspected without inspectionDelay, since the leader may soon change again.
func (w *Manager) needsInspection(m *inventory.Machine) bool {
	if !m.Recovered || m.AgentEpoch != 0 || m.Inspected || m.FencingToken == 0 || m.State >= inventory.MachineDecommissioning {
		return false
	}
	return w.host.Now()-w.host.ActiveSince() >= inspectionDelay || w.host.CancellationOverdue(m)
}

// inspect requests a heartbeat from a machine and then sends this owner's fencing token to its worker,
// so that commands can be sent before the worker has found this node.
func (w *Manager) inspect(m *inventory.Machine) {
	if m.Endpoint == "" || m.AgentEpoch != 0 || m.CommandsInFlight {
		return
	}
	w.call(m, Call{Method: http.MethodGet, Path: wire.PathInspect}, func(response Response) {
		if response.Status != wire.StatusOK {
			return
		}
		heartbeat, err := wire.DecodeHeartbeat(response.Body)
		if err != nil || heartbeat.FencingToken > m.FencingToken {
			return // the state will be known from the heartbeats that the worker sends
		}
		if w.applyCommandResponse(m, heartbeat) && !m.TokenConfirmed {
			w.sendCommands(m, []wire.Command{})
		}
	})
}
