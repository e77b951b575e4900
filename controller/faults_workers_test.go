package controller

import (
	"cmp"
	"slices"
	"strings"

	"tamarindlead/internal/ordered"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// workerFaults are troubles of reports, direct commands, machines and leaders.
type workerFaults struct {
	taskStagger            map[string]micros.Micros // by how much each task of a job takes longer than the one before
	duplicateHeartbeatRate float64                  // of the reports, of which copies come late
	replayToNextOwner      bool                     // the copies are kept for the next owner
	replayHeartbeats       [][]byte                 // those copies
	delayNextHeartbeatOf   []string                 // the next reports of these machines are held back
	delayedHeartbeats      [][]byte                 // until a new owner has acted
	capturedHeartbeats     [][]byte                 // reports that come again when asked for
	commandDelayRate       float64                  // of the direct commands, held up on the way there or back
	minCommandDelay        micros.Micros
	commandDelay           micros.Micros
	delayRequestOnly       bool          // only on the way there
	commitDelay            micros.Micros // of commits
	owners                 map[int]any
	activeOwners           map[int]any
}

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
			if sim.replayHeartbeats = append(sim.replayHeartbeats, body); len(sim.replayHeartbeats) > maxSavedHeartbeats {
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
	sim.delayedHeartbeats = append(sim.delayedHeartbeats, body)
	return true
}

// replayToNewOwners delivers what was kept for a new owner: copies to every controller as it begins
// and again as it becomes active, a report that was held back once it has acted.
func (sim *simulation) replayToNewOwners() {
	if sim.owners == nil {
		sim.owners, sim.activeOwners = map[int]any{}, map[int]any{}
	}
	copies := func() {
		for _, body := range sim.replayHeartbeats {
			for i := range sim.nodes {
				sim.sendHeartbeatCopy(i, body)
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
			for _, body := range sim.delayedHeartbeats {
				sim.after(4*micros.Second, func() { sim.sendHeartbeatCopy(i, body) })
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
		worker := sim.workers[strings.TrimPrefix(call.Addr, workerAddrPrefix)]
		sim.after(wait, func() { sim.executeWhenResumed(worker, call, answer) })
		return nil
	}
	return func(response fake.Response) { sim.after(wait, func() { answer(response) }) }
}

// executeWhenResumed executes a delayed command once the machine is reachable again.
func (sim *simulation) executeWhenResumed(worker *fake.Worker, call Call, respond func(fake.Response)) {
	switch {
	case worker.Machine.Gone:
	case worker.Hung || worker.Partitioned:
		sim.after(simulationStep, func() { sim.executeWhenResumed(worker, call, respond) })
	default:
		respond(sim.executeAtWorker(worker, call))
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

// selectMachines returns the machines that a command selects by count, share or zone, those with
// the most tasks first, or nil if it selects none that way.
func (c *command) selectMachines() []string {
	c.t.Helper()
	if !c.HasArg("count") && !c.HasArg("share") && !c.HasArg("zone") {
		return nil
	}
	var names []string
	for _, name := range c.sim.workerNames() {
		machine := c.sim.workers[name].Machine
		if !machine.Gone && (!c.HasArg("zone") || machine.Zone == c.text("zone", "")) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return -cmp.Compare(len(c.sim.workers[a].Tasks), len(c.sim.workers[b].Tasks))
	})
	n := len(names)
	if c.HasArg("share") {
		n = int(c.number("share", 1)*float64(n) + 0.5)
	}
	n = min(n, c.integer("count", n))
	if n == 0 {
		c.fail("no such machine")
	}
	return names[:n]
}

// workerFaultCommands cause faults of heartbeats, direct commands, machines and leaders.
var workerFaultCommands = commandTable{
	"late-reports": silent(func(c *command) {
		c.sim.duplicateHeartbeatRate, c.sim.replayToNextOwner = c.number("share", 0), c.HasArg("for-next")
		c.revertLater(func() { c.sim.duplicateHeartbeatRate = 0 })
	}),
	"hold-report": silent(func(c *command) {
		c.sim.delayNextHeartbeatOf = append(c.sim.delayNextHeartbeatOf, c.text("machine", c.sim.workerNames()[0]))
	}),
	"capture-reports": silent(func(c *command) {
		c.sim.capturedHeartbeats = nil
		for _, name := range c.sim.workerNames() {
			c.sim.capturedHeartbeats = append(c.sim.capturedHeartbeats, wire.Encode(c.sim.workers[name].BuildHeartbeat()))
		}
	}),
	"replay-reports": silent(func(c *command) {
		for at := micros.Micros(0); at < c.seconds("for", 10); at += replayInterval {
			c.sim.after(at, c.sim.replayCapturedHeartbeats)
		}
	}),
	"slow-commands": silent(func(c *command) {
		c.sim.commandDelayRate, c.sim.delayRequestOnly = c.number("share", 1), c.HasArg("there")
		c.sim.minCommandDelay, c.sim.commandDelay = c.seconds("from", 1), c.seconds("by", 8)
		c.revertLater(func() { c.sim.commandDelayRate = 0 })
	}),
	"slow-writes": silent(func(c *command) {
		c.sim.commitDelay = c.seconds("s", 0)
		c.revertLater(func() { c.sim.commitDelay = 0 })
	}),
	"fast-boot": silent(func(c *command) {
		c.sim.cloud.BootTime = func(micros.Micros) micros.Micros { return c.sim.randomDuration(micros.Second/2, 2*micros.Second) }
		c.revertLater(func() { c.sim.cloud.BootTime = nil })
	}),
	"cancel-now": silent(func(c *command) {
		c.sim.cancelDuringFaults(c.integer("count", 1), c.seconds("hang", 0), c.HasArg("cut"))
	}),
	"change-leader": silent(func(c *command) {
		times := c.integer("times", 10)
		every := c.seconds("within", 120) / micros.Micros(times)
		for i := range times {
			c.sim.after(every*micros.Micros(i)+c.sim.randomDuration(0, every/4), func() { c.sim.changeLeader(i, every) })
		}
	}),
}

// replayInterval is the time between two replays of captured heartbeats.
const replayInterval = 50 * micros.Millisecond

// replayCapturedHeartbeats sends the captured heartbeats to all nodes.
func (sim *simulation) replayCapturedHeartbeats() {
	for _, body := range sim.capturedHeartbeats {
		for i := range sim.nodes {
			sim.sendHeartbeatCopy(i, body)
		}
	}
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
