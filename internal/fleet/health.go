package fleet

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// Bounds beyond which a machine, or this node, counts as faulty.
const (
	// maxMissedHeartbeats is how many heartbeats in a row may be missing before the machine may
	// count as unresponsive: a few are lost or delayed in normal operation.
	maxMissedHeartbeats = 2
	// maxMissedListings is how many readings of the cloud's list in a row must lack a machine.
	maxMissedListings = 2
	// isolatedTimeoutFactor prolongs the heartbeat timeout while no machine at all sends
	// heartbeats: the fault is probably this node's.
	isolatedTimeoutFactor = 3
	// unreachableTimeoutFactor is how many heartbeat timeouts a machine may be unreachable
	// while many are.
	unreachableTimeoutFactor = 4
	// minUnreachableMachines and unreachableDivisor give the number of machines that may be
	// unreachable at the same time before this node counts as faulty: that part of all
	// machines, and at least the minimum.
	minUnreachableMachines = 2
	unreachableDivisor     = 10
	// defaultBootTime is the boot time of machines whose type is not known.
	defaultBootTime = micros.Minute
	// inspectTimeout is how long a machine has to answer an inspection after a failover, when
	// there is no time for more: after several failovers in a row, each owner waits that long.
	inspectTimeout = 3 * micros.Second
)

const (
	// OverdueDecommissionFraction is the fraction of the cancellation deadline after which an
	// unresponsive machine with a task of a cancelled job is decommissioned, regardless of its
	// other tasks and of the time since the failover.
	OverdueDecommissionFraction = 0.5
	// overdueTerminateFraction is the fraction after which the cloud is asked to terminate the
	// machine even if the decision cannot be recorded: the key-value store may be unavailable
	// for longer. If the cloud executes the request only after a failover, the next owner
	// detects the loss of the machine by its missing heartbeats or by the cloud's list.
	overdueTerminateFraction = 0.6
)

// nodeHealth is what all machines together show about this node.
type nodeHealth struct {
	isolated        bool // no machine sends heartbeats: the fault is probably this node's
	manyUnreachable bool // too many machines are unreachable for the fault to be theirs
}

// CheckHealth decommissions the machines that are lost, and the drained ones that are empty. The
// decision is recorded before the cloud is asked: a controller that is cut off, and therefore
// receives no heartbeats, cannot record it, while its requests to the cloud could be delayed and
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

// decommission decides to terminate a machine, if there is a reason.
func (f *Fleet) decommission(m *inventory.Machine, reason DecommissionReason) {
	if reason == NotDecommissioned {
		return
	}
	if reason.isMachineLoss() {
		f.jobs.RecordSpotReclaimed(m)
	}
	f.SetMachineState(m, inventory.MachineDecommissioning, reason.String())
}

// nodeHealth evaluates what all machines together show about this node.
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

// mustDecommission reports whether an unresponsive machine has a task that must be gone soon.
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

// checkBooting returns why a machine that has sent no heartbeat yet must be decommissioned, if
// so. After a failover it may have been up all the time.
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

// checkRunning returns why a machine that should send heartbeats must be decommissioned, if so.
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

// isUnreachable reports whether a machine's heartbeats arrive while nothing reaches the machine:
// it has not confirmed its fencing token for long. Its tasks continue until its lease ends; then
// it is idle, and still paid for.
func (f *Fleet) isUnreachable(m *inventory.Machine) bool {
	return m.FencingToken != 0 && m.State.IsUp() && !m.TokenConfirmed &&
		f.now-m.TokenConfirmedAt > f.settings.HeartbeatTimeout()+f.heartbeatTolerance()
}

// unreachableTimedOut reports whether an unreachable machine is given up. With many of them the
// fault is probably this node's: responses that arrive too late are dropped too.
func (f *Fleet) unreachableTimedOut(m *inventory.Machine, node nodeHealth) bool {
	return !node.manyUnreachable || f.now-m.TokenConfirmedAt > unreachableTimeoutFactor*f.settings.HeartbeatTimeout()
}

func (f *Fleet) cancellationOverdue(m *inventory.Machine, fraction float64) bool {
	return f.CancellationOverdue(m, fraction, f.now)
}

// CancellationOverdue reports whether a machine has a task whose job ended at least that fraction
// of the cancellation deadline ago.
func (f *Fleet) CancellationOverdue(m *inventory.Machine, fraction float64, now micros.Micros) bool {
	limit := micros.Micros(fraction * float64(f.settings.CancellationDeadline))
	for _, a := range m.Attempts {
		if a.Job.State == inventory.JobEnded && a.Job.CancelledAt != 0 && !a.ResourcesReleased && now-a.Job.CancelledAt > limit {
			return true
		}
	}
	return false
}

// heartbeatTolerance returns how long a machine may send no heartbeat and still count as
// responsive.
func (f *Fleet) heartbeatTolerance() micros.Micros {
	return maxMissedHeartbeats * f.settings.HeartbeatInterval
}

// machineHeartbeatTimeout returns how long a machine may be unresponsive: not for long once the
// cloud has reclaimed it.
func (f *Fleet) machineHeartbeatTimeout(m *inventory.Machine) micros.Micros {
	if m.ReclaimAt != 0 && f.now > m.ReclaimAt {
		return f.settings.HeartbeatInterval * 3 / 2
	}
	return f.settings.HeartbeatTimeout()
}

// sinceLastHeartbeat returns the time since a machine's last heartbeat to this owner.
func (f *Fleet) sinceLastHeartbeat(m *inventory.Machine) micros.Micros {
	if m.AgentEpoch == 0 {
		return f.now - f.host.ActiveSince()
	}
	return f.now - min(m.LastHeartbeat, f.now)
}

// unresponsiveFor returns how long a machine's heartbeats have been missing without a known
// reason.
func (f *Fleet) unresponsiveFor(m *inventory.Machine) micros.Micros {
	return f.now - max(m.LastHeartbeat, m.HeartbeatGraceUntil)
}
