package workers

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// reported returns the reported status of the first task of the test's job.
func reported(attempt uint64, phase wire.TaskPhase, cause wire.ExitCause) wire.TaskStatus {
	return wire.TaskStatus{Task: wire.TaskName(jobID, 0), Attempt: attempt, Phase: phase, Cause: cause}
}

// TestReconcileReported checks the state of an attempt after its machine has reported a task.
func TestReconcileReported(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   inventory.AttemptState
		task    wire.TaskStatus
		token   uint64
		want    inventory.AttemptState
		running bool
	}{
		{"recorded, starts", inventory.AttemptRecorded, reported(1, wire.PhaseFetching, ""), 7, inventory.AttemptLive, false},
		{"starting, runs", inventory.AttemptStarting, reported(1, wire.PhaseRunning, ""), 7, inventory.AttemptLive, true},
		{"stopping, still runs", inventory.AttemptStopping, reported(1, wire.PhaseRunning, ""), 7, inventory.AttemptStopping, false},
		{"live, exits", inventory.AttemptLive, reported(1, wire.PhaseExited, wire.CauseStopped), 7, inventory.AttemptRemoving, false},
		{"live, completes", inventory.AttemptLive, reported(1, wire.PhaseExited, wire.CauseDone), 7, inventory.AttemptCompleted, false},
		{"exits under an earlier token", inventory.AttemptLive, reported(1, wire.PhaseExited, wire.CauseDone), 6, inventory.AttemptLive, false},
		{"removing already", inventory.AttemptRemoving, reported(1, wire.PhaseRunning, ""), 7, inventory.AttemptRemoving, false},
		{"completed already", inventory.AttemptCompleted, reported(1, wire.PhaseExited, wire.CauseStopped), 7, inventory.AttemptCompleted, false},
		{"another attempt", inventory.AttemptLive, reported(2, wire.PhaseRunning, ""), 6, inventory.AttemptLive, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := h.addMachine(machineName)
			j := h.addJob(2)
			a := h.manager.inventory.AddAttempt(j, 0, 1, m, c.state)
			heartbeat := newHeartbeat(1, c.task)
			heartbeat.FencingToken = c.token
			h.manager.HandleHeartbeat(1, heartbeat)
			if a.State != c.want || a.CountedRunning != c.running {
				t.Errorf("state %v, counted as running %t, want %v, %t", a.State, a.CountedRunning, c.want, c.running)
			}
		})
	}
}

// TestReconcileMissing checks the state of an attempt after its machine has sent a heartbeat without
// it, and that the state does not change while a command may still be executed.
func TestReconcileMissing(t *testing.T) {
	unchanged := func(*inventory.Machine, *inventory.Attempt) {}
	for _, c := range []struct {
		name   string
		state  inventory.AttemptState
		change func(m *inventory.Machine, a *inventory.Attempt)
		want   inventory.AttemptState
	}{
		{"live", inventory.AttemptLive, unchanged, inventory.AttemptRemoving},
		{"stopping", inventory.AttemptStopping, unchanged, inventory.AttemptRemoving},
		{"assumed", inventory.AttemptAssumed, unchanged, inventory.AttemptAssumed},
		{"completed", inventory.AttemptCompleted, unchanged, inventory.AttemptCompleted},
		// The start command was lost, so the response contains it again.
		{"starting since an earlier heartbeat", inventory.AttemptStarting, func(_ *inventory.Machine, a *inventory.Attempt) {
			a.StartHeartbeatSeq = 1
		}, inventory.AttemptStarting},
		{"starting, reported before", inventory.AttemptStarting, func(_ *inventory.Machine, a *inventory.Attempt) {
			a.HeartbeatSeen = true
		}, inventory.AttemptRemoving},
		{"token not confirmed", inventory.AttemptLive, func(m *inventory.Machine, _ *inventory.Attempt) { m.Claim(9) }, inventory.AttemptLive},
		{"raised token not seen", inventory.AttemptLive, func(m *inventory.Machine, _ *inventory.Attempt) { m.RaiseToken(9) }, inventory.AttemptRemoving},
		{"fencing needed", inventory.AttemptLive, func(m *inventory.Machine, _ *inventory.Attempt) { m.Fencing = inventory.FencingNeeded }, inventory.AttemptLive},
		{"commands in flight", inventory.AttemptLive, func(m *inventory.Machine, _ *inventory.Attempt) { m.CommandsInFlight = true }, inventory.AttemptLive},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := h.addMachine(machineName)
			a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, m, c.state)
			m.AgentEpoch, m.HeartbeatSeq = 1, 1
			c.change(m, a)
			h.manager.HandleHeartbeat(1, newHeartbeat(2))
			if a.State != c.want {
				t.Errorf("state %v, want %v", a.State, c.want)
			}
		})
	}
}

