package fleet

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
)

// This file finds zones that are cut off from this node.

// A zone is partitioned when of at least minZoneMachines machines at most maxResponsiveFraction are
// heard, while some elsewhere are.
const (
	minZoneMachines       = 4
	maxResponsiveFraction = 0.15
)

// zoneHealth counts the machines of a zone by whether they report.
type zoneHealth struct {
	unresponsive int
	responsive   int
}

// partitioned tells whether a zone is cut off, given how many machines are heard in all zones.
func (z zoneHealth) partitioned(heardInAll int) bool {
	all := z.unresponsive + z.responsive
	return all >= minZoneMachines && float64(z.responsive) <= maxResponsiveFraction*float64(all) && heardInAll > z.responsive
}

// detectPartitions finds zones that are cut off: nothing is rented there, and machines on which
// gangs run are not given up at once, for what runs there goes on (see retainedInPartition).
func (f *Fleet) detectPartitions() {
	zones, heardInAll := f.zoneHealth()
	for _, zone := range ordered.Keys(zones) {
		health := *zones[zone]
		partitioned := health.partitioned(heardInAll)
		if partitioned == (f.partitionedSince[zone] != 0) {
			continue
		}
		f.log.Warn("zone", "zone", zone, "partitioned", partitioned, "silent", health.unresponsive, "heard", health.responsive)
		if partitioned {
			f.partitionedSince[zone] = f.now
		} else {
			delete(f.partitionedSince, zone)
			f.extendHeartbeatGrace(zone)
		}
	}
}

// zoneHealth counts by zone, and in all, which machines are heard.
func (f *Fleet) zoneHealth() (zones map[string]*zoneHealth, heardInAll int) {
	zones = map[string]*zoneHealth{}
	for _, m := range f.SortedMachines {
		zone := zones[m.Zone]
		if zone == nil {
			zone = &zoneHealth{}
			zones[m.Zone] = zone
		}
		switch {
		case !hasBooted(m):
		case f.now-m.LastHeartbeat > maxMissedHeartbeats*f.settings.HeartbeatInterval:
			zone.unresponsive++
		case m.AgentEpoch != 0:
			zone.responsive++
			heardInAll++
		}
	}
	return zones, heardInAll
}

// extendHeartbeatGrace gives the workers of a zone that is not cut off any more time to find this node.
func (f *Fleet) extendHeartbeatGrace(zone string) {
	for _, m := range f.SortedMachines {
		if m.Zone == zone {
			m.HeartbeatGraceUntil = f.now + f.settings.FailoverGrace()
		}
	}
}

// retainedInPartition tells that a silent machine in a partitioned zone is kept: a gang runs on it,
// which would lose its work and find no other machine, or gangs will want it as soon as the
// partition ends. Not one with tasks of a job that is over, which must be gone in time.
func (f *Fleet) retainedInPartition(m *inventory.Machine) bool {
	if f.partitionedSince[m.Zone] == 0 || f.unresponsiveFor(m) > f.settings.Tuning.PartitionTimeout || m.Failed || m.ReclaimAt != 0 {
		return false
	}
	gang := len(m.Attempts) == 0 && f.isScarce(m) && m.State <= inventory.MachineReady
	for _, a := range m.Attempts {
		if a.Job.State == inventory.JobEnded {
			return false
		}
		gang = gang || a.Job.Gang
	}
	return gang
}
