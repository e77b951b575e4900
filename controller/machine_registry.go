package controller

// newMachine adds a machine, with an entry in a block of its type and zone.
func (o *owner) newMachine(info machineInfo) *machine {
	return o.addMachine(o.blockFor(info.machineType, info.zone), info)
}

// adopt takes a machine that was not expected: one that reports or that the cloud lists.
func (o *owner) adopt(info machineInfo) *machine {
	o.c.log.Info("machine adopted", "machine", info.name, "type", info.machineType, "zone", info.zone, "spot", info.spot)
	var b *block
	if o.ownsAllTeams() {
		b = o.blockFor(info.machineType, info.zone)
	} else {
		// Another owner may have it without our knowing: see verify.
		b = o.newBlock(adoptedPrefix + info.name)
	}
	m := o.addMachine(b, info)
	m.provisionedAt = o.c.wallClock
	return m
}
