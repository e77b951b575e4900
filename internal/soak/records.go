package soak

import (
	"bytes"
	"strings"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// This file checks the history of the state service: each machine has one owner, and final
// records never change.

// blockOwners tells which machines the blocks hold.
type blockOwners struct {
	changed  bool
	values   map[string][]byte
	machines map[string][]string // by block
}

func newBlockOwners() blockOwners {
	return blockOwners{values: map[string][]byte{}, machines: map[string][]string{}}
}

// recordWritten takes a record that was written. Others of the same transaction may follow.
func (c *checker) recordWritten(key string, value []byte, _ uint64) {
	switch {
	case strings.HasPrefix(key, record.BlockPrefix):
		c.blocks.changed = true
	case strings.HasPrefix(key, record.FinalPrefix):
		c.finalWritten(strings.TrimPrefix(key, record.FinalPrefix), value)
	}
}

// finalWritten checks that the final record of a job was not there, or said the same.
func (c *checker) finalWritten(job string, value []byte) {
	var final record.Final
	if err := wire.Decode(value, &final); err != nil {
		c.broke(RuleFinalChanged, "the final record of %s cannot be read: %v", job, err)
		return
	}
	status := string(final.Status)
	if before, ok := c.finals[job]; ok && before != status {
		c.broke(RuleFinalChanged, "%s was %s by its record, is %s", job, before, status)
	}
	c.finals[job] = status
}

// committed checks the records after a transaction.
func (c *checker) committed(revision uint64) {
	if !c.blocks.changed {
		return
	}
	c.blocks.changed = false
	c.readBlocks()
	owner := map[string]string{}
	for block, machines := range c.blocks.machines {
		for _, machine := range machines {
			if other, ok := owner[machine]; ok {
				c.broke(RuleOwnedTwice, "%s is in the blocks %s and %s at revision %d", machine, other, block, revision)
			}
			owner[machine] = block
		}
	}
}

// readBlocks reads the blocks that have changed.
func (c *checker) readBlocks() {
	now := map[string][]byte{}
	for _, key := range c.site.state.Keys(record.BlockPrefix) {
		value, _ := c.site.state.Get(key)
		now[key] = value
		if bytes.Equal(value, c.blocks.values[key]) {
			continue
		}
		machines, err := machinesOf(value)
		if err != nil {
			c.broke(RuleOwnedTwice, "block %s cannot be read: %v", key, err)
		}
		c.blocks.machines[key] = machines
	}
	for key := range c.blocks.values {
		if now[key] == nil {
			delete(c.blocks.machines, key)
		}
	}
	c.blocks.values = now
}

// machinesOf lists the machines of a block.
func machinesOf(value []byte) ([]string, error) {
	var block record.Block
	if err := wire.Decode(value, &block); err != nil {
		return nil, err
	}
	data, err := block.Decode()
	if err != nil {
		return nil, err
	}
	var machines []string
	for _, m := range data.Machines {
		machines = append(machines, m.Name)
	}
	return machines, nil
}
