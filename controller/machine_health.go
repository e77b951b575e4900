package controller

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file finds machines that can't be used any more, and decides to delete them. Zones that
// are cut off are found in partitions.go.

// Bounds of what is taken for lost.
const (
	// maxMissedHeartbeats is how many reports in a row may be missing without any meaning.
	maxMissedHeartbeats = 2
	// maxMissedListings is how many readings of the cloud's list in a row must lack a machine.
	maxMissedListings = 2
	// isolatedTimeoutFactor is how many times the usual silence a machine is given if no worker at
	// all is heard: the fault is likely on this side.
	isolatedTimeoutFactor = 3
	// unreachableTimeoutFactor is how many times the usual silence a machine may be unreachable
	// while many are.
	unreachableTimeoutFactor = 4
	// minUnreachableMachines and unreachableDivisor give the number of machines that may be taken for
	// unreachable at the same time: that part of all, but so many at the least.
	minUnreachableMachines = 2
	unreachableDivisor     = 10
	// defaultBootTime is taken for the boot time of machines whose type is not known.
	defaultBootTime = micros.Minute
)

// A silent machine with a task of a cancelled job is given up once overdueDecommissionFraction of the
// time has passed that its tasks have to be gone, whatever else it runs and however lately this
// node took over. Once overdueTerminateFraction of it has, the cloud is asked to delete it even if
// the decision cannot be recorded: the state service may be away for longer. Should that request
// be executed late, under another owner, the machine is lost as any machine may be.
const (
	overdueDecommissionFraction = 0.5
	overdueTerminateFraction    = 0.6
	// inspectTimeout is left to a machine that was taken over and asked for its report, when
	// there is no time for more: each of many leaders in a row would wait anew.
	inspectTimeout = 3 * micros.Second
)

// decommissionReason tells why a machine is to be deleted.
type decommissionReason string

const (
	decommissionNone         decommissionReason = ""
	decommissionOverdue      decommissionReason = "is silent with tasks of a cancelled job"
	decommissionBootTimeout  decommissionReason = "never came up"
	decommissionFailed       decommissionReason = "has failed"
	decommissionUnlisted     decommissionReason = "is not listed any more"
	decommissionUnresponsive decommissionReason = "is silent"
	decommissionUnreachable  decommissionReason = "reports, but hears nothing"
	decommissionDrained      decommissionReason = "is empty"
)

// isMachineLoss tells that the machine is gone by itself, rather than given up by this node.
func (r decommissionReason) isMachineLoss() bool {
	return r == decommissionFailed || r == decommissionUnlisted || r == decommissionUnresponsive
}

// fleetHealth is what all machines together tell about this node.
type fleetHealth struct {
	isolated        bool // no worker is heard: the fault is likely on this side
	manyUnreachable bool // too many machines hear nothing for the fault to be theirs
}

func (o *owner) fleetHealth() fleetHealth {
	unreachable := 0
	for _, m := range o.SortedMachines {
		if o.isUnreachable(m) {
			unreachable++
		}
	}
	return fleetHealth{
		isolated:        o.c.now-max(o.lastHeartbeat(), o.activeSince) > maxMissedHeartbeats*o.c.cfg.HeartbeatInterval,
		manyUnreachable: unreachable > max(minUnreachableMachines, len(o.SortedMachines)/unreachableDivisor),
	}
}

// isUnreachable tells that a machine's reports arrive while nothing reaches it: it has not shown
// our token for long. What runs there goes on until its lease ends; then it is idle and
// paid for.
func (o *owner) isUnreachable(m *inventory.Machine) bool {
	return m.FencingToken != 0 && m.State >= inventory.MachineReady && m.State <= inventory.MachineTransferring && !m.TokenConfirmed &&
		o.c.now-m.TokenConfirmedAt > o.c.cfg.HeartbeatTimeout()+maxMissedHeartbeats*o.c.cfg.HeartbeatInterval
}

// cancellationOverdue tells that so much of the time has passed in which a task on the machine, whose
// job was cancelled, has to be gone.
func (o *owner) cancellationOverdue(m *inventory.Machine, share float64) bool {
	limit := micros.Micros(share * float64(o.c.cfg.CancellationDeadline))
	for _, a := range m.Attempts {
		if a.Job.State == inventory.JobEnded && a.Job.EndedAt != 0 && !a.ResourcesReleased && o.c.now-a.Job.EndedAt > limit {
			return true
		}
	}
	return false
}

// sinceLastHeartbeat is how long a machine has not reported here.
func (o *owner) sinceLastHeartbeat(m *inventory.Machine) micros.Micros {
	if m.AgentEpoch == 0 {
		return o.c.now - o.activeSince
	}
	return o.c.now - min(m.LastHeartbeat, o.c.now)
}

// unresponsiveFor is how long a machine is silent without a known reason.
func (o *owner) unresponsiveFor(m *inventory.Machine) micros.Micros {
	return o.c.now - max(m.LastHeartbeat, m.HeartbeatGraceUntil)
}

// checkMachineHealth gives up machines that do not report, and returns empty ones that are to
// go. If no worker at all is heard, the fault is likely on this side. The decision is
// recorded before the cloud is asked: a controller that was cut off, and so hears no
// worker, cannot record it, while its requests to the cloud could be held back and
// executed after another has taken over.
func (o *owner) checkMachineHealth() {
	fleet := o.fleetHealth()
	o.detectPartitions()
	for _, m := range o.SortedMachines {
		if o.mustDecommission(m) {
			o.decommission(m, decommissionOverdue)
		}
		switch {
		case m.State == inventory.MachineDecommissioning:
			o.TerminationNeeded = o.TerminationNeeded || o.cancellationOverdue(m, overdueTerminateFraction)
		case hasBooted(m):
			o.decommission(m, o.checkRunning(m, fleet))
		case m.State == inventory.MachineBooting:
			o.decommission(m, o.checkBooting(m))
		}
	}
}

