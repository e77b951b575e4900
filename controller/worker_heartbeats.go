package controller

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// maxCountedHeartbeats bounds the recent heartbeats of workers that are counted.
	maxCountedHeartbeats = 256
	// heartbeatCountWindow is the time over which heartbeats of workers count as recent.
	heartbeatCountWindow = 5 * micros.Second
	// otherZoneTimeoutIntervals is the number of heartbeat intervals without a heartbeat from another
	// zone after which a node considers its own zone partitioned.
	otherZoneTimeoutIntervals = 2
)

// workerHeartbeats tracks the heartbeats that reach this node, whether it owns the machines or not.
type workerHeartbeats struct {
	recent        []micros.Micros // times of arrival, the latest last
	lastOtherZone micros.Micros   // the time of the last heartbeat from another zone
}

func (h *workerHeartbeats) recentCount() int { return len(h.recent) }

func (h *workerHeartbeats) record(now micros.Micros) {
	if len(h.recent) < maxCountedHeartbeats {
		h.recent = append(h.recent, now)
	}
}

// prune removes the heartbeats that are no longer recent.
func (h *workerHeartbeats) prune(now micros.Micros) {
	for len(h.recent) > 0 && now-h.recent[0] > heartbeatCountWindow {
		h.recent = h.recent[1:]
	}
}

// handleHeartbeat handles a worker's heartbeat, whether this node owns machines or not.
func (c *Core) handleHeartbeat(r Request) {
	c.counters.heartbeats++
	heartbeat, err := wire.DecodeHeartbeat(r.Body)
	if err != nil {
		c.counters.dropped++
		c.respond(r.ID, wire.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	c.workerHeartbeats.record(c.now)
	c.handover.ObserveHeartbeat(heartbeat.Machine, heartbeat.AgentEpoch)
	switch {
	case c.owner != nil:
		c.owner.workers.HandleHeartbeat(r.ID, heartbeat)
	case c.mayExtendForeignLease(heartbeat):
		c.respond(r.ID, wire.StatusOK, wire.HeartbeatResponse{FencingToken: heartbeat.FencingToken})
	default:
		c.respond(r.ID, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: c.heartbeatTarget(heartbeat.Machine)})
	}
}

// mayExtendForeignLease reports whether this node, which owns no teams, may extend the lease of a
// worker that has tasks by responding to its heartbeat. That is allowed only if the node's zone is
// partitioned: a worker of the same zone that sends its heartbeat to this node has then lost the
// connection to its owner by the same partition.
//
// The response repeats the worker's own fencing token and contains no commands, so it changes no
// state but the lease. It is sent only if all tasks are of jobs that were active when this node last
// read the records. If one of the jobs was cancelled later, the machine's current owner terminates the
// machine before the cancellation deadline. If only this node is partitioned, not its zone, it also
// receives heartbeats from other zones, and it redirects all workers.
func (c *Core) mayExtendForeignLease(heartbeat *wire.Heartbeat) bool {
	if heartbeat.Zone != c.cfg.Zone {
		c.workerHeartbeats.lastOtherZone = c.now
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
// within the last otherZoneTimeoutIntervals intervals. It returns false again when the store has not
// responded for longer than the partition timeout.
func (c *Core) zonePartitioned() bool {
	if !c.store.Unavailable() || c.now-c.workerHeartbeats.lastOtherZone < otherZoneTimeoutIntervals*c.cfg.HeartbeatInterval ||
		c.now-c.store.LastSuccess() > c.cfg.Tuning.PartitionTimeout {
		return false
	}
	return !c.peers.AnyReachableOutside(c.cfg.Zone)
}

// mayKeepTask reports whether a task has exited or belongs to a job that is known to be active.
func (c *Core) mayKeepTask(task *wire.TaskStatus) bool {
	job, _, ok := wire.SplitTaskName(task.Task)
	if !ok {
		return false
	}
	return task.Phase == wire.PhaseExited || c.graph.Version(job) != 0 && !c.cancellations.IsCancelled(job)
}
