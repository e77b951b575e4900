package controller

import (
	"maps"
	"strings"

	"tamarindlead/internal/capacity"
	"tamarindlead/internal/cluster"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
)

// blockChange is what one write of a block means for its machines.
type blockChange struct {
	claimed, condemned, gone, left []*machine
	leaving, proposed              []*attempt
}

// writeBlock adds a block's record to a commit. A block that does not fit any more waits
// for the next one.
func (o *owner) writeBlock(t *txn, b *block, room int) {
	var ch blockChange
	var moves []*machine
	guards := map[string]uint64{record.BlockPrefix + b.name: b.version}
	d := &record.BlockData{Since: int64(o.c.day), Base: ^uint64(0)}
	kinds, jobs := map[capacity.Offer]int{}, map[string]int{}
	kept := b.machines[:0:0]
	placed := 0
	// A block that needs more guards than there may be is written in several steps. What
	// other records take of a commit leaves it these.
	guardable := func(keys ...string) bool {
		n := len(guards)
		for _, k := range keys {
			if _, ok := guards[k]; !ok {
				n++
			}
		}
		return n < 3*o.c.cfg.TxnOps
	}
	if b.claims() {
		o.guardTeams(guards)
	}
	for _, m := range b.machines {
		for _, a := range m.attempts {
			d.Base = min(d.Base, a.number)
		}
		d.Since = min(d.Since, int64(m.rented))
	}
	for _, m := range b.machines {
		if m.state == machineDeleted {
			ch.gone = append(ch.gone, m)
			continue
		}
		if m.state == machineMoving && len(m.attempts) == 0 && len(moves) < room-1 && o.canMove(m) {
			if successor := o.c.cluster.MemberGuard(cluster.NodeOf(m.moveTo)); guardable(successor.Key) {
				guards[successor.Key] = successor.Version
				moves = append(moves, m)
				continue
			}
		}
		unknown := m.token == 0 && !m.recorded && !o.ownsAllTeams() && !strings.HasPrefix(b.name, adoptedPrefix)
		if unknown && !guardable(record.BlockKey(adoptedPrefix+m.name)) {
			continue // its first claim comes with the next write
		}
		kept = append(kept, m)
		of := m.offer()
		k, ok := kinds[of]
		if !ok {
			k = len(d.Kinds)
			kinds[of] = k
			d.Kinds = append(d.Kinds, record.BlockKind{Type: m.kind, Zone: m.zone, Spot: m.spot})
		}
		e := record.BlockMachine{
			Name: m.name, Token: m.token, Endpoint: m.endpoint, Kind: k, Rented: int64(m.rented) - d.Since,
			Condemned: m.state == machineCondemned || m.state == machineReleasing,
		}
		if m.token == 0 || m.fence == fenceWanted {
			e.Token = 0
			ch.claimed = append(ch.claimed, m)
			if unknown { // that nobody adopted it
				guards[record.BlockKey(adoptedPrefix+m.name)] = 0
			}
		}
		if m.state == machineCondemned {
			ch.condemned = append(ch.condemned, m)
		}
		var tasks []record.BlockTask
		for _, a := range m.recordOrder() {
			switch a.state {
			case attemptLeaving:
				ch.leaving = append(ch.leaving, a)
				continue
			case attemptProposed:
				if !guardable(record.ActiveKey(a.job.ID), record.TeamKey(a.job.Team)) {
					continue
				}
				ch.proposed = append(ch.proposed, a)
				guards[record.ActiveKey(a.job.ID)] = a.job.version
				guards[record.TeamKey(a.job.Team)] = o.teams[a.job.Team].record.Version
			}
			n, ok := jobs[a.job.ID]
			if !ok {
				n = len(d.Jobs)
				jobs[a.job.ID] = n
				j := a.job
				d.Jobs = append(d.Jobs, record.BlockJob{ID: j.ID, Team: j.Team, Tasks: j.Tasks, CPU: j.Need.CPU, GPU: j.Need.GPU, Mem: j.Need.Mem})
			}
			tasks = append(tasks, record.BlockTask{Job: n, Index: a.index, Number: a.number})
		}
		d.Pack(&e, tasks)
		placed += len(tasks)
		d.Machines = append(d.Machines, e)
	}
	rec := d.Block(o.c.node.ID())
	if placed > 0 {
		// With few tasks most of this is the entries: taken for the tasks', nothing more would be
		// placed on machines that stand idle, and so it would stay.
		b.taskBytes = min(float64(rec.Size()-len(kept)*entryBytes)/float64(placed), freshBytes)
	}
	if rec.Size() > o.c.cfg.ValueBytes && len(kept) > 0 {
		o.outgrown(b, rec.Size(), ch.proposed)
		return
	}
	if !t.takes(guards, rec.Size(), o.c.cfg.TxnOps) {
		return
	}
	maps.Copy(t.guards, guards)
	b.writing, b.dirty = true, false
	left := b.left
	b.left = nil
	key := record.BlockKey(b.name)
	if len(kept) == 0 {
		t.writes = append(t.writes, state.Write{Delete: key})
	} else {
		t.write(key, rec, rec.Size())
	}
	for _, m := range kept {
		m.dirty = false
	}
	for _, m := range moves {
		o.writeMove(t, m)
	}
	ch.left = moves
	t.results = append(t.results, func(ok bool, rev uint64) {
		b.writing = false
		if !ok {
			o.markBlockDirty(b)
			b.left = append(b.left, left...)
			for _, m := range b.machines {
				m.dirty = true
			}
			return
		}
		b.version, b.tooLarge = rev, false
		for _, m := range kept {
			m.recorded = true
		}
		for _, old := range left {
			old.behind--
			o.markBlockDirty(old) // without them now; if it is empty, its record is deleted
		}
		o.blockWritten(b, ch, rev)
	})
}

func (o *owner) blockWritten(b *block, ch blockChange, rev uint64) {
	for _, m := range ch.condemned {
		if m.state == machineCondemned {
			o.setMachine(m, machineReleasing, "recorded")
		}
	}
	for _, m := range ch.claimed {
		if strings.HasPrefix(b.name, adoptedPrefix) && m.token == 0 && !o.ownsAllTeams() {
			o.verify(m, rev)
			continue
		}
		o.claimed(m, rev)
	}
	for _, a := range ch.leaving {
		o.setAttempt(a, attemptClosed)
	}
	for _, a := range ch.proposed {
		o.recorded(a)
	}
	for _, m := range ch.gone {
		o.forget(m)
	}
	for _, m := range ch.left {
		o.moved(m)
	}
	// Dirty again only if something changed while the commit was under way.
	for _, m := range b.machines {
		if m.dirty = m.dirty || m.changed(); m.dirty {
			o.markBlockDirty(b)
		}
	}
	o.dropEmpty(b)
}

// changed tells whether a machine's entry must be written.
func (m *machine) changed() bool {
	for _, a := range m.attempts {
		if a.state == attemptProposed || a.state == attemptLeaving {
			return true
		}
	}
	return m.token == 0 && !m.verifying || m.fence == fenceWanted || m.state == machineMoving && len(m.attempts) == 0 ||
		m.state == machineCondemned || m.state == machineDeleted
}
