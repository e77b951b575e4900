package controller

import (
	"slices"

	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// changeLeader makes the leader lose its leadership. Depending on the turn, the leader crashes for
// 0.2 s, is partitioned, is isolated from the key-value store and its peers, or crashes for half of the
// time until the next turn.
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

// maxHungMachines limits how many machines of cancelled jobs hang or are partitioned.
const maxHungMachines = 8

// cancelDuringFaults has users cancel up to count running jobs within a fifth of a second, while some
// machines of these jobs hang, or are partitioned, for the duration hang.
func (sim *simulation) cancelDuringFaults(count int, hang micros.Micros, partition bool) {
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
		if partition {
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

// countCancelledRunning returns how many tasks still run although their jobs' cancellation was
// acknowledged.
func (sim *simulation) countCancelledRunning() int {
	n := 0
	for task := range sim.runningOn {
		if id, _, _ := wire.SplitTaskName(task); sim.acknowledgedCancellations[id] > 0 {
			n++
		}
	}
	return n
}
