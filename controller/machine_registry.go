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
	return o.newMachineInBlock(o.blockFor(info.machineType, info.zone), info)
}

// newMachineInBlock adds a machine, with an entry in a block.
func (o *owner) newMachineInBlock(b *block, info machineInfo) *machine {
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
	i, _ := slices.BinarySearchFunc(o.sortedMachines, info.name, compareMachineName)
	o.sortedMachines = slices.Insert(o.sortedMachines, i, m)
	return m
}

func compareMachineName(m *machine, name string) int { return cmp.Compare(m.name, name) }

// unregisterMachine takes a machine out of all that lists it.
func (o *owner) unregisterMachine(m *machine) {
	delete(o.machines, m.name)
	if i, ok := slices.BinarySearchFunc(o.sortedMachines, m.name, compareMachineName); ok {
		o.sortedMachines = slices.Delete(o.sortedMachines, i, i+1)
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
	m := o.newMachineInBlock(b, info)
	m.provisionedAt = o.c.wallClock
	return m
}
