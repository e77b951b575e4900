package controller

import (
	"slices"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/state"
	"tamarindlead/micros"
)

// assembly is how long a new leader waits for the other nodes to join before it parts
// teams that nobody owns yet.
const assembly = 1500 * micros.Millisecond

// mostHeirs bounds the list of earlier owners whose machines an owner takes over.
const mostHeirs = 12

// assign gives teams without a living owner to members. All teams of one lost owner go
// to one heir, which takes over its machines and what runs on them.
func (c *Core) assign() {
	l := &c.lead
	if l.assigning || c.now < l.assignAt || !c.cluster.watching {
		return
	}
	lost := map[string][]string{} // by earlier owner
	for _, t := range c.cfg.Teams {
		if v, ok := c.cluster.teams[t.Name]; !ok {
			lost[""] = append(lost[""], t.Name)
		} else if id := ownerID(v.Owner, v.Life); !c.lives(id) {
			lost[id] = append(lost[id], t.Name)
		}
	}
	if len(lost) == 0 || len(lost[""]) > 0 && c.cfg.Tuning.SpreadTeams &&
		len(c.cluster.members) <= len(c.cfg.Siblings) && c.now-l.since < assembly {
		return
	}
	guards := map[string]uint64{}
	var writes []state.Write
	given := map[string]int{}
	for _, id := range sortedKeys(lost) {
		to := ""
		for _, name := range lost[id] {
			if to == "" || id == "" {
				to = c.heir(given)
			}
			if to == "" || len(writes) >= c.cfg.TxnOps {
				continue
			}
			given[to]++
			m := c.cluster.members[to]
			rec := teamRecord{Owner: to, Life: m.life, Term: l.term}
			if v, ok := c.cluster.teams[name]; ok {
				rec.Heir = append(slices.Clone(v.Heir), id)
				rec.Heir = rec.Heir[max(0, len(rec.Heir)-mostHeirs):]
			}
			guards[memberKey(to)] = m.version
			guards[teamKey(name)] = c.cluster.teams[name].version
			writes = append(writes, state.Write{Put: teamKey(name), Value: rec})
			c.log.Info("team assigned", "team", name, "to", to, "from", id)
		}
	}
	if len(writes) == 0 {
		return
	}
	guards[keyLeader] = l.term
	l.assigning = true
	c.store(budget.Leadership, state.Commit(guardList(guards), writes), func(r storeReply) {
		// Whatever the outcome, the watch tells what holds.
		l.assigning = false
		l.assignAt = c.now + 2*slowTick
	})
}

// heir chooses a member for a team. Gathered, all teams go to one node: this one, or
// the one that owns teams already. Spread, to the one that owns the fewest.
func (c *Core) heir(given map[string]int) string {
	owned := map[string]int{}
	for name, n := range given {
		owned[name] += n
	}
	for _, t := range c.cluster.teams {
		if c.lives(ownerID(t.Owner, t.Life)) {
			owned[t.Owner]++
		}
	}
	best := ""
	for _, node := range sortedKeys(c.cluster.members) {
		better := owned[node] > owned[best]
		if c.cfg.Tuning.SpreadTeams {
			better = owned[node] < owned[best]
		}
		if best == "" || better || owned[node] == owned[best] && node == c.cfg.Node {
			best = node
		}
	}
	return best
}

// guardList puts guards into a fixed order.
func guardList(m map[string]uint64) []state.Guard {
	list := make([]state.Guard, 0, len(m))
	for _, k := range sortedKeys(m) {
		list = append(list, state.Guard{Key: k, Version: m[k]})
	}
	return list
}
