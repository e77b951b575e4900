package handover

import (
	"maps"
	"slices"

	"tamarindlead/micros"
)

// Machine is a machine with tasks, as a discarded owner knew it.
type Machine struct {
	Name string
	// AgentEpoch is the epoch of the machine's latest heartbeat, or 0 if the owner received none.
	AgentEpoch uint64
	// CancelledAt has the jobs with tasks that may be on the machine. The value is when the
	// cancellation of the job became known, or 0 if the job is not cancelled.
	CancelledAt map[string]micros.Micros
}

// Snapshot is what an owner knew when it was discarded.
type Snapshot struct {
	// TeamVersions has the versions of the records that named the owner, by team.
	TeamVersions map[string]uint64
	// Machines are the machines with tasks.
	Machines []Machine
}

// earliestCancellation returns when the first of the cancellations became known, or 0.
func (m *Machine) earliestCancellation() micros.Micros {
	earliest := micros.Micros(0)
	for _, at := range m.CancelledAt {
		if at != 0 && (earliest == 0 || at < earliest) {
			earliest = at
		}
	}
	return earliest
}

// discarded is the snapshot of one owner.
type discarded struct {
	since        micros.Micros // when the owner was discarded
	teamVersions map[string]uint64
	machines     map[string]*Machine
	// assignedFor is how long successors were assigned and could read the records, since the last
	// time when none could.
	assignedFor micros.Micros
	// noSuccessorFor is how long it has been known without interruption that no successor can act.
	noSuccessorFor micros.Micros
}

func newDiscarded(snapshot Snapshot, now micros.Micros) *discarded {
	d := &discarded{since: now, teamVersions: maps.Clone(snapshot.TeamVersions), machines: map[string]*Machine{}}
	for _, m := range snapshot.Machines {
		m.CancelledAt = maps.Clone(m.CancelledAt)
		d.machines[m.Name] = &m
	}
	return d
}

// sortedMachines returns the machines in the order of their names.
func (d *discarded) sortedMachines() []*Machine {
	var list []*Machine
	for _, name := range slices.Sorted(maps.Keys(d.machines)) {
		list = append(list, d.machines[name])
	}
	return list
}

// observe adds what has been known of successors in the time since the last observation.
func (d *discarded) observe(successor Successor, elapsed micros.Micros) {
	if successor.canAct() || elapsed > maxTickGap {
		d.noSuccessorFor = 0
	} else {
		d.noSuccessorFor += elapsed
	}
	switch successor {
	case SuccessorAssigned:
		d.assignedFor += elapsed
	case SuccessorPossible, SuccessorActive:
	case SuccessorUnknown, SuccessorNone, SuccessorRecovering:
		d.assignedFor = 0
	}
}

// handedOver reports whether a successor has recovered the records, or successors have had the time to
// do so.
func (d *discarded) handedOver(successor Successor) bool {
	return successor == SuccessorActive || d.assignedFor > recoveryAllowance
}
