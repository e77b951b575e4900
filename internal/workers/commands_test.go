package workers

import (
	"reflect"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestCommands checks the commands for a machine with one attempt, by the attempt's state and the
// reported tasks.
func TestCommands(t *testing.T) {
	stop := func(attempt uint64, seconds float64) []wire.Command {
		return []wire.Command{{Verb: wire.VerbStop, Task: wire.TaskName(jobID, 0), Attempt: attempt, GraceS: &seconds}}
	}
	start := []wire.Command{{Verb: wire.VerbStart, Task: wire.TaskName(jobID, 0), Attempt: 1}}
	forget := []wire.Command{{Verb: wire.VerbForget, Task: wire.TaskName(jobID, 0), Attempt: 2}}
	unchanged := func(*inventory.Machine, *inventory.Attempt) {}
	for _, c := range []struct {
		name   string
		state  inventory.AttemptState
		tasks  []wire.TaskStatus
		change func(m *inventory.Machine, a *inventory.Attempt)
		want   []wire.Command
	}{
		{"recorded, not reported", inventory.AttemptRecorded, nil, unchanged, start},
		{"recorded, gang not completely placed", inventory.AttemptRecorded, nil, func(_ *inventory.Machine, a *inventory.Attempt) {
			a.Job.Gang, a.Job.GangState = true, inventory.GangPlacing
		}, nil},
		{"recorded, another attempt runs", inventory.AttemptRecorded, []wire.TaskStatus{reported(2, wire.PhaseRunning, "")}, unchanged, stop(2, 0)},
		{"recorded, another attempt has exited", inventory.AttemptRecorded, []wire.TaskStatus{reported(2, wire.PhaseExited, "")}, unchanged, append(forget[:1:1], start...)},
		{"another attempt has exited, commands in flight", inventory.AttemptRecorded, []wire.TaskStatus{reported(2, wire.PhaseExited, "")}, func(m *inventory.Machine, _ *inventory.Attempt) {
			m.CommandsInFlight = true
		}, nil},
		{"another attempt has exited, fencing needed", inventory.AttemptRecorded, []wire.TaskStatus{reported(2, wire.PhaseExited, "")}, func(m *inventory.Machine, _ *inventory.Attempt) {
			m.Fencing = inventory.FencingNeeded
		}, nil},
		{"stopping, reported", inventory.AttemptStopping, []wire.TaskStatus{reported(1, wire.PhaseRunning, "")}, func(_ *inventory.Machine, a *inventory.Attempt) {
			a.GracePeriod, a.HeartbeatSeen = 2*micros.Second, true
		}, stop(1, 2)},
		{"stopping, exited", inventory.AttemptStopping, []wire.TaskStatus{reported(1, wire.PhaseExited, "")}, func(_ *inventory.Machine, a *inventory.Attempt) {
			a.HeartbeatSeen = true
		}, nil},
		{"stopping, start in flight", inventory.AttemptStopping, nil, unchanged, stop(1, 0)},
		{"starting, job has ended", inventory.AttemptStarting, nil, func(_ *inventory.Machine, a *inventory.Attempt) {
			a.Job.State = inventory.JobEnded
		}, stop(1, 0)},
		{"live", inventory.AttemptLive, []wire.TaskStatus{reported(1, wire.PhaseRunning, "")}, unchanged, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t)
			m := h.addMachine(machineName)
			a := h.manager.inventory.AddAttempt(h.addJob(1), 0, 1, m, c.state)
			m.ReportedTasks = c.tasks
			c.change(m, a)
			if got := h.manager.commands(m); !reflect.DeepEqual(got, c.want) {
				t.Errorf("commands %+v, want %+v", got, c.want)
			}
			if len(h.violations) != 0 {
				t.Errorf("violations %q, want none", h.violations)
			}
		})
	}
}
