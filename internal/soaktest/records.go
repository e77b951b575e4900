package soaktest

import (
	"bytes"
	"strings"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// This file checks the history of the state service: each machine has one owner, and final
// records never change.

// blockOwners tells which machines the blocks hold, and whose the blocks are.
type blockOwners struct {
	changed  bool
	values   map[string][]byte
	contents map[string]blockContent // by block
}

// blockContent is what the check needs of a block.
type blockContent struct {
	owner    record.OwnerID
	machines []string
}

func newBlockOwners() blockOwners {
	return blockOwners{values: map[string][]byte{}, contents: map[string]blockContent{}}
}

// recordWritten takes a record that was written. Others of the same transaction may follow.
func (c *checker) recordWritten(key string, value []byte, _ uint64) {
	switch {
	case strings.HasPrefix(key, record.BlockPrefix):
		c.blocks.changed = true
	case strings.HasPrefix(key, record.TerminalStatePrefix):
		c.terminalStateWritten(strings.TrimPrefix(key, record.TerminalStatePrefix), value)
	}
}

// terminalStateWritten checks that the final record of a job was not there, or said the same.
func (c *checker) terminalStateWritten(job string, value []byte) {
	var final record.TerminalState
	if err := wire.Decode(value, &final); err != nil {
		c.reportViolation(RuleFinalChanged, "the final record of %s cannot be read: %v", job, err)
		return
	}
	status := string(final.Status)
	if before, ok := c.terminalStates[job]; ok && before != status {
		c.reportViolation(RuleFinalChanged, "%s was %s by its record, is %s", job, before, status)
	}
	c.terminalStates[job] = status
}

// committed checks the records after a transaction. An owner that moves a machine from one of its
// blocks to another may leave it in both for a while: the newer holds.
func (c *checker) committed(revision uint64) {
	if !c.blocks.changed {
		return
	}
	c.blocks.changed = false
	c.readBlocks()
	blockOf := map[string]string{}
	for block, content := range c.blocks.contents {
		for _, machine := range content.machines {
			other, found := blockOf[machine]
			if found && c.blocks.contents[other].owner != content.owner {
				rule := RuleOwnedTwice
				if isAdopted(block) || isAdopted(other) {
					rule = RuleAdopted
				}
				c.reportViolation(rule, "%s is in the blocks %s of %s and %s of %s at revision %d",
					machine, other, c.blocks.contents[other].owner, block, content.owner, revision)
			}
			blockOf[machine] = block
		}
	}
}

// adoptedPrefix begins the names of blocks by which owners adopt machines that nobody seems to own.
const adoptedPrefix = record.BlockPrefix + "x-"

func isAdopted(block string) bool { return strings.HasPrefix(block, adoptedPrefix) }

// readBlocks reads the blocks that have changed.
func (c *checker) readBlocks() {
	now := map[string][]byte{}
	for _, key := range c.site.kvStore.Keys(record.BlockPrefix) {
		value, _ := c.site.kvStore.Get(key)
		now[key] = value
		if bytes.Equal(value, c.blocks.values[key]) {
			continue
		}
		content, err := contentOf(value)
		if err != nil {
			c.reportViolation(RuleOwnedTwice, "block %s cannot be read: %v", key, err)
		}
		c.blocks.contents[key] = content
	}
	for key := range c.blocks.values {
		if now[key] == nil {
			delete(c.blocks.contents, key)
		}
	}
	c.blocks.values = now
}

// contentOf reads a block.
func contentOf(value []byte) (blockContent, error) {
	var block record.Block
	if err := wire.Decode(value, &block); err != nil {
		return blockContent{}, err
	}
	data, err := block.Decode()
	if err != nil {
		return blockContent{}, err
	}
	content := blockContent{owner: block.Owner}
	for _, m := range data.Machines {
		content.machines = append(content.machines, m.Name)
	}
	return content, nil
}
