package controller

import (
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/fleet"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
	"tamarindlead/internal/scheduler"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file connects package fleet with its owner. It also contains functions for machines and machine
// types that other parts of the owner use.

// newFleet returns the fleet of an owner.
func newFleet(o *owner) *fleet.Fleet {
	return fleet.New(fleet.Config{
		Inventory: o.Inventory, Classes: o.classes, Settings: o.c.cfg, Log: o.c.log,
		Host: fleetHost{o}, Ownership: fleetOwnership{o}, Cloud: fleetCloud{o.c}, Jobs: fleetJobs{o.scheduler, o},
	})
}

// fleetHost implements fleet.Host.
type fleetHost struct{ o *owner }

func (h fleetHost) Now() micros.Micros                { return h.o.c.now }
func (h fleetHost) WallClock() micros.Micros          { return h.o.c.wallClock }
func (h fleetHost) MachineTypes() []sched.MachineType { return h.o.c.types.List() }
func (h fleetHost) Superseded() bool                  { return h.o.superseded() }
func (h fleetHost) IsActive() bool                    { return h.o.isActiveOwner() }
func (h fleetHost) ActiveSince() micros.Micros        { return h.o.activeSince }
func (h fleetHost) LastHeartbeat() micros.Micros      { return h.o.workers.LastHeartbeat() }
func (h fleetHost) NextNumber() uint64                { return h.o.nextNumber() }

func (h fleetHost) ReportViolation(violation string, details ...any) {
	h.o.c.reportViolation(violation, append(details, "owner_state", h.o.state.String())...)
}

// fleetOwnership implements fleet.Ownership.
type fleetOwnership struct{ o *owner }

func (h fleetOwnership) ID() record.OwnerID { return h.o.c.node.ID() }

func (h fleetOwnership) OwnsRecordsOf(owner record.OwnerID) bool { return h.o.ownsRecordsOf(owner) }

func (h fleetOwnership) IsClaimedByPeer(machine string) bool { return h.o.c.claimant(machine) != "" }

func (h fleetOwnership) AdoptsOrphans() bool {
	return h.o.c.cluster.FirstOwner() == h.o.c.cfg.Node
}

func (h fleetOwnership) NewMachine(info inventory.MachineInfo) *inventory.Machine {
	return h.o.newMachine(info)
}

// NewAdoptedMachine adds an adopted machine. While other owners exist, the machine gets a block of its
// own, since one of them may own it without this owner's knowledge (see internal/commit/adoption.go).
func (h fleetOwnership) NewAdoptedMachine(info inventory.MachineInfo) *inventory.Machine {
	if h.o.commits.OwnsAllTeams() {
		return h.o.newMachine(info)
	}
	return h.o.addMachine(h.o.commits.AdoptedBlock(info.Name), info)
}

// fleetCloud implements fleet.Cloud.
type fleetCloud struct{ c *Core }

func (h fleetCloud) Allow() bool { return h.c.cloudRate.AllowN(h.c.now.Time(), 1) }

func (h fleetCloud) Call(method, target string, body any, done func(status wire.Status, body []byte)) {
	h.c.callCloud(method, target, body, done)
}

// fleetJobs implements fleet.Jobs by the scheduler and other parts of the owner.
type fleetJobs struct {
	*scheduler.Scheduler
	o *owner
}

func (h fleetJobs) RemainingRunTime(a *inventory.Attempt) micros.Micros {
	return h.o.workers.RemainingRunTime(a)
}

func (h fleetJobs) Evict(a *inventory.Attempt, reason string) { h.o.workers.Evict(a, reason) }

func (h fleetJobs) RequestMachines(job *sched.Job, tasks int) { h.o.requestMachines(job, tasks, false) }

// catalog returns the cloud's machine types, as far as this node knows them.
func (c *Core) catalog() autoscaler.Catalog {
	return autoscaler.Catalog{Types: c.types.List(), MaxTasks: inventory.MaxEntryTasks}
}

// newMachine adds a machine, with an entry in a block of its type and zone.
func (o *owner) newMachine(info inventory.MachineInfo) *inventory.Machine {
	return o.addMachine(o.commits.BlockFor(info.Type, info.Zone), info)
}

func (o *owner) machineSize(m *inventory.Machine) sched.Resources {
	return fleet.MachineSize(m, o.c.types.List())
}

// markOwnedElsewhere records that another owner has a machine, for the time until that owner's
// heartbeats should list the machine.
func (o *owner) markOwnedElsewhere(machine string) {
	o.fleet.MarkOwnedElsewhere(machine, o.c.now+ownedElsewhereRetention)
}
