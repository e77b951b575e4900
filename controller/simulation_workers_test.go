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
	agentEpoch := worker.AgentEpoch
	node := sim.nodes[worker.Controller]
	body := wire.Encode(worker.BuildHeartbeat())
	if sim.rng.Float64() < sim.duplicateHeartbeatShare {
		copyTo := sim.nodes[sim.rng.IntN(len(sim.nodes))]
		sim.after(micros.Micros(sim.rng.Int64N(int64(sim.maxCopyDelay))), func() {
			sim.sendRequest(copyTo, Request{Method: "POST", Path: "/hello", Body: body}, micros.Second, func(Respond) {})
		})
	}
	if sim.interceptHeartbeat(worker, body) || worker.HeartbeatsBlocked || node.workersUnreachable || sim.zonesPartitioned(sim.nodeZone(worker.Controller), worker.Machine.Zone) || sim.rng.Float64() < sim.lossRate {
		sim.after(4*micros.Second, func() { worker.HandleHeartbeatResponse(sim.now, 0, nil, agentEpoch, sim.nodeIndex, len(sim.nodes)) })
		return
	}
	sim.sendRequest(node, Request{Method: "POST", Path: "/hello", Body: body}, 4*micros.Second, func(response Respond) {
		if worker.InboundBlocked {
			sim.after(4*micros.Second, func() { worker.HandleHeartbeatResponse(sim.now, 0, nil, agentEpoch, sim.nodeIndex, len(sim.nodes)) })
			return
		}
		if worker.Partitioned || worker.Hung || worker.Machine.Gone {
			response = Respond{}
		}
		worker.HandleHeartbeatResponse(sim.now, response.Status, response.Body, agentEpoch, sim.nodeIndex, len(sim.nodes))
	})
}
