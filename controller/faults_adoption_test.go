package controller

import (
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// adoptedKeyPrefix is the key prefix of the blocks that owners write when they adopt machines.
const adoptedKeyPrefix = record.BlockPrefix + inventory.AdoptedPrefix

// adoptionCommands cause faults while an owner adopts a machine.
var adoptionCommands = commandTable{
	// crash-adopter crashes the next "times" owners that write the block of an adopted machine, each
	// "after" seconds after its write. With "reload-only" they read their records again instead of
	// crashing. "also-crash-node" names a node that crashes at the same time, "partition" is the time in
	// seconds for which the adopted machine is partitioned, and "extra-machines" is the number of
	// machines that appear in the cloud, as if a launch request were executed with a delay.
	"crash-adopter": silent(func(c *command) {
		left, after, down := c.integer("times", 1), c.seconds("after", 0), c.downtime()
		c.sim.onBlockPut(func(key string, owner record.OwnerID) {
			i, known := c.sim.nodeIndex(owner.Node())
			if !strings.HasPrefix(key, adoptedKeyPrefix) || left == 0 || !known {
				return
			}
			left--
			node, worker := c.sim.nodes[i], c.sim.workers[strings.TrimPrefix(key, adoptedKeyPrefix)]
			c.sim.after(after, func() {
				c.sim.interruptAdopter(node, c.HasArg("reload-only"), down)
				if c.HasArg("also-crash-node") {
					c.sim.crash(c.sim.nodes[c.integer("also-crash-node", 0)], down)
				}
				for range c.integer("extra-machines", 0) {
					c.sim.cloud.Add(worker.Machine.Type, worker.Machine.Zone, false, 0)
				}
				if c.HasArg("partition") {
					worker.Partitioned = true
					c.sim.after(c.seconds("partition", 0), func() { worker.Partitioned = false })
				}
			})
		})
	}),
}

// interruptAdopter crashes a node or, with reloadOnly, has it read its records again.
func (sim *simulation) interruptAdopter(node *simNode, reloadOnly bool, down micros.Micros) {
	switch {
	case !reloadOnly:
		sim.crash(node, down)
	case node.up && node.core != nil && node.core.owner != nil:
		node.core.owner.restartRecovery("test")
	}
}

// onBlockPut calls do with the key and the owner of each block that is written after this call.
func (sim *simulation) onBlockPut(do func(key string, owner record.OwnerID)) {
	next := sim.kvStore.OnPut
	sim.kvStore.OnPut = func(key string, value []byte, version uint64) {
		if next != nil {
			next(key, value, version)
		}
		var block record.Block
		if strings.HasPrefix(key, record.BlockPrefix) && wire.Decode(value, &block) == nil {
			do(key, block.Owner)
		}
	}
}
