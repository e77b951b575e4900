package controller

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/config"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file makes the worlds of scenarios.

// newScenarioSimulation makes zones, two machine types and a few machines.
func newScenarioSimulation(t *testing.T, d *datadriven.TestData) *simulation {
	team := func(name string) config.Team {
		return config.Team{
			Name:            name,
			GuaranteedQuota: sched.NewResources(argNumber(t, d, "guarantee", 0), 0, 0),
			QuotaLimit:      sched.NewResources(argNumber(t, d, "limit", 0), 0, 0),
		}
	}
	zones := []string{"a", "b", "c"}[:arg(t, d, "zones", 2)]
	cfg := &config.Settings{
		Zone: "a", KVAddr: "state", CloudAddr: "cloud", Zones: zones,
		Siblings:          make([]config.Sibling, arg(t, d, "nodes", 3)-1),
		Teams:             []config.Team{team("red"), team("blue")},
		HeartbeatInterval: argSeconds(t, d, "report", 3), WorkerLease: argSeconds(t, d, "lease", 15), GangStartTimeout: 30 * micros.Second,
		GangFailureTimeout: 5 * micros.Second, CancellationDeadline: argSeconds(t, d, "cancel", 45),
		Sockets:       arg(t, d, "sockets", 400),
		KVRequestRate: argNumber(t, d, "rps", 150), KVWriteRate: argNumber(t, d, "writes", 40),
		MaxValueBytes: arg(t, d, "value", 8<<10), MaxTransactionOps: arg(t, d, "ops", 12), CloudRequestRate: 5, CloudListLag: 6 * micros.Second,
		Tuning: config.DefaultTuning(),
	}
	for i := range arg(t, d, "teams", 0) {
		cfg.Teams = append(cfg.Teams, team(teamName(i)))
	}
	cfg.Tuning.MaxMachines = arg(t, d, "most", 0)
	cfg.Tuning.SpreadTeams = d.HasArg("spread")
	sim := newSimulation(scenarioSeed(t, d), cfg)
	sim.nextLimits = parseNextLimits(t, d)
	sim.applyResponseDelayFromEnv(t)
	sim.cloud.Now = sim.now
	bigZones := zones[arg(t, d, "no-big-in", 0):] // the first zones may lack the big type
	sim.cloud.Types = []wire.MachineType{
		{Name: "small", CPUs: 8, MemGB: 32, CacheGB: 50, FetchGBPerS: 1, HourlyPrice: 1, SpotPrice: 0.3, BootS: 10, Zones: zones},
		{Name: "big", CPUs: 32, MemGB: 128, CacheGB: 50, FetchGBPerS: 1, HourlyPrice: 4, SpotPrice: 1.2, BootS: 15, Zones: bigZones},
	}
	for _, typ := range []string{"small", "big"} {
		for _, z := range zones {
			if typ == "big" && !slices.Contains(bigZones, z) {
				continue
			}
			sim.cloud.Capacity[typ+" "+z+" false"] = arg(t, d, "capacity", 10)
			sim.cloud.Capacity[typ+" "+z+" true"] = arg(t, d, "spots", 0)
		}
	}
	for i := range arg(t, d, "machines", 4) {
		sim.cloud.Add(arg(t, d, "type", "small"), zones[i%len(zones)], false, 0)
	}
	sim.lossRate, sim.lateRequestRate, sim.duplicateRequestRate = argNumber(t, d, "loss", 0), argNumber(t, d, "late", 0), argNumber(t, d, "dup", 0)
	if n := arg(t, d, "production", -1); n >= 0 { // so many nodes begin with that version
		sim.startWithProduction(t, n)
	}
	return sim
}

func jobName(i int) string { return fmt.Sprintf("req-%06d", i) }

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }
