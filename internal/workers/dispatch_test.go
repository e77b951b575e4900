package workers

import (
	"fmt"
	"net/http"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
)

// addPendingStarts adds machines with one attempt to start each, and adds them to the dispatch queue.
func addPendingStarts(h *fakeHost, machines int) []*inventory.Machine {
	j := h.addJob(machines)
	list := make([]*inventory.Machine, machines)
	for i := range list {
		list[i] = h.addMachine(fmt.Sprintf("m-%06d", i+1))
		h.manager.inventory.AddAttempt(j, i, 1, list[i], inventory.AttemptRecorded)
		h.manager.QueueDispatch(list[i])
	}
	return list
}

// TestDispatchLimit checks that the number of requests in flight is limited to an eighth of the sockets,
// but at least 4, and that the machines beyond the limit stay queued in order.
func TestDispatchLimit(t *testing.T) {
	for _, c := range []struct{ sockets, limit int }{{64, 8}, {8, 4}, {0, 4}} {
		t.Run(fmt.Sprint(c.sockets), func(t *testing.T) {
			h := newFakeHost(t)
			h.manager.settings.Sockets = c.sockets
			list := addPendingStarts(h, 12)
			h.manager.QueueDispatch(list[0]) // is already queued
			h.manager.DispatchQueuedMachines()
			if len(h.calls) != c.limit {
				t.Fatalf("%d calls, want %d", len(h.calls), c.limit)
			}
			h.calls[0].done(Response{}) // not sent
			h.manager.DispatchQueuedMachines()
			if len(h.calls) != c.limit+1 || h.calls[c.limit].Address != list[c.limit].Endpoint {
				t.Errorf("%d calls after one has completed, the last to %s; want one more, to the next machine in the queue", len(h.calls), h.calls[len(h.calls)-1].Address)
			}
		})
	}
}

// TestDispatchNotPossible checks that no commands are sent to a machine that cannot execute them now.
func TestDispatchNotPossible(t *testing.T) {
	for name, change := range map[string]func(h *fakeHost, m *inventory.Machine){
		"commands in flight":  func(_ *fakeHost, m *inventory.Machine) { m.CommandsInFlight = true },
		"token not confirmed": func(_ *fakeHost, m *inventory.Machine) { m.TokenConfirmed = false },
		"fencing needed":      func(_ *fakeHost, m *inventory.Machine) { m.Fencing = inventory.FencingNeeded },
		"no endpoint":         func(_ *fakeHost, m *inventory.Machine) { m.Endpoint = "" },
		"booting":             func(_ *fakeHost, m *inventory.Machine) { m.State = inventory.MachineBooting },
		"decommissioning":     func(_ *fakeHost, m *inventory.Machine) { m.State = inventory.MachineDecommissioning },
		"removed":             func(h *fakeHost, m *inventory.Machine) { h.manager.inventory.RemoveMachine(m) },
		"queue reset":         func(h *fakeHost, _ *inventory.Machine) { h.manager.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeHost(t)
			change(h, addPendingStarts(h, 1)[0])
			h.manager.DispatchQueuedMachines()
			if len(h.calls) != 0 || len(h.violations) != 0 {
				t.Errorf("calls %+v, violations %q; want none", h.calls, h.violations)
			}
		})
	}
}

// TestCommandResponse checks the effects of the response to a start command.
func TestCommandResponse(t *testing.T) {
	running := wire.Encode(newHeartbeat(1, reported(1, wire.PhaseRunning, "")))
	higher := newHeartbeat(1)
	higher.FencingToken = 8
	for _, c := range []struct {
		name     string
		response Response
		before   func(h *fakeHost)
		attempt  inventory.AttemptState
		fencing  inventory.FencingState
		restarts int
		inFlight bool
	}{
		{"executed", Response{Status: wire.StatusOK, Body: running, Sent: true}, nil, inventory.AttemptLive, inventory.FencingNone, 0, false},
		{"rejected with a heartbeat", Response{Status: wire.StatusConflict, Body: running, Sent: true}, nil, inventory.AttemptLive, inventory.FencingNone, 0, false},
		{"no response", Response{Sent: true}, nil, inventory.AttemptStarting, inventory.FencingNeeded, 0, false},
		{"error status", Response{Status: wire.StatusUnavailable, Body: running, Sent: true}, nil, inventory.AttemptStarting, inventory.FencingNeeded, 0, false},
		{"not decodable", Response{Status: wire.StatusOK, Body: []byte("?"), Sent: true}, nil, inventory.AttemptStarting, inventory.FencingNeeded, 0, false},
		{"not sent", Response{}, nil, inventory.AttemptStarting, inventory.FencingNone, 0, false},
		{"higher token", Response{Status: wire.StatusConflict, Body: wire.Encode(higher), Sent: true}, nil, inventory.AttemptStarting, inventory.FencingNone, 1, false},
		{"owner replaced in the meantime", Response{Sent: true}, func(h *fakeHost) { h.superseded = true }, inventory.AttemptStarting, inventory.FencingNone, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := addPendingStarts(h, 1)[0]
			h.manager.DispatchQueuedMachines()
			if len(h.calls) != 1 || h.calls[0].Method != http.MethodPost || h.calls[0].Path != wire.PathCommands || !m.CommandsInFlight {
				t.Fatalf("calls %+v, in flight %t; want one request for commands, true", h.calls, m.CommandsInFlight)
			}
			if c.before != nil {
				c.before(h)
			}
			h.calls[0].done(c.response)
			if a := m.SortedAttempts()[0]; a.State != c.attempt || m.Fencing != c.fencing || len(h.restarts) != c.restarts {
				t.Errorf("attempt %v, fencing %v, recovery restarted for %q", a.State, m.Fencing, h.restarts)
			}
			if m.CommandsInFlight != c.inFlight || h.manager.callsInFlight != 0 {
				t.Errorf("commands in flight %t, %d calls in flight; want no calls, and commands only if the owner was replaced", m.CommandsInFlight, h.manager.callsInFlight)
			}
		})
	}
}

// TestQueuedAfterResponse checks that a machine is queued again after a response if it has attempts to
// start or if commands were requested while the request was in flight.
func TestQueuedAfterResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *fakeHost, m *inventory.Machine)
		queued bool
	}{
		{"nothing to do", func(*fakeHost, *inventory.Machine) {}, false},
		{"an attempt to start", func(h *fakeHost, m *inventory.Machine) {
			h.manager.inventory.AddAttempt(h.manager.inventory.Jobs[jobID], 1, 1, m, inventory.AttemptRecorded)
		}, true},
		{"commands requested", func(_ *fakeHost, m *inventory.Machine) { m.DispatchNeeded = true }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := addPendingStarts(h, 2)[0]
			h.manager.DispatchQueuedMachines()
			c.change(h, m)
			body := wire.Encode(newHeartbeat(1, reported(1, wire.PhaseRunning, "")))
			h.calls[0].done(Response{Status: wire.StatusOK, Body: body, Sent: true})
			if m.InDispatchQueue != c.queued {
				t.Errorf("queued again: %t, want the opposite", m.InDispatchQueue)
			}
		})
	}
}
