package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
)

// guardTeams adds the guards of machines' first claims: that this owner has its teams still.
// No owner that lives loses a team, and each commit is guarded on this node's life: so when
// there are more teams than a commit takes guards, some suffice.
func (o *owner) guardTeams(guards map[string]uint64) {
	for i, name := range sortedKeys(o.teams) {
		if i == o.c.cfg.TxnOps {
			return
		}
		guards[record.TeamKey(name)] = o.teams[name].record.Version
	}
}

// ownsAllTeams tells that this node owns all teams: then no other owner's record can come up.
func (o *owner) ownsAllTeams() bool { return len(o.teams) == len(o.c.cfg.Teams) }

// claimed takes the revision of a commit as a machine's token.
func (o *owner) claimed(m *machine, rev uint64) {
	m.token, m.synced = rev, false
	m.tokenShownAt = max(m.tokenShownAt, o.c.now)
	if m.fence == fenceWanted {
		o.setFence(m, fenceRaised)
	}
	o.answerHeld(m)
}

// verify looks whether another owner had recorded an adopted machine before this one did.
// Later records of others fail, since they are guarded on the one just written.
func (o *owner) verify(m *machine, rev uint64) {
	m.verifying = true
	o.c.store.ListAll(record.BlockPrefix, func(ok bool, entries []state.Entry, _ uint64) {
		if o.superseded() || o.machines[m.name] != m {
			return
		}
		m.verifying = false
		if !ok {
			o.markDirty(m)
			return
		}
		for _, e := range entries {
			var rec record.Block
			if e.Key == record.BlockKey(m.block.name) || wire.Decode(e.Value, &rec) != nil {
				continue
			}
			d, err := rec.Decode()
			if err != nil {
				continue
			}
			if slices.ContainsFunc(d.Machines, func(x record.BlockMachine) bool { return x.Name == m.name }) {
				o.garbage = append(o.garbage, record.BlockKey(m.block.name))
				o.notOurs(m, strings.TrimPrefix(e.Key, record.BlockPrefix))
				return
			}
		}
		o.claimed(m, rev)
	})
}
