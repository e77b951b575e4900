package controller

import (
	"slices"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/cluster"
	"tamarindlead/internal/commit"
	"tamarindlead/internal/fleet"
	"tamarindlead/internal/record"
	"tamarindlead/internal/scheduler"
	"tamarindlead/internal/workers"
	"tamarindlead/micros"
)

// ownerState is the state machine of owning teams and machines.
type ownerState int

const (
	ownerRecovering ownerState = iota // the records are being read
	ownerActive                       // jobs are placed, machines get commands
)

func (s ownerState) String() string { return [...]string{"loading", "active"}[s] }

// owner is the part of a node that places jobs and gives commands. It works from the records:
// after a takeover, or if they are not as they were known, a new owner reads all of them.
type owner struct {
	c              *Core
	state          ownerState
	activeSince    micros.Micros // when it became active; before that, when it was made
	readingRecords bool          // the records are being read
	retryAt        micros.Micros // a read or watch that failed is tried again then
	*inventory.Inventory

	// Jobs.
	// cascadedCancellations are waiting jobs that are cancelled with one before them, to be recorded.
	cascadedCancellations []string
	// unresolvedJobs are jobs that records name, of which it is not known how they ended.
	unresolvedJobs []*inventory.Job
	classes        *autoscaler.Classes
	scheduler      *scheduler.Scheduler

	// The watch of the jobs' records.
	jobsListed    bool // the jobs were listed; changes since are taken
	watchRevision uint64
	watchDown     bool
	// cancellationsKnownUntil is when the last answered watch of the jobs began.
	cancellationsKnownUntil micros.Micros

	// Machines.
	fleet *fleet.Fleet
	// nextMachineRequest is when machines may be requested of other owners again.
	nextMachineRequest micros.Micros

	// workers is the part that handles the heartbeats of machines and sends them commands.
	workers *workers.Manager

	commits          *commit.Pipeline // writes the records
	partsSwept       bool             // leftovers of long lists were looked for
	partsSweepCursor string           // the last key that was looked at
}

// newOwner returns an owner of teams that has read no records yet.
func newOwner(c *Core, teams map[string]cluster.Team) *owner {
	o := &owner{
		c: c, activeSince: c.now,
		classes: autoscaler.NewClasses(),
	}
	o.Inventory = inventory.NewInventory(inventoryHost{o}, c.log)
	o.commits = newCommitPipeline(o)
	o.workers = workers.New(o.Inventory, c.cfg, c.log, workersHost{o})
	o.scheduler = newScheduler(o)
	o.fleet = newFleet(o)
	for _, t := range c.cfg.Teams {
		if v, ok := teams[t.Name]; ok {
			o.Teams[t.Name] = &inventory.Team{Record: v, Team: t}
		}
	}
	return o
}

// setTeams takes the records of this node's teams. Should they be others than before,
// all is read again.
func (o *owner) setTeams(teams map[string]cluster.Team) {
	same := len(teams) == len(o.Teams)
	for name, v := range teams {
		t := o.Teams[name]
		if t == nil || len(t.Record.Predecessors) != len(v.Predecessors) {
			same = false
			continue
		}
		t.Record = v
	}
	if !same {
		o.c.log.Info("teams have changed", "teams", len(teams))
		o.c.setOwner(newOwner(o.c, teams))
	}
}

// superseded tells callbacks of an owner that has been replaced to do nothing.
func (o *owner) superseded() bool { return o.c.owner != o }

// isActiveOwner reports whether this owner has recovered its records and, as far as this node knows,
// was not replaced. Whether another node knows better is decided by fencing tokens and preconditions.
func (o *owner) isActiveOwner() bool { return !o.superseded() && o.state == ownerActive }

// setState is the one place where the state changes.
func (o *owner) setState(s ownerState) {
	leader, term := o.c.node.Leader()
	o.c.log.Info("owner", "from", o.state.String(), "to", s.String(), "jobs", len(o.Jobs), "machines", len(o.Machines),
		"teams", len(o.Teams), "member_version", o.c.node.RecordVersion(), "leader", leader, "term", term,
		"jobs_revision", o.watchRevision, "read_ago_us", int64(o.c.now-o.cancellationsKnownUntil))
	o.state = s
}

