package controller

import (
	"tamarindlead/internal/fake"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// forgetDeletedMachines drops what ran on machines that were deleted.
func (w *simulation) forgetDeletedMachines() {
	for task, name := range w.running {
		if w.cloud.Machines[name].Gone {
			delete(w.running, task)
		}
	}
}

func (w *simulation) workerNames() []string { return ordered.Keys(w.workers) }

func (w *simulation) bootMachines() {
	for _, name := range w.cloud.MachineNames() {
		m := w.cloud.Machines[name]
		if m.Started || m.Gone || m.UpAt == 0 || w.now < m.UpAt {
			continue
		}
		m.Started = true
		t := w.typeOf(m.Type)
		w.bootWorker(m, t)
	}
}

func (w *simulation) bootWorker(m *fake.CloudMachine, t wire.MachineType) *fake.Worker {
	return w.fleet.Boot(m, t, w.rng.IntN(len(w.nodes)), w.now)
}

func (w *simulation) typeOf(name string) wire.MachineType {
	for _, t := range w.cloud.Types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

func (w *simulation) info(task string) (fake.TaskInfo, bool) {
	id, index, _ := wire.SplitTaskName(task)
	i, ok := w.infos[id]
	i.Run += micros.Micros(index) * w.taskStagger[id]
	return i, ok
}

func (w *simulation) onStart(k *fake.Worker, task string, _ uint64) {
	w.starts++
	id, _, _ := wire.SplitTaskName(task)
	w.jobStarted(id)
	w.checkStartAfterDependencies(task, id)
	j := w.submitted[id]
	if other, ok := w.running[task]; ok && other != k.Machine.Name {
		w.reportViolation("ran_twice: %s starts on %s while on %s", task, k.Machine.Name, other)
	}
	if at, ok := w.cancelled[id]; ok && w.now > at+w.cfg.CancellationDeadline {
		w.reportViolation("ran_cancelled: %s starts", task)
	}
	w.running[task] = k.Machine.Name
	if _, ok := w.startedAt[id]; !ok && (!j.Gang || w.onMachines(id) == j.Tasks) {
		w.startedAt[id] = w.now
	}
	if !j.Allows(k.Machine.Type, k.Machine.Zone, k.Machine.Spot) {
		w.reportViolation("wrong_place: %s on %s", task, k.Machine.Name)
	}
	zones := map[string]int{}
	for other, name := range w.running {
		if o, _, _ := wire.SplitTaskName(other); o == id {
			zones[w.cloud.Machines[name].Zone]++
		}
	}
	if j.OneZone && len(zones) > 1 || zones[k.Machine.Zone] > j.ZoneCap() {
		w.reportViolation("wrong_place: %s in zones %v", task, zones)
	}
}

// onMachines counts the tasks of a job that are on machines.
func (w *simulation) onMachines(id string) int {
	n := 0
	for task := range w.running {
		if o, _, _ := wire.SplitTaskName(task); o == id {
			n++
		}
	}
	return n
}

func (w *simulation) onExit(k *fake.Worker, task string, cause wire.ExitCause) {
	w.stops[string(cause)]++
	if w.running[task] == k.Machine.Name {
		delete(w.running, task)
	}
}

func (w *simulation) onDone(task string) {
	id, _, _ := wire.SplitTaskName(task)
	w.jobEnded(id)
	w.taskDone(id)
}

func (w *simulation) stepWorker(k *fake.Worker) {
	if k.Machine.Gone {
		return
	}
	k.Advance(w.now)
	if k.Partitioned || !k.HeartbeatDue(w.now) {
		return
	}
	k.HeartbeatSent(w.now, w.cfg.HeartbeatInterval)
	session := k.AgentEpoch
	node := w.nodes[k.Controller]
	body := wire.Encode(k.BuildHeartbeat())
	if w.rng.Float64() < w.duplicateHeartbeatShare {
		copyTo := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(micros.Micros(w.rng.Int64N(int64(w.maxCopyDelay))), func() {
			w.sendRequest(copyTo, Request{Method: "POST", Path: "/hello", Body: body}, micros.Second, func(Respond) {})
		})
	}
	if w.duplicateHeartbeat(k, body) || k.HeartbeatsBlocked || node.workersUnreachable || w.partitioned(w.nodeZone(k.Controller), k.Machine.Zone) || w.rng.Float64() < w.lossRate {
		w.after(4*micros.Second, func() { k.HandleHeartbeatResponse(w.now, 0, nil, session, w.nodeOf, len(w.nodes)) })
		return
	}
	w.sendRequest(node, Request{Method: "POST", Path: "/hello", Body: body}, 4*micros.Second, func(r Respond) {
		if k.InboundBlocked {
			w.after(4*micros.Second, func() { k.HandleHeartbeatResponse(w.now, 0, nil, session, w.nodeOf, len(w.nodes)) })
			return
		}
		if k.Partitioned || k.Hung || k.Machine.Gone {
			r = Respond{}
		}
		k.HandleHeartbeatResponse(w.now, r.Status, r.Body, session, w.nodeOf, len(w.nodes))
	})
}
