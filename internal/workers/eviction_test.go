package workers

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestReclaimNotice checks which attempts are evicted from a spot machine that is reclaimed in 30 s. The
// estimated run time is 100 s.
func TestReclaimNotice(t *testing.T) {
	for _, c := range []struct {
		name    string
		elapsed micros.Micros // 0 if the attempt is not running
		change  func(j *inventory.Job)
		want    inventory.AttemptState
	}{
		{"not running yet", 0, nil, inventory.AttemptStopping},
		{"not expected to complete", 20 * micros.Second, nil, inventory.AttemptStopping},
		{"has run for the time until the reclaim", 30 * micros.Second, nil, inventory.AttemptLive},
		{"expected to complete", 71 * micros.Second, nil, inventory.AttemptLive},
		{"has checkpoints, expected to complete", 71 * micros.Second, func(j *inventory.Job) { j.CheckpointInterval = micros.Second }, inventory.AttemptLive},
		{"has checkpoints, not expected to complete", 70 * micros.Second, func(j *inventory.Job) { j.CheckpointInterval = micros.Second }, inventory.AttemptStopping},
		{"gang, not expected to complete", 20 * micros.Second, func(j *inventory.Job) { j.Gang, j.GangState = true, inventory.GangStarting }, inventory.AttemptStopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := h.addMachine(machineName)
			j := h.addJob(2)
			if c.change != nil {
				c.change(j)
			}
			a := h.manager.inventory.AddAttempt(j, 0, 1, m, inventory.AttemptLive)
			phase := wire.PhaseFetching
			if c.elapsed != 0 {
				a.RunningSince, phase = h.now-c.elapsed, wire.PhaseRunning
			}
			member := h.manager.inventory.AddAttempt(j, 1, 1, h.addMachine("m-000002"), inventory.AttemptLive)
			heartbeat := newHeartbeat(1, reported(1, phase, ""))
			seconds := 30.0
			heartbeat.PreemptionNoticeS = &seconds
			h.manager.HandleHeartbeat(1, heartbeat)
			if a.State != c.want || m.State != inventory.MachineDraining || m.ReclaimAt != h.now+30*micros.Second || h.spotReclaims != 1 {
				t.Errorf("attempt %v, machine %v reclaimed at %v, %d reclaims", a.State, m.State, m.ReclaimAt, h.spotReclaims)
			}
			if stopped := member.State == inventory.AttemptStopping; stopped != j.Gang {
				t.Errorf("attempt on the other machine: %v, want stopping only for a gang", member.State)
			}
		})
	}
}

// TestReclaimNoticeRepeated checks that a repeated notice is counted once, unless a heartbeat without a
// notice came in between, which withdraws the notice.
func TestReclaimNoticeRepeated(t *testing.T) {
	h := newFakeHost(t)
	m := h.addMachine(machineName)
	seconds := 30.0
	for seq, want := range []int{1, 1, 1, 2} {
		heartbeat := newHeartbeat(uint64(seq) + 1)
		if withdrawn := seq == 2; !withdrawn {
			heartbeat.PreemptionNoticeS = &seconds
		}
		h.manager.HandleHeartbeat(uint64(seq), heartbeat)
		if h.spotReclaims != want || (m.ReclaimAt == 0) != (seq == 2) {
			t.Errorf("heartbeat %d: %d reclaims counted, reclaimed at %v; want 1, 1, 1, 2 reclaims and no time only after the third heartbeat", seq+1, h.spotReclaims, m.ReclaimAt)
		}
	}
}

// TestRemainingRunTime checks the estimated remaining run time of an attempt.
func TestRemainingRunTime(t *testing.T) {
	for _, c := range []struct {
		name                    string
		estimate, elapsed, want micros.Micros
	}{
		{"not running yet", 100 * micros.Second, 0, 100 * micros.Second},
		{"half done", 100 * micros.Second, 50 * micros.Second, 50 * micros.Second},
		{"nearly done", 100 * micros.Second, 99 * micros.Second, 99 * micros.Second / 4},
		{"overdue", 100 * micros.Second, 400 * micros.Second, 100 * micros.Second},
		{"short", 2 * micros.Second, 1500 * micros.Millisecond, micros.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			h.estimatedRunTime = c.estimate
			a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, h.addMachine(machineName), inventory.AttemptLive)
			if c.elapsed != 0 {
				a.RunningSince = h.now - c.elapsed
			}
			if got := h.manager.RemainingRunTime(a); got != c.want {
				t.Errorf("remaining %v, want %v", got, c.want)
			}
		})
	}
}
