package controller

import (
	"cmp"
	"slices"
)

func (o *owner) newMachine(name, kind, zone string, spot bool, endpoint string) *machine {
	return o.newMachineIn(o.blockFor(kind, zone), name, kind, zone, spot, endpoint)
}

func (o *owner) newMachineIn(b *block, name, kind, zone string, spot bool, endpoint string) *machine {
	m := &machine{
		name: name, kind: kind, zone: zone, spot: spot, endpoint: endpoint,
		heard: o.c.now, idleSince: o.c.now,
		attempts: map[taskKey]*attempt{},
	}
	b.add(m)
	o.markDirty(m)
	if t := o.c.types.find(kind); t != nil {
		m.size = t.Size
	}
	o.machines[name] = m
	i, _ := slices.BinarySearchFunc(o.list, name, compareName)
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

// adopt takes a machine that nobody expected.
func (o *owner) adopt(name, kind, zone string, spot bool, endpoint string) *machine {
	o.c.log.Info("machine adopted", "machine", name, "type", kind, "zone", zone, "spot", spot)
	b := (*block)(nil)
	if o.ownsAllTeams() {
		b = o.blockFor(kind, zone)
	} else {
		// Another owner may have it without our knowing: see verify.
		b = o.newBlock(adoptedPrefix + name)
	}
	m := o.newMachineIn(b, name, kind, zone, spot, endpoint)
	m.rented = o.c.wallClock
	return m
}
