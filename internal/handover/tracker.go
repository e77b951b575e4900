package handover

import (
	"log/slog"
	"slices"

	"tamarindlead/micros"
)

const (
	// terminateFraction is the fraction of the cancellation deadline after which a machine with a
	// task of a cancelled job is terminated. An active owner does so earlier.
	terminateFraction = 0.7
	// observationPeriod is how long it must have been known without interruption that no successor can
	// act before machines are terminated. It exceeds the validity of a peer's heartbeat and the timeout
	// of a watch, so that the knowledge is newer than the end of the owner.
	observationPeriod = 7 * micros.Second
	// maxTickGap is the longest time between two ticks of a node that runs normally. After a longer one,
	// what the node knows is as old as the gap.
	maxTickGap = 2 * micros.Second
	// recoveryAllowance is the time within which assigned owners that can read the records are assumed
	// to have recovered them. It matters for peers that do not report whether they are active.
	recoveryAllowance = 15 * micros.Second
	// terminationRetryDelay is the delay before a termination request that failed is repeated.
	terminationRetryDelay = micros.Second
	// maxTerminationsPerCall is the maximum number of machines in one termination request.
	maxTerminationsPerCall = 100
)

// Host is the node on which owners are discarded.
type Host interface {
	// Successor returns what is known of the next owner of teams. teamVersions has the versions of the
	// records that named the discarded owner.
	Successor(teamVersions map[string]uint64) Successor
	// Resume passes a machine to this node's own owner. It returns false if the node has no active
	// owner.
	Resume(machine *Machine) bool
	// Terminate requests the termination of machines from the cloud, and calls done with the result.
	// It returns false if the rate limit does not permit the request now.
	Terminate(machines []string, done func(now micros.Micros, terminated bool)) bool
	// ReportViolation reports the violation of an invariant, with keys and values for the log.
	ReportViolation(violation string, details ...any)
}

// Tracker keeps the snapshots of the owners that were discarded on a node.
type Tracker struct {
	host                 Host
	log                  *slog.Logger
	cancellationDeadline micros.Micros

	owners          []*discarded
	lastTick        micros.Micros
	terminating     bool // a termination request is in flight
	nextTermination micros.Micros
}

// NewTracker returns a tracker without snapshots. cancellationDeadline is the time within which the
// tasks of a cancelled job must be gone.
func NewTracker(host Host, cancellationDeadline micros.Micros, log *slog.Logger) *Tracker {
	return &Tracker{host: host, cancellationDeadline: cancellationDeadline, log: log}
}

// Retain keeps the snapshot of an owner that is being discarded. It replaces what earlier snapshots say
// of the same machines.
func (t *Tracker) Retain(snapshot Snapshot, now micros.Micros) {
	for _, m := range snapshot.Machines {
		t.forget(m.Name)
	}
	if len(snapshot.Machines) > 0 {
		t.owners = append(t.owners, newDiscarded(snapshot, now))
	}
}

// Retains reports whether a machine is retained with tasks of a job.
func (t *Tracker) Retains(machine, job string) bool {
	for _, d := range t.owners {
		if m := d.machines[machine]; m != nil {
			_, ok := m.CancelledAt[job]
			return ok
		}
	}
	return false
}

// MachineCount returns the number of retained machines.
func (t *Tracker) MachineCount() int {
	n := 0
	for _, d := range t.owners {
		n += len(d.machines)
	}
	return n
}

// MarkCancelled records that a job is cancelled.
func (t *Tracker) MarkCancelled(job string, now micros.Micros) {
	for _, d := range t.owners {
		for _, m := range d.machines {
			if at, ok := m.CancelledAt[job]; ok && at == 0 {
				m.CancelledAt[job] = now
			}
		}
	}
}

