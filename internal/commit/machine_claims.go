package commit

import (
	"slices"
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// OwnsAllTeams reports whether this node owns all teams: then no other owner can have a record of a
// machine.
func (p *Pipeline) OwnsAllTeams() bool { return len(p.inv.Teams) == len(p.settings.Teams) }

// requireOwnTeams adds the preconditions of machines' first claims: that this owner still has its
// teams. No live owner loses a team, and each transaction requires this node's member record; so
// if there are more teams than a transaction may have preconditions, some of them suffice.
func (p *Pipeline) requireOwnTeams(preconditions map[string]uint64) {
	for i, name := range ordered.Keys(p.inv.Teams) {
		if i == p.settings.MaxTransactionOps {
			return
		}
		preconditions[record.TeamKey(name)] = p.inv.Teams[name].Record.Version
	}
}

// setFencingToken makes the revision of a transaction the fencing token of a machine.
func (p *Pipeline) setFencingToken(m *inventory.Machine, revision uint64) {
	m.FencingToken, m.TokenConfirmed = revision, false
	m.TokenConfirmedAt = max(m.TokenConfirmedAt, p.host.Now())
	if m.Fencing == inventory.FencingNeeded {
		p.inv.SetFencingState(m, inventory.FencingPending)
	}
	p.host.MachineClaimed(m)
}

// verifyAdopted reads whether another owner had recorded an adopted machine before this one did.
// Later claims of other owners fail, since they require that the record just written does not
// exist.
func (p *Pipeline) verifyAdopted(m *inventory.Machine, revision uint64) {
	m.Verifying = true
	p.store.ListAll(record.BlockPrefix, func(listing kv.Listing, err error) {
		if p.host.Superseded() || p.inv.Machines[m.Name] != m {
			return
		}
		m.Verifying = false
		if err != nil { // the claim is repeated with the next write
			p.MarkDirty(m)
			return
		}
		if block, found := otherBlockWith(m, listing.Entries); found {
			p.DeleteLater(record.BlockKey(m.Block.Name))
			p.host.MachineOwnedElsewhere(m, block)
			return
		}
		p.setFencingToken(m, revision)
	})
}

// otherBlockWith returns the name of a block, other than the machine's own, that has an entry of the
// machine. Unreadable records are ignored: whoever owns them reports them.
func otherBlockWith(m *inventory.Machine, entries []kv.Entry) (name string, found bool) {
	for _, e := range entries {
		if e.Key != record.BlockKey(m.Block.Name) && hasEntryOf(m, e.Value) {
			return strings.TrimPrefix(e.Key, record.BlockPrefix), true
		}
	}
	return "", false
}

// hasEntryOf reports whether an encoded block has an entry of a machine.
func hasEntryOf(m *inventory.Machine, value []byte) bool {
	var block record.Block
	if wire.Decode(value, &block) != nil {
		return false
	}
	data, err := block.Decode()
	return err == nil && slices.ContainsFunc(data.Machines, func(entry record.BlockMachine) bool { return entry.Name == m.Name })
}
