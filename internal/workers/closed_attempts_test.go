package workers

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
)

// TestRestartedAttemptsAreCounted checks which reports of a closed attempt count as another start of it.
func TestRestartedAttemptsAreCounted(t *testing.T) {
	running, exited := reported(1, wire.PhaseRunning, ""), reported(1, wire.PhaseExited, wire.CauseError)
	for _, c := range []struct {
		name      string
		lastPhase wire.TaskPhase // before the attempt was closed
		reports   []wire.TaskStatus
		want      int
	}{
		{"still exited", wire.PhaseExited, []wire.TaskStatus{exited}, 0},
		{"started again", wire.PhaseExited, []wire.TaskStatus{reported(1, wire.PhaseFetching, ""), running, exited}, 1},
		{"started again twice", wire.PhaseExited, []wire.TaskStatus{running, exited, running}, 2},
		{"another attempt", wire.PhaseExited, []wire.TaskStatus{reported(2, wire.PhaseRunning, "")}, 0},
		{"closed before its exit", wire.PhaseRunning, []wire.TaskStatus{running, exited}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, h.addMachine(machineName), inventory.AttemptRemoving)
			a.Phase = c.lastPhase
			h.manager.inventory.SetAttemptState(a, inventory.AttemptClosed)
			for i, report := range c.reports {
				h.manager.HandleHeartbeat(uint64(i), newHeartbeat(uint64(i+1), report))
			}
			if h.restartedAttempts != c.want {
				t.Errorf("%d restarted attempts, want %d", h.restartedAttempts, c.want)
			}
		})
	}
}

// TestClosedAttemptsAreBounded checks that the oldest closed attempts are dropped first.
func TestClosedAttemptsAreBounded(t *testing.T) {
	var closed closedAttempts
	key := func(number int) machineAttempt {
		return machineAttempt{machineName, inventory.AttemptKey{Number: uint64(number)}}
	}
	for number := range maxClosedAttempts + 1 {
		closed.add(key(number), 0)
	}
	if len(closed.attempts) != maxClosedAttempts || closed.observe(key(0), wire.PhaseRunning) != nil || closed.observe(key(1), wire.PhaseRunning) == nil {
		t.Errorf("%d attempts, want %d without the oldest one", len(closed.attempts), maxClosedAttempts)
	}
}
