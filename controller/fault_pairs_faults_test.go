package controller

import (
	"strings"

	"tamarindlead/internal/fake"
	"tamarindlead/micros"
)

// pairFault is a kind of fault. start injects it and returns its target for the log, its duration, and
// the function that reverts it. The target may be empty. The function is nil if there is nothing to
// revert.
type pairFault struct {
	name     string
	start    func(run *faultPairRun) (target string, duration micros.Micros, revert func())
	kvOutage bool // whether the fault is an outage of the KV store
}

// startFault starts a fault and schedules its end.
func (run *faultPairRun) startFault(fault pairFault) {
	target, duration, revert := fault.start(run)
	run.logf("%s %s for %v", fault.name, target, duration)
	run.sim.after(duration, func() {
		if revert != nil {
			revert()
		}
		run.activeFaults--
	})
}

// newNodeFault returns a fault of one node with a random duration between from and to, in seconds.
func newNodeFault(name string, from, to float64, set func(sim *simulation, node *simNode, on bool)) pairFault {
	return pairFault{name: name, start: func(run *faultPairRun) (string, micros.Micros, func()) {
		node := run.pickNode()
		set(run.sim, node, true)
		return nodeName(node.index), run.randomSeconds(from, to), func() { set(run.sim, node, false) }
	}}
}

// newMachineFault returns a fault of one to four machines with a random duration between from and to,
// in seconds.
func newMachineFault(name string, from, to float64, set func(worker *fake.Worker, on bool)) pairFault {
	return pairFault{name: name, start: func(run *faultPairRun) (string, micros.Micros, func()) {
		workers := run.pickMachines()
		var names []string
		for _, worker := range workers {
			set(worker, true)
			names = append(names, worker.Machine.Name)
		}
		return strings.Join(names, " "), run.randomSeconds(from, to), func() {
			for _, worker := range workers {
				set(worker, false)
			}
		}
	}}
}

// newClusterFault returns a fault of the whole cluster with a random duration between from and to, in
// seconds.
func newClusterFault(name string, from, to float64, set func(sim *simulation, on bool)) pairFault {
	return pairFault{name: name, start: func(run *faultPairRun) (string, micros.Micros, func()) {
		set(run.sim, true)
		return "", run.randomSeconds(from, to), func() { set(run.sim, false) }
	}}
}

// newKVOutage returns an outage of the KV store with a random duration between from and to, in seconds.
func newKVOutage(name string, from, to float64) pairFault {
	fault := newClusterFault(name, from, to, func(sim *simulation, on bool) { sim.kvStore.Unavailable = on })
	fault.kvOutage = true
	return fault
}

// randomDowntime draws how long a crashed node stays down.
func (run *faultPairRun) randomDowntime() micros.Micros {
	return []micros.Micros{micros.Second / 5, restartDelay, 10 * micros.Second}[run.rng.IntN(3)]
}

