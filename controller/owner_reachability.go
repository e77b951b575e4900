package controller

import "tamarindlead/micros"

// minAllUnresponsiveTimeout is the shortest time without a heartbeat of any machine after which this
// node may be considered unreachable.
const minAllUnresponsiveTimeout = 6 * micros.Second

// allMachinesUnresponsive reports whether this owner expects heartbeats of machines and none of them
// has sent one within the timeout.
func (o *owner) allMachinesUnresponsive() bool {
	if o.state != ownerActive {
		return false
	}
	latest, expected := micros.Micros(0), 0
	for _, m := range o.Machines {
		if !m.ExpectsHeartbeat() {
			continue
		}
		lastHeartbeat := m.LastHeartbeat
		if lastHeartbeat > o.c.now { // activate has set it to the end of the failover grace
			lastHeartbeat = o.activeSince
		}
		latest = max(latest, lastHeartbeat)
		expected++
	}
	return expected > 0 && o.c.now-latest > o.allUnresponsiveTimeout(expected)
}

// allUnresponsiveTimeout returns the time without a heartbeat of any machine after which this node may
// be considered unreachable.
func (o *owner) allUnresponsiveTimeout(machines int) micros.Micros {
	if machines == 1 { // the machine is the likelier cause; it is decommissioned before this timeout
		return o.c.cfg.HeartbeatTimeout() + o.c.cfg.HeartbeatInterval
	}
	return max(minAllUnresponsiveTimeout, o.c.cfg.HeartbeatInterval*5/4)
}
