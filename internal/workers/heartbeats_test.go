package workers

import (
	"net/http"
	"reflect"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const machineName = "m-000001"

// newHeartbeat returns a heartbeat of machine machineName with the fencing token that addMachine sets.
func newHeartbeat(seq uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine: machineName, Endpoint: "worker:" + machineName, Type: "small", Zone: "a",
		AgentEpoch: 1, HeartbeatSeq: seq, FencingToken: 7, Tasks: tasks,
	}
}

// TestHandleHeartbeat checks the response to a heartbeat by the state of the owner and of the machine.
// The texts of refusals are part of the protocol.
func TestHandleHeartbeat(t *testing.T) {
	refused := func(text wire.RefusalReason) []fakeResponse {
		return []fakeResponse{{request: 1, status: wire.StatusUnavailable, refusal: text}}
	}
	redirected := func(node string) []fakeResponse {
		return []fakeResponse{{request: 1, status: wire.StatusMisdirected, body: wire.Redirect{HeartbeatNode: node}}}
	}
	accepted := []fakeResponse{{request: 1, status: wire.StatusOK, body: wire.HeartbeatResponse{FencingToken: 7}}}
	unknown := func(change func(h *fakeHost)) func(*fakeHost, *inventory.Machine) {
		return func(h *fakeHost, m *inventory.Machine) {
			h.manager.inventory.RemoveMachine(m)
			change(h)
		}
	}
	for _, c := range []struct {
		name   string
		change func(h *fakeHost, m *inventory.Machine)
		want   []fakeResponse
	}{
		{"accepted", func(*fakeHost, *inventory.Machine) {}, accepted},
		{"owner recovers its records", func(h *fakeHost, _ *inventory.Machine) { h.active = false }, refused("taking over")},
		{"decommissioning", func(_ *fakeHost, m *inventory.Machine) { m.State = inventory.MachineDecommissioning }, refused("machine is being returned")},
		{"terminated", func(_ *fakeHost, m *inventory.Machine) { m.State = inventory.MachineTerminated }, refused("machine is being returned")},
		{"lease not renewable", func(h *fakeHost, _ *inventory.Machine) { h.mayRenewLease = false }, refused("cannot know what users were told")},
		{"not claimed yet", func(_ *fakeHost, m *inventory.Machine) { m.FencingToken = 0 }, nil},
		{"unknown, claimed by a peer", unknown(func(h *fakeHost) { h.claimants[machineName] = "n2" }), redirected("n2")},
		{"unknown, owned elsewhere", unknown(func(h *fakeHost) { h.ownedElsewhere[machineName] = true }), redirected("")},
		{"unknown, recently terminated", unknown(func(h *fakeHost) { h.recentlyTerminated[machineName] = true }), refused("machine was returned")},
		{"unknown, claimed by a peer and recently terminated", unknown(func(h *fakeHost) {
			h.claimants[machineName], h.recentlyTerminated[machineName] = "n2", true
		}), redirected("n2")},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			c.change(h, h.addMachine(machineName))
			h.manager.HandleHeartbeat(1, newHeartbeat(1))
			if !reflect.DeepEqual(h.responses, c.want) {
				t.Errorf("responses %+v, want %+v", h.responses, c.want)
			}
			if len(h.adopted) != 0 || len(h.restarts) != 0 {
				t.Errorf("adopted %q, recovery restarted for %q; want neither", h.adopted, h.restarts)
			}
		})
	}
}

// TestAdoption checks that a machine without a known owner is adopted, and that its heartbeat stays
// pending until the machine is claimed and then receives a response.
func TestAdoption(t *testing.T) {
	h := newFakeHost(t)
	h.manager.HandleHeartbeat(1, newHeartbeat(1))
	m := h.manager.inventory.Machines[machineName]
	if m == nil || len(h.responses) != 0 || !reflect.DeepEqual(h.adopted, []string{machineName}) {
		t.Fatalf("machine %v, responses %+v, adopted %q; want the machine adopted and no response", m, h.responses, h.adopted)
	}
	m.Claim(9)
	h.manager.HandlePendingHeartbeat(m)
	h.manager.HandlePendingHeartbeat(m) // no longer pending
	want := []fakeResponse{{request: 1, status: wire.StatusOK, body: wire.HeartbeatResponse{FencingToken: 9}}}
	if !reflect.DeepEqual(h.responses, want) {
		t.Errorf("responses %+v, want %+v", h.responses, want)
	}
	if m.State != inventory.MachineReady || m.TokenConfirmed {
		t.Errorf("state %v, token confirmed %t; want ready, false", m.State, m.TokenConfirmed)
	}
}

