package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// generateFaults draws two or three different faults. In a third of the runs the second fault is an
// outage of the KV store: what a node acknowledged to a user just before the outage must still reach
// the other nodes.
func (run *faultPairRun) generateFaults() []pairFault {
	count := 2
	if run.rng.IntN(3) == 0 {
		count++
	}
	var faults []pairFault
	secondIsOutage := run.rng.IntN(3) == 0
	for len(faults) < count {
		fault := pairFaults[run.rng.IntN(len(pairFaults))]
		if slices.ContainsFunc(faults, func(other pairFault) bool { return other.name == fault.name }) ||
			secondIsOutage && len(faults) == 1 && !fault.kvOutage {
			continue
		}
		faults = append(faults, fault)
	}
	return faults
}

// generateResponseDelays delays some responses of the KV store, of other controllers or of both in
// three of four runs, until the faults have ended.
func (run *faultPairRun) generateResponseDelays() {
	rng := rand.New(rand.NewPCG(run.seed, responseDelayStream))
	targets := rng.IntN(4)
	set := func(name string, delay *responseDelay) {
		delay.share = 0.1 + 0.4*rng.Float64()
		delay.maxDelay = micros.FromMillis(50 + 450*rng.Float64())
		run.logf("%s of the %s are delayed, each by up to %v", fmt.Sprintf("%.0f%%", 100*delay.share), name, delay.maxDelay)
	}
	if targets&1 != 0 {
		set("responses of the KV store", &run.sim.kvFaults.kvResponseDelay)
	}
	if targets&2 != 0 {
		set("responses of other controllers", &run.sim.kvFaults.peerResponseDelay)
	}
}

// pickNode draws a node: in three of four draws a node that owns teams, if there is one, and
// preferably the owner of a job whose cancellation was requested.
func (run *faultPairRun) pickNode() *simNode {
	sim := run.sim
	var owners, preferred []*simNode
	for _, node := range sim.nodes {
		if ownerID, _ := node.ownership(); ownerID == nil {
			continue
		}
		owners = append(owners, node)
		if node.productionCore != nil {
			continue
		}
		for id := range node.core.owner.Jobs {
			if sim.cancelRequested[id] {
				preferred = append(preferred, node)
				break
			}
		}
	}
	pick := sim.nodes
	if run.rng.IntN(4) > 0 && len(owners) > 0 {
		pick = owners
		if len(preferred) > 0 {
			pick = preferred
		}
	}
	return pick[run.rng.IntN(len(pick))]
}

// pickMachines draws up to four machines: in three of four draws only from the machines that run jobs
// whose cancellation was requested, if there are any.
func (run *faultPairRun) pickMachines() []*fake.Worker {
	sim := run.sim
	var all, preferred []*fake.Worker
	for _, name := range sim.workerNames() {
		worker := sim.workers[name]
		if worker.Machine.Gone {
			continue
		}
		all = append(all, worker)
		for task := range worker.Tasks {
			if id, _, _ := wire.SplitTaskName(task); sim.cancelRequested[id] && worker.IsLive(task) {
				preferred = append(preferred, worker)
				break
			}
		}
	}
	if len(preferred) > 0 && run.rng.IntN(4) > 0 {
		all = preferred
	}
	run.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+run.rng.IntN(4))]
}
