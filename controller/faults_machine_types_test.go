package controller

import "slices"

// machineTypeCommands change what the cloud offers. The command types-without withdraws a type.
var machineTypeCommands = commandTable{
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
