package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// faultPairSeeds are the seeds that TestFaultPairs runs by default. Environment variables select others:
// PAIRS=200 runs the seeds 1 to 200, PAIRS=300-400 the seeds 300 to 400, and PAIRS_SEED=7 only the seed 7.
// SCENARIO_LOG=1 prints the logs of the nodes.
var faultPairSeeds = []uint64{
	1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18,
	19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31,
	5174, 20120, // owners that are unreachable by workers during an outage of the KV store, with hung machines
	225, 70701, // submissions whose cancelled dependency ends while it is checked
}

// TestFaultPairs runs one simulation for each seed. The seed determines the settings, the jobs and two
// or three faults, which usually overlap. The simulation checks the rules at every step.
func TestFaultPairs(t *testing.T) {
	for _, seed := range seedsToRun(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run := newFaultPairRun(seed)
			run.execute()
			if len(run.sim.violations) > 0 {
				t.Errorf("rules violated:\n%s\n\nlog of the run:\n%s\n\nto repeat: PAIRS_SEED=%d SCENARIO_LOG=1 go test ./controller -run TestFaultPairs",
					strings.Join(run.sim.violations, "\n"), strings.Join(run.runLog, "\n"), seed)
			} else if testing.Verbose() {
				t.Logf("%s\n%s", strings.Join(run.runLog, "\n"), run.summary())
			}
		})
	}
}

// seedsToRun returns the seeds that the environment variables select, or faultPairSeeds if none is set.
func seedsToRun(t *testing.T) []uint64 {
	t.Helper()
	if text := os.Getenv("PAIRS_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("PAIRS_SEED: %v", err)
		}
		return []uint64{seed}
	}
	text := os.Getenv("PAIRS")
	if text == "" {
		return faultPairSeeds
	}
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		from, to = "1", from
	}
	first, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		t.Fatalf("PAIRS=%s: want a number or from-to: %v", text, err)
	}
	last, err := strconv.ParseUint(to, 10, 64)
	if err != nil || last < first {
		t.Fatalf("PAIRS=%s: want a number or from-to: %v", text, err)
	}
	var seeds []uint64
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// upgradeSeeds are the seeds that TestUpgradeFaultPairs runs.
var upgradeSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// TestUpgradeFaultPairs runs generated faults during a rolling upgrade: all nodes start with the version
// in production and then crash, one after the other, and restart with the present version. A node that a
// fault crashes before its upgrade restarts with the version in production.
func TestUpgradeFaultPairs(t *testing.T) {
	for _, seed := range upgradeSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run := newFaultPairRun(seed)
			run.withoutDependencies = true
			sim := run.sim
			sim.startWithProduction(t, len(sim.nodes))
			for i, node := range sim.nodes {
				sim.after(8*micros.Second+micros.Micros(i)*run.randomSeconds(4, 8), func() {
					node.version = currentVersion
					sim.crash(node, restartDelay)
				})
			}
			run.execute()
			if len(sim.violations) > 0 {
				t.Errorf("rules violated:\n%s\n\nlog of the run:\n%s", strings.Join(sim.violations, "\n"), strings.Join(run.runLog, "\n"))
			}
		})
	}
}

// faultPairRun is a simulation with generated settings, jobs and faults.
type faultPairRun struct {
	seed                  uint64
	sim                   *simulation
	rng                   *rand.Rand               // separate from the generator of the simulation
	runLog                []string                 // printed if the run fails or the test is verbose
	expectedRefusalStatus map[string]int           // by job, only for jobs that must be refused
	onCancelAcknowledged  func(id string)          // called at the next acknowledged cancellation, then unset
	schedulableSince      map[string]micros.Micros // by job and machine; see recordSchedulableWait
	activeFaults          int                      // faults that have not ended, started or not
	secondIsKVOutage      bool                     // the second fault is an outage of the KV store
	withoutDependencies   bool                     // the version in production does not support them
}

