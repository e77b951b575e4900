package controller

import (
	"strings"

	"tamarindlead/internal/fake"
	"tamarindlead/micros"
)

// pairFault is a kind of fault. start causes it and returns a description, its duration and, unless
// nothing is to be reverted, the function that ends it.
type pairFault struct {
	name     string
	start    func(run *faultPairRun) (about string, lasts micros.Micros, end func())
	kvOutage bool // of the state service
}

func (run *faultPairRun) startFault(kind pairFault) {
	about, lasts, end := kind.start(run)
	run.logf("%s %s for %v", kind.name, about, lasts)
	run.sim.after(lasts, func() {
		if end != nil {
			end()
		}
		run.activeFaults--
	})
}

// newNodeFault returns a fault of one node that lasts between two durations in seconds.
func newNodeFault(name string, from, to float64, set func(sim *simulation, node *simNode, on bool)) pairFault {
	return pairFault{name: name, start: func(run *faultPairRun) (string, micros.Micros, func()) {
		node := run.pickNode()
		set(run.sim, node, true)
		return nodeName(node.index), run.randomSeconds(from, to), func() { set(run.sim, node, false) }
	}}
}

// newMachineFault returns a fault of some machines.
func newMachineFault(name string, from, to float64, set func(worker *fake.Worker, on bool)) pairFault {
	return pairFault{name: name, start: func(run *faultPairRun) (string, micros.Micros, func()) {
		list := run.pickMachines()
		var names []string
		for _, worker := range list {
			set(worker, true)
			names = append(names, worker.Machine.Name)
		}
		return strings.Join(names, " "), run.randomSeconds(from, to), func() {
			for _, worker := range list {
				set(worker, false)
			}
		}
	}}
}

// newClusterFault returns a fault of the whole cluster.
func newClusterFault(name string, from, to float64, set func(sim *simulation, on bool)) pairFault {
	return pairFault{name: name, start: func(run *faultPairRun) (string, micros.Micros, func()) {
		set(run.sim, true)
		return "", run.randomSeconds(from, to), func() { set(run.sim, false) }
	}}
}

// newKVOutage returns an outage of the state service.
func newKVOutage(name string, from, to float64) pairFault {
	t := newClusterFault(name, from, to, func(sim *simulation, on bool) { sim.kvStore.Unavailable = on })
	t.kvOutage = true
	return t
}

// crashTime draws how long a crashed node stays down.
func (run *faultPairRun) crashTime() micros.Micros {
	return []micros.Micros{micros.Second / 5, restartDelay, 10 * micros.Second}[run.rng.IntN(3)]
}

