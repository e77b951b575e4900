package controller

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// seededScenarios are the scenarios that TestScenarioSeeds runs with several seeds: the faults that
// they cover depend on the order in which delayed responses arrive.
var seededScenarios = []string{"delayed_kv_responses", "delayed_accept_response", "delayed_peer_responses"}

// fixedScenarioSeeds is the number of seeds that are always run. SCENARIO_SEEDS=200 runs the seeds 1
// to 200, and SCENARIOS=concurrent_consistency_checks,new_machine_hangs_at_leader_change runs these
// scenarios instead of the default ones.
const fixedScenarioSeeds = 3

// seedOverride is the argument that overrides the seed of a scenario.
const seedOverride = "seed-override"

// scenarioSeed returns the seed of a scenario's simulation.
func scenarioSeed(t *testing.T, d *datadriven.TestData) uint64 {
	if d.HasArg(seedOverride) {
		return uint64(arg(t, d, seedOverride, 1))
	}
	return uint64(arg(t, d, "seed", 1))
}

// TestScenarioSeeds runs scenarios with seeds other than their own. With each seed the rules must hold
// and the printed results must be the expected ones.
func TestScenarioSeeds(t *testing.T) {
	scenarios, seeds := seededScenarios, seedsOnDemand(t, fixedScenarioSeeds)
	if text := os.Getenv("SCENARIOS"); text != "" {
		scenarios = strings.Split(text, ",")
	}
	for _, scenario := range scenarios {
		for seed := 1; seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("%s/%d", scenario, seed), func(t *testing.T) {
				t.Parallel()
				runWithSeed(t, scenario, seed)
			})
		}
	}
}

// seedsOnDemand returns the number of seeds that SCENARIO_SEEDS requests, or a default if it is unset.
func seedsOnDemand(t *testing.T, always int) int {
	t.Helper()
	text := os.Getenv("SCENARIO_SEEDS")
	if text == "" {
		return always
	}
	seeds, err := strconv.Atoi(text)
	if err != nil || seeds < 1 {
		t.Fatalf("SCENARIO_SEEDS=%s: want a number from 1", text)
	}
	return seeds
}

// runWithSeed runs a scenario with the given seed.
func runWithSeed(t *testing.T, scenario string, seed int) {
	override := datadriven.CmdArg{Key: seedOverride, Vals: []string{strconv.Itoa(seed)}}
	prepare := func(d *datadriven.TestData) { d.CmdArgs = append(d.CmdArgs, override) }
	runScenario(t, filepath.Join("testdata", scenario+".txt"), prepare, func(*simulation) {})
}
