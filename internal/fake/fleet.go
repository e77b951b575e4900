package fake

import (
	"slices"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// FleetTimeouts are the times of the workers of a deployment.
type FleetTimeouts struct {
	Lease           micros.Micros
	GangPeerTimeout micros.Micros
	GangWaitTimeout micros.Micros
}

// Fleet is the workers of a deployment. It knows which tasks completed, and has the tasks of a
// gang start and complete together.
type Fleet struct {
	Timeouts FleetTimeouts
	Workers  map[string]*Worker
	Done     map[string]bool // tasks that completed
	// Info tells what users uploaded about a task.
	Info func(task string) (TaskInfo, bool)
	// OnStart is called when a worker starts a task, OnExit when a task has left its machine,
	// and OnDone when a task has completed.
	OnStart func(w *Worker, task string, attempt uint64)
	OnExit  func(w *Worker, task string, cause wire.ExitCause)
	OnDone  func(task string)
}

// NewFleet returns a fleet without workers. Its functions must be set before a worker boots.
func NewFleet(times FleetTimeouts) *Fleet {
	return &Fleet{Timeouts: times, Workers: map[string]*Worker{}, Done: map[string]bool{}}
}

// Boot adds the worker of a machine that is up. It reports first to the given controller.
func (f *Fleet) Boot(m *CloudMachine, t wire.MachineType, node int, now micros.Micros) *Worker {
	w := &Worker{
		Machine: m, CPU: t.CPUs, Mem: t.MemGB, AgentEpoch: 1, Tasks: map[string]*Task{},
		Lease: f.Timeouts.Lease, LastAnsweredHeartbeat: now, Changed: true, Node: node, NextHeartbeat: now,
		Info: f.Info, OnStart: f.OnStart, OnExit: f.taskExited,
		GangReady: f.gangReady, GangComplete: f.gangComplete, GangStopRequested: f.gangStopRequested,
		GangPeerTimeout: f.Timeouts.GangPeerTimeout, GangWaitTimeout: f.Timeouts.GangWaitTimeout,
		Completed: func(task string) bool { return f.Done[task] },
	}
	f.Workers[m.Name] = w
	return w
}

// Names returns the names of all workers in order.
func (f *Fleet) Names() []string {
	names := make([]string, 0, len(f.Workers))
	for name := range f.Workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// taskExited notes that a task has left its machine. If one task of a gang is done, all are.
func (f *Fleet) taskExited(w *Worker, task string, cause wire.ExitCause) {
	f.OnExit(w, task, cause)
	if cause != wire.CauseDone {
		return
	}
	f.Done[task] = true
	f.OnDone(task)
	if info, _ := f.Info(task); info.Gang {
		f.completeGang(task, w.Tasks[task].Attempt)
	}
}

// completeGang completes the running tasks of the gang that a task belongs to.
func (f *Fleet) completeGang(task string, attempt uint64) {
	id, _, _ := wire.SplitTaskName(task)
	info, _ := f.Info(task)
	for _, name := range f.Names() {
		mate := f.Workers[name]
		if mate.Machine.Gone {
			continue
		}
		for i := range info.Tasks {
			t := mate.Tasks[wire.TaskName(id, i)]
			if t != nil && t.Phase == wire.PhaseRunning && t.Attempt == attempt {
				mate.Complete(t)
			}
		}
	}
}

// gangReady tells whether all tasks of a gang's attempt have their image.
func (f *Fleet) gangReady(task string, attempt uint64) bool {
	return f.allOfGang(task, attempt, func(_ *Worker, t *Task) bool {
		return t.Phase == wire.PhaseWaitingForGang || t.Phase == wire.PhaseRunning
	})
}

// gangComplete tells whether all tasks of a gang's attempt make progress, save or are done.
func (f *Fleet) gangComplete(task string, attempt uint64) bool {
	return f.allOfGang(task, attempt, func(w *Worker, t *Task) bool {
		return !w.Hung && (t.Phase == wire.PhaseRunning || t.Phase == wire.PhaseCheckpointing || t.Cause == wire.CauseDone)
	})
}

// allOfGang tells whether something holds for all tasks of a gang's attempt.
func (f *Fleet) allOfGang(task string, attempt uint64, holds func(*Worker, *Task) bool) bool {
	info, _ := f.Info(task)
	n := 0
	f.forEachGangTask(task, attempt, func(w *Worker, t *Task) {
		if holds(w, t) {
			n++
		}
	})
	return n == info.Tasks
}

// gangStopRequested tells when the first task of a gang's attempt was told to stop and save, and whether
// all were.
func (f *Fleet) gangStopRequested(task string, attempt uint64) (first micros.Micros, all bool) {
	all = f.allOfGang(task, attempt, func(_ *Worker, t *Task) bool {
		if t.StopRequestedAt != 0 && (first == 0 || t.StopRequestedAt < first) {
			first = t.StopRequestedAt
		}
		return t.StopRequestedAt != 0 && (t.Phase == wire.PhaseCheckpointing || t.Cause == wire.CauseStopped)
	})
	return first, all
}

// forEachGangTask visits the tasks of a gang's attempt that are on machines.
func (f *Fleet) forEachGangTask(task string, attempt uint64, visit func(*Worker, *Task)) {
	id, _, _ := wire.SplitTaskName(task)
	for _, w := range f.Workers {
		if w.Machine.Gone {
			continue
		}
		for name, t := range w.Tasks {
			if other, _, _ := wire.SplitTaskName(name); other == id && t.Attempt == attempt {
				visit(w, t)
			}
		}
	}
}
