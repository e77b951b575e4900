package soaktest

import (
	"fmt"

	"tamarindlead/config"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Parameters of the deployment that a run simulates. Its times are short, so that many events happen
// within a minute.
const (
	heartbeatInterval  = 2 * micros.Second
	workerLease        = 10 * micros.Second
	gangWaitTimeout    = 15 * micros.Second
	gangPeerTimeout    = 4 * micros.Second
	cancelDeadline     = 30 * micros.Second
	maxValueBytes      = 8 << 10
	maxTransactionOps  = 16
	cloudRPS           = 10
	listDelay          = 2 * micros.Second
	controllerMemoryMB = 250
	clockErrorBoundMS  = 100
	machineTypeName    = "standard"
	machineCPUs        = 8
	machineMemGB       = 32
	machineBootS       = 1.5
	machineHourlyPrice = 1.0
	machineSpotPrice   = 0.3
	machineCacheGB     = 50
	machineFetchGBPerS = 1
)

var zones = []string{"north", "south"}

// kvLimits are the limits of the key-value store, in requests and writes per second.
type kvLimits struct{ requestRate, writeRate float64 }

// drawKVLimits returns the limits of a run. Most runs have high limits, so that many requests are in
// flight at a time. A quarter of the runs have the limits of small deployments, so that requests are
// throttled.
func drawKVLimits(seed uint64) kvLimits {
	if seed%4 == 3 {
		return kvLimits{requestRate: 300, writeRate: 60}
	}
	return kvLimits{requestRate: 3000, writeRate: 600}
}

// teams returns the teams of a deployment with a number of machines: one has a guaranteed quota, and
// the other a quota limit of half of the machines.
func teams(machines int) []config.Team {
	half := sched.NewResources(machineCPUs*float64(machines)/2, 0, 0)
	return []config.Team{
		{Name: "research", GuaranteedQuota: sched.NewResources(machineCPUs, 0, 0)},
		{Name: "service", QuotaLimit: half},
	}
}

// machineType returns the only type of machine.
func machineType() wire.MachineType {
	return wire.MachineType{
		Name: machineTypeName, CPUs: machineCPUs, MemGB: machineMemGB,
		CacheGB: machineCacheGB, FetchGBPerS: machineFetchGBPerS,
		HourlyPrice: machineHourlyPrice, SpotPrice: machineSpotPrice,
		BootS: machineBootS, Zones: zones,
	}
}

func controllerName(i int) string { return fmt.Sprintf("controller-%d", i) }

func zoneOf(i int) string { return zones[i%len(zones)] }
