package standin

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
	Name    string
	Attempt uint64
	Phase   wire.TaskPhase
	Cause   wire.ExitCause
	Saved   bool
	// Told is when it was told to stop and save, 0: it was not.
	Told    micros.Micros
	until   micros.Micros
	partAt  micros.Micros // since when its gang is not whole
	waitsAt micros.Micros // since when it waits for its gang
}

// Worker runs tasks on one machine and reports.
type Worker struct {
	Machine   *CloudMachine
	CPU, Mem  float64
	Hung      bool // executes nothing, answers nothing
	Cut       bool // runs, but nothing reaches it or leaves it
	Sick      bool // fails every task
	Deaf      bool // its reports arrive, but nothing reaches it
	Mute      bool // it reaches no controller, while direct commands reach it
	Session   uint64
	Seq       uint64
	Token     uint64
	Notice    *float64
	Tasks     map[string]*Task
	Past      []*Task // exited and refused attempts of tasks that have a later or another one here
	Lease     micros.Micros
	LastSent  micros.Micros // of the last answered report
	NextAt    micros.Micros
	LastAt    micros.Micros
	Node      int
	InFlight  bool
	sentAt    micros.Micros
	Changed   bool
	hungAt    micros.Micros // since when it hangs
	tokenAt   micros.Micros // when a higher token last counted as a change
	Info      func(task string) (TaskInfo, bool)
	OnStart   func(w *Worker, task string, attempt uint64)
	OnExit    func(w *Worker, task string, cause wire.ExitCause)
	GangReady func(task string, attempt uint64) bool
	GangWhole func(task string, attempt uint64) bool // all its tasks run, or are done
	GangPeer  micros.Micros                          // after which a task notices that they do not
	GangWait  micros.Micros                          // after which a task no longer waits for its gang
	// GangTold tells when the first task of a gang's attempt was told to stop and save, and
	// whether all were.
	GangTold  func(task string, attempt uint64) (first micros.Micros, all bool)
	Completed func(task string) bool // its result is kept
}

// Report builds the worker's report.
func (w *Worker) Report() wire.Heartbeat {
	w.Seq++
	r := wire.Heartbeat{
		Machine: w.Machine.Name, Endpoint: w.Machine.Endpoint, Type: w.Machine.Type,
		Zone: w.Machine.Zone, Spot: w.Machine.Spot, AgentEpoch: w.Session, HeartbeatSeq: w.Seq, FencingToken: w.Token,
		PreemptionNoticeS: w.Notice, Tasks: []wire.TaskStatus{},
	}
	list := append([]*Task(nil), w.Past...)
	for _, n := range w.names() {
		list = append(list, w.Tasks[n])
	}
	for _, t := range list {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.Name, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Checkpointed: t.Saved})
	}
	return r
}

