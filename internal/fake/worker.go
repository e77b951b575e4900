package fake

import (
	"slices"
	"sort"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TaskInfo is what a worker learns of a task from its user's upload.
type TaskInfo struct {
	CPU, Mem float64
	Run      micros.Micros
	Fetch    micros.Micros
	Save     micros.Micros
	Saves    bool
	Gang     bool
	Tasks    int
	Fails    bool
}

// Task is a task on a worker.
type Task struct {
	Name         string
	Attempt      uint64
	Phase        wire.TaskPhase
	Cause        wire.ExitCause
	Checkpointed bool
	// StopRequestedAt is when it was told to stop and save, 0: it was not.
	StopRequestedAt     micros.Micros
	phaseEndsAt         micros.Micros
	gangIncompleteSince micros.Micros // since when its gang is not whole
	gangWaitSince       micros.Micros // since when it waits for its gang
}

// Worker runs tasks on one machine and reports.
type Worker struct {
	Machine               *CloudMachine
	CPU, Mem              float64
	Hung                  bool // executes nothing, answers nothing
	Partitioned           bool // runs, but nothing reaches it or leaves it
	FailsTasks            bool // fails every task
	InboundBlocked        bool // its reports arrive, but nothing reaches it
	HeartbeatsBlocked     bool // it reaches no controller, while direct commands reach it
	AgentEpoch            uint64
	HeartbeatSeq          uint64
	FencingToken          uint64
	Notice                *float64
	Tasks                 map[string]*Task
	PastAttempts          []*Task // exited and refused attempts of tasks that have a later or another one here
	Lease                 micros.Micros
	LastAnsweredHeartbeat micros.Micros // of the last answered report
	NextHeartbeat         micros.Micros
	LastAt                micros.Micros
	Node                  int
	InFlight              bool
	heartbeatSentAt       micros.Micros
	Changed               bool
	hungSince             micros.Micros // since when it hangs
	tokenChangedAt        micros.Micros // when a higher token last counted as a change
	Info                  func(task string) (TaskInfo, bool)
	OnStart               func(w *Worker, task string, attempt uint64)
	OnExit                func(w *Worker, task string, cause wire.ExitCause)
	GangReady             func(task string, attempt uint64) bool
	GangComplete          func(task string, attempt uint64) bool // all its tasks run, or are done
	GangPeerTimeout       micros.Micros                          // after which a task notices that they do not
	GangWaitTimeout       micros.Micros                          // after which a task no longer waits for its gang
	// GangStopRequested tells when the first task of a gang's attempt was told to stop and save, and
	// whether all were.
	GangStopRequested func(task string, attempt uint64) (first micros.Micros, all bool)
	Completed         func(task string) bool // its result is kept
}

// BuildHeartbeat builds the worker's report.
func (w *Worker) BuildHeartbeat() wire.Heartbeat {
	w.HeartbeatSeq++
	r := wire.Heartbeat{
		Machine: w.Machine.Name, Endpoint: w.Machine.Endpoint, Type: w.Machine.Type,
		Zone: w.Machine.Zone, Spot: w.Machine.Spot, AgentEpoch: w.AgentEpoch, HeartbeatSeq: w.HeartbeatSeq, FencingToken: w.FencingToken,
		PreemptionNoticeS: w.Notice, Tasks: []wire.TaskStatus{},
	}
	list := append([]*Task(nil), w.PastAttempts...)
	for _, n := range w.taskNames() {
		list = append(list, w.Tasks[n])
	}
	for _, t := range list {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.Name, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Checkpointed: t.Checkpointed})
	}
	return r
}

