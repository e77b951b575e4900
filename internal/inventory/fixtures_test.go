package inventory

import (
	"fmt"
	"log/slog"
	"testing"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// recordingHost is a Host that records its calls.
type recordingHost struct {
	now   micros.Micros
	calls []string
}

func (h *recordingHost) Now() micros.Micros { return h.now }

func (h *recordingHost) EntryChanged(m *Machine) { h.calls = append(h.calls, "entry of "+m.Name) }

func (h *recordingHost) CompletionUnrecorded(j *Job, chunk int) {
	h.calls = append(h.calls, fmt.Sprintf("completion in chunk %d of %s", chunk, j.ID))
}

func (h *recordingHost) AttemptClosed(*Attempt) {}

func (h *recordingHost) CommandsNeeded(m *Machine) {
	h.calls = append(h.calls, "commands for "+m.Name)
}

// taskNeed is the need of each task of the jobs that addJob adds.
var taskNeed = sched.NewResources(2, 0, 4)

// newTestInventory returns an inventory with team red, machine m-1 and no jobs.
func newTestInventory(t *testing.T) (*Inventory, *recordingHost, *Machine) {
	t.Helper()
	host := &recordingHost{now: micros.Hour}
	inv := New(host, slog.New(slog.DiscardHandler))
	inv.Teams["red"] = &Team{}
	m := inv.AddMachine(&Block{Name: "b"}, MachineInfo{Name: "m-1", Type: "mid", Zone: "a"}, sched.NewResources(28, 0, 112))
	inv.SetMachineState(m, MachineReady, "test")
	host.calls, inv.SchedulingNeeded = nil, false
	return inv, host, m
}

// addJob adds a job of team red to the queue.
func addJob(inv *Inventory, id string, tasks int, gang bool) *Job {
	j := NewJob(&sched.Job{ID: id, Team: "red", Tasks: tasks, Need: taskNeed, Gang: gang, Image: "img"}, 1, 0)
	inv.Jobs[id] = j
	inv.QueueJob(j)
	return j
}
