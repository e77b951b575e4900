package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// addOwnTeamPreconditions adds the guards of machines' first claims: that this owner has its teams still.
// No owner that lives loses a team, and each commit is guarded on this node's member record:
// so when there are more teams than a commit takes guards, some suffice.
func (o *owner) addOwnTeamPreconditions(guards map[string]uint64) {
	for i, name := range ordered.Keys(o.Teams) {
		if i == o.c.cfg.MaxTransactionOps {
			return
		}
		guards[record.TeamKey(name)] = o.Teams[name].Record.Version
	}
}

// ownsAllTeams tells that this node owns all teams: then no other owner's record can come up.
func (o *owner) ownsAllTeams() bool { return len(o.Teams) == len(o.c.cfg.Teams) }

// handleClaimed takes the revision of a commit as a machine's token.
func (o *owner) handleClaimed(m *inventory.Machine, revision uint64) {
	m.FencingToken, m.TokenConfirmed = revision, false
	m.TokenConfirmedAt = max(m.TokenConfirmedAt, o.c.now)
	if m.Fencing == inventory.FencingNeeded {
		o.SetFencingState(m, inventory.FencingPending)
	}
	o.answerDeferredHeartbeat(m)
}

// verifyAdopted looks whether another owner had recorded an adopted machine before this one did.
// Later records of others fail, since they are guarded on the one just written.
func (o *owner) verifyAdopted(m *inventory.Machine, revision uint64) {
	m.Verifying = true
	o.c.store.ListAll(record.BlockPrefix, func(listing kv.Listing, err error) {
		if o.superseded() || o.Machines[m.Name] != m {
			return
		}
		m.Verifying = false
		if err != nil {
			o.markDirty(m)
			return
		}
		if block, found := o.otherBlockWith(m, listing.Entries); found {
			o.obsoleteKeys = append(o.obsoleteKeys, record.BlockKey(m.Block.Name))
			o.dropOwnedElsewhere(m, block)
			return
		}
		o.handleClaimed(m, revision)
	})
}

// otherBlockWith finds a block that has an entry of the machine, besides the machine's own.
// Records that cannot be read are passed over.
func (o *owner) otherBlockWith(m *inventory.Machine, entries []kv.Entry) (name string, found bool) {
	isMachine := func(entry record.BlockMachine) bool { return entry.Name == m.Name }
	for _, e := range entries {
		var rec record.Block
		if e.Key == record.BlockKey(m.Block.Name) || wire.Decode(e.Value, &rec) != nil {
			continue
		}
		data, err := rec.Decode()
		if err == nil && slices.ContainsFunc(data.Machines, isMachine) {
			return strings.TrimPrefix(e.Key, record.BlockPrefix), true
		}
	}
	return "", false
}
