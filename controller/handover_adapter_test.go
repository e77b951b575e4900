package controller

import (
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/handover"
	"tamarindlead/micros"
)

// TestSuccessorOfDiscardedOwner checks what a node that owns nothing concludes about the owner of a team,
// from the view of the cluster and from peers. Only evidence that nobody can act permits the node to
// terminate machines of an owner that it has discarded; a controller that was replaced must not.
func TestSuccessorOfDiscardedOwner(t *testing.T) {
	const isOlder, isCurrent = 1, 0 // of the team's record, by which the discarded owner owned it
	crashOwner := func(sim *simulation, owner, _ *simNode) { sim.crash(owner, micros.Minute) }
	outage := func(sim *simulation, _, _ *simNode) { sim.kvStore.Unavailable = true }
	isolate := func(_ *simulation, _, observer *simNode) { observer.onlyWorkersReachable = true }
	restartRecovery := func(_ *simulation, owner, _ *simNode) { owner.core.owner.restartRecovery("test") }
	type faults = []func(sim *simulation, owner, observer *simNode)
	for _, test := range []struct {
		name   string
		age    uint64
		faults faults
		runFor micros.Micros
		want   handover.Successor
	}{
		{"successor active", isOlder, nil, 0, handover.SuccessorActive},
		{"a peer believes to be the owner", isCurrent, nil, 0, handover.SuccessorUnknown},
		{"assigned, out of contact", isOlder, faults{crashOwner}, 4 * micros.Second, handover.SuccessorAssigned},
		{"assigned, out of contact, outage", isOlder, faults{crashOwner, outage}, 4 * micros.Second, handover.SuccessorUnknown},
		{"recovering in an outage", isOlder, faults{outage, restartRecovery}, 4 * micros.Second, handover.SuccessorRecovering},
		{"not assigned", isCurrent, faults{crashOwner}, 4 * micros.Second, handover.SuccessorPossible},
		{"not assigned, outage", isCurrent, faults{crashOwner, outage}, 4 * micros.Second, handover.SuccessorNone},
		{"isolated", isCurrent, faults{isolate}, 10 * micros.Second, handover.SuccessorUnknown},
		{"isolated, older record", isOlder, faults{isolate}, 10 * micros.Second, handover.SuccessorUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := simulationSettings(3, []string{"a"}, config.Team{Name: "red"})
			cfg.Tuning.LeaderTTL = micros.Minute // the record of a crashed owner stays
			sim := newSimulation(1, cfg)
			sim.run(5 * micros.Second)
			owner := sim.nodes[sim.leader()]
			observer := sim.nodes[(owner.index+1)%len(sim.nodes)]
			for _, inject := range test.faults {
				inject(sim, owner, observer)
			}
			sim.run(test.runFor)
			versions := map[string]uint64{"red": owner.core.owner.Teams["red"].Record.Version - test.age}
			if got := (handoverHost{observer.core}).Successor(versions); got != test.want {
				t.Errorf("successor %v, want %v", got, test.want)
			}
		})
	}
}
