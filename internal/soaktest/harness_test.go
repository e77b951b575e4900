package soaktest

import (
	"slices"
	"testing"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// testJob is the job of newTestHarness.
const testJob = "req-000001"

// atSecond returns a time of these tests, in seconds since the start of a run.
func atSecond(s float64) micros.Micros { return startTime + micros.FromSeconds(s) }

// newTestHarness returns a run without processes, 10 min after its start, in which testJob was
// submitted.
func newTestHarness() (*harness, *jobHistory) {
	h := &harness{
		options: Options{Seed: 1, Controllers: 3, Machines: 4}, startedAt: time.Now().Add(-10 * time.Minute),
		rng: newRandom(1, 1), kvStore: fake.NewKVStore(), cloud: fake.NewCloud(),
		fleet: fake.NewFleet(fake.FleetTimeouts{Lease: workerLease, GangPeerTimeout: gangPeerTimeout, GangWaitTimeout: gangWaitTimeout}),
	}
	h.cloud.Types = []wire.MachineType{machineType()}
	h.checker = newChecker(h)
	history := &jobHistory{
		job: &sched.Job{
			ID: testJob, Team: "service", Tasks: 2, Need: sched.NewResources(2, 0, 2), OneZone: true, Zone: "north",
		},
		taskInfo: fake.TaskInfo{CPU: 2, Tasks: 2},
	}
	h.checker.addJob(history)
	return h, history
}

// checkRules checks that exactly the rules in want were violated, in the order of their first violations.
func checkRules(t *testing.T, c *checker, want []Rule) {
	t.Helper()
	var got []Rule
	for _, v := range c.violations {
		if !slices.Contains(got, v.Rule) {
			got = append(got, v.Rule)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("violated rules %v, want %v; violations:\n%v", got, want, c.violations)
	}
}
