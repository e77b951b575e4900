package controller

import (
	"fmt"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// checkRules checks the rules that must hold at every step of a simulation.
func (sim *simulation) checkRules() {
	used := sim.usedCPUs()
	for task := range sim.runningOn {
		id, _, _ := wire.SplitTaskName(task)
		if at, ok := sim.acknowledgedCancellations[id]; ok && sim.now > at+sim.cfg.CancellationDeadline {
			sim.reportViolation("ran_cancelled: %s is still on %s", task, sim.runningOn[task])
		}
		sim.checkCancelledAncestors(task, id)
	}
	for _, team := range sim.cfg.Teams {
		if team.QuotaLimit.CPU > 0 && used[team.Name] > team.QuotaLimit.CPUs()+1e-6 {
			sim.reportViolation("quota: %s uses %g", team.Name, used[team.Name])
		}
	}
	if sim.kvStore.OversizedTransactions > 0 {
		sim.reportViolation("limits: a transaction exceeded the limit of the key-value store")
	}
	// After the faults have ended, an accepted job counts as forgotten if no request about it gets a
	// response with its state for maxUnansweredTime.
	for id := range sim.accepted {
		if sim.faultsEndedAt > 0 && sim.reportedTerminal[id] == "" && sim.now-max(sim.lastAnsweredAt[id], sim.faultsEndedAt) > maxUnansweredTime {
			sim.reportViolation("forgotten: no request about %s is answered", id)
		}
	}
	sim.checkSchedulingDelay()
	sim.checkInvariants()
	sim.violations = sim.violations[:min(len(sim.violations), 10)]
}

// checkInvariants checks that no node reports a violation of its own invariants.
func (sim *simulation) checkInvariants() {
	for _, node := range sim.nodes {
		if node.up && node.core != nil && node.core.Violations() > 0 {
			sim.reportViolation("invariant: node %d reports %d violations", node.index, node.core.Violations())
		}
	}
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now-micros.Hour)+fmt.Sprintf(format, args...))
}