// recoveryRestartDelay keeps an owner that reads all records again and again from using up the limits.
const recoveryRestartDelay = 200 * micros.Millisecond

// restartRecovery starts over from the records, after something that should not happen if
// they were as this node believes.
func (o *owner) restartRecovery(why string) {
	if o.superseded() {
		return
	}
	o.c.log.Warn("reading all records again", "why", why, "member_version", o.c.node.RecordVersion())
	records := map[string]cluster.Team{}
	for name, t := range o.Teams {
		records[name] = t.Record
	}
	o.c.setOwner(newOwner(o.c, records))
	o.c.owner.retryAt = o.c.now + recoveryRestartDelay
	o.c.owner.workers.SetLastHeartbeat(o.workers.LastHeartbeat())
}

// advance does what can be done now; it is called after every event.
func (o *owner) advance() {
	switch o.state {
	case ownerRecovering:
		if !o.readingRecords && o.c.now >= o.retryAt {
			o.startRecovery()
		}
	case ownerActive:
		o.advanceBlockedJobs()
		o.schedule()
		o.flush()
		o.dispatchQueuedMachines()
		o.fleet.TerminateMachines()
	}
}

// slowTick does the slower duties of an active owner.
func (o *owner) slowTick() {
	if o.state != ownerActive {
		return
	}
	if o.c.numbers.nearlyExhausted(o.c.node.RecordVersion()) {
		o.c.node.Rejoin(o.c.now, "its numbers are used up") // ends this owner
		return
	}
	if o.watchDown && o.c.now >= o.retryAt {
		o.watchDown = false
		o.watchJobs(o.watchRevision)
	}
	o.readUnresolvedJobs()
	o.sweepParts()
	o.fleet.CheckHealth()
	o.inspectMachines()
	o.tickReservations()
	o.fleet.TickCloudList()
	o.fleet.TickAutoscaling()
	o.fleet.RemoveExpired()
}

// minAllUnresponsiveTimeout is the shortest silence of all machines after which something is wrong.
const minAllUnresponsiveTimeout = 6 * micros.Second

// allMachinesUnresponsive tells that machines which should report to this owner do not, not one of them.
func (o *owner) allMachinesUnresponsive() bool {
	if o.state != ownerActive {
		return false
	}
	latest, expected := micros.Micros(0), 0
	for _, m := range o.Machines {
		if !m.ExpectsHeartbeat() {
			continue
		}
		heard := m.LastHeartbeat
		if heard > o.c.now { // it was given time after a takeover
			heard = o.activeSince
		}
		latest = max(latest, heard)
		expected++
	}
	return expected > 0 && o.c.now-latest > o.allUnresponsiveTimeout(expected)
}

// allUnresponsiveTimeout is how long all machines may be silent.
func (o *owner) allUnresponsiveTimeout(machines int) micros.Micros {
	if machines == 1 { // more likely it is the machine; it is given up before then
		return o.c.cfg.HeartbeatTimeout() + o.c.cfg.HeartbeatInterval
	}
	return max(minAllUnresponsiveTimeout, o.c.cfg.HeartbeatInterval*5/4)
}

// ownsRecordsOf tells whether the records of an owner are this one's to take: its own, those of
// owners whose successor it is, and what no other owner takes.
func (o *owner) ownsRecordsOf(earlier record.OwnerID) bool {
	if earlier == o.c.node.ID() || o.ownsAllTeams() {
		return true
	}
	for _, t := range o.Teams {
		if slices.Contains(t.Record.Predecessors, earlier) {
			return true
		}
	}
	if o.c.cluster.IsLive(earlier) || o.c.cluster.FirstOwner() != o.c.cfg.Node {
		return false
	}
	return !o.c.cluster.HasSuccessor(earlier)
}
