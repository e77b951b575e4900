package workers

import (
	"fmt"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestExitCauses checks whether an exit is counted against the job, the machine or neither, by its
// cause.
func TestExitCauses(t *testing.T) {
	for _, c := range []struct {
		cause       wire.ExitCause
		attempt     inventory.AttemptState
		failures    int
		errors      int
		quarantined bool
	}{
		{wire.CauseDone, inventory.AttemptCompleted, 0, 0, false},
		{wire.CauseError, inventory.AttemptRemoving, 2, 2, false},
		{wire.CauseUnknownTask, inventory.AttemptRemoving, 2, 1, false},
		{wire.CauseInsufficientResources, inventory.AttemptRemoving, 1, 1, true},
		{wire.CauseBusy, inventory.AttemptRemoving, 1, 1, true},
		{wire.CauseStopped, inventory.AttemptRemoving, 1, 1, false},
		{wire.CauseGangMemberLost, inventory.AttemptRemoving, 1, 1, false},
		{wire.CauseGangStartTimeout, inventory.AttemptRemoving, 1, 1, false},
		{"of a later version", inventory.AttemptRemoving, 1, 1, false},
	} {
		t.Run(string(c.cause), func(t *testing.T) {
			h := newFakeHost(t)
			m := h.addMachine(machineName)
			j := h.addJob(2)
			j.Failures, m.ConsecutiveErrors = 1, 1
			a := h.manager.inventory.AddAttempt(j, 0, 1, m, inventory.AttemptLive)
			h.manager.HandleHeartbeat(1, newHeartbeat(1, reported(1, wire.PhaseExited, c.cause)))
			if a.State != c.attempt || j.Failures != c.failures || m.ConsecutiveErrors != c.errors {
				t.Errorf("attempt %v, %d failures of the job, %d errors of the machine", a.State, j.Failures, m.ConsecutiveErrors)
			}
			if got := m.QuarantinedUntil == h.now+5*micros.Second; got != c.quarantined {
				t.Errorf("quarantined until %v, want 5 s from now only if the machine refused to start the task", m.QuarantinedUntil)
			}
			if (h.runTimes == 1) != (c.cause == wire.CauseDone) {
				t.Errorf("%d run times recorded, want 1 only for a completed task", h.runTimes)
			}
		})
	}
}

// TestCompletionOfEndedJob checks that the completion of a task is not counted if its job has ended.
func TestCompletionOfEndedJob(t *testing.T) {
	h := newFakeHost(t)
	m := h.addMachine(machineName)
	j := h.addJob(1)
	a := h.manager.inventory.AddAttempt(j, 0, 1, m, inventory.AttemptLive)
	j.State = inventory.JobEnded
	h.manager.HandleHeartbeat(1, newHeartbeat(1, reported(1, wire.PhaseExited, wire.CauseDone)))
	if a.State != inventory.AttemptRemoving || j.CompletedCount != 0 || h.runTimes != 0 {
		t.Errorf("attempt %v, %d completed, %d run times; want removing, 0, 0", a.State, j.CompletedCount, h.runTimes)
	}
}

// TestLastCompletion checks that a job begins to finish when its last task completes.
func TestLastCompletion(t *testing.T) {
	h := newFakeHost(t)
	m := h.addMachine(machineName)
	j := h.addJob(1)
	h.manager.inventory.AddAttempt(j, 0, 1, m, inventory.AttemptLive)
	h.manager.HandleHeartbeat(1, newHeartbeat(1, reported(1, wire.PhaseExited, wire.CauseDone)))
	if j.State != inventory.JobFinishing {
		t.Errorf("state %v, want finishing", j.State)
	}
}

// TestFaultyMachine checks that a machine on which tasks keep failing is drained and that its other
// attempts are evicted.
func TestFaultyMachine(t *testing.T) {
	h := newFakeHost(t)
	m := h.addMachine(machineName)
	j := h.addJob(2)
	j.CheckpointInterval, j.CheckpointDuration = micros.Minute, 3*micros.Second
	m.ConsecutiveErrors = h.manager.settings.Tuning.QuarantineThreshold - 1
	failed := h.manager.inventory.AddAttempt(j, 0, 1, m, inventory.AttemptLive)
	other := h.manager.inventory.AddAttempt(j, 1, 1, m, inventory.AttemptLive)
	h.manager.HandleHeartbeat(1, newHeartbeat(1,
		reported(1, wire.PhaseExited, wire.CauseError),
		wire.TaskStatus{Task: other.TaskName(), Attempt: 1, Phase: wire.PhaseRunning}))
	if m.State != inventory.MachineDraining || failed.State != inventory.AttemptRemoving || failed.GracePeriod != 0 {
		t.Errorf("machine %v, failed attempt %v with grace period %v; want draining, removing, 0", m.State, failed.State, failed.GracePeriod)
	}
	if other.State != inventory.AttemptStopping || other.GracePeriod != 4*micros.Second {
		t.Errorf("other attempt %v with grace period %v; want stopping, 4 s", other.State, other.GracePeriod)
	}
}

// TestFaultyJob checks that a job that fails on many machines backs off exponentially, and that its
// further failures are not counted against the machines.
func TestFaultyJob(t *testing.T) {
	h := newFakeHost(t)
	j := h.addJob(20)
	for i, want := range []micros.Micros{0, 0, 8, 16, 32, 60, 60, 60, 60, 60} {
		m := h.addMachine(fmt.Sprintf("m-%06d", i+1))
		a := h.manager.inventory.AddAttempt(j, i, 1, m, inventory.AttemptLive)
		h.manager.handleTaskFailed(a, wire.CauseError)
		if want != 0 {
			want = h.now + want*micros.Second
		}
		if j.BackoffUntil != want {
			t.Errorf("failure %d: backoff until %v, want %v", i+1, j.BackoffUntil, want)
		}
		if countsAgainstMachine := i < 2; (m.ConsecutiveErrors == 1) != countsAgainstMachine {
			t.Errorf("failure %d: %d errors of the machine, want 1 only for the first two failures", i+1, m.ConsecutiveErrors)
		}
	}
}

// TestFailedGang checks that a gang backs off after each failure.
func TestFailedGang(t *testing.T) {
	h := newFakeHost(t)
	j := h.addJob(1)
	j.Gang, j.GangState = true, inventory.GangStarting
	a := h.manager.inventory.AddAttempt(j, 0, 1, h.addMachine(machineName), inventory.AttemptLive)
	h.manager.handleTaskFailed(a, wire.CauseError)
	if want := h.now + 2*micros.Second; j.BackoffUntil != want {
		t.Errorf("backoff until %v, want %v", j.BackoffUntil, want)
	}
}

// TestGangCompletes checks that all tasks of a gang are done after one has completed, but that attempts
// keep their resources if no task of the gang was running or if they belong to another attempt.
func TestGangCompletes(t *testing.T) {
	for _, c := range []struct {
		name   string
		ran    [2]micros.Micros
		number uint64 // of the second attempt
		second inventory.AttemptState
	}{
		{"both ran", [2]micros.Micros{1, 1}, 1, inventory.AttemptCompleted},
		{"only the first ran", [2]micros.Micros{1, 0}, 1, inventory.AttemptCompleted},
		{"only the second ran", [2]micros.Micros{0, 1}, 1, inventory.AttemptCompleted},
		{"started again after completion", [2]micros.Micros{0, 0}, 1, inventory.AttemptLive},
		{"second has another attempt number", [2]micros.Micros{1, 1}, 2, inventory.AttemptLive},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			j := h.addJob(2)
			j.Gang, j.GangState = true, inventory.GangStarting
			first := h.manager.inventory.AddAttempt(j, 0, 1, h.addMachine(machineName), inventory.AttemptLive)
			second := h.manager.inventory.AddAttempt(j, 1, c.number, h.addMachine("m-000002"), inventory.AttemptLive)
			first.RunningSince, second.RunningSince = c.ran[0], c.ran[1]
			h.manager.HandleHeartbeat(1, newHeartbeat(1, reported(1, wire.PhaseExited, wire.CauseDone)))
			if j.State != inventory.JobFinishing || j.CompletedCount != 2 || first.State != inventory.AttemptCompleted || second.State != c.second {
				t.Errorf("job %v with %d completed, attempts %v and %v", j.State, j.CompletedCount, first.State, second.State)
			}
		})
	}
}
