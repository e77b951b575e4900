package controller

import (
	"slices"

	"tamarindlead/internal/wire"
)

// machineTypeCommands change what the cloud offers.
var machineTypeCommands = commandTable{
	// remove-machine-type removes a machine type from those that the cloud offers.
	"remove-machine-type": silent(func(c *command) {
		name := c.text("name", "big")
		withdrawn := func(machineType wire.MachineType) bool { return machineType.Name == name }
		c.sim.cloud.Types = slices.DeleteFunc(slices.Clone(c.sim.cloud.Types), withdrawn)
	}),
	// add-machine-type adds a machine type, by default with the name and size of the big one.
	"add-machine-type": silent(func(c *command) {
		added := c.sim.cloud.Types[0]
		added.Name, added.CPUs, added.MemGB = c.text("name", "big"), c.number("cpus", 32), c.number("mem", 128)
		c.sim.cloud.Types = append(slices.Clone(c.sim.cloud.Types), added)
	}),
	// empty-machine-type-list has the cloud return an empty list of machine types for the duration "for".
	"empty-machine-type-list": silent(func(c *command) {
		c.sim.cloud.OmitTypes = true
		c.revertLater(func() { c.sim.cloud.OmitTypes = false })
	}),
}