func (w *Worker) names() []string {
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

// goOn makes up for a hang, in which nothing made progress, and ends the lease if it ran
// out. It comes before all that the worker does, also before a command that waited while
// the machine hung.
func (w *Worker) goOn(now micros.Micros) {
	if w.hungAt != 0 {
		for _, t := range w.Tasks {
			if t.Phase != wire.PhaseExited {
				t.until += now - w.hungAt
			}
		}
		w.hungAt = 0
	}
	if now-w.LastSent <= w.Lease {
		return
	}
	for _, n := range w.names() {
		w.exit(w.Tasks[n], "killed")
	}
	w.Tasks, w.Past = map[string]*Task{}, nil
	w.Session++
	w.LastSent, w.Changed = now, true
}

// Advance lets tasks make progress and ends the lease if it ran out.
func (w *Worker) Advance(now micros.Micros) {
	if w.Hung {
		if w.hungAt == 0 {
			w.hungAt = now
		}
		return
	}
	w.goOn(now)
	for _, n := range w.names() {
		t := w.Tasks[n]
		info, _ := w.Info(n)
		switch t.Phase {
		case wire.PhaseFetching:
			if now >= t.until {
				t.Phase, t.waitsAt, w.Changed = wire.PhaseWaitingForGang, now, true
			}
		case wire.PhaseRunning:
			// Tasks of a gang complete together or not at all.
			if info.Gang && !w.GangWhole(t.Name, t.Attempt) {
				if t.partAt == 0 {
					t.partAt = now
				}
				if now-t.partAt > w.GangPeer {
					w.exit(t, wire.CauseGangMemberLost)
				}
				break
			}
			t.partAt = 0
			if now >= t.until {
				w.exit(t, wire.CauseDone)
			}
		case wire.PhaseCheckpointing:
			if now < t.until {
				break
			}
			// What a gang saves is safe once all its tasks were told in time.
			first, all := now, true
			if info.Gang {
				first, all = w.GangTold(t.Name, t.Attempt)
			}
			if all || now-first > w.GangPeer {
				t.Saved = all
				w.exit(t, wire.CauseStopped)
			}
		}
		if t.Phase != wire.PhaseWaitingForGang {
			continue
		}
		switch {
		case w.Completed(t.Name):
			w.exit(t, wire.CauseDone)
		case w.Sick || info.Fails:
			w.exit(t, wire.CauseError)
		case !info.Gang || w.GangReady(t.Name, t.Attempt):
			t.Phase, t.until, w.Changed = wire.PhaseRunning, now+info.Run, true
		case now-t.waitsAt > w.GangWait:
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
				w.Past = slices.DeleteFunc(w.Past, func(p *Task) bool { return p == t })
				if w.Tasks[c.Task] == t {
					delete(w.Tasks, c.Task)
				}
				w.Changed = true
			}
		case c.Verb == wire.VerbStop && t.Phase != wire.PhaseExited:
			info, _ := w.Info(c.Task)
			if t.Phase == wire.PhaseRunning && info.Saves && c.GraceS != nil && micros.FromSeconds(*c.GraceS) >= info.Save {
				t.Phase, t.Told, t.until, w.Changed = wire.PhaseCheckpointing, now, now+info.Save, true
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
	for _, t := range w.Past {
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
		w.Past = append(w.Past, fresh)
		return
	case !known:
		fresh.Cause = wire.CauseUnknownTask
	case cpu > w.CPU+1e-6 || mem > w.Mem+1e-6:
		fresh.Cause = wire.CauseInsufficientResources
	default:
		fresh.Phase, fresh.until = wire.PhaseFetching, now+info.Fetch
		w.OnStart(w, c.Task, c.Attempt)
	}
	if t != nil {
		w.Past = append(w.Past, t) // it is reported until it is to be forgotten
	}
	w.Tasks[c.Task] = fresh
}

// Orders executes a direct command.
func (w *Worker) Orders(now micros.Micros, body []byte) Reply {
	var o wire.CommandsRequest
	if wire.Decode(body, &o) != nil || o.FencingToken == 0 || o.AgentEpoch == 0 {
		return reply(400, wire.ErrorResponse{Error: "orders"})
	}
	w.goOn(now)
	if o.FencingToken < w.Token || o.AgentEpoch != w.Session {
		return reply(409, w.Report())
	}
	w.sawToken(now, o.FencingToken)
	w.Execute(now, o.Commands)
	return reply(200, w.Report())
}

// sawToken stores a higher token, which counts as a change once in half a lease.
func (w *Worker) sawToken(now micros.Micros, token uint64) {
	if token <= w.Token {
		return
	}
	w.Token = token
	if w.tokenAt == 0 || now-w.tokenAt >= w.Lease/2 {
		w.tokenAt, w.Changed = now, true
	}
}

// Due tells whether the worker reports now.
func (w *Worker) Due(now micros.Micros) bool {
	if w.Hung || w.InFlight {
		return false
	}
	return now >= w.NextAt || w.Changed && now >= w.LastAt+500*micros.Millisecond
}

// Sent notes that a report was sent.
func (w *Worker) Sent(now, every micros.Micros) {
	w.InFlight, w.sentAt, w.LastAt, w.NextAt, w.Changed = true, now, now, now+every, false
}

// Answered takes the response to a report; status 0: none came.
func (w *Worker) Answered(now micros.Micros, status int, body []byte, session uint64, nodeOf func(string) (int, bool), nodes int) {
	w.InFlight = false
	if !w.Hung {
		w.goOn(now)
	}
	next := func() {
		w.Node, w.NextAt = (w.Node+1)%nodes, now+micros.Second
	}
	switch status {
	case 200:
		var a wire.HeartbeatResponse
		if wire.Decode(body, &a) != nil || a.FencingToken == 0 || a.FencingToken < w.Token || session != w.Session {
			return
		}
		w.sawToken(now, a.FencingToken)
		w.LastSent = w.sentAt
		w.Execute(now, a.Commands)
	case 421:
		var r wire.Redirect
		wire.Decode(body, &r)
		if n, ok := nodeOf(r.HeartbeatNode); ok && n != w.Node {
			w.Node, w.NextAt = n, now
			return
		}
		next()
	default:
		next()
	}
}
