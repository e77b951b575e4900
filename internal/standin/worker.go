package standin

import (
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
	Cause   wire.Cause
	Saved   bool
	until   micros.Micros
	partAt  micros.Micros // since when its gang is not whole
}

// Worker runs tasks on one machine and reports.
type Worker struct {
	Machine   *CloudMachine
	CPU, Mem  float64
	Hung      bool // executes nothing, answers nothing
	Cut       bool // runs, but nothing reaches it or leaves it
	Sick      bool // fails every task
	Deaf      bool // its reports arrive, but nothing reaches it
	Session   uint64
	Seq       uint64
	Token     uint64
	Notice    *float64
	Tasks     map[string]*Task
	Lease     micros.Micros
	LastSent  micros.Micros // of the last answered report
	NextAt    micros.Micros
	LastAt    micros.Micros
	Node      int
	InFlight  bool
	sentAt    micros.Micros
	Changed   bool
	Info      func(task string) (TaskInfo, bool)
	OnStart   func(w *Worker, task string, attempt uint64)
	OnExit    func(w *Worker, task string, cause wire.Cause)
	GangReady func(task string, attempt uint64) bool
	GangWhole func(task string, attempt uint64) bool // all its tasks run, or are done
	GangPeer  micros.Micros                          // after which a task notices that they do not
}

// Report builds the worker's report.
func (w *Worker) Report() wire.Report {
	w.Seq++
	r := wire.Report{
		Machine: w.Machine.Name, Endpoint: Endpoint(w.Machine.Name), Type: w.Machine.Type,
		Zone: w.Machine.Zone, Spot: w.Machine.Spot, Session: w.Session, Seq: w.Seq, Token: w.Token,
		NoticeS: w.Notice, Tasks: []wire.TaskReport{},
	}
	for _, n := range w.names() {
		t := w.Tasks[n]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.Name, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved})
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

// Advance lets tasks make progress and ends the lease if it ran out.
func (w *Worker) Advance(now micros.Micros) {
	if w.Hung {
		return
	}
	if now-w.LastSent > w.Lease {
		for _, n := range w.names() {
			w.exit(w.Tasks[n], "killed")
		}
		w.Tasks = map[string]*Task{}
		w.Session++
		w.LastSent, w.Changed = now, true
	}
	for _, n := range w.names() {
		t := w.Tasks[n]
		info, _ := w.Info(n)
		switch t.Phase {
		case wire.PhaseFetching:
			if now >= t.until {
				t.Phase, w.Changed = wire.PhaseWaiting, true
			}
		case wire.PhaseRunning:
			// Tasks of a gang complete together or not at all.
			if info.Gang && !w.GangWhole(t.Name, t.Attempt) {
				if t.partAt == 0 {
					t.partAt = now
				}
				if now-t.partAt > w.GangPeer {
					w.exit(t, wire.CausePeers)
				}
				break
			}
			t.partAt = 0
			if now >= t.until {
				w.exit(t, wire.CauseDone)
			}
		case wire.PhaseSaving:
			if now >= t.until {
				t.Saved = true
				w.exit(t, wire.CauseStopped)
			}
		}
		if t.Phase != wire.PhaseWaiting {
			continue
		}
		switch {
		case w.Sick || info.Fails:
			w.exit(t, wire.CauseError)
		case !info.Gang || w.GangReady(t.Name, t.Attempt):
			t.Phase, t.until, w.Changed = wire.PhaseRunning, now+info.Run, true
		}
	}
}

func (w *Worker) exit(t *Task, cause wire.Cause) {
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
		t := w.Tasks[c.Task]
		switch {
		case c.Verb == wire.VerbStart:
			w.start(now, t, c)
		case t == nil || t.Attempt != c.Attempt:
		case c.Verb == wire.VerbForget:
			if t.Phase == wire.PhaseExited {
				delete(w.Tasks, c.Task)
			}
		case c.Verb == wire.VerbStop && t.Phase != wire.PhaseExited:
			info, _ := w.Info(c.Task)
			if t.Phase == wire.PhaseRunning && info.Saves && c.GraceS != nil && micros.FromSeconds(*c.GraceS) >= info.Save {
				t.Phase, t.until, w.Changed = wire.PhaseSaving, now+info.Save, true
			} else if t.Phase != wire.PhaseSaving || c.GraceS == nil || *c.GraceS == 0 {
				w.exit(t, wire.CauseStopped)
			}
		}
	}
}

func (w *Worker) start(now micros.Micros, t *Task, c wire.Command) {
	if t != nil && t.Attempt == c.Attempt {
		return
	}
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
		return // another attempt is here: the start is refused
	case !known:
		fresh.Cause = wire.CauseUnknown
	case cpu > w.CPU+1e-6 || mem > w.Mem+1e-6:
		fresh.Cause = wire.CauseNoRoom
	default:
		fresh.Phase, fresh.until = wire.PhaseFetching, now+info.Fetch
		w.OnStart(w, c.Task, c.Attempt)
	}
	w.Tasks[c.Task] = fresh
}

// Orders executes a direct command.
func (w *Worker) Orders(now micros.Micros, body []byte) Reply {
	var o wire.Orders
	if wire.Decode(body, &o) != nil || o.Token == 0 || o.Session == 0 {
		return reply(400, wire.Problem{Error: "orders"})
	}
	if o.Token < w.Token || o.Session != w.Session {
		return reply(409, w.Report())
	}
	w.sawToken(o.Token)
	w.Execute(now, o.Commands)
	return reply(200, w.Report())
}

func (w *Worker) sawToken(token uint64) {
	if token > w.Token {
		w.Token, w.Changed = token, true
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
	next := func() {
		w.Node, w.NextAt = (w.Node+1)%nodes, now+micros.Second
	}
	switch status {
	case 200:
		var a wire.ReportAnswer
		if wire.Decode(body, &a) != nil || a.Token < w.Token || session != w.Session {
			return
		}
		w.sawToken(a.Token)
		w.LastSent = w.sentAt
		w.Execute(now, a.Commands)
	case 421:
		var r wire.Redirect
		wire.Decode(body, &r)
		if n, ok := nodeOf(r.ReportTo); ok && n != w.Node {
			w.Node, w.NextAt = n, now
			return
		}
		next()
	default:
		next()
	}
}