const (
	faultPairsWarmUp   = 12 * micros.Second  // the first fault starts after at least this time
	jobStateDeadline   = 25 * micros.Second  // after all jobs are terminal, all nodes respond about them within this time
	completionDeadline = 300 * micros.Second // after the faults, all jobs reach a terminal state within this time
	maxSchedulingDelay = 90 * micros.Second  // after the faults, a job that can be scheduled is not pending for longer

	lateCommandShare    = 0.5                     // of the answered direct commands a copy arrives later
	minLateCommandDelay = 50 * micros.Millisecond // shortest delay of the copy
	maxLateCommandDelay = 60 * micros.Second      // longest delay, four leases of a worker
)

func newFaultPairRun(seed uint64) *faultPairRun {
	run := &faultPairRun{seed: seed, rng: rand.New(rand.NewPCG(seed, faultPairStream)), expectedRefusalStatus: map[string]int{}, schedulableSince: map[string]micros.Micros{}}
	rng := run.rng
	zones := []string{"a", "b", "c"}[:2+rng.IntN(2)]
	nodes := 3 + 2*rng.IntN(2)
	cfg := simulationSettings(nodes, zones,
		config.Team{Name: "red", GuaranteedQuota: sched.NewResources(float64(8*rng.IntN(3)), 0, 0), QuotaLimit: sched.NewResources(float64(24+8*rng.IntN(3)), 0, 0)},
		config.Team{Name: "blue", GuaranteedQuota: sched.NewResources(float64(8*rng.IntN(3)), 0, 0), QuotaLimit: sched.NewResources([]float64{0, 24, 32}[rng.IntN(3)], 0, 0)},
	)
	cfg.Tuning.SpreadTeams = rng.IntN(2) == 0
	sim := newSimulation(seed, cfg)
	run.sim = sim
	sim.lateCommands.share, sim.lateCommands.minDelay, sim.lateCommands.maxDelay = lateCommandShare, minLateCommandDelay, maxLateCommandDelay
	sim.cloud.Now = sim.now
	bootSeconds := []float64{1, 10}[rng.IntN(2)]
	spots := 2 * rng.IntN(2)
	sim.offerMachineTypes(bootSeconds, bootSeconds*1.5, zones, zones, 4, spots)
	machines := 3 + rng.IntN(5)
	for i := range machines {
		sim.cloud.Add("small", zones[i%len(zones)], false, 0)
	}
	run.logf("%d nodes, %d zones, %d machines, spot %d, boot %g s, spread %t, limits %g and %g, guarantees %g and %g", nodes, len(zones), machines, spots, bootSeconds,
		cfg.Tuning.SpreadTeams, cfg.Teams[0].QuotaLimit.CPUs(), cfg.Teams[1].QuotaLimit.CPUs(), cfg.Teams[0].GuaranteedQuota.CPUs(), cfg.Teams[1].GuaranteedQuota.CPUs())
	return run
}

// logf adds a line with the simulated time to the log that is printed if the run fails.
func (run *faultPairRun) logf(format string, args ...any) {
	run.runLog = append(run.runLog, fmt.Sprintf("%v: ", run.sim.now-micros.Hour)+fmt.Sprintf(format, args...))
}

func (run *faultPairRun) randomSeconds(from, to float64) micros.Micros {
	return micros.FromSeconds(from + run.rng.Float64()*(to-from))
}

// execute generates the run, executes it until the faults have ended, and checks that the service recovers
// from them.
func (run *faultPairRun) execute() {
	sim := run.sim
	run.generate()
	for run.activeFaults > 0 && len(sim.violations) == 0 {
		sim.run(micros.Second)
	}
	sim.kvFaults.kvResponseDelay.share, sim.kvFaults.peerResponseDelay.share = 0, 0
	sim.faultsEndedAt = sim.now
	run.logf("all faults have ended")
	run.awaitCompletion()
	if len(sim.violations) == 0 {
		run.awaitJobStates()
	}
}

