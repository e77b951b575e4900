package fleet

import (
	"maps"

	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// Adopt adds a machine that is not known to have an owner, after a heartbeat from it or because the
// cloud lists it.
func (f *Fleet) Adopt(info inventory.MachineInfo) *inventory.Machine {
	f.refresh()
	f.log.Info("machine adopted", "machine", info.Name, "type", info.Type, "zone", info.Zone, "spot", info.Spot)
	m := f.ownership.NewAdoptedMachine(info)
	m.ProvisionedAt = f.wallClock
	return m
}

// IsRecentlyTerminated reports whether the cloud has terminated a machine of this owner within
// terminatedRetention.
func (f *Fleet) IsRecentlyTerminated(machine string) bool { return f.recentlyTerminated[machine] != 0 }

// IsOwnedElsewhere reports whether a machine is assumed to belong to another owner.
func (f *Fleet) IsOwnedElsewhere(machine string) bool { return f.ownedElsewhere[machine] != 0 }

// MarkOwnedElsewhere marks a machine as belonging to another owner until the given time. The mark covers
// the time in which that owner's peer heartbeats may not list the machine yet.
func (f *Fleet) MarkOwnedElsewhere(machine string, until micros.Micros) {
	f.ownedElsewhere[machine] = until
}

// ClearOwnedElsewhere removes the mark of MarkOwnedElsewhere because the machine now belongs to this
// owner.
func (f *Fleet) ClearOwnedElsewhere(machine string) { delete(f.ownedElsewhere, machine) }

// RemoveExpired removes the expired entries of terminated machines and of machines marked as owned
// elsewhere.
func (f *Fleet) RemoveExpired() {
	f.refresh()
	expired := func(_ string, until micros.Micros) bool { return f.now > until }
	maps.DeleteFunc(f.recentlyTerminated, expired)
	maps.DeleteFunc(f.ownedElsewhere, expired)
}