// TestPendingHeartbeats checks which of two heartbeats stays pending, and that a pending heartbeat is
// refused once when the owner is replaced.
func TestPendingHeartbeats(t *testing.T) {
	for _, c := range []struct {
		name             string
		second           *wire.Heartbeat
		refused, pending uint64
		pendingSequence  uint64
	}{
		{"newer heartbeat", newHeartbeat(6), 1, 2, 6},
		{"repeated heartbeat", newHeartbeat(5), 1, 2, 5},
		{"older heartbeat", newHeartbeat(4), 2, 1, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := h.addMachine(machineName)
			m.FencingToken = 0
			h.manager.HandleHeartbeat(1, newHeartbeat(5))
			h.manager.HandleHeartbeat(2, c.second)
			want := []fakeResponse{{request: c.refused, status: wire.StatusUnavailable, refusal: "superseded"}}
			if !reflect.DeepEqual(h.responses, want) || m.PendingRequest != c.pending || m.PendingHeartbeat.HeartbeatSeq != c.pendingSequence {
				t.Errorf("responses %+v, pending request %d, want %+v and %d", h.responses, m.PendingRequest, want, c.pending)
			}
			h.manager.RefusePendingHeartbeats()
			h.manager.RefusePendingHeartbeat(m, RefusalTerminated) // no longer pending
			want = append(want, fakeResponse{request: c.pending, status: wire.StatusUnavailable, refusal: "ownership lost"})
			if !reflect.DeepEqual(h.responses, want) {
				t.Errorf("responses %+v, want %+v", h.responses, want)
			}
		})
	}
}

// TestHigherTokenRestartsRecovery checks that a worker with the fencing token of a later owner is
// redirected, and that the owner restarts its recovery.
func TestHigherTokenRestartsRecovery(t *testing.T) {
	h := newFakeHost(t)
	h.addMachine(machineName)
	h.claimants[machineName] = "n2"
	heartbeat := newHeartbeat(1)
	heartbeat.FencingToken = 8
	h.manager.HandleHeartbeat(1, heartbeat)
	want := []fakeResponse{{request: 1, status: wire.StatusMisdirected, body: wire.Redirect{HeartbeatNode: "n2"}}}
	if !reflect.DeepEqual(h.responses, want) || len(h.restarts) != 1 {
		t.Errorf("responses %+v, recovery restarted for %q; want a redirect to n2 and one restart", h.responses, h.restarts)
	}
}

// TestStaleHeartbeat checks that a delayed duplicate changes nothing and receives no commands.
func TestStaleHeartbeat(t *testing.T) {
	h := newFakeHost(t)
	m := h.addMachine(machineName)
	a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, m, inventory.AttemptRecorded)
	m.AgentEpoch, m.HeartbeatSeq, m.LastHeartbeat = 1, 5, h.now
	h.now += micros.Second
	h.manager.HandleHeartbeat(1, newHeartbeat(5))
	want := []fakeResponse{{request: 1, status: wire.StatusOK, body: wire.HeartbeatResponse{FencingToken: 7}}}
	if !reflect.DeepEqual(h.responses, want) || a.State != inventory.AttemptRecorded {
		t.Errorf("responses %+v, attempt %v; want a response without commands, recorded", h.responses, a.State)
	}
	if m.LastHeartbeat != h.now-micros.Second || h.manager.LastHeartbeat() != h.now-micros.Second || m.HeartbeatReceived {
		t.Errorf("the duplicate counts as a heartbeat: last of the machine %v, of any %v", m.LastHeartbeat, h.manager.LastHeartbeat())
	}
}

