package controller

import (
	"cmp"
	"slices"
)

// machineInfo is what a machine is: that never changes, but for the endpoint, which is "" until
// the machine has reported.
type machineInfo struct {
	name        string
	machineType string
	zone        string
	spot        bool
	endpoint    string
}

// newMachine adds a machine, with an entry in a block of its type and zone.
func (o *owner) newMachine(info machineInfo) *machine {
	return o.newMachineIn(o.blockFor(info.machineType, info.zone), info)
}

// newMachineIn adds a machine, with an entry in a block.
func (o *owner) newMachineIn(b *block, info machineInfo) *machine {
	m := &machine{
		name: info.name, machineType: info.machineType, zone: info.zone, spot: info.spot, endpoint: info.endpoint,
		lastHeartbeat: o.c.now, idleSince: o.c.now,
		attempts: map[taskKey]*attempt{},
	}
	b.add(m)
	o.markDirty(m)
	if t := o.c.types.find(info.machineType); t != nil {
		m.size = t.Size
	}
	o.machines[info.name] = m
	i, _ := slices.BinarySearchFunc(o.list, info.name, compareName)
	o.list = slices.Insert(o.list, i, m)
	return m
}

func compareName(m *machine, name string) int { return cmp.Compare(m.name, name) }

// dropMachine takes a machine out of all that lists it.
func (o *owner) dropMachine(m *machine) {
	delete(o.machines, m.name)
	if i, ok := slices.BinarySearchFunc(o.list, m.name, compareName); ok {
		o.list = slices.Delete(o.list, i, i+1)
	}
	m.block.machines = slices.DeleteFunc(m.block.machines, func(x *machine) bool { return x == m })
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
	m := o.newMachineIn(b, info)
	m.rented = o.c.wallClock
	return m
}