// decommission decides to delete a machine, if there is a reason.
func (o *owner) decommission(m *inventory.Machine, reason decommissionReason) {
	if reason == decommissionNone {
		return
	}
	if reason.isMachineLoss() {
		o.recordSpotReclaimed(m)
	}
	o.SetMachineState(m, inventory.MachineDecommissioning, string(reason))
}

// hasBooted tells whether a machine takes part, so that it should report. What had work before
// this node took over was up.
func hasBooted(m *inventory.Machine) bool {
	return m.State >= inventory.MachineReady && m.State <= inventory.MachineTransferring ||
		m.State == inventory.MachineBooting && m.Recovered && len(m.Attempts) > 0
}

// mustDecommission tells that a machine is silent with a task that has to be gone before long.
func (o *owner) mustDecommission(m *inventory.Machine) bool {
	if m.State >= inventory.MachineDecommissioning || !o.cancellationOverdue(m, overdueDecommissionFraction) {
		return false
	}
	patience := maxMissedHeartbeats * o.c.cfg.HeartbeatInterval
	if m.AgentEpoch == 0 && o.cancellationOverdue(m, overdueTerminateFraction) {
		patience = inspectTimeout
	}
	return o.sinceLastHeartbeat(m) > patience
}

// checkBooting looks at a machine that has not reported yet. After a takeover it may have been
// up all the while.
func (o *owner) checkBooting(m *inventory.Machine) decommissionReason {
	if o.retainedInPartition(m) {
		return decommissionNone
	}
	boot := defaultBootTime
	if t := o.c.types.Find(m.Type); t != nil {
		boot = t.Boot
	}
	patience := micros.Micros(o.c.cfg.Tuning.BootTimeoutFactor*float64(boot)) + o.c.cfg.HeartbeatTimeout()
	if m.Failed || o.c.wallClock-m.ProvisionedAt > patience && o.unresponsiveFor(m) > o.c.cfg.HeartbeatTimeout() {
		return decommissionBootTimeout
	}
	return decommissionNone
}

// checkRunning looks at a machine that should report.
func (o *owner) checkRunning(m *inventory.Machine, fleet fleetHealth) decommissionReason {
	silent, limit := o.unresponsiveFor(m), o.machineHeartbeatTimeout(m)
	switch {
	case m.Failed:
		return decommissionFailed
	case m.MissedListings >= maxMissedListings && silent > maxMissedHeartbeats*o.c.cfg.HeartbeatInterval:
		return decommissionUnlisted
	case silent > limit && (o.retainedInPartition(m) || o.retainedForGangs(m)):
		return decommissionNone
	case silent > limit && (!fleet.isolated || silent > isolatedTimeoutFactor*limit):
		return decommissionUnresponsive
	case o.isUnreachable(m) && o.unreachableTimedOut(m, fleet):
		return decommissionUnreachable
	case m.State == inventory.MachineDraining && len(m.Attempts) == 0 && m.FencingToken != 0:
		return decommissionDrained
	}
	return decommissionNone
}

// machineHeartbeatTimeout is how long a machine may be silent: not for long once the cloud takes it.
func (o *owner) machineHeartbeatTimeout(m *inventory.Machine) micros.Micros {
	if m.ReclaimAt != 0 && o.c.now > m.ReclaimAt {
		return o.c.cfg.HeartbeatInterval * 3 / 2
	}
	return o.c.cfg.HeartbeatTimeout()
}

// unreachableTimedOut tells whether an unreachable machine is given up. With many of them the
// fault is likely on this side: answers that come too late are dropped too.
func (o *owner) unreachableTimedOut(m *inventory.Machine, fleet fleetHealth) bool {
	return !fleet.manyUnreachable || o.c.now-m.TokenConfirmedAt > unreachableTimeoutFactor*o.c.cfg.HeartbeatTimeout()
}

// retainedForGangs tells that a silent machine is kept since it works on, as others show: tasks
// whose gang lost one end within GangPeer, but those of its gangs on other machines were
// reported running later than that. Its worker may come back until its lease ends; to give
// it up would stop whole gangs. Not one with tasks of a job that is over, nor one that the
// cloud takes.
func (o *owner) retainedForGangs(m *inventory.Machine) bool {
	if o.unresponsiveFor(m) > o.c.cfg.WorkerLease || m.Failed || m.ReclaimAt != 0 {
		return false
	}
	gang := false
	for _, a := range m.Attempts {
		switch {
		case a.Job.State == inventory.JobEnded:
			return false
		case !a.Job.Gang || a.ResourcesReleased:
			continue
		case a.Job.GangState != inventory.GangStarting || !o.gangPeerRunning(a):
			return false
		}
		gang = true
	}
	return gang
}

// gangPeerRunning tells that a task of the same gang was reported running after this one's
// machine fell silent, later than it would have noticed that this one is gone.
func (o *owner) gangPeerRunning(a *inventory.Attempt) bool {
	for _, b := range a.Job.Attempts {
		if b.Machine != a.Machine && b.State == inventory.AttemptLive && b.Phase == wire.PhaseRunning &&
			b.Machine.LastHeartbeat > a.Machine.LastHeartbeat+o.c.cfg.GangFailureTimeout {
			return true
		}
	}
	return false
}
