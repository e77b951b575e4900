package fake

import (
	"maps"
	"slices"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// FleetTimeouts are the timeouts that all workers of a deployment share.
type FleetTimeouts struct {
	Lease           micros.Micros
	GangPeerTimeout micros.Micros
	GangWaitTimeout micros.Micros
}

// Fleet is the set of a deployment's workers. It records the completed tasks, and makes the tasks of
// a gang start and complete together.
type Fleet struct {
	Timeouts       FleetTimeouts
	Workers        map[string]*Worker // by machine name
	CompletedTasks map[string]bool    // names of the completed tasks
	// Info returns what the user uploaded about a task.
	Info func(task string) (TaskInfo, bool)
	// OnStart is called when a worker starts a task, OnExit when a task exits, and OnDone when a
	// task completes.
	OnStart func(w *Worker, task string, attempt uint64)
	OnExit  func(w *Worker, task string, cause wire.ExitCause)
	OnDone  func(task string)
}

// NewFleet returns a fleet without workers. Its functions must be set before a worker boots.
func NewFleet(timeouts FleetTimeouts) *Fleet {
	return &Fleet{Timeouts: timeouts, Workers: map[string]*Worker{}, CompletedTasks: map[string]bool{}}
}

// Boot adds the worker of a machine that has booted. controller is the index of the controller that
// receives its first heartbeat.
func (f *Fleet) Boot(m *CloudMachine, t wire.MachineType, controller int, now micros.Micros) *Worker {
	w := &Worker{
		Machine: m, CPU: t.CPUs, Mem: t.MemGB, AgentEpoch: 1, Tasks: map[string]*Task{},
		Lease: f.Timeouts.Lease, LastAnsweredHeartbeat: now, Changed: true, Controller: controller, NextHeartbeat: now,
		Info: f.Info, OnStart: f.OnStart, OnExit: f.taskExited,
		GangReady: f.gangReady, GangComplete: f.gangComplete, GangStopRequested: f.gangStopRequested,
		GangPeerTimeout: f.Timeouts.GangPeerTimeout, GangWaitTimeout: f.Timeouts.GangWaitTimeout,
		Completed: func(task string) bool { return f.CompletedTasks[task] },
	}
	f.Workers[m.Name] = w
	return w
}

// WorkerNames returns the names of all workers' machines in ascending order.
func (f *Fleet) WorkerNames() []string { return slices.Sorted(maps.Keys(f.Workers)) }

// taskExited records the exit of a task. If one task of a gang completes, it completes the others, too.
func (f *Fleet) taskExited(w *Worker, task string, cause wire.ExitCause) {
	f.OnExit(w, task, cause)
	if cause != wire.CauseDone {
		return
	}
	f.CompletedTasks[task] = true
	f.OnDone(task)
	if info, _ := f.Info(task); info.Gang {
		f.completeGang(task, w.Tasks[task].Attempt)
	}
}

// completeGang completes the running tasks of the gang that a task belongs to, in the order of
// machines and tasks.
func (f *Fleet) completeGang(task string, attempt uint64) {
	job, _, _ := wire.SplitTaskName(task)
	info, _ := f.Info(task)
	for _, name := range f.WorkerNames() {
		w := f.Workers[name]
		if w.Machine.Gone {
			continue
		}
		for i := range info.Tasks {
			t := w.Tasks[wire.TaskName(job, i)]
			if t != nil && t.Phase == wire.PhaseRunning && t.Attempt == attempt {
				w.Complete(t)
			}
		}
	}
}

// gangReady reports whether all tasks of a gang's attempt have fetched their image.
func (f *Fleet) gangReady(task string, attempt uint64) bool {
	return f.allOfGang(task, attempt, func(_ *Worker, t *Task) bool {
		return t.Phase == wire.PhaseWaitingForGang || t.Phase == wire.PhaseRunning
	})
}

// gangComplete reports whether all tasks of a gang's attempt are running, saving a checkpoint or
// completed. Tasks of a hung worker do not count, since they make no progress.
func (f *Fleet) gangComplete(task string, attempt uint64) bool {
	return f.allOfGang(task, attempt, func(w *Worker, t *Task) bool {
		return !w.Hung && (t.Phase == wire.PhaseRunning || t.Phase == wire.PhaseCheckpointing || t.Cause == wire.CauseDone)
	})
}

// gangStopRequested returns the time of the first stop request with a grace period to a task of a
// gang's attempt, and whether all its tasks have received one.
func (f *Fleet) gangStopRequested(task string, attempt uint64) (first micros.Micros, all bool) {
	all = f.allOfGang(task, attempt, func(_ *Worker, t *Task) bool {
		if t.StopRequestedAt == 0 {
			return false
		}
		if first == 0 || t.StopRequestedAt < first {
			first = t.StopRequestedAt
		}
		return t.Phase == wire.PhaseCheckpointing || t.Cause == wire.CauseStopped
	})
	return first, all
}

// allOfGang reports whether a condition holds for all tasks of a gang's attempt. It evaluates the
// condition for each task that is on a machine.
func (f *Fleet) allOfGang(task string, attempt uint64, holds func(*Worker, *Task) bool) bool {
	info, _ := f.Info(task)
	number := 0
	f.forEachGangTask(task, attempt, func(w *Worker, t *Task) {
		if holds(w, t) {
			number++
		}
	})
	return number == info.Tasks
}

// forEachGangTask calls visit for each task of a gang's attempt that is on a machine, in no
// particular order.
func (f *Fleet) forEachGangTask(task string, attempt uint64, visit func(*Worker, *Task)) {
	job, _, _ := wire.SplitTaskName(task)
	for _, w := range f.Workers {
		if w.Machine.Gone {
			continue
		}
		for name, t := range w.Tasks {
			if other, _, _ := wire.SplitTaskName(name); other == job && t.Attempt == attempt {
				visit(w, t)
			}
		}
	}
}
