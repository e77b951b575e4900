package controller

import "tamarindlead/internal/wire"

// maxCountedHeartbeats bounds the recent heartbeats of workers that are counted.
const maxCountedHeartbeats = 256

// otherZoneTimeoutIntervals is the number of heartbeat intervals without a heartbeat from another
// zone after which a node considers its own zone partitioned.
const otherZoneTimeoutIntervals = 2

// handleHeartbeat handles a worker's heartbeat, whether this node owns machines or not.
func (c *Core) handleHeartbeat(r Request) {
	c.counters.heartbeats++
	heartbeat, err := wire.DecodeHeartbeat(r.Body)
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
		c.owner.handleHeartbeat(r.ID, heartbeat)
	case c.mayExtendForeignLease(heartbeat):
		c.respond(r.ID, wire.StatusOK, wire.HeartbeatResponse{FencingToken: heartbeat.FencingToken})
	default:
		c.respond(r.ID, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: c.heartbeatTarget(heartbeat.Machine)})
	}
}

// mayExtendForeignLease reports whether to respond to the heartbeat of a worker that has tasks,
// although this node owns nothing, so that the worker's lease is extended. That is allowed only if
// the node's zone is partitioned: a worker of the zone that comes here has then lost its owner in
// the same partition.
//
// The response repeats the worker's own fencing token and has no commands, so it decides nothing.
// It is given only for tasks of jobs that were active when this node last followed the records. If
// one was cancelled since, the machine's present owner terminates the machine in time. A node that
// is partitioned alone receives heartbeats of other zones too, and redirects all workers.
func (c *Core) mayExtendForeignLease(heartbeat *wire.Heartbeat) bool {
	if heartbeat.Zone != c.cfg.Zone {
		c.lastOtherZoneHeartbeat = c.now
		return false
	}
	if heartbeat.FencingToken == 0 || len(heartbeat.Tasks) == 0 || !c.zonePartitioned() || !c.mayRenewLease() {
		return false
	}
	for i := range heartbeat.Tasks {
		if !c.mayKeepTask(&heartbeat.Tasks[i]) {
			return false
		}
	}
	return true
}

// zonePartitioned reports whether this node has no contact with other zones: neither the key-value
// store nor a peer of another zone is reachable, and no worker of another zone has sent a heartbeat
// lately. It returns false again once that has lasted for the partition timeout.
func (c *Core) zonePartitioned() bool {
	if !c.store.Unavailable() || c.now-c.lastOtherZoneHeartbeat < otherZoneTimeoutIntervals*c.cfg.HeartbeatInterval ||
		c.now-c.store.LastSuccess() > c.cfg.Tuning.PartitionTimeout {
		return false
	}
	for _, p := range c.peers {
		if p.Zone != c.cfg.Zone && p.fresh(c.now) {
			return false
		}
	}
	return true
}

// mayKeepTask reports whether a task has exited or belongs to a job that is known to be active.
func (c *Core) mayKeepTask(task *wire.TaskStatus) bool {
	job, _, ok := wire.SplitTaskName(task.Task)
	if !ok {
		return false
	}
	return task.Phase == wire.PhaseExited || c.graph.Version(job) != 0 && !c.cancellations.HasEnded(job)
}
