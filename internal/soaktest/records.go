package soaktest

import (
	"bytes"
	"strings"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// adoptedPrefix is the prefix of the blocks by which owners adopt orphaned machines.
const adoptedPrefix = record.BlockPrefix + "x-"

// blockOwners are the machines and owners of all blocks.
type blockOwners struct {
	changed  bool                    // whether a block was put since the last check
	values   map[string][]byte       // by key
	contents map[string]blockContent // by key
}

// blockContent is the part of a block that is checked.
type blockContent struct {
	owner    record.OwnerID
	machines []string
}

func newBlockOwners() blockOwners {
	return blockOwners{values: map[string][]byte{}, contents: map[string]blockContent{}}
}

// recordWritten handles a record that was put. It checks terminal states immediately, but leaves blocks
// to transactionCommitted, since further puts of the same transaction may follow.
func (c *checker) recordWritten(key string, value []byte, _ uint64) {
	if strings.HasPrefix(key, record.BlockPrefix) {
		c.blocks.changed = true
		return
	}
	if job, ok := strings.CutPrefix(key, record.TerminalStatePrefix); ok {
		c.checkTerminalState(job, value)
	}
}

// checkTerminalState checks that the terminal state of a job is new or unchanged.
func (c *checker) checkTerminalState(job string, value []byte) {
	var state record.TerminalState
	if err := wire.Decode(value, &state); err != nil {
		c.reportViolation(RuleTerminalStateChanged, "the terminal-state record of %s cannot be decoded: %v", job, err)
		return
	}
	status := string(state.Status)
	if before, ok := c.terminalStates[job]; ok && before != status {
		c.reportViolation(RuleTerminalStateChanged, "the terminal state of %s was %s, is %s", job, before, status)
	}
	c.terminalStates[job] = status
}

// transactionCommitted checks that no machine is in blocks of two owners. A machine may be in two
// blocks of the same owner while the owner moves it from one to the other: the newer block applies.
func (c *checker) transactionCommitted(revision uint64) {
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
				c.reportViolation(ownershipRule(block, other), "%s is in the blocks %s of %s and %s of %s at revision %d",
					machine, other, c.blocks.contents[other].owner, block, content.owner, revision)
			}
			blockOf[machine] = block
		}
	}
}

// ownershipRule returns the rule that a machine in blocks of two owners violates.
func ownershipRule(block, other string) Rule {
	if strings.HasPrefix(block, adoptedPrefix) || strings.HasPrefix(other, adoptedPrefix) {
		return RuleAdoptedThoughRecorded
	}
	return RuleOwnedTwice
}

// readBlocks decodes the blocks that have changed, and drops the deleted ones.
func (c *checker) readBlocks() {
	values := map[string][]byte{}
	for _, key := range c.harness.kvStore.Keys(record.BlockPrefix) {
		value, _ := c.harness.kvStore.Get(key)
		values[key] = value
		if bytes.Equal(value, c.blocks.values[key]) {
			continue
		}
		content, err := decodeBlock(value)
		if err != nil {
			c.reportViolation(RuleOwnedTwice, "block %s cannot be decoded: %v", key, err)
		}
		c.blocks.contents[key] = content
	}
	for key := range c.blocks.values {
		if values[key] == nil {
			delete(c.blocks.contents, key)
		}
	}
	c.blocks.values = values
}

// decodeBlock decodes the part of a block that is checked.
func decodeBlock(value []byte) (blockContent, error) {
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
