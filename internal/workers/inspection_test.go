package workers

import (
	"fmt"
	"net/http"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// addRecovered adds a machine that was recovered from a record and has sent no heartbeat yet.
func addRecovered(h *fakeHost, name string) *inventory.Machine {
	m := h.addMachine(name)
	m.Recovered, m.TokenConfirmed = true, false
	return m
}

// TestInspectMachines checks that machines are inspected in batches, once each, and only after a delay
// from the failover, except for a machine with an overdue cancellation.
func TestInspectMachines(t *testing.T) {
	h := newFakeHost(t)
	for i := range 6 {
		addRecovered(h, fmt.Sprintf("m-%06d", i+1))
	}
	h.overdue["m-000005"] = true
	for _, step := range []struct {
		after micros.Micros
		calls int
	}{
		{0, 1}, // the machine with an overdue cancellation
		{micros.Second, 1},
		{2 * micros.Second, 5},
		{3 * micros.Second, 6},
		{4 * micros.Second, 6},
	} {
		h.now = h.activeSince + step.after
		h.manager.InspectMachines()
		if len(h.calls) != step.calls {
			t.Errorf("%d calls after %v, want %d", len(h.calls), step.after, step.calls)
		}
	}
	if first := h.calls[0]; first.Address != "worker:m-000005" || first.Method != http.MethodGet || first.Path != wire.PathInspect {
		t.Errorf("first call %+v, want the inspection of m-000005", first.Call)
	}
}

// TestNotInspected checks the conditions under which a machine is not inspected.
func TestNotInspected(t *testing.T) {
	for name, change := range map[string]func(h *fakeHost, m *inventory.Machine){
		"not recovered":          func(_ *fakeHost, m *inventory.Machine) { m.Recovered = false },
		"has sent a heartbeat":   func(_ *fakeHost, m *inventory.Machine) { m.AgentEpoch = 1 },
		"not claimed":            func(_ *fakeHost, m *inventory.Machine) { m.FencingToken = 0 },
		"decommissioning":        func(_ *fakeHost, m *inventory.Machine) { m.State = inventory.MachineDecommissioning },
		"no endpoint":            func(_ *fakeHost, m *inventory.Machine) { m.Endpoint = "" },
		"commands in flight":     func(_ *fakeHost, m *inventory.Machine) { m.CommandsInFlight = true },
		"limit of calls reached": func(h *fakeHost, _ *inventory.Machine) { h.manager.callsInFlight = 8 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeHost(t)
			m := addRecovered(h, machineName)
			h.now += micros.Minute
			change(h, m)
			h.manager.InspectMachines()
			if len(h.calls) != 0 {
				t.Errorf("calls %+v, want none", h.calls)
			}
		})
	}
}

// TestInspectionResponse checks that this owner's fencing token is sent to a worker that responds to an
// inspection with an earlier token.
func TestInspectionResponse(t *testing.T) {
	withToken := func(token uint64) []byte {
		heartbeat := newHeartbeat(1)
		heartbeat.FencingToken = token
		return wire.Encode(heartbeat)
	}
	for _, c := range []struct {
		name     string
		response Response
		change   func(h *fakeHost, m *inventory.Machine)
		calls    int
		epoch    uint64
	}{
		{"earlier token", Response{Status: wire.StatusOK, Body: withToken(6)}, nil, 2, 1},
		{"this owner's token", Response{Status: wire.StatusOK, Body: withToken(7)}, nil, 1, 1},
		{"higher token", Response{Status: wire.StatusOK, Body: withToken(8)}, nil, 1, 0},
		{"error status", Response{Status: wire.StatusConflict, Body: withToken(6)}, nil, 1, 0},
		{"not decodable", Response{Status: wire.StatusOK, Body: []byte("?")}, nil, 1, 0},
		{"owner replaced", Response{Status: wire.StatusOK, Body: withToken(6)}, func(h *fakeHost, _ *inventory.Machine) { h.superseded = true }, 1, 0},
		{"machine removed", Response{Status: wire.StatusOK, Body: withToken(6)}, func(h *fakeHost, m *inventory.Machine) { h.manager.inventory.RemoveMachine(m) }, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := addRecovered(h, machineName)
			h.now += micros.Minute
			h.manager.InspectMachines()
			if c.change != nil {
				c.change(h, m)
			}
			h.calls[0].done(c.response)
			if len(h.calls) != c.calls || m.AgentEpoch != c.epoch || len(h.restarts) != 0 {
				t.Errorf("%d calls, agent epoch %d, recovery restarted for %q", len(h.calls), m.AgentEpoch, h.restarts)
			}
		})
	}
}
