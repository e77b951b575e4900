package controller

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/config"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// newScenarioSimulation returns the simulation that a scenario's cluster command describes: its
// limits, zones, teams, two machine types and a few machines.
func newScenarioSimulation(t *testing.T, d *datadriven.TestData) *simulation {
	t.Helper()
	cfg := scenarioSettings(t, d)
	sim := newSimulation(scenarioSeed(t, d), cfg)
	t.Cleanup(func() { sim.checkArgsRead(t) })
	sim.nextLimits = parseNextLimits(t, d)
	sim.applyResponseDelayFromEnv(t)
	sim.cloud.Now = sim.now
	bigZones := cfg.Zones[arg(t, d, "zones-without-big", 0):] // the first zones may lack the big type
	sim.offerMachineTypes(10, 15, cfg.Zones, bigZones, arg(t, d, "cloud-capacity", 10), arg(t, d, "spot-capacity", 0))
	for i := range arg(t, d, "machines", 4) {
		sim.cloud.Add(arg(t, d, "machine-type", "small"), cfg.Zones[i%len(cfg.Zones)], false, 0)
	}
	sim.lossRate, sim.delayedRequestRate, sim.duplicateRequestRate = argNumber(t, d, "loss-rate", 0), argNumber(t, d, "delay-rate", 0), argNumber(t, d, "duplicate-rate", 0)
	if nodes := arg(t, d, "production-nodes", -1); nodes >= 0 {
		sim.startWithProduction(t, nodes)
	}
	return sim
}

// scenarioSettings returns the settings of the nodes that a cluster command describes.
func scenarioSettings(t *testing.T, d *datadriven.TestData) *config.Settings {
	t.Helper()
	team := func(name string) config.Team {
		return config.Team{
			Name:            name,
			GuaranteedQuota: sched.NewResources(argNumber(t, d, "guaranteed-quota", 0), 0, 0),
			QuotaLimit:      sched.NewResources(argNumber(t, d, "quota-limit", 0), 0, 0),
		}
	}
	zones := []string{"a", "b", "c"}[:arg(t, d, "zones", 2)]
	cfg := simulationSettings(arg(t, d, "nodes", 3), zones, team("red"), team("blue"))
	for i := range arg(t, d, "teams", 0) {
		cfg.Teams = append(cfg.Teams, team(teamName(i)))
	}
	cfg.HeartbeatInterval = argSeconds(t, d, "heartbeat-interval", cfg.HeartbeatInterval.Seconds())
	cfg.WorkerLease = argSeconds(t, d, "worker-lease", cfg.WorkerLease.Seconds())
	cfg.CancellationDeadline = argSeconds(t, d, "cancel-deadline", cfg.CancellationDeadline.Seconds())
	cfg.Sockets = arg(t, d, "sockets", cfg.Sockets)
	cfg.KVRequestRate = argNumber(t, d, "kv-rps", cfg.KVRequestRate)
	cfg.KVWriteRate = argNumber(t, d, "kv-write-rps", cfg.KVWriteRate)
	cfg.MaxValueBytes = arg(t, d, "max-value-bytes", cfg.MaxValueBytes)
	cfg.MaxTransactionOps = arg(t, d, "max-txn-ops", cfg.MaxTransactionOps)
	cfg.Tuning.MaxMachines = arg(t, d, "max-machines", 0)
	cfg.Tuning.SpreadTeams = d.HasArg("spread-teams")
	return cfg
}

// simulationSettings returns the settings that simulations have in common.
func simulationSettings(nodes int, zones []string, teams ...config.Team) *config.Settings {
	return &config.Settings{
		Zone:                 "a",
		KVAddr:               "state",
		CloudAddr:            "cloud",
		Zones:                zones,
		Siblings:             make([]config.Sibling, nodes-1),
		Teams:                teams,
		HeartbeatInterval:    3 * micros.Second,
		WorkerLease:          15 * micros.Second,
		GangStartTimeout:     30 * micros.Second,
		GangFailureTimeout:   5 * micros.Second,
		CancellationDeadline: 45 * micros.Second,
		Sockets:              400,
		KVRequestRate:        150,
		KVWriteRate:          40,
		MaxValueBytes:        8 << 10,
		MaxTransactionOps:    12,
		CloudRequestRate:     5,
		CloudListLag:         6 * micros.Second,
		Tuning:               config.DefaultTuning(),
	}
}

// offerMachineTypes has the cloud offer a small and a big machine type. onDemand and spot are the
// numbers of machines of each type that are available per zone.
func (sim *simulation) offerMachineTypes(smallBootS, bigBootS float64, smallZones, bigZones []string, onDemand, spot int) {
	sim.cloud.Types = []wire.MachineType{
		{Name: "small", CPUs: 8, MemGB: 32, CacheGB: 50, FetchGBPerS: 1, HourlyPrice: 1, SpotPrice: 0.3, BootS: smallBootS, Zones: smallZones},
		{Name: "big", CPUs: 32, MemGB: 128, CacheGB: 50, FetchGBPerS: 1, HourlyPrice: 4, SpotPrice: 1.2, BootS: bigBootS, Zones: bigZones},
	}
	for _, machineType := range sim.cloud.Types {
		for _, zone := range machineType.Zones {
			sim.cloud.Capacity[machineType.Name+" "+zone+" false"] = onDemand
			sim.cloud.Capacity[machineType.Name+" "+zone+" true"] = spot
		}
	}
}

func jobName(i int) string { return fmt.Sprintf("req-%06d", i) }

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }
