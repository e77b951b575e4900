package controller

import (
	"tamarindlead/internal/fake"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// forgetDeletedMachines removes the running tasks of terminated machines.
func (sim *simulation) forgetDeletedMachines() {
	for task, name := range sim.runningOn {
		if sim.cloud.Machines[name].Gone {
			delete(sim.runningOn, task)
		}
	}
}

func (sim *simulation) workerNames() []string { return ordered.Keys(sim.workers) }

// bootMachines starts the workers of the machines whose boot has finished.
func (sim *simulation) bootMachines() {
	for _, name := range sim.cloud.MachineNames() {
		machine := sim.cloud.Machines[name]
		if machine.Started || machine.Gone || machine.UpAt == 0 || sim.now < machine.UpAt {
			continue
		}
		machine.Started = true
		machineType := sim.machineType(machine.Type)
		sim.bootWorker(machine, machineType)
	}
}

func (sim *simulation) bootWorker(machine *fake.CloudMachine, machineType wire.MachineType) *fake.Worker {
	return sim.fleet.Boot(machine, machineType, sim.rng.IntN(len(sim.nodes)), sim.now)
}

func (sim *simulation) machineType(name string) wire.MachineType {
	for _, machineType := range sim.cloud.Types {
		if machineType.Name == name {
			return machineType
		}
	}
	return wire.MachineType{}
}

// taskInfo returns the properties of a task, including the stagger of its job's tasks.
func (sim *simulation) taskInfo(task string) (fake.TaskInfo, bool) {
	id, index, _ := wire.SplitTaskName(task)
	i, ok := sim.taskInfos[id]
	i.Run += micros.Micros(index) * sim.taskStagger[id]
	return i, ok
}

// onTaskStart checks that a task may start on a worker, and records the start.
func (sim *simulation) onTaskStart(worker *fake.Worker, task string, _ uint64) {
	sim.startedTasks++
	id, _, _ := wire.SplitTaskName(task)
	sim.countStartAfterCancellation(id)
	sim.checkStartAfterDependencies(task, id)
	job := sim.submitted[id]
	if other, ok := sim.runningOn[task]; ok && other != worker.Machine.Name {
		sim.reportViolation("ran_twice: %s starts on %s while on %s", task, worker.Machine.Name, other)
	}
	if at, ok := sim.acknowledgedCancellations[id]; ok && sim.now > at+sim.cfg.CancellationDeadline {
		sim.reportViolation("ran_cancelled: %s starts", task)
	}
	sim.runningOn[task] = worker.Machine.Name
	if _, ok := sim.startedAt[id]; !ok && (!job.Gang || sim.runningTasks(id) == job.Tasks) {
		sim.startedAt[id] = sim.now
	}
	if !job.Allows(worker.Machine.Type, worker.Machine.Zone, worker.Machine.Spot) {
		sim.reportViolation("wrong_place: %s on %s", task, worker.Machine.Name)
	}
	zones := map[string]int{}
	for other, name := range sim.runningOn {
		if o, _, _ := wire.SplitTaskName(other); o == id {
			zones[sim.cloud.Machines[name].Zone]++
		}
	}
	if job.OneZone && len(zones) > 1 || zones[worker.Machine.Zone] > job.ZoneCap() {
		sim.reportViolation("wrong_place: %s in zones %v", task, zones)
	}
}

// runningTasks returns how many tasks of a job run.
func (sim *simulation) runningTasks(id string) int {
	n := 0
	for task := range sim.runningOn {
		if o, _, _ := wire.SplitTaskName(task); o == id {
			n++
		}
	}
	return n
}

func (sim *simulation) onTaskExit(worker *fake.Worker, task string, cause wire.ExitCause) {
	sim.exitsByCause[string(cause)]++
	if sim.runningOn[task] == worker.Machine.Name {
		delete(sim.runningOn, task)
	}
}

func (sim *simulation) onTaskCompleted(task string) {
	id, _, _ := wire.SplitTaskName(task)
	sim.cancelCompletedJob(id)
	sim.runCompletionHooks(id)
}

// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
const heartbeatTimeout = 4 * micros.Second

// stepWorker advances a worker and sends its heartbeat if one is due, subject to the active faults.
func (sim *simulation) stepWorker(worker *fake.Worker) {
	if worker.Machine.Gone {
		return
	}
	worker.Advance(sim.now)
	if worker.Partitioned || !worker.HeartbeatDue(sim.now) {
		return
	}
	worker.HeartbeatSent(sim.now, sim.cfg.HeartbeatInterval)
	agentEpoch, node := worker.AgentEpoch, sim.nodes[worker.Controller]
	heartbeat := worker.BuildHeartbeat()
	sim.checkHeartbeatSize(&heartbeat)
	body := wire.Encode(heartbeat)
	sim.duplicateHeartbeat(body)
	receive := func(response Respond) {
		worker.HandleHeartbeatResponse(sim.now, response.Status, response.Body, agentEpoch, sim.nodeIndex, len(sim.nodes))
	}
	timeOut := func() { sim.after(heartbeatTimeout, func() { receive(Respond{}) }) }
	if sim.losesHeartbeat(worker, node, body) {
		timeOut()
		return
	}
	sim.sendRequest(node, Request{Method: "POST", Path: PathHeartbeat, Body: body}, heartbeatTimeout, func(response Respond) {
		switch {
		case worker.InboundBlocked:
			timeOut()
		case worker.Partitioned || worker.Hung || worker.Machine.Gone:
			receive(Respond{})
		default:
			receive(response)
		}
	})
}

// duplicateHeartbeat sends a delayed copy of a heartbeat to a random node, if one is drawn.
func (sim *simulation) duplicateHeartbeat(body []byte) {
	if sim.rng.Float64() >= sim.duplicateHeartbeatShare {
		return
	}
	to := sim.rng.IntN(len(sim.nodes))
	sim.after(micros.Micros(sim.rng.Int64N(int64(sim.maxCopyDelay))), func() { sim.sendHeartbeatCopy(to, body) })
}

// losesHeartbeat reports whether a heartbeat does not reach its node, because of a fault or by chance.
func (sim *simulation) losesHeartbeat(worker *fake.Worker, node *simNode, body []byte) bool {
	return sim.interceptHeartbeat(worker, body) || worker.HeartbeatsBlocked || node.workersUnreachable ||
		sim.zonesPartitioned(sim.nodeZone(worker.Controller), worker.Machine.Zone) || sim.rng.Float64() < sim.lossRate
}

// maxTaskStatusBytes bounds the size of one task in a heartbeat, as the limit of 64 KiB counts it: names
// and braces, a task name, two numbers of 64 bits, a phase and a cause.
const maxTaskStatusBytes = 160

// checkHeartbeatSize checks that a heartbeat keeps the size limit of messages.
func (sim *simulation) checkHeartbeatSize(heartbeat *wire.Heartbeat) {
	sim.mostReportedTasks = max(sim.mostReportedTasks, len(heartbeat.Tasks))
	if n := len(heartbeat.Tasks); n*maxTaskStatusBytes > wire.MaxBody {
		sim.reportViolation("limits: the heartbeat of %s has %d tasks", heartbeat.Machine, n)
	}
}
