package controller

import (
	"cmp"
	"slices"
	"strings"
	"testing"

	"tamarindlead/internal/ordered"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// workerFaults are troubles of reports, direct commands, machines and leaders.
type workerFaults struct {
	taskStagger            map[string]micros.Micros // by how much each task of a job takes longer than the one before
	duplicateHeartbeatRate float64                  // of the reports, of which copies come late
	replayToNextOwner      bool                     // the copies are kept for the next owner
	replayHeartbeats       []savedHeartbeat         // those copies
	delayNextOf            []string                 // the next reports of these machines are held back
	delayedHeartbeats      []savedHeartbeat         // until a new owner has acted
	capturedHeartbeats     [][]byte                 // reports that come again when asked for
	commandDelayRate       float64                  // of the direct commands, held up on the way there or back
	minCommandDelay        micros.Micros
	commandDelay           micros.Micros
	delayRequestOnly       bool          // only on the way there
	commitDelay            micros.Micros // of commits
	owners                 map[int]any
	acting                 map[int]any
}

type savedHeartbeat struct{ body []byte }

const maxSavedHeartbeats = 64 // copies for the next owner

// setTaskStagger has each task of a job take longer than the one before it.
func (w *simulation) setTaskStagger(id string, step micros.Micros) {
	if step > 0 {
		if w.taskStagger == nil {
			w.taskStagger = map[string]micros.Micros{}
		}
		w.taskStagger[id] = step
	}
}

// randomDuration draws a time.
func (w *simulation) randomDuration(low, high micros.Micros) micros.Micros {
	return low + micros.Micros(w.rng.Int64N(int64(max(1, high-low))))
}

// deliverHeartbeat brings a worker's report to a node; nobody waits for the answer.
func (w *simulation) deliverHeartbeat(node int, body []byte) {
	w.sendRequest(w.nodes[node], Request{Method: "POST", Path: PathHeartbeat, Body: body}, micros.Second, func(Respond) {})
}

// duplicateHeartbeat makes the copies of a report that come later. It returns true if the report
// itself does not arrive now.
func (w *simulation) duplicateHeartbeat(k *fake.Worker, body []byte) bool {
	if w.duplicateHeartbeatRate > 0 && w.rng.Float64() < w.duplicateHeartbeatRate {
		if w.replayToNextOwner {
			if w.replayHeartbeats = append(w.replayHeartbeats, savedHeartbeat{body}); len(w.replayHeartbeats) > maxSavedHeartbeats {
				w.replayHeartbeats = w.replayHeartbeats[1:]
			}
		} else {
			to := w.rng.IntN(len(w.nodes))
			w.after(w.randomDuration(2*micros.Second, 2*w.cfg.WorkerLease), func() { w.deliverHeartbeat(to, body) })
		}
	}
	i := slices.Index(w.delayNextOf, k.Machine.Name)
	if i < 0 {
		return false
	}
	w.delayNextOf = slices.Delete(w.delayNextOf, i, i+1)
	w.delayedHeartbeats = append(w.delayedHeartbeats, savedHeartbeat{body})
	return true
}

// replayToLeader delivers what was kept for a new owner: copies to every controller as it begins
// and again as it becomes active, a report that was held back once it has acted.
func (w *simulation) replayToLeader() {
	if w.owners == nil {
		w.owners, w.acting = map[int]any{}, map[int]any{}
	}
	copies := func() {
		for _, r := range w.replayHeartbeats {
			for i := range w.nodes {
				w.deliverHeartbeat(i, r.body)
			}
		}
	}
	for i, n := range w.nodes {
		o, active := n.ownership()
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
			w.replayHeartbeats = nil
			for _, r := range w.delayedHeartbeats {
				w.after(4*micros.Second, func() { w.deliverHeartbeat(i, r.body) })
			}
			w.delayedHeartbeats = nil
		}
	}
}

// delayCommand holds up a direct command, or its answer. It returns how to answer, or nil if the
// command comes later.
func (w *simulation) delayCommand(c Call, answer func(fake.Response)) func(fake.Response) {
	if w.commandDelayRate == 0 || w.rng.Float64() >= w.commandDelayRate {
		return answer
	}
	wait := w.randomDuration(w.minCommandDelay, w.commandDelay)
	if w.delayRequestOnly || w.rng.IntN(2) == 0 {
		k := w.workers[strings.TrimPrefix(c.Addr, "worker:")]
		w.after(wait, func() { w.executeWhenResumed(k, c, answer) })
		return nil
	}
	return func(r fake.Response) { w.after(wait, func() { answer(r) }) }
}

// executeWhenResumed executes a command that was held up on its way, once the machine goes on.
func (w *simulation) executeWhenResumed(k *fake.Worker, c Call, answer func(fake.Response)) {
	switch {
	case k.Machine.Gone:
	case k.Hung || k.Partitioned:
		w.after(simulationStep, func() { w.executeWhenResumed(k, c, answer) })
	case c.Target == "/inspect":
		answer(fake.Response{Status: 200, Body: wire.Encode(k.BuildHeartbeat())})
	default:
		answer(k.ExecuteDirect(w.now, c.Body))
	}
}

