package commit

import (
	"fmt"
	"slices"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// While there are other owners, one of them may have a machine that this owner adopts, without this
// owner's knowledge. So an adoption takes three steps:
//
//  1. It is announced: the machine's own block is written, without an entry. Its absence is a
//     precondition of all other owners' first claims, which fail from then on.
//  2. It is verified: all blocks are read. An entry that another owner has written before is found.
//  3. The machine is claimed: its entry is written, and tasks may be placed.
//
// An owner that ends before the third step leaves a block without a machine, which its successor
// deletes. A block that was recovered has its entry already, perhaps from an older version of this
// program, which wrote it first; it is verified again before the machine is claimed.

// adoptionRetryDelay is the pause before an adoption that could not be verified is announced again.
const adoptionRetryDelay = micros.Second

// AdoptedBlock returns the block for an adopted machine: a new one, or that of an earlier adoption of
// the machine if its record is not deleted yet.
func (p *Pipeline) AdoptedBlock(machine string) *inventory.Block {
	name := inventory.AdoptedPrefix + machine
	i := slices.IndexFunc(p.blocks, func(b *inventory.Block) bool { return b.Name == name })
	if i >= 0 && len(p.blocks[i].Machines) == 0 {
		return p.blocks[i]
	}
	return p.NewBlock(name)
}

// announces reports whether the write must not hold the entry of a machine, since its adoption is not
// verified.
func (w *blockWrite) announces(m *inventory.Machine) bool {
	return w.block.IsAdopted() && m.FencingToken == 0 && !m.Recorded && !w.pipeline.OwnsAllTeams()
}

// verifyAdoption reads all blocks, and claims an adopted machine if no other one has an entry of it.
// revision is that of the write that precedes the read, and becomes the fencing token.
func (p *Pipeline) verifyAdoption(m *inventory.Machine, revision uint64) {
	m.Verifying = true
	v := &verification{pipeline: p, machine: m, revision: revision}
	p.store.ListAll(record.BlockPrefix, v.handleListing)
}

// verification is the reading of all blocks for one adoption.
type verification struct {
	pipeline *Pipeline
	machine  *inventory.Machine
	revision uint64
	entries  []kv.Entry
}

// handleListing handles the blocks. If they were read at several revisions, the changes meanwhile
// matter too: the machine may have moved to a block on a page that had been read before.
func (v *verification) handleListing(listing kv.Listing, err error) {
	v.entries = listing.Entries
	if err != nil || listing.Revision == listing.LastRevision {
		v.finish(err)
		return
	}
	changes := kv.Watch(record.BlockPrefix, listing.Revision, 0)
	v.pipeline.store.Do(budget.Ownership, changes, v.handleChanges)
}

// handleChanges adds the blocks that were written while the pages were read.
func (v *verification) handleChanges(result kv.Result) {
	var changes kv.WatchResult
	err := result.DecodeOK(&changes)
	for _, change := range changes.Events {
		if change.Put != "" {
			v.entries = append(v.entries, kv.Entry{Key: change.Put, Value: change.Value, Version: change.Version})
		}
	}
	v.finish(err)
}

// finish decides on the adoption. If the blocks could not be read, it is announced again later.
func (v *verification) finish(err error) {
	p, m := v.pipeline, v.machine
	if p.host.Superseded() || p.inv.Machines[m.Name] != m {
		return
	}
	m.Verifying = false
	block, found := "", false
	if err == nil {
		block, found, err = otherBlockWith(m, v.entries)
	}
	switch {
	case found:
		p.abandonAdoption(m, block)
	case err != nil:
		p.log.Warn("adoption cannot be verified", "machine", m.Name, "error", err)
		m.Block.RetryAt = p.host.Now() + adoptionRetryDelay
		p.MarkDirty(m)
	default:
		p.log.Info("adoption verified", "machine", m.Name, "fencing_token", v.revision, "tasks", len(m.Attempts))
		if !m.Recorded {
			m.Block.MarkDirty(p.host.Now()) // its entry is written next
		}
		p.setFencingToken(m, v.revision)
	}
}

// abandonAdoption leaves an adopted machine to the owner of another block. If this owner has recorded
// tasks there, both may have: they are certain to be gone only once the machine is terminated.
func (p *Pipeline) abandonAdoption(m *inventory.Machine, block string) {
	p.log.Warn("adopted machine is in another block", "machine", m.Name, "block", block, "tasks", len(m.Attempts))
	if len(m.Attempts) == 0 {
		p.host.MachineOwnedElsewhere(m, block)
		// Its record is deleted on condition of its version: the name may be used again by then.
		m.Block.MarkDirty(p.host.Now())
		return
	}
	if m.State < inventory.MachineDecommissioning {
		p.inv.SetMachineState(m, inventory.MachineDecommissioning, "it is in the block of another owner too")
	}
}

// otherBlockWith returns the name of a block, other than the machine's own, that has an entry of the
// machine. It fails if there is none, but a block that cannot be read: it may have one.
func otherBlockWith(m *inventory.Machine, entries []kv.Entry) (name string, found bool, unreadable error) {
	for _, e := range entries {
		if e.Key == record.BlockKey(m.Block.Name) {
			continue
		}
		has, err := hasEntryOf(m, e.Value)
		switch {
		case has:
			return strings.TrimPrefix(e.Key, record.BlockPrefix), true, nil
		case err != nil:
			unreadable = fmt.Errorf("record %s: %w", e.Key, err)
		}
	}
	return "", false, unreadable
}

// hasEntryOf reports whether an encoded block has an entry of a machine.
func hasEntryOf(m *inventory.Machine, value []byte) (bool, error) {
	var block record.Block
	if err := wire.Decode(value, &block); err != nil {
		return false, fmt.Errorf("block: %w", err)
	}
	data, err := block.Decode()
	if err != nil {
		return false, err
	}
	isOfMachine := func(entry record.BlockMachine) bool { return entry.Name == m.Name }
	return slices.ContainsFunc(data.Machines, isOfMachine), nil
}

// handleAdoptedElsewhere handles the failed first claim of a machine that another owner has adopted,
// and reports whether the key is that of such a claim. It is not if this owner has recorded the block
// itself, or has tasks on the machine.
func (p *Pipeline) handleAdoptedElsewhere(key string) bool {
	name, isAdopted := strings.CutPrefix(key, record.BlockPrefix+inventory.AdoptedPrefix)
	if !isAdopted {
		return false
	}
	m := p.inv.Machines[name]
	if m == nil || m.FencingToken != 0 || len(m.Attempts) > 0 || m.Recorded && m.Block.IsAdopted() {
		return false
	}
	p.host.MachineOwnedElsewhere(m, inventory.AdoptedPrefix+name)
	p.dropUnwritten(m.Block)
	return true
}

// dropUnwritten removes the block of an adopted machine that has left it before the first write: the
// record of that name is another owner's.
func (p *Pipeline) dropUnwritten(b *inventory.Block) {
	if b.IsAdopted() && b.Version == 0 && len(b.Machines) == 0 {
		b.Dirty = false
		p.removeEmptyBlock(b)
	}
}
