package controller

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// TestAdoptionInterleavings interrupts adoptions of a machine that another owner has recorded with
// tasks, at different times.
//
// Each run: the teams have several owners. For some seconds node 1 cannot reach its peers and its
// workers cannot reach it (or it crashes), so the workers send their heartbeats to another owner, which
// adopts their machines. That owner crashes or reads its records again within milliseconds of writing
// the machine's block. In some runs node 1 crashes too, so that one successor recovers both blocks.
//
// The failure that this test guards against: the adopter wrote its block before it had read the other
// blocks. A successor trusted the newer block, which has no attempts, and lost the attempts in the
// block of node 1. Seen with the machine unreachable and other machines free:
//
//	time=17.06s msg="attempt state changed" node=n1 task=req-000006/0 attempt=2097156 machine=m-000000 from=assumed to=recorded
//	time=41.56s msg="machine adopted" node=n2 machine=m-000000
//	time=44.62s msg="owner state changed" node=n0 from=recovering to=active jobs=12 machines=6 teams=8
//	time=45.17s msg="attempt state changed" node=n0 task=req-000006/0 attempt=3145738 machine=m-000005 from=assumed to=recorded
//	48.09s: ran_twice: req-000006/0 starts on m-000005 while on m-000000
//
// and with the machine reachable, whose tasks were stopped and started again:
//
//	3 tasks were stopped
//
// One seed is always run; SCENARIO_SEEDS=20 runs the seeds 1 to 20.
func TestAdoptionInterleavings(t *testing.T) {
	for seed := 1; seed <= seedsOnDemand(t, 1); seed++ {
		for _, ownerFault := range []string{"partition-node-from-workers node=1 for=8", "crash-node node=1 for=20"} {
			for _, interruption := range []string{
				"reload-only", "for=0.2", "for=4", "for=4 times=2", "for=20 also-crash-node=1",
				"for=4 also-crash-node=1 partition=12 extra-machines=3",
			} {
				for _, after := range []float64{0, 0.005, 0.02, 0.3} {
					adopter := fmt.Sprintf("crash-adopter after=%g %s", after, interruption)
					t.Run(fmt.Sprintf("%d, %s, %s", seed, ownerFault, adopter), func(t *testing.T) {
						t.Parallel()
						runAdoption(t, seed, ownerFault, adopter)
					})
				}
			}
		}
	}
}

// runAdoption runs one adoption. Jobs run on launched machines of all owners, among them a gang and a
// job that is cancelled when the faults start; the teams are near their quota limits.
func runAdoption(t *testing.T, seed int, ownerFault, adopter string) {
	t.Helper()
	sim := runSteps(t, []string{
		fmt.Sprintf("cluster machines=0 max-machines=12 teams=6 quota-limit=6 spread-teams seed=%d", seed),
		"run for=6",
		"submit-jobs first-job=1 count=12 round-robin-teams=6 tasks=1 cpus=2.5 duration=60",
		"submit job=req-000013 gang tasks=2 cpus=2.5 duration=60 team=red",
		"run for=30",
		adopter,
		"lose-peer-messages share=1 for=12",
		ownerFault,
		"run for=5",
		"cancel job=req-000003",
		"run for=7",
		"faults-ended",
		"run-until-done timeout=400",
	})
	const cancelledTasks = 1
	if n := sim.exitsByCause["stopped"]; n > cancelledTasks {
		t.Errorf("%d tasks were stopped, want at most 1, the task of the cancelled job", n)
	}
}

// runSteps runs scenario commands. No machine may be in blocks of two owners at any time, and the last
// command must print that all jobs are done.
func runSteps(t *testing.T, steps []string) *simulation {
	t.Helper()
	var sim *simulation
	out := ""
	for _, step := range steps {
		name, args, err := datadriven.ParseLine(step)
		if err != nil {
			t.Fatal(err)
		}
		d := &datadriven.TestData{Pos: step, Cmd: name, CmdArgs: args}
		if sim == nil {
			sim = newScenarioSimulation(t, d)
			sim.kvStore.OnCommit = func(uint64) { sim.checkBlockOwners() }
			continue
		}
		out = runScenarioCommand(t, sim, d)
	}
	if out != "done" {
		t.Error(out)
	}
	return sim
}

// checkBlockOwners checks that no machine has entries in the blocks of two owners.
func (sim *simulation) checkBlockOwners() {
	owners := map[string]record.OwnerID{}
	for _, key := range sim.kvStore.Keys(record.BlockPrefix) {
		value, _ := sim.kvStore.Get(key)
		var block record.Block
		if err := wire.Decode(value, &block); err != nil {
			sim.reportViolation("block %s: %v", key, err)
			continue
		}
		data, err := block.Decode()
		if err != nil {
			sim.reportViolation("block %s: %v", key, err)
			continue
		}
		for _, machine := range data.Machines {
			if other, found := owners[machine.Name]; found && other != block.Owner {
				sim.reportViolation("machine_owned_twice: %s is in blocks of %s and %s (%s)",
					machine.Name, other, block.Owner, strings.TrimPrefix(key, record.BlockPrefix))
			}
			owners[machine.Name] = block.Owner
		}
	}
}
