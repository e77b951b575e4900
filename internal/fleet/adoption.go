package fleet

import (
	"maps"

	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// Adopt adds a machine that no owner has recorded: it sends heartbeats, or the cloud lists it.
func (f *Fleet) Adopt(info inventory.MachineInfo) *inventory.Machine {
	f.refresh()
	f.log.Info("machine adopted", "machine", info.Name, "type", info.Type, "zone", info.Zone, "spot", info.Spot)
	m := f.ownership.NewAdoptedMachine(info)
	m.ProvisionedAt = f.wallClock
	return m
}

// IsRecentlyTerminated reports whether the cloud has terminated a machine of this owner recently.
func (f *Fleet) IsRecentlyTerminated(machine string) bool { return f.recentlyTerminated[machine] != 0 }

// IsOwnedElsewhere reports whether a machine is assumed to be another owner's.
func (f *Fleet) IsOwnedElsewhere(machine string) bool { return f.ownedElsewhere[machine] != 0 }

// MarkOwnedElsewhere makes a machine count as another owner's until then: that owner's heartbeat
// may not name it yet.
func (f *Fleet) MarkOwnedElsewhere(machine string, until micros.Micros) {
	f.ownedElsewhere[machine] = until
}

// ClearOwnedElsewhere ends the effect of MarkOwnedElsewhere, once the machine is this owner's.
func (f *Fleet) ClearOwnedElsewhere(machine string) { delete(f.ownedElsewhere, machine) }

// RemoveExpired removes the machines that were terminated, or marked as another owner's, long ago.
func (f *Fleet) RemoveExpired() {
	f.refresh()
	expired := func(_ string, until micros.Micros) bool { return f.now > until }
	maps.DeleteFunc(f.recentlyTerminated, expired)
	maps.DeleteFunc(f.ownedElsewhere, expired)
}
