package fleet

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
)

// retainedForGangs reports whether an unresponsive machine is retained because other machines show
// that its tasks are still running. After a gang has lost a task, its other tasks exit within the gang
// failure timeout. A machine is therefore retained if, for each of its gangs, a task on another machine
// was still running after that timeout. The worker may reconnect until its lease expires, and
// decommissioning the machine would stop whole gangs. A machine that has failed, that the cloud
// reclaims, or that has tasks of an ended job is not retained.
func (f *Fleet) retainedForGangs(m *inventory.Machine) bool {
	if f.unresponsiveFor(m) > f.settings.WorkerLease || m.Failed || m.ReclaimAt != 0 {
		return false
	}
	hasGang := false
	for _, a := range m.Attempts {
		switch {
		case a.Job.State == inventory.JobEnded:
			return false
		case !a.Job.Gang || a.ResourcesReleased:
			continue
		case a.Job.GangState != inventory.GangStarting || !f.gangPeerRunning(a):
			return false
		}
		hasGang = true
	}
	return hasGang
}

// gangPeerRunning reports whether another task of the attempt's gang, on another machine, was reported
// as running more than the gang failure timeout after the last heartbeat of the attempt's machine. By
// then, that task would have detected the loss of this attempt.
func (f *Fleet) gangPeerRunning(a *inventory.Attempt) bool {
	for _, peer := range a.Job.Attempts {
		if peer.Machine != a.Machine && peer.State == inventory.AttemptLive && peer.Phase == wire.PhaseRunning &&
			peer.Machine.LastHeartbeat > a.Machine.LastHeartbeat+f.settings.GangFailureTimeout {
			return true
		}
	}
	return false
}
