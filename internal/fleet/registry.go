package fleet

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// adopt takes a machine that was not expected: one that reports or that the cloud lists.
func (f *Fleet) Adopt(info inventory.MachineInfo) *inventory.Machine {
	f.updateTime()
	f.log.Info("machine adopted", "machine", info.Name, "type", info.Type, "zone", info.Zone, "spot", info.Spot)
	m := f.ownership.NewAdoptedMachine(info)
	m.ProvisionedAt = f.wallClock
	return m
}

// MarkOwnedElsewhere has a machine assumed to be another owner's until a time, unless a
// heartbeat of that owner names it.
func (f *Fleet) MarkOwnedElsewhere(machine string, until micros.Micros) {
	f.ownedElsewhere[machine] = until
}

// UnmarkOwnedElsewhere ends this, once the machine is this owner's.
func (f *Fleet) UnmarkOwnedElsewhere(machine string) { delete(f.ownedElsewhere, machine) }

// IsOwnedElsewhere reports whether a machine is assumed to be another owner's.
func (f *Fleet) IsOwnedElsewhere(machine string) bool { return f.ownedElsewhere[machine] != 0 }

// IsRecentlyTerminated reports whether the cloud has terminated a machine not long ago.
func (f *Fleet) IsRecentlyTerminated(machine string) bool { return f.recentlyTerminated[machine] != 0 }
