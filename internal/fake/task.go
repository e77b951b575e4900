package fake

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// causeKilled is the exit cause of a task whose worker's lease expired. No controller ever receives
// it, since the worker restarts without tasks.
const causeKilled wire.ExitCause = "killed"

// TaskInfo is what a worker learns about a task from its user's upload. Its fields are part of the
// format of dumps.
type TaskInfo struct {
	CPU, Mem float64
	Run      micros.Micros // run time
	Fetch    micros.Micros // time to fetch the image
	Save     micros.Micros // time to save a checkpoint
	Saves    bool          // it can save checkpoints
	Gang     bool
	Tasks    int  // number of tasks of the job
	Fails    bool // it fails at its start
}

// Task is an attempt of a task on a worker.
type Task struct {
	Name                string
	Attempt             uint64
	Phase               wire.TaskPhase
	Cause               wire.ExitCause
	Checkpointed        bool
	StopRequestedAt     micros.Micros // time of the request to save a checkpoint and stop, 0: none
	phaseEndsAt         micros.Micros
	gangIncompleteSince micros.Micros // 0: its gang is complete
	gangWaitSince       micros.Micros // time at which PhaseWaitingForGang began
}

// advanceTask moves a task to its next phase if the current one is over.
func (w *Worker) advanceTask(now micros.Micros, t *Task) {
	info, _ := w.Info(t.Name)
	switch t.Phase {
	case wire.PhaseFetching:
		w.advanceFetching(now, t)
	case wire.PhaseRunning:
		w.advanceRunning(now, t, info)
	case wire.PhaseCheckpointing:
		w.advanceCheckpointing(now, t, info)
	case wire.PhaseWaitingForGang, wire.PhaseExited:
	}
	// A task that has just fetched its image may start in the same step.
	if t.Phase == wire.PhaseWaitingForGang {
		w.advanceWaiting(now, t, info)
	}
}

func (w *Worker) advanceFetching(now micros.Micros, t *Task) {
	if now >= t.phaseEndsAt {
		t.Phase, t.gangWaitSince, w.Changed = wire.PhaseWaitingForGang, now, true
	}
}

// advanceRunning completes a task after its run time. Tasks of a gang complete together or not at
// all: a task exits if its gang stays incomplete for too long.
func (w *Worker) advanceRunning(now micros.Micros, t *Task, info TaskInfo) {
	if info.Gang && !w.GangComplete(t.Name, t.Attempt) {
		if t.gangIncompleteSince == 0 {
			t.gangIncompleteSince = now
		}
		if now-t.gangIncompleteSince > w.GangPeerTimeout {
			w.exit(t, wire.CauseGangMemberLost)
		}
		return
	}
	t.gangIncompleteSince = 0
	if now >= t.phaseEndsAt {
		w.exit(t, wire.CauseDone)
	}
}

// advanceCheckpointing stops a task that has saved its checkpoint. The checkpoint of a gang is valid
// only if all its tasks receive the stop request within GangPeerTimeout of the first one.
func (w *Worker) advanceCheckpointing(now micros.Micros, t *Task, info TaskInfo) {
	if now < t.phaseEndsAt {
		return
	}
	firstRequest, all := now, true
	if info.Gang {
		firstRequest, all = w.GangStopRequested(t.Name, t.Attempt)
	}
	if all || now-firstRequest > w.GangPeerTimeout {
		t.Checkpointed = all
		w.exit(t, wire.CauseStopped)
	}
}

// advanceWaiting starts a task that has fetched its image when its gang is ready. The task exits if the
// gang is not ready within GangWaitTimeout.
func (w *Worker) advanceWaiting(now micros.Micros, t *Task, info TaskInfo) {
	switch {
	case w.Completed(t.Name):
		w.exit(t, wire.CauseDone)
	case w.FailsTasks || info.Fails:
		w.exit(t, wire.CauseError)
	case !info.Gang || w.GangReady(t.Name, t.Attempt):
		t.Phase, t.phaseEndsAt, w.Changed = wire.PhaseRunning, now+info.Run, true
	case now-t.gangWaitSince > w.GangWaitTimeout:
		w.exit(t, wire.CauseGangStartTimeout)
	}
}

// Complete makes a running task exit as done. The fleet calls it because the tasks of a gang complete
// together.
func (w *Worker) Complete(t *Task) { w.exit(t, wire.CauseDone) }

// exit makes a task exit, unless it has already exited.
func (w *Worker) exit(t *Task, cause wire.ExitCause) {
	if t.Phase == wire.PhaseExited {
		return
	}
	t.Phase, t.Cause, w.Changed = wire.PhaseExited, cause, true
	w.OnExit(w, t.Name, cause)
}
