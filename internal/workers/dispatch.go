package workers

import (
	"net/http"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Commands are sent in the response to a heartbeat or, to avoid waiting for the next heartbeat, in a
// direct request to the worker. This file sends the direct requests.

// Limits on requests to workers.
const (
	// callTimeout is the time within which a worker must respond.
	callTimeout = 4 * micros.Second
	// callSocketFraction is the maximum fraction of the sockets that concurrent requests to workers
	// may use, since each hung machine occupies a socket until the request times out.
	callSocketFraction = 0.125
	// minCallsInFlight is the number of concurrent requests that are allowed in any case.
	minCallsInFlight = 4
)

// QueueDispatch adds a machine that may need commands to the dispatch queue, which
// DispatchQueuedMachines processes.
func (w *Manager) QueueDispatch(m *inventory.Machine) {
	m.DispatchNeeded = true
	if !m.InDispatchQueue {
		m.InDispatchQueue = true
		w.dispatchQueue = append(w.dispatchQueue, m)
	}
}

// DispatchQueuedMachines sends commands to the machines in the dispatch queue until the limit of
// concurrent requests is reached. A machine that cannot execute commands now is removed from the queue
// and queued again when that changes.
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

// callLimitReached reports whether the limit of concurrent requests to workers is reached. Until
// requests complete, the commands for queued machines are sent with the responses to their heartbeats.
func (w *Manager) callLimitReached() bool {
	return w.callsInFlight >= max(minCallsInFlight, int(callSocketFraction*float64(w.settings.Sockets)))
}

// dispatch sends a machine its commands if it can execute them now.
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

// sendCommands sends commands to a machine's worker. An empty list only conveys this owner's fencing
// token to the worker.
func (w *Manager) sendCommands(m *inventory.Machine, commands []wire.Command) {
	commands = w.permittedCommands(m, commands)
	m.StartsSent(commands)
	m.CommandsInFlight = true
	body := wire.Encode(wire.CommandsRequest{FencingToken: m.FencingToken, AgentEpoch: m.AgentEpoch, Commands: commands})
	w.call(m, Call{Method: http.MethodPost, Path: wire.PathCommands, Body: body}, func(response Response) {
		m.CommandsInFlight = false
		w.handleCommandResponse(m, len(commands) > 0, response)
	})
}

// call sends a request to a machine's worker. It calls done with the response, unless the owner was
// replaced or the machine was removed from the inventory in the meantime.
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

// handleCommandResponse handles a worker's response to commands, which is a heartbeat. Commands without
// a response may still be executed, so the machine is fenced until its worker has confirmed a higher
// fencing token.
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

// heartbeatFromResponse returns the heartbeat in a response to commands, or nil if there is none. A
// heartbeat that cannot be decoded counts as missing, since it does not show what was executed.
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