// generate draws the jobs, faults and response delays of the run.
func (run *faultPairRun) generate() {
	first := faultPairsWarmUp + run.randomSeconds(0, 15)
	second := first + run.randomSeconds(0, 3)
	if run.rng.IntN(4) == 0 {
		second = first + run.randomSeconds(3, 25)
	}
	faults := run.generateFaults()
	run.secondIsKVOutage = len(faults) > 1 && faults[1].kvOutage
	for i := range 10 + run.rng.IntN(6) {
		run.generateJob(i+1, first, second)
	}
	if run.seed%3 == 0 && !run.withoutDependencies {
		run.generatePipelines(run.seed, first, second)
	}
	run.generateInvalidJobs()
	for i, start := range []micros.Micros{first, second, second + run.randomSeconds(0, 12)}[:len(faults)] {
		run.activeFaults++
		run.sim.after(start, func() { run.startFault(faults[i]) })
	}
	run.generateResponseDelays()
}

// awaitCompletion runs until all jobs have a terminal state, and reports jobs that exceed
// completionDeadline or maxSchedulingDelay.
func (run *faultPairRun) awaitCompletion() {
	sim := run.sim
	for deadline := sim.now + completionDeadline; sim.now < deadline && len(run.openJobs()) > 0 && len(sim.violations) == 0; {
		sim.run(micros.Second)
		run.checkSchedulingDelay()
	}
	if open := run.openJobs(); len(open) > 0 && len(sim.violations) == 0 {
		sim.reportViolation("no terminal state %v after the end of the faults: %s", completionDeadline, strings.Join(open, " "))
	}
}

// awaitJobStates checks that all nodes respond to queries about all accepted jobs within
// jobStateDeadline, which is well below the 75 s of maxUnansweredTime. It repeats the queries, because a
// node that has just started does not acknowledge cancellations for some time.
func (run *faultPairRun) awaitJobStates() {
	sim := run.sim
	for deadline := sim.now + jobStateDeadline; ; {
		missing := run.missingJobStates()
		if len(missing) == 0 {
			return
		}
		if sim.now >= deadline || len(sim.violations) > 0 {
			sim.reportViolation("forgotten: %v after the end of the faults, queries about these jobs fail: %s", sim.now-sim.faultsEndedAt, strings.Join(missing, " "))
			return
		}
	}
}

// missingJobStates queries all nodes about all accepted jobs. It returns the failed queries, each as
// "JOB at NODE".
func (run *faultPairRun) missingJobStates() []string {
	sim := run.sim
	missing := map[string]bool{}
	for _, id := range ordered.Keys(sim.accepted) {
		for node := range sim.nodes {
			key := fmt.Sprintf("%s at %s", id, nodeName(node))
			missing[key] = true
			run.sendJobRequest(node, "GET", id, "", func(response Respond) {
				if response.Status == 200 {
					delete(missing, key)
				}
			})
			sim.run(2 * simulationStep)
		}
	}
	sim.run(3 * micros.Second)
	return ordered.Keys(missing)
}

// openJobs returns the valid jobs for which no terminal state has been reported to a user.
func (run *faultPairRun) openJobs() []string {
	var open []string
	for _, id := range unfinishedJobs(run.sim) {
		if run.expectedRefusalStatus[id] == 0 {
			open = append(open, id)
		}
	}
	return open
}

func (run *faultPairRun) summary() string {
	sim := run.sim
	return fmt.Sprintf("%v: %d tasks started, %d of them after an acknowledged cancellation; %d jobs submitted, %d cancelled; %d late copies of commands delivered, which started %d tasks",
		sim.now-micros.Hour, sim.startedTasks, sim.users.startsAfterCancel, len(sim.submitted), len(sim.acknowledgedCancellations), sim.lateCommands.delivered, sim.lateCommands.started)
}
