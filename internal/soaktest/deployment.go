package soaktest

import (
	"fmt"
	"net"
	"strings"

	"tamarindlead/config"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// The deployment that a run plays. Its times are short, so that much happens in a minute.
const (
	heartbeatInterval = 2 * micros.Second
	workerLease       = 10 * micros.Second
	gangWait          = 15 * micros.Second
	gangPeer          = 4 * micros.Second
	cancelDeadline    = 30 * micros.Second
	valueBytes        = 8 << 10
	txnOps            = 16
	cloudRPS          = 10
	listDelay         = 2 * micros.Second
	nodeMemoryMB      = 250
	clockBoundMS      = 100
	machineCPUs       = 8
	machineMemGB      = 32
	bootS             = 1.5
	hourlyPrice       = 1.0
	marketPrice       = 0.3
	localGB           = 50
	fetchGBPerS       = 1
)

// kvLimits are the limits of the state service.
type kvLimits struct{ rps, writes float64 }

// drawKVLimits draws the limits: mostly they are generous, so that much meets; in a quarter of the
// runs they are what small deployments have, and requests are refused.
func drawKVLimits(seed uint64) kvLimits {
	if seed%4 == 3 {
		return kvLimits{rps: 300, writes: 60}
	}
	return kvLimits{rps: 3000, writes: 600}
}

var zones = []string{"north", "south"}

// teams are the teams of a deployment with so many machines: one is limited.
func teams(machines int) []config.Team {
	half := sched.NewResources(machineCPUs*float64(machines)/2, 0, 0)
	return []config.Team{
		{Name: "research", GuaranteedQuota: sched.NewResources(machineCPUs, 0, 0)},
		{Name: "service", QuotaLimit: half},
	}
}

// machineType is the only type of machine.
func machineType() wire.MachineType {
	return wire.MachineType{
		Name: "standard", CPUs: machineCPUs, MemGB: machineMemGB, CacheGB: localGB, FetchGBPerS: fetchGBPerS,
		HourlyPrice: hourlyPrice, SpotPrice: marketPrice, BootS: bootS, Zones: zones,
	}
}

// addresses are where the parties of a run listen: on a loopback network of its own, at ports
// that no outgoing connection takes.
type addresses struct{ network string }

// Hosts and ports of a run's network.
const (
	fakeHost       = 1
	workerHost     = 2
	controllerHost = 10 // and the next ones
	statePort      = 7000
	cloudPort      = 7100
	peerPort       = 7200 // and the next ones, for each pair
	usersPort      = 8080
	peersPort      = 8081
	workerPort     = 10000 // and the next ones
	lastWorkerPort = 32000
)

// findNetwork finds a loopback network that no other run uses.
func findNetwork(pick func(n int) int) (addresses, error) {
	for range 50 {
		a := addresses{fmt.Sprintf("127.%d.%d", 1+pick(250), pick(250))}
		probe, err := net.Listen("tcp4", a.state(0))
		if err == nil {
			probe.Close()
			return a, nil
		}
	}
	return addresses{}, fmt.Errorf("no loopback network is free")
}

func (a addresses) at(host, port int) string { return fmt.Sprintf("%s.%d:%d", a.network, host, port) }

// state is where a controller finds the state service, and cloud the cloud.
func (a addresses) state(controller int) string { return a.at(fakeHost, statePort+controller) }
func (a addresses) cloud(controller int) string { return a.at(fakeHost, cloudPort+controller) }

// peer is where one controller finds another.
func (a addresses) peer(from, to int) string {
	return a.at(fakeHost, peerPort+from*maxControllers+to)
}

func (a addresses) users(controller int) string { return a.at(controllerHost+controller, usersPort) }
func (a addresses) peers(controller int) string { return a.at(controllerHost+controller, peersPort) }

// worker is where the n-th worker takes commands.
func (a addresses) worker(n int) string {
	return a.at(workerHost, workerPort+n%(lastWorkerPort-workerPort))
}

// platformSettings is the settings file of a controller.
func platformSettings(a addresses, node int, o Options) string {
	controllers, limits := o.Controllers, drawKVLimits(o.Seed)
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node = %q\nzone = %q", controllerName(node), zoneOf(node))
	line("listen = %q\ncluster_listen = %q", a.users(node), a.peers(node))
	for i := range controllers {
		if i != node {
			line("[[siblings]]\nnode = %q\nzone = %q\nendpoint = %q", controllerName(i), zoneOf(i), a.peer(node, i))
		}
	}
	line("[services]\ncloud = %q\nstate = %q", a.cloud(node), a.state(node))
	line("[params]\ncount = %d\nzones = [%q, %q]\ntime_bound_ms = %d", controllers, zones[0], zones[1], clockBoundMS)
	for _, t := range teams(o.Machines) {
		line("[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f", t.Name, t.GuaranteedQuota.CPUs(), t.QuotaLimit.CPUs())
	}
	line("[params.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\ngang_peer_s = %g\ncancel_s = %g",
		heartbeatInterval.Seconds(), workerLease.Seconds(), gangWait.Seconds(), gangPeer.Seconds(), cancelDeadline.Seconds())
	line("[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d",
		limits.rps, limits.writes, valueBytes>>10, txnOps)
	line("[params.cloud]\nrps = %d.0\nlist_lag_s = %g", cloudRPS, listDelay.Seconds())
	line("[params.quota]\ncores = 1.0\nram_mb = %d.0\nsockets = %d", nodeMemoryMB, o.Sockets)
	return b.String()
}

// operatorSettings is the operators' file: in every other run the teams have several owners.
func operatorSettings(seed uint64) string {
	return fmt.Sprintf("teams.spread = %t\n", seed%2 == 0)
}

func controllerName(i int) string { return fmt.Sprintf("controller-%d", i) }

func zoneOf(i int) string { return zones[i%len(zones)] }
