package fleet

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
)

// retainedForGangs reports whether an unresponsive machine is kept because it still works, as
// other machines show: tasks whose gang has lost one end within the gang failure timeout, but the
// tasks of its gangs on other machines were running for longer than that. Its worker may
// reconnect until its lease ends; giving the machine up would stop whole gangs. A machine that
// has tasks of an ended job, or that the cloud reclaims, is not kept.
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

// gangPeerRunning reports whether another task of the gang was running so long after the last
// heartbeat of this one's machine that it would have noticed the loss of this one.
func (f *Fleet) gangPeerRunning(a *inventory.Attempt) bool {
	for _, peer := range a.Job.Attempts {
		if peer.Machine != a.Machine && peer.State == inventory.AttemptLive && peer.Phase == wire.PhaseRunning &&
			peer.Machine.LastHeartbeat > a.Machine.LastHeartbeat+f.settings.GangFailureTimeout {
			return true
		}
	}
	return false
}