var pairFaults = []pairFault{
	{name: "node crashes", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		node, away := run.pickNode(), run.crashTime()
		run.sim.crash(node, away)
		return nodeName(node.index), away, nil
	}},
	{name: "all nodes crash", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		longest := micros.Micros(0)
		for _, node := range run.sim.nodes {
			away := run.crashTime()
			if run.rng.IntN(6) == 0 {
				away = run.randomSeconds(15, 25)
			}
			run.sim.crash(node, away)
			longest = max(longest, away)
		}
		return "", longest, nil
	}},
	{name: "leaders crash one after the other", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		over := run.sim.now + 30*micros.Second
		var again func()
		again = func() {
			if run.sim.now < over {
				run.sim.crash(run.pickNode(), run.crashTime())
				run.sim.after(run.randomSeconds(1, 8), again)
			}
		}
		again()
		return "", 40 * micros.Second, nil
	}},
	{name: "an owner crashes as a cancellation is told", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		run.onCancelAcknowledged = func(id string) {
			node := run.pickNode()
			run.logf("%s is told to be cancelled: %s crashes", id, nodeName(node.index))
			run.sim.crash(node, run.crashTime())
		}
		return "", 30 * micros.Second, func() { run.onCancelAcknowledged = nil }
	}},
	{name: "an owner is refused by the state service as a cancellation is told", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		refused := ""
		run.onCancelAcknowledged = func(id string) {
			refused = nodeName(run.pickNode().index)
			run.logf("%s is told to be cancelled: %s is refused", id, refused)
			run.sim.kvStore.RefusedCallers[refused] = true
		}
		return "", 30 * micros.Second, func() { run.onCancelAcknowledged = nil; delete(run.sim.kvStore.RefusedCallers, refused) }
	}},
	newNodeFault("node cut off", 2, 30, func(_ *simulation, node *simNode, on bool) { node.partitioned = on }),
	newNodeFault("node cut off, its messages held", 2, 30, func(_ *simulation, node *simNode, on bool) { node.partitioned, node.delaysOutbound = on, on }),
	newNodeFault("workers and node do not reach each other", 5, 30, func(_ *simulation, node *simNode, on bool) { node.workersUnreachable = on }),
	newNodeFault("node reaches neither state service nor siblings", 5, 40, func(_ *simulation, node *simNode, on bool) { node.onlyWorkersReachable = on }),
	newNodeFault("state service refuses node", 3, 25, func(sim *simulation, node *simNode, on bool) {
		if on {
			sim.kvStore.RefusedCallers[nodeName(node.index)] = true
		} else {
			delete(sim.kvStore.RefusedCallers, nodeName(node.index))
		}
	}),
	newKVOutage("state service down", 5, 15),
	newKVOutage("state service down for long", 50, 70), // longer than the cancellation deadline
	newClusterFault("state service slow", 15, 40, func(sim *simulation, on bool) {
		sim.kvFaults.kvLatency = 0
		if on {
			sim.kvFaults.kvLatency = 600 * micros.Millisecond
		}
	}),
	{name: "zone cut off", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		run.sim.partitionedZone = run.sim.cfg.Zones[run.rng.IntN(len(run.sim.cfg.Zones))]
		return run.sim.partitionedZone, run.randomSeconds(8, 45), func() { run.sim.partitionedZone = "" }
	}},
	newMachineFault("machines hang", 3, 30, func(worker *fake.Worker, on bool) { worker.Hung = on }),
	newMachineFault("machines hang for long", 50, 70, func(worker *fake.Worker, on bool) { worker.Hung = on }),
	newMachineFault("machines cut off", 5, 40, func(worker *fake.Worker, on bool) { worker.Partitioned = on }),
	newMachineFault("machines deaf", 5, 30, func(worker *fake.Worker, on bool) { worker.InboundBlocked = on }),
	{name: "machines taken without notice", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		names := ""
		for _, worker := range run.pickMachines() {
			run.sim.cloud.Reclaim(worker.Machine.Name)
			names += " " + worker.Machine.Name
		}
		run.sim.forgetDeletedMachines()
		return names, 0, nil
	}},
	newClusterFault("copies of reports come late", 20, 50, func(sim *simulation, on bool) {
		sim.duplicateHeartbeatShare, sim.maxCopyDelay = 0, 25*micros.Second
		if on {
			sim.duplicateHeartbeatShare = 0.2
		}
	}),
	newClusterFault("messages lost, late and twice", 15, 40, func(sim *simulation, on bool) {
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
	{name: "one-task jobs come four a second, a quarter cancelled", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		for i := range 60 + run.rng.IntN(60) {
			run.generateSmallJob(1000+i, micros.Micros(i)*micros.Second/4)
		}
		return "", 30 * micros.Second, nil
	}},
	{name: "jobs are cancelled as they end", start: func(run *faultPairRun) (string, micros.Micros, func()) {
		over := run.sim.now + run.randomSeconds(20, 50)
		run.cancelFinishingJobs(over, map[string]bool{})
		return "", over - run.sim.now, nil
	}},
	newClusterFault("cloud down", 10, 40, func(sim *simulation, on bool) { sim.cloud.Unavailable = on }),
	newClusterFault("the next machines never come up", 10, 10, func(sim *simulation, on bool) {
		if on {
			sim.cloud.FailedBoots = 3
		}
	}),
}
