package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// generateFaults draws two or three different faults. In a third of the runs the second one is an
// outage of the state service: what was acknowledged to a user just before must reach the other
// nodes all the same.
func (run *faultPairRun) generateFaults() []pairFault {
	n := 2
	if run.rng.IntN(3) == 0 {
		n++
	}
	var kinds []pairFault
	outage := run.rng.IntN(3) == 0
	for len(kinds) < n {
		k := pairFaults[run.rng.IntN(len(pairFaults))]
		if slices.ContainsFunc(kinds, func(o pairFault) bool { return o.name == k.name }) ||
			outage && len(kinds) == 1 && !k.kvOutage {
			continue
		}
		kinds = append(kinds, k)
	}
	return kinds
}

// generateResponseDelays delays some responses of the state service, of other controllers or of both
// in three of four runs, until the faults have ended.
func (run *faultPairRun) generateResponseDelays() {
	rng := rand.New(rand.NewPCG(run.seed, responseDelayStream))
	kind := rng.IntN(4)
	set := func(name string, r *responseDelay) {
		r.share = 0.1 + 0.4*rng.Float64()
		r.maxDelay = micros.FromMillis(50 + 450*rng.Float64())
		run.logf("%s of the %s come late, each by up to %v", fmt.Sprintf("%.0f%%", 100*r.share), name, r.maxDelay)
	}
	if kind&1 != 0 {
		set("answers of the state service", &run.sim.kvFaults.kvResponseDelay)
	}
	if kind&2 != 0 {
		set("answers of other controllers", &run.sim.kvFaults.peerResponseDelay)
	}
}

// pickNode draws a node: mostly one that owns teams, preferably that of a job that is being
// cancelled.
func (run *faultPairRun) pickNode() *simNode {
	sim := run.sim
	var owners, likely []*simNode
	for _, node := range sim.nodes {
		if by, _ := node.ownership(); by == nil {
			continue
		}
		owners = append(owners, node)
		if node.productionCore != nil {
			continue
		}
		for id := range node.core.owner.Jobs {
			if sim.cancelRequested[id] {
				likely = append(likely, node)
				break
			}
		}
	}
	pick := sim.nodes
	if run.rng.IntN(4) > 0 && len(owners) > 0 {
		pick = owners
		if len(likely) > 0 {
			pick = likely
		}
	}
	return pick[run.rng.IntN(len(pick))]
}

// pickMachines draws machines: mostly those that run jobs whose cancellation was requested.
func (run *faultPairRun) pickMachines() []*fake.Worker {
	sim := run.sim
	var all, likely []*fake.Worker
	for _, name := range sim.workerNames() {
		worker := sim.workers[name]
		if worker.Machine.Gone {
			continue
		}
		all = append(all, worker)
		for task := range worker.Tasks {
			if id, _, _ := wire.SplitTaskName(task); sim.cancelRequested[id] && worker.IsLive(task) {
				likely = append(likely, worker)
				break
			}
		}
	}
	if len(likely) > 0 && run.rng.IntN(4) > 0 {
		all = likely
	}
	run.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+run.rng.IntN(4))]
}