func (w *Worker) taskNames() []string {
	var names []string
	for n := range w.Tasks {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Live tells whether a task is on the machine in any state but exited.
func (w *Worker) Live(name string) bool {
	t := w.Tasks[name]
	return t != nil && t.Phase != wire.PhaseExited
}

// resume makes up for a hang, in which nothing made progress, and ends the lease if it ran
// out. It comes before all that the worker does, also before a command that waited while
// the machine hung.
func (w *Worker) resume(now micros.Micros) {
	if w.hungSince != 0 {
		for _, t := range w.Tasks {
			if t.Phase != wire.PhaseExited {
				t.phaseEndsAt += now - w.hungSince
			}
		}
		w.hungSince = 0
	}
	if now-w.LastAnsweredHeartbeat <= w.Lease {
		return
	}
	for _, n := range w.taskNames() {
		w.exit(w.Tasks[n], "killed")
	}
	w.Tasks, w.PastAttempts = map[string]*Task{}, nil
	w.AgentEpoch++
	w.LastAnsweredHeartbeat, w.Changed = now, true
}

// Advance lets tasks make progress and ends the lease if it ran out.
func (w *Worker) Advance(now micros.Micros) {
	if w.Hung {
		if w.hungSince == 0 {
			w.hungSince = now
		}
		return
	}
	w.resume(now)
	for _, n := range w.taskNames() {
		t := w.Tasks[n]
		info, _ := w.Info(n)
		switch t.Phase {
		case wire.PhaseFetching:
			if now >= t.phaseEndsAt {
				t.Phase, t.gangWaitSince, w.Changed = wire.PhaseWaitingForGang, now, true
			}
		case wire.PhaseRunning:
			// Tasks of a gang complete together or not at all.
			if info.Gang && !w.GangComplete(t.Name, t.Attempt) {
				if t.gangIncompleteSince == 0 {
					t.gangIncompleteSince = now
				}
				if now-t.gangIncompleteSince > w.GangPeerTimeout {
					w.exit(t, wire.CauseGangMemberLost)
				}
				break
			}
			t.gangIncompleteSince = 0
			if now >= t.phaseEndsAt {
				w.exit(t, wire.CauseDone)
			}
		case wire.PhaseCheckpointing:
			if now < t.phaseEndsAt {
				break
			}
			// What a gang saves is safe once all its tasks were told in time.
			first, all := now, true
			if info.Gang {
				first, all = w.GangStopRequested(t.Name, t.Attempt)
			}
			if all || now-first > w.GangPeerTimeout {
				t.Checkpointed = all
				w.exit(t, wire.CauseStopped)
			}
		}
		if t.Phase != wire.PhaseWaitingForGang {
			continue
		}
		switch {
		case w.Completed(t.Name):
			w.exit(t, wire.CauseDone)
		case w.FailsTasks || info.Fails:
			w.exit(t, wire.CauseError)
		case !info.Gang || w.GangReady(t.Name, t.Attempt):
			t.Phase, t.phaseEndsAt, w.Changed = wire.PhaseRunning, now+info.Run, true
		case now-t.gangWaitSince > w.GangWaitTimeout:
			w.exit(t, wire.CauseAlone)
		}
	}
}

func (w *Worker) exit(t *Task, cause wire.ExitCause) {
	if t.Phase != wire.PhaseExited {
		t.Phase, t.Cause, w.Changed = wire.PhaseExited, cause, true
		w.OnExit(w, t.Name, cause)
	}
}

// Complete ends a running task as done: tasks of a gang complete together.
func (w *Worker) Complete(t *Task) { w.exit(t, wire.CauseDone) }

// Execute carries out commands in order.
func (w *Worker) Execute(now micros.Micros, cmds []wire.Command) {
	for _, c := range cmds {
		t := w.find(c.Task, c.Attempt)
		switch {
		case c.Verb == wire.VerbStart:
			if t == nil {
				w.start(now, w.Tasks[c.Task], c)
			}
		case t == nil:
		case c.Verb == wire.VerbForget:
			if t.Phase == wire.PhaseExited {
				w.PastAttempts = slices.DeleteFunc(w.PastAttempts, func(p *Task) bool { return p == t })
				if w.Tasks[c.Task] == t {
					delete(w.Tasks, c.Task)
				}
				w.Changed = true
			}
		case c.Verb == wire.VerbStop && t.Phase != wire.PhaseExited:
			info, _ := w.Info(c.Task)
			if t.Phase == wire.PhaseRunning && info.Saves && c.GraceS != nil && micros.FromSeconds(*c.GraceS) >= info.Save {
				t.Phase, t.StopRequestedAt, t.phaseEndsAt, w.Changed = wire.PhaseCheckpointing, now, now+info.Save, true
			} else if t.Phase != wire.PhaseCheckpointing || c.GraceS == nil || *c.GraceS == 0 {
				w.exit(t, wire.CauseStopped)
			}
		}
	}
}

// find looks up an attempt of a task in any state, refused and exited included.
func (w *Worker) find(task string, attempt uint64) *Task {
	if t := w.Tasks[task]; t != nil && t.Attempt == attempt {
		return t
	}
	for _, t := range w.PastAttempts {
		if t.Name == task && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

// start starts an attempt that the worker does not know; t is another of the same task.
func (w *Worker) start(now micros.Micros, t *Task, c wire.Command) {
	fresh := &Task{Name: c.Task, Attempt: c.Attempt, Phase: wire.PhaseExited}
	info, known := w.Info(c.Task)
	cpu, mem := info.CPU, info.Mem
	for n, o := range w.Tasks {
		if o.Phase != wire.PhaseExited {
			i, _ := w.Info(n)
			cpu, mem = cpu+i.CPU, mem+i.Mem
		}
	}
	w.Changed = true
	switch {
	case t != nil && t.Phase != wire.PhaseExited:
		fresh.Cause = wire.CauseBusy // another attempt is here
		w.PastAttempts = append(w.PastAttempts, fresh)
		return
	case !known:
		fresh.Cause = wire.CauseUnknownTask
	case cpu > w.CPU+1e-6 || mem > w.Mem+1e-6:
		fresh.Cause = wire.CauseInsufficientResources
	default:
		fresh.Phase, fresh.phaseEndsAt = wire.PhaseFetching, now+info.Fetch
		w.OnStart(w, c.Task, c.Attempt)
	}
	if t != nil {
		w.PastAttempts = append(w.PastAttempts, t) // it is reported until it is to be forgotten
	}
	w.Tasks[c.Task] = fresh
}

// ExecuteDirect executes a direct command.
func (w *Worker) ExecuteDirect(now micros.Micros, body []byte) Response {
	var o wire.CommandsRequest
	if wire.Decode(body, &o) != nil || o.FencingToken == 0 || o.AgentEpoch == 0 {
		return newResponse(400, wire.ErrorResponse{Error: "orders"})
	}
	w.resume(now)
	if o.FencingToken < w.FencingToken || o.AgentEpoch != w.AgentEpoch {
		return newResponse(409, w.BuildHeartbeat())
	}
	w.observeFencingToken(now, o.FencingToken)
	w.Execute(now, o.Commands)
	return newResponse(200, w.BuildHeartbeat())
}

// observeFencingToken stores a higher token, which counts as a change once in half a lease.
func (w *Worker) observeFencingToken(now micros.Micros, token uint64) {
	if token <= w.FencingToken {
		return
	}
	w.FencingToken = token
	if w.tokenChangedAt == 0 || now-w.tokenChangedAt >= w.Lease/2 {
		w.tokenChangedAt, w.Changed = now, true
	}
}

// HeartbeatDue tells whether the worker reports now.
func (w *Worker) HeartbeatDue(now micros.Micros) bool {
	if w.Hung || w.InFlight {
		return false
	}
	return now >= w.NextHeartbeat || w.Changed && now >= w.LastAt+500*micros.Millisecond
}

// HeartbeatSent notes that a report was sent.
func (w *Worker) HeartbeatSent(now, every micros.Micros) {
	w.InFlight, w.heartbeatSentAt, w.LastAt, w.NextHeartbeat, w.Changed = true, now, now, now+every, false
}

// HandleHeartbeatResponse takes the response to a report; status 0: none came.
func (w *Worker) HandleHeartbeatResponse(now micros.Micros, status int, body []byte, session uint64, nodeOf func(string) (int, bool), nodes int) {
	w.InFlight = false
	if !w.Hung {
		w.resume(now)
	}
	next := func() {
		w.Node, w.NextHeartbeat = (w.Node+1)%nodes, now+micros.Second
	}
	switch status {
	case 200:
		var a wire.HeartbeatResponse
		if wire.Decode(body, &a) != nil || a.FencingToken == 0 || a.FencingToken < w.FencingToken || session != w.AgentEpoch {
			return
		}
		w.observeFencingToken(now, a.FencingToken)
		w.LastAnsweredHeartbeat = w.heartbeatSentAt
		w.Execute(now, a.Commands)
	case 421:
		var r wire.Redirect
		wire.Decode(body, &r)
		if n, ok := nodeOf(r.HeartbeatNode); ok && n != w.Node {
			w.Node, w.NextHeartbeat = n, now
			return
		}
		next()
	default:
		next()
	}
}