var pairFaults = []pairFault{
	{name: "node crashes", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		node, downtime := run.pickNode(), run.randomDowntime()
		run.sim.crash(node, downtime)
		return nodeName(node.index), downtime, nil
	}},
	{name: "all nodes crash", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		longestDowntime := micros.Micros(0)
		for _, node := range run.sim.nodes {
			downtime := run.randomDowntime()
			if run.rng.IntN(6) == 0 {
				downtime = run.randomSeconds(15, 25)
			}
			run.sim.crash(node, downtime)
			longestDowntime = max(longestDowntime, downtime)
		}
		return "", longestDowntime, nil
	}},
	{name: "nodes crash one after the other", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		until := run.sim.now + 30*micros.Second
		var crashNext func()
		crashNext = func() {
			if run.sim.now < until {
				run.sim.crash(run.pickNode(), run.randomDowntime())
				run.sim.after(run.randomSeconds(1, 8), crashNext)
			}
		}
		crashNext()
		return "", 40 * micros.Second, nil
	}},
	{name: "an owner crashes when a cancellation is acknowledged", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		run.onCancelAcknowledged = func(id string) {
			node := run.pickNode()
			run.logf("the cancellation of %s is acknowledged: %s crashes", id, nodeName(node.index))
			run.sim.crash(node, run.randomDowntime())
		}
		return "", 30 * micros.Second, func() { run.onCancelAcknowledged = nil }
	}},
	{name: "the KV store refuses an owner when a cancellation is acknowledged", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		refusedNode := ""
		run.onCancelAcknowledged = func(id string) {
			refusedNode = nodeName(run.pickNode().index)
			run.logf("the cancellation of %s is acknowledged: the KV store refuses %s", id, refusedNode)
			run.sim.kvStore.RefusedCallers[refusedNode] = true
		}
		return "", 30 * micros.Second, func() { run.onCancelAcknowledged = nil; delete(run.sim.kvStore.RefusedCallers, refusedNode) }
	}},
	newNodeFault("node partitioned", 2, 30, func(_ *simulation, node *simNode, on bool) { node.partitioned = on }),
	newNodeFault("node partitioned, its outbound messages delayed", 2, 30, func(_ *simulation, node *simNode, on bool) { node.partitioned, node.delaysOutbound = on, on }),
	newNodeFault("node partitioned from workers", 5, 30, func(_ *simulation, node *simNode, on bool) { node.workersUnreachable = on }),
	newNodeFault("node partitioned from KV store and peers", 5, 40, func(_ *simulation, node *simNode, on bool) { node.onlyWorkersReachable = on }),
	newNodeFault("KV store refuses node", 3, 25, func(sim *simulation, node *simNode, on bool) {
		if on {
			sim.kvStore.RefusedCallers[nodeName(node.index)] = true
		} else {
			delete(sim.kvStore.RefusedCallers, nodeName(node.index))
		}
	}),
	newKVOutage("KV store unavailable", 5, 15),
	newKVOutage("KV store unavailable for a long time", 50, 70), // longer than the cancellation deadline
	newClusterFault("KV store slow", 15, 40, func(sim *simulation, on bool) {
		sim.kvFaults.kvLatency = 0
		if on {
			sim.kvFaults.kvLatency = 600 * micros.Millisecond
		}
	}),
	{name: "zone partitioned", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		run.sim.partitionedZone = run.sim.cfg.Zones[run.rng.IntN(len(run.sim.cfg.Zones))]
		return run.sim.partitionedZone, run.randomSeconds(8, 45), func() { run.sim.partitionedZone = "" }
	}},
	newMachineFault("machines hang", 3, 30, func(worker *fake.Worker, on bool) { worker.Hung = on }),
	newMachineFault("machines hang for a long time", 50, 70, func(worker *fake.Worker, on bool) { worker.Hung = on }),
	newMachineFault("machines partitioned", 5, 40, func(worker *fake.Worker, on bool) { worker.Partitioned = on }),
	newMachineFault("machines receive no messages", 5, 30, func(worker *fake.Worker, on bool) { worker.InboundBlocked = on }),
	{name: "machines reclaimed without notice", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		names := ""
		for _, worker := range run.pickMachines() {
			run.sim.cloud.Reclaim(worker.Machine.Name)
			names += " " + worker.Machine.Name
		}
		run.sim.forgetDeletedMachines()
		return names, 0, nil
	}},
	newClusterFault("delayed duplicate heartbeats", 20, 50, func(sim *simulation, on bool) {
		sim.duplicateHeartbeatShare, sim.maxCopyDelay = 0, 25*micros.Second
		if on {
			sim.duplicateHeartbeatShare = 0.2
		}
	}),
	newClusterFault("messages lost, delayed and duplicated", 15, 40, func(sim *simulation, on bool) {
		sim.lossRate, sim.delayedRequestRate, sim.duplicateRequestRate = 0, 0, 0
		if on {
			sim.lossRate, sim.delayedRequestRate, sim.duplicateRequestRate = 0.03, 0.03, 0.03
		}
	}),
	newClusterFault("messages between controllers lost", 15, 50, func(sim *simulation, on bool) {
		sim.kvFaults.peerLossRate = 0
		if on {
			sim.kvFaults.peerLossRate = 0.7
		}
	}),
	{name: "four one-task jobs per second, a quarter of them cancelled", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		for i := range 60 + run.rng.IntN(60) {
			run.generateSmallJob(1000+i, micros.Micros(i)*micros.Second/4)
		}
		return "", 30 * micros.Second, nil
	}},
	{name: "jobs cancelled at completion", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		until := run.sim.now + run.randomSeconds(20, 50)
		run.cancelFinishingJobs(until, map[string]bool{})
		return "", until - run.sim.now, nil
	}},
	newClusterFault("cloud unavailable", 10, 40, func(sim *simulation, on bool) { sim.cloud.Unavailable = on }),
	newClusterFault("the next three machines never boot", 10, 10, func(sim *simulation, on bool) {
		if on {
			sim.cloud.FailedBoots = 3
		}
	}),
}