// ObserveHeartbeat forgets a machine that has begun a new agent epoch: its lease has expired, and with
// that its earlier tasks have ended. Nothing follows from a heartbeat of a machine whose earlier epoch is
// not known.
func (t *Tracker) ObserveHeartbeat(machine string, agentEpoch uint64) {
	for _, d := range t.owners {
		if m := d.machines[machine]; m != nil && m.AgentEpoch != 0 && agentEpoch > m.AgentEpoch {
			t.forget(machine)
			return
		}
	}
}

// Tick forgets what other owners have recovered, and requests the terminations that are due.
func (t *Tracker) Tick(now micros.Micros) {
	var due []string
	for _, d := range slices.Clone(t.owners) {
		successor := t.host.Successor(d.teamVersions)
		elapsed := now - max(t.lastTick, d.since)
		d.observe(successor, elapsed)
		switch {
		case d.handedOver(successor):
			t.log.Info("discarded owner's machines handed over", "machines", len(d.machines), "successor", successor.String())
			clear(d.machines)
		case t.resume(d):
			t.log.Info("discarded owner's machines handed over", "successor", "this node")
		default:
			due = append(due, t.overdue(d, now)...)
		}
	}
	t.lastTick = now
	t.removeEmpty()
	t.terminate(due, now)
}

// resume passes the machines of a discarded owner to this node's active owner, if there is one.
func (t *Tracker) resume(d *discarded) bool {
	for _, m := range d.sortedMachines() {
		if !t.host.Resume(m) {
			return false
		}
		delete(d.machines, m.Name)
	}
	return true
}

// overdue returns the machines that must be terminated now if no successor can act.
func (t *Tracker) overdue(d *discarded, now micros.Micros) []string {
	var names []string
	for _, m := range d.sortedMachines() {
		if t.isOverdue(d, m, now) {
			names = append(names, m.Name)
		}
	}
	return names
}

// isOverdue reports whether a machine has a task of a job whose cancellation deadline is close, and it has been
// known for long enough that no successor can act.
func (t *Tracker) isOverdue(d *discarded, m *Machine, now micros.Micros) bool {
	limit := micros.Micros(terminateFraction * float64(t.cancellationDeadline))
	cancelledAt := m.earliestCancellation()
	return cancelledAt != 0 && now-cancelledAt > limit && d.noSuccessorFor > observationPeriod
}

// mayTerminate asserts that the termination of a machine may be requested from the cloud without a
// record: a task of a cancelled job is overdue, and no owner can act.
func (t *Tracker) mayTerminate(name string, now micros.Micros) bool {
	successor := SuccessorUnknown
	for _, d := range t.owners {
		if m := d.machines[name]; m != nil && t.isOverdue(d, m, now) {
			successor = t.host.Successor(d.teamVersions)
		}
	}
	if successor.canAct() {
		t.host.ReportViolation("a termination for a discarded owner", "machine", name, "successor", successor.String())
		return false
	}
	return true
}

// terminate requests the termination of machines from the cloud.
func (t *Tracker) terminate(names []string, now micros.Micros) {
	if len(names) == 0 || t.terminating || now < t.nextTermination {
		return
	}
	names = slices.DeleteFunc(names, func(name string) bool { return !t.mayTerminate(name, now) })
	names = names[:min(len(names), maxTerminationsPerCall)]
	if len(names) == 0 {
		return
	}
	t.terminating = t.host.Terminate(names, func(now micros.Micros, terminated bool) {
		t.terminating, t.nextTermination = false, now+terminationRetryDelay
		if !terminated {
			return
		}
		t.nextTermination = now
		for _, name := range names {
			t.forget(name)
		}
	})
	if t.terminating {
		t.log.Warn("terminating machines of a discarded owner: cancellation overdue", "machines", names)
	}
}

// forget removes a machine from all snapshots.
func (t *Tracker) forget(machine string) {
	for _, d := range t.owners {
		delete(d.machines, machine)
	}
	t.removeEmpty()
}

func (t *Tracker) removeEmpty() {
	t.owners = slices.DeleteFunc(t.owners, func(d *discarded) bool { return len(d.machines) == 0 })
}