// afterCommitDelay executes a commit later while commits lag.
func (w *simulation) afterCommitDelay(c Call, do func()) {
	if w.commitDelay == 0 || c.Target != "/commit" {
		do()
		return
	}
	w.after(w.randomDuration(w.commitDelay/2, w.commitDelay), do)
}

// selectMachines lists the machines that a command names by count, share or zone, those with the
// most tasks first; nil: it names none so.
func (w *simulation) selectMachines(t *testing.T, d *datadriven.TestData) []string {
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

// withoutSelectors is a command's arguments without those of chosen.
func withoutSelectors(d *datadriven.TestData) []datadriven.CmdArg {
	return slices.DeleteFunc(slices.Clone(d.CmdArgs), func(a datadriven.CmdArg) bool {
		return a.Key == "count" || a.Key == "share" || a.Key == "zone"
	})
}

// runWorkerFaultCommand executes a scenario's command of these troubles; false: it is none.
func runWorkerFaultCommand(t *testing.T, w *simulation, d *datadriven.TestData, during func(func())) bool {
	switch d.Cmd {
	case "late-reports":
		w.duplicateHeartbeatRate, w.replayToNextOwner = argNumber(t, d, "share", 0), d.HasArg("for-next")
		during(func() { w.duplicateHeartbeatRate = 0 })
	case "hold-report":
		w.delayNextOf = append(w.delayNextOf, arg(t, d, "machine", w.workerNames()[0]))
	case "capture-reports":
		w.capturedHeartbeats = nil
		for _, n := range w.workerNames() {
			w.capturedHeartbeats = append(w.capturedHeartbeats, wire.Encode(w.workers[n].BuildHeartbeat()))
		}
	case "replay-reports": // at all nodes, again and again
		for at := micros.Micros(0); at < argSeconds(t, d, "for", 10); at += 50 * micros.Millisecond {
			w.after(at, func() {
				for _, body := range w.capturedHeartbeats {
					for i := range w.nodes {
						w.deliverHeartbeat(i, body)
					}
				}
			})
		}
	case "slow-commands":
		w.commandDelayRate, w.delayRequestOnly = argNumber(t, d, "share", 1), d.HasArg("there")
		w.minCommandDelay, w.commandDelay = argSeconds(t, d, "from", 1), argSeconds(t, d, "by", 8)
		during(func() { w.commandDelayRate = 0 })
	case "slow-writes":
		w.commitDelay = argSeconds(t, d, "s", 0)
		during(func() { w.commitDelay = 0 })
	case "fast-boot":
		w.cloud.BootTime = func(micros.Micros) micros.Micros { return w.randomDuration(micros.Second/2, 2*micros.Second) }
		during(func() { w.cloud.BootTime = nil })
	case "cancel-now":
		w.cancelDuringFaults(arg(t, d, "count", 1), argSeconds(t, d, "hang", 0), d.HasArg("cut"))
	case "change-leader":
		times := arg(t, d, "times", 10)
		every := argSeconds(t, d, "within", 120) / micros.Micros(times)
		for i := range times {
			w.after(every*micros.Micros(i)+w.randomDuration(0, every/4), func() { w.changeLeader(i, every) })
		}
	default:
		return false
	}
	return true
}

// maxHungMachines is how many machines of cancelled jobs hang.
const maxHungMachines = 8

// cancelDuringFaults has users cancel running jobs within a fifth of a second; some of their machines
// hang, or are cut off.
func (w *simulation) cancelDuringFaults(count int, hang micros.Micros, cut bool) {
	var jobs []string
	for task := range w.running {
		if id, _, _ := wire.SplitTaskName(task); !w.cancelRequested[id] && !slices.Contains(jobs, id) {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	jobs = jobs[:min(count, len(jobs))]
	hung := map[string]bool{}
	for _, task := range ordered.Keys(w.running) {
		id, _, _ := wire.SplitTaskName(task)
		name := w.running[task]
		if hang == 0 || !slices.Contains(jobs, id) || hung[name] || len(hung) == maxHungMachines {
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
		w.after(w.randomDuration(0, micros.Second/5), func() { w.cancel(id, w.rng.IntN(len(w.nodes))) })
	}
}

// changeLeader takes the lead from whoever has it: it ends for a moment or for longer, or is
// cut off, or loses the state service and its siblings, in turn.
func (w *simulation) changeLeader(turn int, every micros.Micros) {
	i := w.leader()
	if i < 0 {
		return
	}
	n := w.nodes[i]
	switch turn % 4 {
	case 0:
		w.crash(n, micros.Second/5)
	case 1:
		n.partitioned, n.delaysOutbound = true, true
		w.after(every*3/4, func() { n.partitioned = false })
	case 2:
		n.onlyWorkersReachable = true
		w.after(every*3/4, func() { n.onlyWorkersReachable = false })
	case 3:
		w.crash(n, every/2)
	}
}

// countCancelledRunning counts the tasks on machines whose users were told that they are cancelled.
func (w *simulation) countCancelledRunning() int {
	n := 0
	for task := range w.running {
		if id, _, _ := wire.SplitTaskName(task); w.cancelled[id] > 0 {
			n++
		}
	}
	return n
}
