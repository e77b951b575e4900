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

// While there are other owners, one of them may have recorded a machine that this owner adopts,
// without this owner's knowledge. An adoption therefore takes three steps:
//
//  1. Announcement: the machine's own block is written without an entry. The first claim of the
//     machine by any other owner requires that this block does not exist, so it fails from now on.
//  2. Verification: all blocks are read. This finds an entry that another owner wrote before the
//     announcement.
//  3. Claim: the machine's entry is written, and tasks may be placed on the machine.
//
// An owner that stops before the third step leaves a block without a machine, which its successor
// deletes. A recovered block may already contain the machine's entry, possibly from an older version
// of this program, which wrote the entry first. The adoption is then verified again before the
// machine is claimed.

// adoptionRetryDelay is the pause before an adoption that could not be verified is announced again.
const adoptionRetryDelay = micros.Second

// AdoptedBlock returns the block for an adopted machine: the block of an earlier adoption of the
// machine if its record has not been deleted yet, otherwise a new block.
func (p *Pipeline) AdoptedBlock(machine string) *inventory.Block {
	name := inventory.AdoptedPrefix + machine
	i := slices.IndexFunc(p.blocks, func(b *inventory.Block) bool { return b.Name == name })
	if i >= 0 && len(p.blocks[i].Machines) == 0 {
		return p.blocks[i]
	}
	return p.NewBlock(name)
}

// announces reports whether the write must omit a machine's entry because the machine's adoption
// has not been verified yet.
func (w *blockWrite) announces(m *inventory.Machine) bool {
	return w.block.IsAdopted() && m.FencingToken == 0 && !m.Recorded && !w.pipeline.OwnsAllTeams()
}

// verifyAdoption reads all blocks, and claims an adopted machine if no other block has an entry of
// it. revision is that of the transaction before the read, and becomes the fencing token.
func (p *Pipeline) verifyAdoption(m *inventory.Machine, revision uint64) {
	m.Verifying = true
	v := &verification{pipeline: p, machine: m, revision: revision}
	p.store.ListAll(record.BlockPrefix, v.handleListing)
}

// verification is the read of all blocks for one adoption.
type verification struct {
	pipeline *Pipeline
	machine  *inventory.Machine
	revision uint64
	entries  []kv.Entry
}

// handleListing handles the listed blocks. If their pages were read at different revisions, the
// changes between these revisions are read too: the machine may have been moved to a block on a
// page that had been read before.
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

// finish decides on the adoption. If the blocks could not be read, the adoption is announced again
// after adoptionRetryDelay.
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

// abandonAdoption leaves an adopted machine to the owner of another block. If this owner has
// recorded tasks on the machine, both owners may have started tasks there, and only the machine's
// termination ensures that they have all ended.
func (p *Pipeline) abandonAdoption(m *inventory.Machine, block string) {
	p.log.Warn("adopted machine is in another block", "machine", m.Name, "block", block, "tasks", len(m.Attempts))
	if len(m.Attempts) == 0 {
		p.host.MachineOwnedElsewhere(m, block)
		// The deletion of the record requires its version, since a new block may have the same name
		// by the time the deletion is applied.
		m.Block.MarkDirty(p.host.Now())
		return
	}
	if m.State < inventory.MachineDecommissioning {
		p.inv.SetMachineState(m, inventory.MachineDecommissioning, "it is in the block of another owner too")
	}
}

// otherBlockWith returns the name of a block, other than the machine's own, that has an entry of
// the machine. If it finds none and some block cannot be read, it returns an error, since that
// block may have an entry.
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

// handleAdoptedElsewhere handles a failed precondition that belongs to the first claim of a machine
// that another owner has adopted, and reports whether the key belongs to such a claim. It does not
// if this owner has claimed the machine, has tasks on it, or has recorded the block of its adoption
// itself.
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

// dropUnwritten removes the block of an adopted machine that was removed from it before the first
// write: the record of that name belongs to another owner.
func (p *Pipeline) dropUnwritten(b *inventory.Block) {
	if b.IsAdopted() && b.Version == 0 && len(b.Machines) == 0 {
		b.Dirty = false
		p.removeEmptyBlock(b)
	}
}
