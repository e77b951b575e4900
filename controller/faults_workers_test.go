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
	delayNextHeartbeatOf   []string                 // the next reports of these machines are held back
	delayedHeartbeats      []savedHeartbeat         // until a new owner has acted
	capturedHeartbeats     [][]byte                 // reports that come again when asked for
	commandDelayRate       float64                  // of the direct commands, held up on the way there or back
	minCommandDelay        micros.Micros
	commandDelay           micros.Micros
	delayRequestOnly       bool          // only on the way there
	commitDelay            micros.Micros // of commits
	owners                 map[int]any
	activeOwners           map[int]any
}

type savedHeartbeat struct{ body []byte }

const maxSavedHeartbeats = 64 // copies for the next owner

// setTaskStagger has each task of a job take longer than the one before it.
func (sim *simulation) setTaskStagger(id string, step micros.Micros) {
	if step > 0 {
		if sim.taskStagger == nil {
			sim.taskStagger = map[string]micros.Micros{}
		}
		sim.taskStagger[id] = step
	}
}

// randomDuration draws a time.
func (sim *simulation) randomDuration(low, high micros.Micros) micros.Micros {
	return low + micros.Micros(sim.rng.Int64N(int64(max(1, high-low))))
}

// sendHeartbeatCopy brings a worker's report to a node; nobody waits for the answer.
func (sim *simulation) sendHeartbeatCopy(node int, body []byte) {
	sim.sendRequest(sim.nodes[node], Request{Method: "POST", Path: PathHeartbeat, Body: body}, micros.Second, func(Respond) {})
}

// duplicateHeartbeat makes the copies of a report that come later. It returns true if the report
// itself does not arrive now.
func (sim *simulation) duplicateHeartbeat(worker *fake.Worker, body []byte) bool {
	if sim.duplicateHeartbeatRate > 0 && sim.rng.Float64() < sim.duplicateHeartbeatRate {
		if sim.replayToNextOwner {
			if sim.replayHeartbeats = append(sim.replayHeartbeats, savedHeartbeat{body}); len(sim.replayHeartbeats) > maxSavedHeartbeats {
				sim.replayHeartbeats = sim.replayHeartbeats[1:]
			}
		} else {
			to := sim.rng.IntN(len(sim.nodes))
			sim.after(sim.randomDuration(2*micros.Second, 2*sim.cfg.WorkerLease), func() { sim.sendHeartbeatCopy(to, body) })
		}
	}
	i := slices.Index(sim.delayNextHeartbeatOf, worker.Machine.Name)
	if i < 0 {
		return false
	}
	sim.delayNextHeartbeatOf = slices.Delete(sim.delayNextHeartbeatOf, i, i+1)
	sim.delayedHeartbeats = append(sim.delayedHeartbeats, savedHeartbeat{body})
	return true
}

// replayToNewOwners delivers what was kept for a new owner: copies to every controller as it begins
// and again as it becomes active, a report that was held back once it has acted.
func (sim *simulation) replayToNewOwners() {
	if sim.owners == nil {
		sim.owners, sim.activeOwners = map[int]any{}, map[int]any{}
	}
	copies := func() {
		for _, r := range sim.replayHeartbeats {
			for i := range sim.nodes {
				sim.sendHeartbeatCopy(i, r.body)
			}
		}
	}
	for i, node := range sim.nodes {
		o, active := node.ownership()
		if o == nil {
			sim.owners[i], sim.activeOwners[i] = nil, nil
			continue
		}
		if sim.owners[i] != o {
			sim.owners[i] = o
			copies()
		}
		if active && sim.activeOwners[i] != o {
			sim.activeOwners[i] = o
			copies()
			sim.replayHeartbeats = nil
			for _, r := range sim.delayedHeartbeats {
				sim.after(4*micros.Second, func() { sim.sendHeartbeatCopy(i, r.body) })
			}
			sim.delayedHeartbeats = nil
		}
	}
}

// delayCommand holds up a direct command, or its answer. It returns how to answer, or nil if the
// command comes later.
func (sim *simulation) delayCommand(call Call, answer func(fake.Response)) func(fake.Response) {
	if sim.commandDelayRate == 0 || sim.rng.Float64() >= sim.commandDelayRate {
		return answer
	}
	wait := sim.randomDuration(sim.minCommandDelay, sim.commandDelay)
	if sim.delayRequestOnly || sim.rng.IntN(2) == 0 {
		worker := sim.workers[strings.TrimPrefix(call.Addr, "worker:")]
		sim.after(wait, func() { sim.executeWhenResumed(worker, call, answer) })
		return nil
	}
	return func(response fake.Response) { sim.after(wait, func() { answer(response) }) }
}

// executeWhenResumed executes a command that was held up on its way, once the machine goes on.
func (sim *simulation) executeWhenResumed(worker *fake.Worker, call Call, answer func(fake.Response)) {
	switch {
	case worker.Machine.Gone:
	case worker.Hung || worker.Partitioned:
		sim.after(simulationStep, func() { sim.executeWhenResumed(worker, call, answer) })
	case call.Target == "/inspect":
		answer(fake.Response{Status: 200, Body: wire.Encode(worker.BuildHeartbeat())})
	default:
		answer(worker.ExecuteDirect(sim.now, call.Body))
	}
}

