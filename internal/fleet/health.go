package fleet

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

// A silent machine with a task of a cancelled job is given up once OverdueDecommissionFraction of the
// time has passed that its tasks have to be gone, whatever else it runs and however lately this
// node took over. Once overdueTerminateFraction of it has, the cloud is asked to delete it even if
// the decision cannot be recorded: the state service may be away for longer. Should that request
// be executed late, under another owner, the machine is lost as any machine may be.
const (
	OverdueDecommissionFraction = 0.5
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

func (f *Fleet) fleetHealth() fleetHealth {
	unreachable := 0
	for _, m := range f.SortedMachines {
		if f.isUnreachable(m) {
			unreachable++
		}
	}
	return fleetHealth{
		isolated:        f.now-max(f.host.LastHeartbeat(), f.host.ActiveSince()) > maxMissedHeartbeats*f.settings.HeartbeatInterval,
		manyUnreachable: unreachable > max(minUnreachableMachines, len(f.SortedMachines)/unreachableDivisor),
	}
}

// isUnreachable tells that a machine's reports arrive while nothing reaches it: it has not shown
// our token for long. What runs there goes on until its lease ends; then it is idle and
// paid for.
func (f *Fleet) isUnreachable(m *inventory.Machine) bool {
	return m.FencingToken != 0 && m.State >= inventory.MachineReady && m.State <= inventory.MachineTransferring && !m.TokenConfirmed &&
		f.now-m.TokenConfirmedAt > f.settings.HeartbeatTimeout()+maxMissedHeartbeats*f.settings.HeartbeatInterval
}

// cancellationOverdue tells that so much of the time has passed in which a task on the machine, whose
// job was cancelled, has to be gone.
func (f *Fleet) cancellationOverdue(m *inventory.Machine, share float64) bool {
	return f.CancellationOverdue(m, share, f.now)
}

func (f *Fleet) CancellationOverdue(m *inventory.Machine, share float64, now micros.Micros) bool {
	limit := micros.Micros(share * float64(f.settings.CancellationDeadline))
	for _, a := range m.Attempts {
		if a.Job.State == inventory.JobEnded && a.Job.EndedAt != 0 && !a.ResourcesReleased && now-a.Job.EndedAt > limit {
			return true
		}
	}
	return false
}

// sinceLastHeartbeat is how long a machine has not reported here.
func (f *Fleet) sinceLastHeartbeat(m *inventory.Machine) micros.Micros {
	if m.AgentEpoch == 0 {
		return f.now - f.host.ActiveSince()
	}
	return f.now - min(m.LastHeartbeat, f.now)
}

// unresponsiveFor is how long a machine is silent without a known reason.
func (f *Fleet) unresponsiveFor(m *inventory.Machine) micros.Micros {
	return f.now - max(m.LastHeartbeat, m.HeartbeatGraceUntil)
}

// checkMachineHealth gives up machines that do not report, and returns empty ones that are to
// go. If no worker at all is heard, the fault is likely on this side. The decision is
// recorded before the cloud is asked: a controller that was cut off, and so hears no
// worker, cannot record it, while its requests to the cloud could be held back and
// executed after another has taken over.
func (f *Fleet) CheckHealth() {
	f.updateTime()
	fleet := f.fleetHealth()
	f.detectPartitions()
	for _, m := range f.SortedMachines {
		if f.mustDecommission(m) {
			f.decommission(m, decommissionOverdue)
		}
		switch {
		case m.State == inventory.MachineDecommissioning:
			f.TerminationNeeded = f.TerminationNeeded || f.cancellationOverdue(m, overdueTerminateFraction)
		case hasBooted(m):
			f.decommission(m, f.checkRunning(m, fleet))
		case m.State == inventory.MachineBooting:
			f.decommission(m, f.checkBooting(m))
		}
	}
}

// decommission decides to delete a machine, if there is a reason.
func (f *Fleet) decommission(m *inventory.Machine, reason decommissionReason) {
	if reason == decommissionNone {
		return
	}
	if reason.isMachineLoss() {
		f.jobs.RecordSpotReclaimed(m)
	}
	f.SetMachineState(m, inventory.MachineDecommissioning, string(reason))
}

// hasBooted tells whether a machine takes part, so that it should report. What had work before
// this node took over was up.
func hasBooted(m *inventory.Machine) bool {
	return m.State >= inventory.MachineReady && m.State <= inventory.MachineTransferring ||
		m.State == inventory.MachineBooting && m.Recovered && len(m.Attempts) > 0
}

// mustDecommission tells that a machine is silent with a task that has to be gone before long.
func (f *Fleet) mustDecommission(m *inventory.Machine) bool {
	if m.State >= inventory.MachineDecommissioning || !f.cancellationOverdue(m, OverdueDecommissionFraction) {
		return false
	}
	patience := maxMissedHeartbeats * f.settings.HeartbeatInterval
	if m.AgentEpoch == 0 && f.cancellationOverdue(m, overdueTerminateFraction) {
		patience = inspectTimeout
	}
	return f.sinceLastHeartbeat(m) > patience
}

// checkBooting looks at a machine that has not reported yet. After a takeover it may have been
// up all the while.
func (f *Fleet) checkBooting(m *inventory.Machine) decommissionReason {
	if f.retainedInPartition(m) {
		return decommissionNone
	}
	boot := defaultBootTime
	if t := findType(f.types, m.Type); t != nil {
		boot = t.Boot
	}
	patience := micros.Micros(f.settings.Tuning.BootTimeoutFactor*float64(boot)) + f.settings.HeartbeatTimeout()
	if m.Failed || f.wallClock-m.ProvisionedAt > patience && f.unresponsiveFor(m) > f.settings.HeartbeatTimeout() {
		return decommissionBootTimeout
	}
	return decommissionNone
}

// checkRunning looks at a machine that should report.
func (f *Fleet) checkRunning(m *inventory.Machine, fleet fleetHealth) decommissionReason {
	silent, limit := f.unresponsiveFor(m), f.machineHeartbeatTimeout(m)
	switch {
	case m.Failed:
		return decommissionFailed
	case m.MissedListings >= maxMissedListings && silent > maxMissedHeartbeats*f.settings.HeartbeatInterval:
		return decommissionUnlisted
	case silent > limit && (f.retainedInPartition(m) || f.retainedForGangs(m)):
		return decommissionNone
	case silent > limit && (!fleet.isolated || silent > isolatedTimeoutFactor*limit):
		return decommissionUnresponsive
	case f.isUnreachable(m) && f.unreachableTimedOut(m, fleet):
		return decommissionUnreachable
	case m.State == inventory.MachineDraining && len(m.Attempts) == 0 && m.FencingToken != 0:
		return decommissionDrained
	}
	return decommissionNone
}

// machineHeartbeatTimeout is how long a machine may be silent: not for long once the cloud takes it.
func (f *Fleet) machineHeartbeatTimeout(m *inventory.Machine) micros.Micros {
	if m.ReclaimAt != 0 && f.now > m.ReclaimAt {
		return f.settings.HeartbeatInterval * 3 / 2
	}
	return f.settings.HeartbeatTimeout()
}

// unreachableTimedOut tells whether an unreachable machine is given up. With many of them the
// fault is likely on this side: answers that come too late are dropped too.
func (f *Fleet) unreachableTimedOut(m *inventory.Machine, fleet fleetHealth) bool {
	return !fleet.manyUnreachable || f.now-m.TokenConfirmedAt > unreachableTimeoutFactor*f.settings.HeartbeatTimeout()
}

// retainedForGangs tells that a silent machine is kept since it works on, as others show: tasks
// whose gang lost one end within GangPeer, but those of its gangs on other machines were
// reported running later than that. Its worker may come back until its lease ends; to give
// it up would stop whole gangs. Not one with tasks of a job that is over, nor one that the
// cloud takes.
func (f *Fleet) retainedForGangs(m *inventory.Machine) bool {
	if f.unresponsiveFor(m) > f.settings.WorkerLease || m.Failed || m.ReclaimAt != 0 {
		return false
	}
	gang := false
	for _, a := range m.Attempts {
		switch {
		case a.Job.State == inventory.JobEnded:
			return false
		case !a.Job.Gang || a.ResourcesReleased:
			continue
		case a.Job.GangState != inventory.GangStarting || !f.gangPeerRunning(a):
			return false
		}
		gang = true
	}
	return gang
}

// gangPeerRunning tells that a task of the same gang was reported running after this one's
// machine fell silent, later than it would have noticed that this one is gone.
func (f *Fleet) gangPeerRunning(a *inventory.Attempt) bool {
	for _, b := range a.Job.Attempts {
		if b.Machine != a.Machine && b.State == inventory.AttemptLive && b.Phase == wire.PhaseRunning &&
			b.Machine.LastHeartbeat > a.Machine.LastHeartbeat+f.settings.GangFailureTimeout {
			return true
		}
	}
	return false
}