// TestMissingInResponse checks that an attempt is not considered lost because the response to a command
// does not report it.
func TestMissingInResponse(t *testing.T) {
	h := newFakeHost(t)
	m := h.addMachine(machineName)
	a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, m, inventory.AttemptLive)
	h.manager.applyCommandResponse(m, newHeartbeat(1))
	if a.State != inventory.AttemptLive {
		t.Errorf("state %v, want live", a.State)
	}
}

// TestLostStartIsRepeated checks that a start command is sent again after a heartbeat has shown that the
// response with the first start command was lost.
func TestLostStartIsRepeated(t *testing.T) {
	h := newFakeHost(t)
	m := h.addMachine(machineName)
	a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, m, inventory.AttemptRecorded)
	for seq := uint64(1); seq <= 2; seq++ {
		h.manager.HandleHeartbeat(seq, newHeartbeat(seq))
		response, ok := h.responses[seq-1].body.(wire.HeartbeatResponse)
		if !ok || len(response.Commands) != 1 || response.Commands[0].Verb != wire.VerbStart || a.StartHeartbeatSeq != seq {
			t.Fatalf("heartbeat %d: response %+v, start sent after heartbeat %d; want one start command in each response", seq, h.responses[seq-1], a.StartHeartbeatSeq)
		}
	}
}

// TestStartNotLostYet checks that a start command that was sent in the response to a heartbeat is not
// considered lost because of that same heartbeat.
func TestStartNotLostYet(t *testing.T) {
	for start, want := range map[uint64]inventory.AttemptState{1: inventory.AttemptRecorded, 2: inventory.AttemptStarting} {
		h := newFakeHost(t)
		m := h.addMachine(machineName)
		m.HeartbeatSeq = 2
		a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, m, inventory.AttemptStarting)
		a.StartHeartbeatSeq = start
		h.manager.reconcileMissing(m, nil)
		if a.State != want {
			t.Errorf("start sent after heartbeat %d: state %v, want %v", start, a.State, want)
		}
	}
}

// TestLostGangMember checks that a gang is stopped after it has lost a task.
func TestLostGangMember(t *testing.T) {
	h := newFakeHost(t)
	j := h.addJob(2)
	j.Gang, j.GangState = true, inventory.GangStarting
	m, other := h.addMachine(machineName), h.addMachine("m-000002")
	lost := h.manager.inventory.AddAttempt(j, 0, 1, m, inventory.AttemptLive)
	member := h.manager.inventory.AddAttempt(j, 1, 1, other, inventory.AttemptLive)
	h.manager.HandleHeartbeat(1, newHeartbeat(1))
	if lost.State != inventory.AttemptRemoving || member.State != inventory.AttemptStopping || j.GangState != inventory.GangStopping {
		t.Errorf("lost attempt %v, other attempt %v, gang %v; want removing, stopping, stopping", lost.State, member.State, j.GangState)
	}
	if !other.InDispatchQueue || !other.DispatchNeeded {
		t.Error("the other machine is not queued for its stop command")
	}
}

// TestRunningSince checks that the run time of a task begins with the first heartbeat that reports it
// as running.
func TestRunningSince(t *testing.T) {
	h := newFakeHost(t)
	m := h.addMachine(machineName)
	a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, m, inventory.AttemptStarting)
	since := h.now
	for seq := uint64(1); seq <= 2; seq++ {
		h.manager.HandleHeartbeat(seq, newHeartbeat(seq, reported(1, wire.PhaseRunning, "")))
		h.now += micros.Second
	}
	if a.RunningSince != since {
		t.Errorf("running since %v, want %v", a.RunningSince, since)
	}
}