// TestLastHeartbeat checks that heartbeats that the worker sent on its own initiative update the time
// of the last heartbeat of the machine and of the owner. A response to commands updates only that of
// the machine, and only until the machine has sent such a heartbeat.
func TestLastHeartbeat(t *testing.T) {
	h := newFakeHost(t)
	m := h.addMachine(machineName)
	start := h.now
	step := func(apply func(), ofMachine, ofAny micros.Micros) {
		t.Helper()
		h.now += micros.Second
		apply()
		if m.LastHeartbeat != ofMachine || h.manager.LastHeartbeat() != ofAny {
			t.Errorf("last heartbeat of the machine %v, of any %v, want %v and %v", m.LastHeartbeat, h.manager.LastHeartbeat(), ofMachine, ofAny)
		}
	}
	step(func() { h.manager.applyCommandResponse(m, newHeartbeat(1)) }, start+1*micros.Second, start)
	step(func() { h.manager.applyHeartbeat(m, newHeartbeat(2)) }, start+2*micros.Second, start+2*micros.Second)
	step(func() { h.manager.applyCommandResponse(m, newHeartbeat(3)) }, start+2*micros.Second, start+2*micros.Second)
	if h.manager.applyCommandResponse(m, newHeartbeat(3)) {
		t.Error("a duplicate was applied")
	}
	m.LastHeartbeat = start + micros.Minute // grace after a failover
	step(func() { h.manager.applyHeartbeat(m, newHeartbeat(4)) }, start+micros.Minute, start+4*micros.Second)
}

// TestFencingEnds checks that fencing ends when the worker has confirmed the higher token or when its
// agent has restarted.
func TestFencingEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		fencing inventory.FencingState
		epoch   uint64
		token   uint64
		want    inventory.FencingState
	}{
		{"pending, token confirmed", inventory.FencingPending, 1, 7, inventory.FencingNone},
		{"pending, earlier token", inventory.FencingPending, 1, 6, inventory.FencingPending},
		{"needed, token confirmed", inventory.FencingNeeded, 1, 7, inventory.FencingNeeded},
		{"needed, agent restarted", inventory.FencingNeeded, 2, 0, inventory.FencingNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := h.addMachine(machineName)
			m.AgentEpoch, m.HeartbeatSeq, m.Fencing = 1, 1, c.fencing
			heartbeat := newHeartbeat(2)
			heartbeat.AgentEpoch, heartbeat.FencingToken = c.epoch, c.token
			h.manager.HandleHeartbeat(1, heartbeat)
			if m.Fencing != c.want || m.TokenConfirmed != (c.token == 7) {
				t.Errorf("fencing %v, token confirmed %t, want fencing %v", m.Fencing, m.TokenConfirmed, c.want)
			}
		})
	}
}

// TestSetLastHeartbeat checks that the time of the last heartbeat can be taken over from the previous
// owner.
func TestSetLastHeartbeat(t *testing.T) {
	h := newFakeHost(t)
	if got := h.manager.LastHeartbeat(); got != h.now {
		t.Errorf("last heartbeat of a new owner %v, want %v", got, h.now)
	}
	h.manager.SetLastHeartbeat(h.now - micros.Minute)
	if got := h.manager.LastHeartbeat(); got != h.now-micros.Minute {
		t.Errorf("last heartbeat %v, want that of the previous owner", got)
	}
}

// TestAgentRestartEndsLateCopies checks that after a restart of the agent, which refuses the commands sent
// before, no higher token is needed to have attempts forgotten.
func TestAgentRestartEndsLateCopies(t *testing.T) {
	h := newFakeHost(t)
	m := addPendingStarts(h, 1)[0]
	h.manager.DispatchQueuedMachines()
	h.calls[0].done(Response{Status: http.StatusOK, Body: wire.Encode(newHeartbeat(2, reported(1, wire.PhaseRunning, "")))})
	started := inventory.AttemptKey{TaskKey: inventory.TaskKey{Job: jobID}, Number: 1}
	if m.MayForget(started) {
		t.Fatal("the attempt may be forgotten under the token of its start")
	}
	restarted := newHeartbeat(3)
	restarted.AgentEpoch++
	h.manager.HandleHeartbeat(1, restarted)
	if !m.MayForget(started) {
		t.Error("the attempt may not be forgotten, though the agent refuses late copies of its start")
	}
}
