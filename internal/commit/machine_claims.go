package commit

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
)

// OwnsAllTeams reports whether this node owns all teams. If it does, no other owner can have a
// record of a machine.
func (p *Pipeline) OwnsAllTeams() bool { return len(p.inv.Teams) == len(p.settings.Teams) }

// requireTeamOwnership adds the preconditions of the first claims of machines: this owner still
// owns its teams. A live owner loses no team, and each transaction requires this node's member
// record. If there are more teams than a transaction may have preconditions, it therefore suffices
// to require some of them.
func (p *Pipeline) requireTeamOwnership(preconditions map[string]uint64) {
	for i, name := range ordered.Keys(p.inv.Teams) {
		if i == p.settings.MaxTransactionOps {
			return
		}
		preconditions[record.TeamKey(name)] = p.inv.Teams[name].Record.Version
	}
}

// setFencingToken makes the revision of a transaction the fencing token of a machine.
func (p *Pipeline) setFencingToken(m *inventory.Machine, revision uint64) {
	m.Claim(revision)
	m.TokenConfirmedAt = max(m.TokenConfirmedAt, p.host.Now())
	if m.Fencing == inventory.FencingNeeded {
		p.inv.SetFencingState(m, inventory.FencingPending)
	}
	p.host.MachineClaimed(m)
}
