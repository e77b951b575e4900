package controller

import (
	"slices"

	"tamarindlead/internal/cluster"
	"tamarindlead/internal/record"
)

// setTeams updates the records of this owner's teams. If the teams or their predecessors have changed,
// a new owner recovers everything from the records.
func (o *owner) setTeams(teams map[string]cluster.Team) {
	same := len(teams) == len(o.Teams)
	for name, rec := range teams {
		team := o.Teams[name]
		if team == nil || !slices.Equal(team.Record.Predecessors, rec.Predecessors) {
			same = false
			continue
		}
		team.Record = rec
	}
	if !same {
		o.c.log.Info("owned teams changed", "teams", len(teams))
		o.c.setOwner(newOwner(o.c, teams))
	}
}

// ownsRecordsOf reports whether the records of an earlier owner belong to this one: its own, those of
// owners whose successor it is, and, if it is the first owner, those of owners without a successor.
func (o *owner) ownsRecordsOf(earlier record.OwnerID) bool {
	if earlier == o.c.node.ID() || o.commits.OwnsAllTeams() {
		return true
	}
	for _, team := range o.Teams {
		if slices.Contains(team.Record.Predecessors, earlier) {
			return true
		}
	}
	if o.c.cluster.IsLive(earlier) || o.c.cluster.FirstOwner() != o.c.cfg.Node {
		return false
	}
	return !o.c.cluster.HasSuccessor(earlier)
}