// afterCommitDelay executes a commit later while commits lag.
func (sim *simulation) afterCommitDelay(call Call, do func()) {
	if sim.commitDelay == 0 || call.Target != "/commit" {
		do()
		return
	}
	sim.after(sim.randomDuration(sim.commitDelay/2, sim.commitDelay), do)
}

// selectMachines lists the machines that a command names by count, share or zone, those with the
// most tasks first; nil: it names none so.
func (sim *simulation) selectMachines(t *testing.T, d *datadriven.TestData) []string {
	if !d.HasArg("count") && !d.HasArg("share") && !d.HasArg("zone") {
		return nil
	}
	var names []string
	for _, n := range sim.workerNames() {
		machine := sim.workers[n].Machine
		if !machine.Gone && (!d.HasArg("zone") || machine.Zone == arg(t, d, "zone", "")) {
			names = append(names, n)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return -cmp.Compare(len(sim.workers[a].Tasks), len(sim.workers[b].Tasks))
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
func runWorkerFaultCommand(t *testing.T, sim *simulation, d *datadriven.TestData, during func(func())) bool {
	switch d.Cmd {
	case "late-reports":
		sim.duplicateHeartbeatRate, sim.replayToNextOwner = argNumber(t, d, "share", 0), d.HasArg("for-next")
		during(func() { sim.duplicateHeartbeatRate = 0 })
	case "hold-report":
		sim.delayNextHeartbeatOf = append(sim.delayNextHeartbeatOf, arg(t, d, "machine", sim.workerNames()[0]))
	case "capture-reports":
		sim.capturedHeartbeats = nil
		for _, n := range sim.workerNames() {
			sim.capturedHeartbeats = append(sim.capturedHeartbeats, wire.Encode(sim.workers[n].BuildHeartbeat()))
		}
	case "replay-reports": // at all nodes, again and again
		for at := micros.Micros(0); at < argSeconds(t, d, "for", 10); at += 50 * micros.Millisecond {
			sim.after(at, func() {
				for _, body := range sim.capturedHeartbeats {
					for i := range sim.nodes {
						sim.sendHeartbeatCopy(i, body)
					}
				}
			})
		}
	case "slow-commands":
		sim.commandDelayRate, sim.delayRequestOnly = argNumber(t, d, "share", 1), d.HasArg("there")
		sim.minCommandDelay, sim.commandDelay = argSeconds(t, d, "from", 1), argSeconds(t, d, "by", 8)
		during(func() { sim.commandDelayRate = 0 })
	case "slow-writes":
		sim.commitDelay = argSeconds(t, d, "s", 0)
		during(func() { sim.commitDelay = 0 })
	case "fast-boot":
		sim.cloud.BootTime = func(micros.Micros) micros.Micros { return sim.randomDuration(micros.Second/2, 2*micros.Second) }
		during(func() { sim.cloud.BootTime = nil })
	case "cancel-now":
		sim.cancelDuringFaults(arg(t, d, "count", 1), argSeconds(t, d, "hang", 0), d.HasArg("cut"))
	case "change-leader":
		times := arg(t, d, "times", 10)
		every := argSeconds(t, d, "within", 120) / micros.Micros(times)
		for i := range times {
			sim.after(every*micros.Micros(i)+sim.randomDuration(0, every/4), func() { sim.changeLeader(i, every) })
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
func (sim *simulation) cancelDuringFaults(count int, hang micros.Micros, cut bool) {
	var jobs []string
	for task := range sim.runningOn {
		if id, _, _ := wire.SplitTaskName(task); !sim.cancelRequested[id] && !slices.Contains(jobs, id) {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	jobs = jobs[:min(count, len(jobs))]
	hung := map[string]bool{}
	for _, task := range ordered.Keys(sim.runningOn) {
		id, _, _ := wire.SplitTaskName(task)
		name := sim.runningOn[task]
		if hang == 0 || !slices.Contains(jobs, id) || hung[name] || len(hung) == maxHungMachines {
			continue
		}
		hung[name] = true
		worker := sim.workers[name]
		if cut {
			worker.Partitioned = true
			sim.after(hang, func() { worker.Partitioned = false })
			continue
		}
		worker.Hung = true
		sim.after(hang, func() { worker.Hung = false })
	}
	for _, id := range jobs {
		sim.after(sim.randomDuration(0, micros.Second/5), func() { sim.cancel(id, sim.rng.IntN(len(sim.nodes))) })
	}
}

// changeLeader takes the lead from whoever has it: it ends for a moment or for longer, or is
// cut off, or loses the state service and its siblings, in turn.
func (sim *simulation) changeLeader(turn int, every micros.Micros) {
	i := sim.leader()
	if i < 0 {
		return
	}
	node := sim.nodes[i]
	switch turn % 4 {
	case 0:
		sim.crash(node, micros.Second/5)
	case 1:
		node.partitioned, node.delaysOutbound = true, true
		sim.after(every*3/4, func() { node.partitioned = false })
	case 2:
		node.onlyWorkersReachable = true
		sim.after(every*3/4, func() { node.onlyWorkersReachable = false })
	case 3:
		sim.crash(node, every/2)
	}
}

// countCancelledRunning counts the tasks on machines whose users were told that they are cancelled.
func (sim *simulation) countCancelledRunning() int {
	n := 0
	for task := range sim.runningOn {
		if id, _, _ := wire.SplitTaskName(task); sim.acknowledgedCancellations[id] > 0 {
			n++
		}
	}
	return n
}
