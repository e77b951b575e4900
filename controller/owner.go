package controller

import (
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/cluster"
	"tamarindlead/internal/commit"
	"tamarindlead/internal/fleet"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/recovery"
	"tamarindlead/internal/scheduler"
	"tamarindlead/internal/workers"
	"tamarindlead/micros"
)

// owner is the part of a node that schedules the jobs of its teams and commands machines. It consists
// of parts with their own state, which share its inventory. All of them are created and discarded with
// the owner: after a failover, or if records are not as expected, a new owner recovers everything from
// the records.
type owner struct {
	c           *Core
	state       ownerState
	activeSince micros.Micros // the time of its activation; before that, of its creation
	recovery    *recovery.Recovery
	*inventory.Inventory

	// cascadedCancellations are blocked jobs that must be recorded as cancelled, since an upstream
	// job was cancelled.
	cascadedCancellations []string
	classes               *autoscaler.Classes
	scheduler             *scheduler.Scheduler

	// The watch of the jobs' records.
	jobsListed    bool // the jobs are recovered; changes are applied from then on
	watchRevision uint64
	watchFailed   bool          // the last watch failed
	watchRetryAt  micros.Micros // the time at which another watch is sent
	// cancellationsKnownUntil is the time at which the last watch with a response was sent.
	cancellationsKnownUntil micros.Micros

	fleet *fleet.Fleet
	// nextMachineRequest is the time from which machines may be requested from other owners again.
	nextMachineRequest micros.Micros

	workers *workers.Manager // handles heartbeats of machines and sends commands

	commits          *commit.Pipeline // writes the records
	partsSwept       bool             // orphaned parts were searched for, or a page is being read
	partsSweepCursor string           // the last key that was examined by that search
}

// newOwner returns an owner of teams that has recovered nothing yet.
func newOwner(c *Core, teams map[string]cluster.Team) *owner {
	o := &owner{
		c: c, activeSince: c.now,
		classes: autoscaler.NewClasses(),
	}
	o.Inventory = inventory.New(inventoryHost{o}, c.log)
	o.commits = newCommitPipeline(o)
	o.workers = workers.New(o.Inventory, c.cfg, c.log, workersHost{o})
	o.scheduler = newScheduler(o)
	o.fleet = newFleet(o)
	o.recovery = newRecovery(o)
	for _, team := range c.cfg.Teams {
		if rec, ok := teams[team.Name]; ok {
			o.Teams[team.Name] = &inventory.Team{Record: rec, Team: team}
		}
	}
	return o
}

// superseded reports whether another owner has replaced this one, so that its callbacks must do nothing.
func (o *owner) superseded() bool { return o.c.owner != o }

// advance does the work that the last event may have made possible. It is called after every event.
func (o *owner) advance() {
	switch o.state {
	case ownerRecovering:
		o.recovery.Advance()
	case ownerActive:
		o.advanceBlockedJobs()
		o.scheduler.Schedule()
		o.commits.Flush()
		o.workers.DispatchQueuedMachines()
		o.fleet.TerminateMachines()
	}
}

// slowTick performs the periodic duties of an active owner. It is called every slowTickInterval.
func (o *owner) slowTick() {
	if o.state != ownerActive {
		return
	}
	if o.c.numbers.nearlyExhausted(o.c.node.RecordVersion()) && !o.c.store.Unavailable() {
		o.c.node.Rejoin(o.c.now, "numbers are exhausted") // ends this owner
		return
	}
	if o.watchFailed && o.c.now >= o.watchRetryAt {
		o.watchFailed = false
		o.watchJobs(o.watchRevision)
	}
	o.recovery.ResolveJobs()
	o.sweepOrphanedParts()
	o.fleet.CheckHealth()
	o.workers.InspectMachines()
	o.scheduler.TickReservations()
	o.fleet.TickCloudList()
	o.fleet.TickAutoscaling()
	o.fleet.RemoveExpired()
}
