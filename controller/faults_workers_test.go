package controller

import (
	"cmp"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// workerFaults are troubles of reports, direct commands, machines and leaders.
type workerFaults struct {
	apart     map[string]micros.Micros // by how much each task of a job takes longer than the one before
	lateShare float64                  // of the reports, of which copies come late
	forNext   bool                     // the copies are kept for the next owner
	kept      []keptReport             // those copies
	holdOf    []string                 // the next reports of these machines are held back
	held      []keptReport             // until a new owner has acted
	captured  [][]byte                 // reports that come again when asked for
	slowShare float64                  // of the direct commands, held up on the way there or back
	slowFrom  micros.Micros
	slowBy    micros.Micros
	slowThere bool          // only on the way there
	lag       micros.Micros // of commits
	owners    map[int]any
	acting    map[int]any
}

type keptReport struct{ body []byte }

const mostKept = 64 // copies for the next owner

// noteApart has each task of a job take longer than the one before it.
func (w *world) noteApart(id string, step micros.Micros) {
	if step > 0 {
		if w.apart == nil {
			w.apart = map[string]micros.Micros{}
		}
		w.apart[id] = step
	}
}

// between draws a time.
func (w *world) between(low, high micros.Micros) micros.Micros {
	return low + micros.Micros(w.rng.Int64N(int64(max(1, high-low))))
}

// deliver brings a worker's report to a node; nobody waits for the answer.
func (w *world) deliver(node int, body []byte) {
	w.ask(w.nodes[node], Request{Method: "POST", Path: PathHeartbeat, Body: body}, micros.Second, func(Respond) {})
}

// keepCopies makes the copies of a report that come later. It returns true if the report
// itself does not arrive now.
func (w *world) keepCopies(k *fake.Worker, body []byte) bool {
	if w.lateShare > 0 && w.rng.Float64() < w.lateShare {
		if w.forNext {
			if w.kept = append(w.kept, keptReport{body}); len(w.kept) > mostKept {
				w.kept = w.kept[1:]
			}
		} else {
			to := w.rng.IntN(len(w.nodes))
			w.after(w.between(2*micros.Second, 2*w.cfg.WorkerLease), func() { w.deliver(to, body) })
		}
	}
	i := slices.Index(w.holdOf, k.Machine.Name)
	if i < 0 {
		return false
	}
	w.holdOf = slices.Delete(w.holdOf, i, i+1)
	w.held = append(w.held, keptReport{body})
	return true
}

// noteLeader delivers what was kept for a new owner: copies to every controller as it begins
// and again as it becomes active, a report that was held back once it has acted.
func (w *world) noteLeader() {
	if w.owners == nil {
		w.owners, w.acting = map[int]any{}, map[int]any{}
	}
	copies := func() {
		for _, r := range w.kept {
			for i := range w.nodes {
				w.deliver(i, r.body)
			}
		}
	}
	for i, n := range w.nodes {
		o, active := n.owns()
		if o == nil {
			w.owners[i], w.acting[i] = nil, nil
			continue
		}
		if w.owners[i] != o {
			w.owners[i] = o
			copies()
		}
		if active && w.acting[i] != o {
			w.acting[i] = o
			copies()
			w.kept = nil
			for _, r := range w.held {
				w.after(4*micros.Second, func() { w.deliver(i, r.body) })
			}
			w.held = nil
		}
	}
}

// heldUp holds up a direct command, or its answer. It returns how to answer, or nil if the
// command comes later.
func (w *world) heldUp(n *simNode, c Call, answer func(fake.Response)) func(fake.Response) {
	if w.slowShare == 0 || w.rng.Float64() >= w.slowShare {
		return answer
	}
	wait := w.between(w.slowFrom, w.slowBy)
	if w.slowThere || w.rng.IntN(2) == 0 {
		k := w.workers[strings.TrimPrefix(c.Addr, "worker:")]
		w.after(wait, func() { w.toWorker(k, c, answer) })
		return nil
	}
	return func(r fake.Response) { w.after(wait, func() { answer(r) }) }
}

// toWorker executes a command that was held up on its way, once the machine goes on.
func (w *world) toWorker(k *fake.Worker, c Call, answer func(fake.Response)) {
	switch {
	case k.Machine.Gone:
	case k.Hung || k.Partitioned:
		w.after(worldStep, func() { w.toWorker(k, c, answer) })
	case c.Target == "/inspect":
		answer(fake.Response{Status: 200, Body: wire.Encode(k.BuildHeartbeat())})
	default:
		answer(k.ExecuteDirect(w.now, c.Body))
	}
}

// afterLag executes a commit later while commits lag.
func (w *world) afterLag(c Call, do func()) {
	if w.lag == 0 || c.Target != "/commit" {
		do()
		return
	}
	w.after(w.between(w.lag/2, w.lag), do)
}

// chosen lists the machines that a command names by count, share or zone, those with the
// most tasks first; nil: it names none so.
func (w *world) chosen(t *testing.T, d *datadriven.TestData) []string {
	if !d.HasArg("count") && !d.HasArg("share") && !d.HasArg("zone") {
		return nil
	}
	var names []string
	for _, n := range w.workerNames() {
		m := w.workers[n].Machine
		if !m.Gone && (!d.HasArg("zone") || m.Zone == arg(t, d, "zone", "")) {
			names = append(names, n)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return -cmp.Compare(len(w.workers[a].Tasks), len(w.workers[b].Tasks))
	})
	n := len(names)
	if d.HasArg("share") {
		n = int(argNumber(t, d, "share", 1)*float64(n) + 0.5)
	}
	n = min(n, arg(t, d, "count", n))
	if n == 0 {
		d.Fatalf(t, "no such machine")
	}
	return names[:n]
}

// withoutChoice is a command's arguments without those of chosen.
func withoutChoice(d *datadriven.TestData) []datadriven.CmdArg {
	return slices.DeleteFunc(slices.Clone(d.CmdArgs), func(a datadriven.CmdArg) bool {
		return a.Key == "count" || a.Key == "share" || a.Key == "zone"
	})
}

// workerFaultCommand executes a scenario's command of these troubles; false: it is none.
func workerFaultCommand(t *testing.T, w *world, d *datadriven.TestData, during func(func())) bool {
	switch d.Cmd {
	case "late-reports":
		w.lateShare, w.forNext = argNumber(t, d, "share", 0), d.HasArg("for-next")
		during(func() { w.lateShare = 0 })
	case "hold-report":
		w.holdOf = append(w.holdOf, arg(t, d, "machine", w.workerNames()[0]))
	case "capture-reports":
		w.captured = nil
		for _, n := range w.workerNames() {
			w.captured = append(w.captured, wire.Encode(w.workers[n].BuildHeartbeat()))
		}
	case "replay-reports": // at all nodes, again and again
		for at := micros.Micros(0); at < argSeconds(t, d, "for", 10); at += 50 * micros.Millisecond {
			w.after(at, func() {
				for _, body := range w.captured {
					for i := range w.nodes {
						w.deliver(i, body)
					}
				}
			})
		}
	case "slow-commands":
		w.slowShare, w.slowThere = argNumber(t, d, "share", 1), d.HasArg("there")
		w.slowFrom, w.slowBy = argSeconds(t, d, "from", 1), argSeconds(t, d, "by", 8)
		during(func() { w.slowShare = 0 })
	case "slow-writes":
		w.lag = argSeconds(t, d, "s", 0)
		during(func() { w.lag = 0 })
	case "fast-boot":
		w.cloud.BootTime = func(micros.Micros) micros.Micros { return w.between(micros.Second/2, 2*micros.Second) }
		during(func() { w.cloud.BootTime = nil })
	case "cancel-now":
		w.cancelNow(arg(t, d, "count", 1), argSeconds(t, d, "hang", 0), d.HasArg("cut"))
	case "change-leader":
		times := arg(t, d, "times", 10)
		every := argSeconds(t, d, "within", 120) / micros.Micros(times)
		for i := range times {
			w.after(every*micros.Micros(i)+w.between(0, every/4), func() { w.changeLeader(i, every) })
		}
	default:
		return false
	}
	return true
}

// mostHung is how many machines of cancelled jobs hang.
const mostHung = 8

// cancelNow has users cancel running jobs within a fifth of a second; some of their machines
// hang, or are cut off.
func (w *world) cancelNow(count int, hang micros.Micros, cut bool) {
	var jobs []string
	for task := range w.running {
		if id, _, _ := wire.SplitTaskName(task); !w.wantsEnd[id] && !slices.Contains(jobs, id) {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	jobs = jobs[:min(count, len(jobs))]
	hung := map[string]bool{}
	for _, task := range sortedKeys(w.running) {
		id, _, _ := wire.SplitTaskName(task)
		name := w.running[task]
		if hang == 0 || !slices.Contains(jobs, id) || hung[name] || len(hung) == mostHung {
			continue
		}
		hung[name] = true
		k := w.workers[name]
		if cut {
			k.Partitioned = true
			w.after(hang, func() { k.Partitioned = false })
			continue
		}
		k.Hung = true
		w.after(hang, func() { k.Hung = false })
	}
	for _, id := range jobs {
		w.after(w.between(0, micros.Second/5), func() { w.cancel(id, w.rng.IntN(len(w.nodes))) })
	}
}

// changeLeader takes the lead from whoever has it: it ends for a moment or for longer, or is
// cut off, or loses the state service and its siblings, in turn.
func (w *world) changeLeader(turn int, every micros.Micros) {
	i := w.leader()
	if i < 0 {
		return
	}
	n := w.nodes[i]
	switch turn % 4 {
	case 0:
		w.crash(n, micros.Second/5)
	case 1:
		n.cut, n.hold = true, true
		w.after(every*3/4, func() { n.cut = false })
	case 2:
		n.alone = true
		w.after(every*3/4, func() { n.alone = false })
	case 3:
		w.crash(n, every/2)
	}
}

// cancelledRunning counts the tasks on machines whose users were told that they are cancelled.
func (w *world) cancelledRunning() int {
	n := 0
	for task := range w.running {
		if id, _, _ := wire.SplitTaskName(task); w.cancelled[id] > 0 {
			n++
		}
	}
	return n
}
