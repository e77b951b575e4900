package controller

import (
	"net/http"

	"tamarindlead/internal/handover"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file connects package handover, which keeps what discarded owners knew of tasks, with this node's
// owner, its peers and the cloud.

// handoverHost implements handover.Host.
type handoverHost struct{ c *Core }

// Successor implements handover.Host. It combines what is known of the single teams: a node that owns one
// of them recovers all machines, but they are in other hands for certain only if all teams are.
func (h handoverHost) Successor(teamVersions map[string]uint64) handover.Successor {
	count := map[handover.Successor]int{}
	for team, version := range teamVersions {
		count[h.c.successorOf(team, version)]++
	}
	switch {
	case count[handover.SuccessorUnknown] > 0:
		return handover.SuccessorUnknown
	case count[handover.SuccessorActive] > 0 && count[handover.SuccessorActive] == len(teamVersions):
		return handover.SuccessorActive
	case count[handover.SuccessorActive]+count[handover.SuccessorAssigned] > 0:
		return handover.SuccessorAssigned
	case count[handover.SuccessorPossible] > 0:
		return handover.SuccessorPossible
	case count[handover.SuccessorRecovering] > 0:
		return handover.SuccessorRecovering
	}
	return handover.SuccessorNone
}

// successorOf returns what is known of the next owner of one team, after the record of a version. Only a
// node that this node's view shows as the owner is the successor. Another peer that believes to be the
// owner may have been replaced, or assigned without this node's knowledge, so nothing follows from it.
func (c *Core) successorOf(team string, version uint64) handover.Successor {
	outage := c.store.Unavailable()
	owner := c.cluster.NewerOwner(team, version)
	assigned := owner != "" && owner != c.cfg.Node
	switch {
	case assigned && c.peers.IsActiveOwner(owner, team):
		return handover.SuccessorActive
	case assigned && !outage:
		return handover.SuccessorAssigned
	case assigned && c.peers.IsReachable(owner):
		return handover.SuccessorRecovering
	case assigned || c.peers.AnyActiveOwner(team):
		return handover.SuccessorUnknown
	case !outage:
		return handover.SuccessorPossible
	case c.peers.AnyReachable() || len(c.cfg.Siblings) == 0:
		return handover.SuccessorNone
	}
	return handover.SuccessorUnknown // this node may be the only one without the store
}

// Resume implements handover.Host. The owner has recovered its machines from the records, but may not have
// read yet which of the jobs are cancelled, and when.
func (h handoverHost) Resume(machine *handover.Machine) bool {
	o := h.c.owner
	if o == nil || o.state != ownerActive {
		return false
	}
	for _, job := range ordered.Keys(machine.CancelledAt) {
		if since := machine.CancelledAt[job]; since != 0 {
			o.resumeCancellation(job, since)
		}
	}
	return true
}

// Terminate implements handover.Host.
func (h handoverHost) Terminate(machines []string, done func(now micros.Micros, terminated bool)) bool {
	cloud := fleetCloud(h)
	if !cloud.Allow() {
		return false
	}
	cloud.Call(http.MethodPost, wire.PathRelease, wire.MachineNames{Machines: machines}, func(status wire.Status, _ []byte) {
		done(h.c.now, status == wire.StatusOK)
	})
	return true
}

// ReportViolation implements handover.Host.
func (h handoverHost) ReportViolation(violation string, details ...any) {
	h.c.reportViolation(violation, details...)
}

// resumeCancellation applies the cancellation of a job that an earlier owner on this node knew of.
func (o *owner) resumeCancellation(job string, since micros.Micros) {
	j := o.Jobs[job]
	if j != nil && j.State == inventory.JobEnded {
		if j.CancelledAt == 0 {
			j.CancelledAt = since
		}
		return
	}
	o.handleJobRemoved(job, since)
}

// snapshot returns what this owner knows of the tasks that may be on its machines.
func (o *owner) snapshot() handover.Snapshot {
	s := handover.Snapshot{TeamVersions: map[string]uint64{}}
	for name, team := range o.Teams {
		s.TeamVersions[name] = team.Record.Version
	}
	for _, m := range o.SortedMachines {
		if m.State == inventory.MachineTerminated {
			continue
		}
		jobs := map[string]micros.Micros{}
		for _, a := range m.Attempts {
			if !a.ResourcesReleased {
				jobs[a.Job.ID] = a.Job.CancelledAt
			}
		}
		if len(jobs) > 0 {
			s.Machines = append(s.Machines, handover.Machine{Name: m.Name, AgentEpoch: m.AgentEpoch, CancelledAt: jobs})
		}
	}
	return s
}

// retainTasks passes what an owner that is being discarded knows to the next one, and asserts that no task of a
// cancelled job is forgotten.
func (c *Core) retainTasks(o *owner) {
	c.handover.Retain(o.snapshot(), c.now)
	for _, m := range o.SortedMachines {
		for _, a := range m.SortedAttempts() {
			if isCancelledTask(a) && m.State != inventory.MachineTerminated && !c.handover.Retains(m.Name, a.Job.ID) {
				c.reportViolation("a cancelled task is forgotten with its owner", "task", a.TaskName(), "machine", m.Name)
			}
		}
	}
}
