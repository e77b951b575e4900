package controller

import (
	"slices"

	"tamarindlead/internal/wire"
)

// machineTypeCommands change what the cloud offers.
var machineTypeCommands = commandTable{
	// types-without withdraws a machine type.
	"types-without": silent(func(c *command) {
		name := c.text("name", "big")
		withdrawn := func(machineType wire.MachineType) bool { return machineType.Name == name }
		c.sim.cloud.Types = slices.DeleteFunc(slices.Clone(c.sim.cloud.Types), withdrawn)
	}),
	// types-with offers a machine type anew, of the size of the big one.
	"types-with": silent(func(c *command) {
		added := c.sim.cloud.Types[0]
		added.Name, added.CPUs, added.MemGB = c.text("name", "big"), c.number("cpus", 32), c.number("mem", 128)
		c.sim.cloud.Types = append(slices.Clone(c.sim.cloud.Types), added)
	}),
	// types-none has the cloud answer with a list of no type for some time.
	"types-none": silent(func(c *command) {
		c.sim.cloud.OmitTypes = true
		c.revertLater(func() { c.sim.cloud.OmitTypes = false })
	}),
}
