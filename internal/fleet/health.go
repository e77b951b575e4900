package fleet

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// Limits beyond which a machine, or this node, is considered faulty.
const (
	// maxMissedHeartbeats is the number of consecutive heartbeats that may be missing before a
	// machine may be considered unresponsive, since a few are lost or delayed in normal operation.
	maxMissedHeartbeats = 2
	// maxMissedListings is the number of consecutive readings of the cloud's list without a machine
	// after which the machine is considered unlisted.
	maxMissedListings = 2
	// isolatedTimeoutFactor multiplies the heartbeat timeout while no heartbeat arrives from any
	// machine, since the fault is then probably in this node.
	isolatedTimeoutFactor = 3
	// unreachableTimeoutFactor is the number of heartbeat timeouts for which a machine may be
	// unreachable while many machines are unreachable.
	unreachableTimeoutFactor = 4
	// minUnreachableMachines and unreachableDivisor determine how many machines may be unreachable
	// at the same time before this node is considered faulty: the number of machines divided by
	// unreachableDivisor, but at least minUnreachableMachines.
	minUnreachableMachines = 2
	unreachableDivisor     = 10
	// defaultBootTime is the assumed boot time of machines whose type is not known.
	defaultBootTime = micros.Minute
	// inspectTimeout is the time within which a machine must respond to an inspection after a
	// failover if a task of a cancelled job must stop soon. It is short because after several
	// failovers in a row, each owner waits that long.
	inspectTimeout = 3 * micros.Second
)

const (
	// OverdueDecommissionFraction is the fraction of the cancellation deadline after which an
	// unresponsive machine with a task of a cancelled job is decommissioned, regardless of its
	// other tasks and of the time since the failover.
	OverdueDecommissionFraction = 0.5
	// overdueTerminateFraction is the fraction of the cancellation deadline after which the
	// termination of the machine is requested from the cloud even if the decision cannot be
	// recorded, since the key-value store may be unavailable beyond the deadline. If the cloud
	// executes the request only after a failover, the successor detects the loss of the machine
	// from its missing heartbeats or from the cloud's list.
	overdueTerminateFraction = 0.6
)

// nodeHealth is the health of this node as inferred from all machines together.
type nodeHealth struct {
	isolated        bool // no heartbeats from any machine: the fault is probably in this node
	manyUnreachable bool // too many machines are unreachable for the fault to be in the machines
}

// CheckHealth decommissions lost machines and drained machines without tasks. The decision is recorded
// before the termination is requested from the cloud: a partitioned controller, which receives no
// heartbeats, cannot record the decision, whereas its requests to the cloud could be delayed and
// executed after a failover.
func (f *Fleet) CheckHealth() {
	f.refresh()
	node := f.nodeHealth()
	f.detectPartitions()
	for _, m := range f.SortedMachines {
		if f.mustDecommission(m) {
			f.decommission(m, DecommissionCancellationOverdue)
		}
		switch {
		case m.State == inventory.MachineDecommissioning:
			f.TerminationNeeded = f.TerminationNeeded || f.cancellationOverdue(m, overdueTerminateFraction)
		case m.ExpectsHeartbeat():
			f.decommission(m, f.checkRunning(m, node))
		case m.State == inventory.MachineBooting:
			f.decommission(m, f.checkBooting(m))
		}
	}
}

// decommission decides to terminate a machine, unless the reason is NotDecommissioned.
func (f *Fleet) decommission(m *inventory.Machine, reason DecommissionReason) {
	if reason == NotDecommissioned {
		return
	}
	if reason.isMachineLoss() {
		f.jobs.RecordSpotReclaimed(m)
	}
	f.SetMachineState(m, inventory.MachineDecommissioning, reason.String())
}

// nodeHealth infers the health of this node from all machines together.
func (f *Fleet) nodeHealth() nodeHealth {
	unreachable := 0
	for _, m := range f.SortedMachines {
		if f.isUnreachable(m) {
			unreachable++
		}
	}
	sinceHeartbeat := f.now - max(f.host.LastHeartbeat(), f.host.ActiveSince())
	return nodeHealth{
		isolated:        sinceHeartbeat > f.heartbeatTolerance(),
		manyUnreachable: unreachable > max(minUnreachableMachines, len(f.SortedMachines)/unreachableDivisor),
	}
}

// mustDecommission reports whether a machine is unresponsive and has a task of an ended job that must
// be stopped soon.
func (f *Fleet) mustDecommission(m *inventory.Machine) bool {
	if m.State >= inventory.MachineDecommissioning || !f.cancellationOverdue(m, OverdueDecommissionFraction) {
		return false
	}
	timeout := f.heartbeatTolerance()
	if m.AgentEpoch == 0 && f.cancellationOverdue(m, overdueTerminateFraction) {
		timeout = inspectTimeout
	}
	return f.sinceLastHeartbeat(m) > timeout
}

