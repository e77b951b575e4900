package controller

import (
	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// noteGone drops what ran on machines that were deleted.
func (w *world) noteGone() {
	for task, name := range w.running {
		if w.cloud.Machines[name].Gone {
			delete(w.running, task)
		}
	}
}

func (w *world) workerNames() []string { return sortedKeys(w.workers) }

func (w *world) bootMachines() {
	for _, name := range w.cloud.Names() {
		m := w.cloud.Machines[name]
		if m.Started || m.Gone || m.UpAt == 0 || w.now < m.UpAt {
			continue
		}
		m.Started = true
		t := w.typeOf(m.Type)
		w.bootWorker(m, t)
	}
}

func (w *world) bootWorker(m *fake.CloudMachine, t wire.MachineType) *fake.Worker {
	return w.fleet.Boot(m, t, w.rng.IntN(len(w.nodes)), w.now)
}

func (w *world) typeOf(name string) wire.MachineType {
	for _, t := range w.cloud.Types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

func (w *world) info(task string) (fake.TaskInfo, bool) {
	id, index, _ := wire.SplitTaskName(task)
	i, ok := w.infos[id]
	i.Run += micros.Micros(index) * w.apart[id]
	return i, ok
}

func (w *world) onStart(k *fake.Worker, task string, attempt uint64) {
	w.starts++
	id, _, _ := wire.SplitTaskName(task)
	w.noteStart(id)
	w.checkEarly(task, id)
	j := w.submitted[id]
	if other, ok := w.running[task]; ok && other != k.Machine.Name {
		w.breakRule("ran_twice: %s starts on %s while on %s", task, k.Machine.Name, other)
	}
	if at, ok := w.cancelled[id]; ok && w.now > at+w.cfg.CancellationDeadline {
		w.breakRule("ran_cancelled: %s starts", task)
	}
	w.running[task] = k.Machine.Name
	if _, ok := w.began[id]; !ok && (!j.Gang || w.onMachines(id) == j.Tasks) {
		w.began[id] = w.now
	}
	if !j.Allows(k.Machine.Type, k.Machine.Zone, k.Machine.Spot) {
		w.breakRule("wrong_place: %s on %s", task, k.Machine.Name)
	}
	zones := map[string]int{}
	for other, name := range w.running {
		if o, _, _ := wire.SplitTaskName(other); o == id {
			zones[w.cloud.Machines[name].Zone]++
		}
	}
	if j.OneZone && len(zones) > 1 || zones[k.Machine.Zone] > j.ZoneCap() {
		w.breakRule("wrong_place: %s in zones %v", task, zones)
	}
}

// onMachines counts the tasks of a job that are on machines.
func (w *world) onMachines(id string) int {
	n := 0
	for task := range w.running {
		if o, _, _ := wire.SplitTaskName(task); o == id {
			n++
		}
	}
	return n
}

func (w *world) onExit(k *fake.Worker, task string, cause wire.ExitCause) {
	w.stops[string(cause)]++
	if w.running[task] == k.Machine.Name {
		delete(w.running, task)
	}
}

func (w *world) onDone(task string) {
	id, _, _ := wire.SplitTaskName(task)
	w.jobEnded(id)
	w.noteTaskDone(id)
}

func (w *world) stepWorker(k *fake.Worker) {
	if k.Machine.Gone {
		return
	}
	k.Advance(w.now)
	if k.Partitioned || !k.HeartbeatDue(w.now) {
		return
	}
	k.HeartbeatSent(w.now, w.cfg.HeartbeatInterval)
	session := k.AgentEpoch
	node := w.nodes[k.Node]
	body := wire.Encode(k.BuildHeartbeat())
	if w.rng.Float64() < w.copies {
		copyTo := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(micros.Micros(w.rng.Int64N(int64(w.copyBy))), func() {
			w.ask(copyTo, Request{Method: "POST", Path: "/hello", Body: body}, micros.Second, func(Respond) {})
		})
	}
	if w.keepCopies(k, body) || k.HeartbeatsBlocked || node.deaf || w.parted(w.nodeZone(k.Node), k.Machine.Zone) || w.rng.Float64() < w.loss {
		w.after(4*micros.Second, func() { k.HandleHeartbeatResponse(w.now, 0, nil, session, w.nodeOf, len(w.nodes)) })
		return
	}
	w.ask(node, Request{Method: "POST", Path: "/hello", Body: body}, 4*micros.Second, func(r Respond) {
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
