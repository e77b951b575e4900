package fake

import (
	"maps"
	"slices"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Worker is a fake of the agent of one machine: it executes commands, runs tasks and sends
// heartbeats.
type Worker struct {
	Machine           *CloudMachine
	CPU, Mem          float64
	Hung              bool // it executes nothing and sends nothing
	Partitioned       bool // it runs tasks, but no message reaches or leaves it
	FailsTasks        bool // every task fails
	InboundBlocked    bool // its heartbeats arrive, but neither responses nor direct commands reach it
	HeartbeatsBlocked bool // its heartbeats do not arrive, but direct commands reach it
	AgentEpoch        uint64
	HeartbeatSeq      uint64
	FencingToken      uint64
	PreemptionNotice  *float64 // seconds until the cloud preempts the machine; nil: no notice
	Tasks             map[string]*Task
	PastAttempts      []*Task // exited and refused attempts of tasks that have another attempt in Tasks

	Lease                 micros.Micros // tasks are killed if LastAnsweredHeartbeat is older than this
	LastAnsweredHeartbeat micros.Micros // when the last answered heartbeat was sent, or the worker (re)started after it
	NextHeartbeat         micros.Micros
	Controller            int  // index of the controller that receives its heartbeats
	HeartbeatInFlight     bool // a heartbeat has not been answered yet
	Changed               bool // a change must be reported, even before NextHeartbeat

	// Info returns what the user uploaded about a task. OnStart is called when the worker starts a
	// task, and OnExit when a task exits.
	Info    func(task string) (TaskInfo, bool)
	OnStart func(w *Worker, task string, attempt uint64)
	OnExit  func(w *Worker, task string, cause wire.ExitCause)
	// GangReady reports whether all tasks of a gang's attempt have fetched their image, and
	// GangComplete whether all of them are running, saving a checkpoint or completed.
	GangReady    func(task string, attempt uint64) bool
	GangComplete func(task string, attempt uint64) bool
	// GangPeerTimeout is how long a running task tolerates an incomplete gang, and GangWaitTimeout
	// how long a task waits for the start of its gang.
	GangPeerTimeout micros.Micros
	GangWaitTimeout micros.Micros
	// GangStopRequested returns the time of the first stop request with a grace period to a task of
	// a gang's attempt, and whether all its tasks have received one.
	GangStopRequested func(task string, attempt uint64) (first micros.Micros, all bool)
	Completed         func(task string) bool // reports whether a task's result is stored

	heartbeatSentAt micros.Micros // time at which the last heartbeat was sent
	hungSince       micros.Micros // start of the current hang, 0: it does not hang
	tokenChangedAt  micros.Micros // time at which a higher fencing token last set Changed
}

// taskNames returns the names of all tasks in ascending order.
func (w *Worker) taskNames() []string { return slices.Sorted(maps.Keys(w.Tasks)) }

// IsLive reports whether a task is on the machine and has not exited.
func (w *Worker) IsLive(name string) bool {
	t := w.Tasks[name]
	return t != nil && t.Phase != wire.PhaseExited
}

// Advance moves tasks to their next phases, and restarts the worker if its lease has expired. A hung
// worker makes no progress: only the start of the hang is recorded.
func (w *Worker) Advance(now micros.Micros) {
	if w.Hung {
		if w.hungSince == 0 {
			w.hungSince = now
		}
		return
	}
	w.resume(now)
	for _, name := range w.taskNames() {
		w.advanceTask(now, w.Tasks[name])
	}
}

// resume extends the phases of tasks by the duration of a hang, during which nothing made progress, and
// restarts the worker if its lease has expired. It must be called before anything else that the worker
// does, including the execution of commands that were sent during the hang.
func (w *Worker) resume(now micros.Micros) {
	if w.hungSince != 0 {
		for _, t := range w.Tasks {
			if t.Phase != wire.PhaseExited {
				t.phaseEndsAt += now - w.hungSince
			}
		}
		w.hungSince = 0
	}
	if now-w.LastAnsweredHeartbeat > w.Lease {
		w.restart(now)
	}
}

// restart kills all tasks and begins a new agent epoch.
func (w *Worker) restart(now micros.Micros) {
	for _, name := range w.taskNames() {
		w.exit(w.Tasks[name], causeKilled)
	}
	w.Tasks, w.PastAttempts = map[string]*Task{}, nil
	w.AgentEpoch++
	w.LastAnsweredHeartbeat, w.Changed = now, true
}

// observeFencingToken stores a higher token. It sets Changed at most once per half of the lease.
func (w *Worker) observeFencingToken(now micros.Micros, token uint64) {
	if token <= w.FencingToken {
		return
	}
	w.FencingToken = token
	if w.tokenChangedAt == 0 || now-w.tokenChangedAt >= w.Lease/2 {
		w.tokenChangedAt, w.Changed = now, true
	}
}
