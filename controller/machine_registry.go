package controller

import "tamarindlead/internal/inventory"

// newMachine adds a machine, with an entry in a block of its type and zone.
func (o *owner) newMachine(info inventory.MachineInfo) *inventory.Machine {
	return o.addMachine(o.blockFor(info.Type, info.Zone), info)
}

// adopt takes a machine that was not expected: one that reports or that the cloud lists.
func (o *owner) adopt(info inventory.MachineInfo) *inventory.Machine {
	o.c.log.Info("machine adopted", "machine", info.Name, "type", info.Type, "zone", info.Zone, "spot", info.Spot)
	var b *inventory.Block
	if o.ownsAllTeams() {
		b = o.blockFor(info.Type, info.Zone)
	} else {
		// Another owner may have it without our knowing: see verify.
		b = o.newBlock(inventory.AdoptedPrefix + info.Name)
	}
	m := o.addMachine(b, info)
	m.ProvisionedAt = o.c.wallClock
	return m
}
