package fleet

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
)

// A zone is considered partitioned if it has at least minZoneMachines machines and at most the fraction
// maxResponsiveFraction of them responds, while machines in other zones respond.
const (
	minZoneMachines       = 4
	maxResponsiveFraction = 0.15
)

// zoneHealth counts the responsive and unresponsive machines of a zone.
type zoneHealth struct {
	unresponsive int
	responsive   int
}

// partitioned reports whether a zone is partitioned, given the number of responsive machines in all
// zones.
func (z zoneHealth) partitioned(responsiveTotal int) bool {
	total := z.unresponsive + z.responsive
	return total >= minZoneMachines && float64(z.responsive) <= maxResponsiveFraction*float64(total) && responsiveTotal > z.responsive
}

// detectPartitions detects the zones that are partitioned from this node. No machines are requested in
// them, and some of their unresponsive machines are retained (see retainedInPartition), since their
// tasks continue to run.
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

// zoneHealth counts the responsive and unresponsive machines by zone, and the responsive machines in
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

// extendHeartbeatGrace gives the machines of a zone whose partition has ended time to send a heartbeat
// to this node.
func (f *Fleet) extendHeartbeatGrace(zone string) {
	for _, m := range f.SortedMachines {
		if m.Zone == zone {
			m.HeartbeatGraceUntil = f.now + f.settings.FailoverGrace()
		}
	}
}

// retainedInPartition reports whether an unresponsive machine in a partitioned zone is retained. Either
// it runs a task of a gang, which would lose its progress and find no other machines, or it is an empty
// machine of a scarce type, which gangs will need after the partition. A machine with tasks of an ended
// job is not retained, since these must stop before the cancellation deadline.
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
