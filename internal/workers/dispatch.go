package workers

import (
	"net/http"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Commands are sent with the response to a heartbeat or, so that they need not wait for the next
// one, in a request to the worker. This file sends such requests.

// Limits on requests to workers.
const (
	// callTimeout is the time within which a worker must respond.
	callTimeout = 4 * micros.Second
	// callSocketFraction is the fraction of the sockets that requests to workers may use at a
	// time: each machine that hangs occupies one until the request times out.
	callSocketFraction = 0.125
	// minCallsInFlight is the number of concurrent requests that is always allowed.
	minCallsInFlight = 4
)

// QueueDispatch queues a machine that may need commands for the next DispatchQueuedMachines.
func (w *Manager) QueueDispatch(m *inventory.Machine) {
	m.DispatchNeeded = true
	if !m.InDispatchQueue {
		m.InDispatchQueue = true
		w.dispatchQueue = append(w.dispatchQueue, m)
	}
}

// DispatchQueuedMachines sends commands to the machines in the dispatch queue. A machine to which
// none can be sent now is queued again once that changes.
func (w *Manager) DispatchQueuedMachines() {
	queue := w.dispatchQueue
	w.dispatchQueue = nil
	for i, m := range queue {
		if w.callLimitReached() {
			w.dispatchQueue = append(queue[i:len(queue):len(queue)], w.dispatchQueue...)
			return
		}
		m.InDispatchQueue = false
		if m.DispatchNeeded && w.inventory.Machines[m.Name] == m {
			w.dispatch(m)
		}
	}
}

// callLimitReached reports whether no further request to a worker may be sent now. The commands of
// queued machines are then sent with the responses to their heartbeats.
func (w *Manager) callLimitReached() bool {
	return w.callsInFlight >= max(minCallsInFlight, int(callSocketFraction*float64(w.settings.Sockets)))
}

// dispatch sends a machine its commands, if it can execute them now.
func (w *Manager) dispatch(m *inventory.Machine) {
	takesCommands := m.State >= inventory.MachineReady && m.State <= inventory.MachineTransferring
	if m.CommandsInFlight || !m.TokenConfirmed || m.Fencing != inventory.FencingNone || m.Endpoint == "" || !takesCommands {
		return
	}
	m.DispatchNeeded = false
	if commands := w.commands(m); len(commands) > 0 {
		w.sendCommands(m, commands)
	}
}

// sendCommands sends commands to a machine's worker. An empty list only gives the worker this
// owner's fencing token.
func (w *Manager) sendCommands(m *inventory.Machine, commands []wire.Command) {
	m.CommandsInFlight = true
	body := wire.Encode(wire.CommandsRequest{FencingToken: m.FencingToken, AgentEpoch: m.AgentEpoch, Commands: commands})
	w.call(m, Call{Method: http.MethodPost, Path: wire.PathCommands, Body: body}, func(response Response) {
		m.CommandsInFlight = false
		w.handleCommandResponse(m, len(commands) > 0, response)
	})
}

// call sends a request to a machine's worker. It calls done with the response, unless by then the
// owner was replaced or the machine has left the inventory.
func (w *Manager) call(m *inventory.Machine, call Call, done func(Response)) {
	call.Address, call.Timeout, call.MaxResponse = m.Endpoint, callTimeout, wire.MaxBody
	w.callsInFlight++
	w.host.Call(call, func(response Response) {
		w.callsInFlight--
		if w.host.Superseded() || w.inventory.Machines[m.Name] != m {
			return
		}
		done(response)
	})
}

// handleCommandResponse handles the heartbeat with which a worker responds to commands. Commands
// without a response may still be executed: the machine is fenced until its worker has confirmed a
// higher fencing token.
func (w *Manager) handleCommandResponse(m *inventory.Machine, hadCommands bool, response Response) {
	heartbeat := heartbeatFromResponse(response)
	switch {
	case heartbeat != nil && heartbeat.FencingToken > m.FencingToken:
		w.host.RestartRecovery(reasonHigherToken)
	case heartbeat != nil:
		w.applyCommandResponse(m, heartbeat)
		if m.DispatchNeeded || m.HasPendingStarts() {
			w.QueueDispatch(m)
		}
	case response.Sent && hadCommands:
		w.log.Info("no response to commands", "machine", m.Name)
		w.inventory.SetFencingState(m, inventory.FencingNeeded)
	}
}

// heartbeatFromResponse returns the heartbeat in a response to commands, or nil if there is none. One that
// cannot be decoded counts as none, since it does not show what was executed.
func heartbeatFromResponse(response Response) *wire.Heartbeat {
	if response.Status != wire.StatusOK && response.Status != wire.StatusConflict {
		return nil
	}
	heartbeat, err := wire.DecodeHeartbeat(response.Body)
	if err != nil {
		return nil
	}
	return heartbeat
}
