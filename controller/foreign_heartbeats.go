package controller

import "tamarindlead/internal/wire"

// maxCountedHeartbeats bounds the arrivals of reports that are counted.
const maxCountedHeartbeats = 256

// handleHeartbeat handles a worker's report, whether this node owns machines or not.
func (c *Core) handleHeartbeat(r Request) {
	c.counters.heartbeats++
	report, err := wire.DecodeHeartbeat(r.Body)
	if err != nil {
		c.counters.dropped++
		c.respond(r.ID, wire.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	if len(c.recentHeartbeats) < maxCountedHeartbeats {
		c.recentHeartbeats = append(c.recentHeartbeats, c.now)
	}
	switch {
	case c.owner != nil:
		c.owner.handleHeartbeat(r.ID, report)
	case c.mayExtendForeignLease(report):
		c.respond(r.ID, wire.StatusOK, wire.HeartbeatResponse{FencingToken: report.FencingToken})
	default:
		c.respond(r.ID, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: c.heartbeatTarget(report.Machine)})
	}
}

// otherZoneTimeoutIntervals is the number of report intervals without a report from another zone
// after which a node takes its own zone for partitioned.
const otherZoneTimeoutIntervals = 2

// mayExtendForeignLease tells whether to answer a worker that has tasks although this node owns nothing,
// so that its lease goes on. It does so only if the node's zone is partitioned: a worker of
// the zone that comes here has then lost its owner in the same partition.
//
// The answer repeats the worker's own token and has no commands, so it decides nothing. Only
// tasks of jobs that were not over when this node last followed the records are kept; for
// those that were cancelled since, the machine's present owner has it deleted in time. A node
// that is cut off alone hears workers of other zones too, and redirects all.
func (c *Core) mayExtendForeignLease(report *wire.Heartbeat) bool {
	if report.Zone != c.cfg.Zone {
		c.lastOtherZoneHeartbeat = c.now
		return false
	}
	if report.FencingToken == 0 || len(report.Tasks) == 0 || !c.zonePartitioned() || !c.mayRenewLease() {
		return false
	}
	for i := range report.Tasks {
		if !c.mayKeepTask(&report.Tasks[i]) {
			return false
		}
	}
	return true
}

// zonePartitioned tells whether this node reaches neither the state service nor a peer of
// another zone, nor is reached by workers of another zone, and has not been for too long.
func (c *Core) zonePartitioned() bool {
	if !c.store.Unavailable() || c.now-c.lastOtherZoneHeartbeat < otherZoneTimeoutIntervals*c.cfg.HeartbeatInterval ||
		c.now-c.store.LastSuccess() > c.cfg.Tuning.PartitionTimeout {
		return false
	}
	for _, s := range c.peers {
		if s.Zone != c.cfg.Zone && s.fresh(c.now) {
			return false
		}
	}
	return true
}

// mayKeepTask tells whether a task has exited or belongs to a job that is known to be active.
func (c *Core) mayKeepTask(task *wire.TaskStatus) bool {
	id, _, ok := wire.SplitTaskName(task.Task)
	if !ok {
		return false
	}
	return task.Phase == wire.PhaseExited || c.graph.Version(id) != 0 && !c.cancellations.HasEnded(id)
}
