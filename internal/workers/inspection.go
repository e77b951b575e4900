package workers

import (
	"net/http"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Rate at which machines are inspected that have sent no heartbeat since a failover.
const (
	inspectionDelay     = 2 * micros.Second
	inspectionBatchSize = 4
)

// InspectMachines requests heartbeats from a few machines that were recovered from records, another
// owner's or this node's own, and have sent none. Most workers find this node by themselves, and requests to all
// machines at once would delay their heartbeats.
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

// needsInspection reports whether a machine is to be inspected now. One with a task of a cancelled
// job is not given time to send a heartbeat, since the leader may change again soon.
func (w *Manager) needsInspection(m *inventory.Machine) bool {
	if !m.Recovered || m.AgentEpoch != 0 || m.Inspected || m.FencingToken == 0 || m.State >= inventory.MachineDecommissioning {
		return false
	}
	return w.host.Now()-w.host.ActiveSince() >= inspectionDelay || w.host.CancellationOverdue(m)
}

// inspect requests a heartbeat from a machine and then gives its worker this owner's fencing token,
// so that commands need not wait until the worker has found this node.
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
			return // the machine's own heartbeats will show its state
		}
		if w.applyCommandResponse(m, heartbeat) && !m.TokenConfirmed {
			w.sendCommands(m, []wire.Command{})
		}
	})
}