// checkBooting returns the reason for which a machine that has sent no heartbeat yet must be
// decommissioned, or NotDecommissioned. After a failover, such a machine may have booted long ago.
func (f *Fleet) checkBooting(m *inventory.Machine) DecommissionReason {
	if f.retainedInPartition(m) {
		return NotDecommissioned
	}
	boot := defaultBootTime
	if t := findType(f.types, m.Type); t != nil {
		boot = t.Boot
	}
	heartbeatTimeout := f.settings.HeartbeatTimeout()
	bootTimeout := micros.Micros(f.settings.Tuning.BootTimeoutFactor*float64(boot)) + heartbeatTimeout
	if m.Failed || f.wallClock-m.ProvisionedAt > bootTimeout && f.unresponsiveFor(m) > heartbeatTimeout {
		return DecommissionBootTimeout
	}
	return NotDecommissioned
}

// checkRunning returns the reason for which a machine that should send heartbeats must be
// decommissioned, or NotDecommissioned.
func (f *Fleet) checkRunning(m *inventory.Machine, node nodeHealth) DecommissionReason {
	unresponsive, timeout := f.unresponsiveFor(m), f.machineHeartbeatTimeout(m)
	switch {
	case m.Failed:
		return DecommissionFailed
	case m.MissedListings >= maxMissedListings && unresponsive > f.heartbeatTolerance():
		return DecommissionUnlisted
	case unresponsive > timeout && (f.retainedInPartition(m) || f.retainedForGangs(m)):
		return NotDecommissioned
	case unresponsive > timeout && (!node.isolated || unresponsive > isolatedTimeoutFactor*timeout):
		return DecommissionUnresponsive
	case f.isUnreachable(m) && f.unreachableTimedOut(m, node):
		return DecommissionUnreachable
	case m.State == inventory.MachineDraining && len(m.Attempts) == 0 && m.FencingToken != 0:
		return DecommissionDrained
	}
	return NotDecommissioned
}

// isUnreachable reports whether a machine's heartbeats arrive but nothing sent to the machine does, as
// shown by a fencing token that has not been confirmed for longer than the timeouts. The machine's
// tasks run until its lease expires; after that it is idle but still billed.
func (f *Fleet) isUnreachable(m *inventory.Machine) bool {
	return m.FencingToken != 0 && m.State.IsUp() && !m.TokenConfirmed &&
		f.now-m.TokenConfirmedAt > f.settings.HeartbeatTimeout()+f.heartbeatTolerance()
}

// unreachableTimedOut reports whether an unreachable machine is decommissioned. If many machines are
// unreachable, the fault is probably in this node, for instance because its responses are so slow that
// the workers discard them; the machines then get more time.
func (f *Fleet) unreachableTimedOut(m *inventory.Machine, node nodeHealth) bool {
	return !node.manyUnreachable || f.now-m.TokenConfirmedAt > unreachableTimeoutFactor*f.settings.HeartbeatTimeout()
}

func (f *Fleet) cancellationOverdue(m *inventory.Machine, fraction float64) bool {
	return f.CancellationOverdue(m, fraction, f.now)
}

// CancellationOverdue reports whether a machine has a task whose job ended longer ago than the given
// fraction of the cancellation deadline.
func (f *Fleet) CancellationOverdue(m *inventory.Machine, fraction float64, now micros.Micros) bool {
	limit := micros.Micros(fraction * float64(f.settings.CancellationDeadline))
	for _, a := range m.Attempts {
		if a.Job.State == inventory.JobEnded && a.Job.CancelledAt != 0 && !a.ResourcesReleased && now-a.Job.CancelledAt > limit {
			return true
		}
	}
	return false
}

// heartbeatTolerance returns the time without a heartbeat during which a machine is still considered
// responsive.
func (f *Fleet) heartbeatTolerance() micros.Micros {
	return maxMissedHeartbeats * f.settings.HeartbeatInterval
}

// machineHeartbeatTimeout returns how long a machine may be unresponsive. The timeout is shorter after
// the time at which the cloud reclaims the machine.
func (f *Fleet) machineHeartbeatTimeout(m *inventory.Machine) micros.Micros {
	if m.ReclaimAt != 0 && f.now > m.ReclaimAt {
		return f.settings.HeartbeatInterval * 3 / 2
	}
	return f.settings.HeartbeatTimeout()
}

// sinceLastHeartbeat returns the time since a machine's last heartbeat to this owner or, if there was
// none, since the owner became active.
func (f *Fleet) sinceLastHeartbeat(m *inventory.Machine) micros.Micros {
	if m.AgentEpoch == 0 {
		return f.now - f.host.ActiveSince()
	}
	return f.now - min(m.LastHeartbeat, f.now)
}

// unresponsiveFor returns how long a machine has sent no heartbeat, not counting its grace period after
// a failover or a network partition.
func (f *Fleet) unresponsiveFor(m *inventory.Machine) micros.Micros {
	return f.now - max(m.LastHeartbeat, m.HeartbeatGraceUntil)
}
