package fleet

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
)

// A zone is partitioned when at most maxResponsiveFraction of at least minZoneMachines machines
// respond, while some in other zones do.
const (
	minZoneMachines       = 4
	maxResponsiveFraction = 0.15
)

// zoneHealth counts the machines of a zone by whether they send heartbeats.
type zoneHealth struct {
	unresponsive int
	responsive   int
}

// partitioned reports whether a zone is partitioned, given how many machines respond in all zones.
func (z zoneHealth) partitioned(responsiveTotal int) bool {
	total := z.unresponsive + z.responsive
	return total >= minZoneMachines && float64(z.responsive) <= maxResponsiveFraction*float64(total) && responsiveTotal > z.responsive
}

// detectPartitions finds the zones that are cut off from this node: no machines are requested
// there, and some are not given up at once (see retainedInPartition), since their tasks continue.
func (f *Fleet) detectPartitions() {
	zones, responsiveTotal := f.zoneHealth()
	for _, zone := range ordered.Keys(zones) {
		health := *zones[zone]
		partitioned := health.partitioned(responsiveTotal)
		if partitioned == (f.partitionedSince[zone] != 0) {
			continue
		}
		f.log.Warn("network partition state changed", "zone", zone, "partitioned", partitioned,
			"unresponsive", health.unresponsive, "responsive", health.responsive)
		if partitioned {
			f.partitionedSince[zone] = f.now
		} else {
			delete(f.partitionedSince, zone)
			f.extendHeartbeatGrace(zone)
		}
	}
}

// zoneHealth counts the responsive and unresponsive machines by zone, and the responsive ones in
// all zones.
func (f *Fleet) zoneHealth() (zones map[string]*zoneHealth, responsiveTotal int) {
	zones = map[string]*zoneHealth{}
	tolerance := f.heartbeatTolerance()
	for _, m := range f.SortedMachines {
		zone := zones[m.Zone]
		if zone == nil {
			zone = &zoneHealth{}
			zones[m.Zone] = zone
		}
		switch {
		case !m.ExpectsHeartbeat():
		case f.now-m.LastHeartbeat > tolerance:
			zone.unresponsive++
		case m.AgentEpoch != 0:
			zone.responsive++
			responsiveTotal++
		}
	}
	return zones, responsiveTotal
}

// extendHeartbeatGrace gives the machines of a zone whose partition has ended time to find this
// node.
func (f *Fleet) extendHeartbeatGrace(zone string) {
	for _, m := range f.SortedMachines {
		if m.Zone == zone {
			m.HeartbeatGraceUntil = f.now + f.settings.FailoverGrace()
		}
	}
}

// retainedInPartition reports whether an unresponsive machine in a partitioned zone is kept: a
// gang runs on it, which would lose its progress and find no other machine, or gangs will need
// the machine once the partition ends. A machine with tasks of a job that has ended is not kept,
// since these must be gone in time.
func (f *Fleet) retainedInPartition(m *inventory.Machine) bool {
	if f.partitionedSince[m.Zone] == 0 || f.unresponsiveFor(m) > f.settings.Tuning.PartitionTimeout || m.Failed || m.ReclaimAt != 0 {
		return false
	}
	retained := len(m.Attempts) == 0 && f.isScarce(m) && m.State <= inventory.MachineReady
	for _, a := range m.Attempts {
		if a.Job.State == inventory.JobEnded {
			return false
		}
		retained = retained || a.Job.Gang
	}
	return retained
}
