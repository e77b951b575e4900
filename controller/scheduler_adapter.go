package controller

import (
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/scheduler"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file connects package scheduler with its owner.

// newScheduler returns the scheduler of an owner.
func newScheduler(o *owner) *scheduler.Scheduler {
	return scheduler.New(scheduler.Dependencies{
		Host: schedulerHost{inventoryHost{o}},
		Machines: scheduler.MachineFuncs{
			FreeSlots:        o.commits.FreeSlots,
			Size:             o.machineSize,
			FindType:         o.c.types.Find,
			RemainingRunTime: o.workers.RemainingRunTime,
		},
		Inventory: o.Inventory,
		Classes:   o.classes,
		SpotRisk:  &o.c.spotRisk,
		Settings:  o.c.cfg,
		Log:       o.c.log,
	})
}

// schedulerHost implements scheduler.Host. Changes of machines' entries and commands are handled as
// for the inventory.
type schedulerHost struct{ inventoryHost }

func (h schedulerHost) WallClock() micros.Micros { return h.o.c.wallClock }

func (h schedulerHost) Committing() bool { return h.o.commits.InFlight() }

func (h schedulerHost) NextNumber() uint64 { return h.o.nextNumber() }

func (h schedulerHost) FreeBytes(b *inventory.Block) float64 { return h.o.commits.FreeBytes(b) }

func (h schedulerHost) Evict(a *inventory.Attempt, reason string) { h.o.workers.Evict(a, reason) }

func (h schedulerHost) Catalog() autoscaler.Catalog { return h.o.c.catalog() }

func (h schedulerHost) Market() autoscaler.Market { return h.o.fleet.Market() }

func (h schedulerHost) RequestMachines(job *sched.Job, tasks int, reclaim bool) {
	h.o.requestMachines(job, tasks, reclaim)
}

func (h schedulerHost) Inherited(job string) (inherited dag.Inheritance, inPipeline bool) {
	inherited, isDependency := h.o.c.graph.Inherited(job)
	return inherited, isDependency || h.o.c.graph.Blocked(job) != nil
}

func (h schedulerHost) UnblockPlacedJob(job string) *inventory.Job { return h.o.unblockPlacedJob(job) }

func (o *owner) schedule() { o.scheduler.Schedule() }

func (o *owner) tickReservations() { o.scheduler.TickReservations() }

// recoverReservations recovers the reservations of an earlier owner. Records that are not used are
// deleted unless another owner may need them.
func (o *owner) recoverReservations(entries []kv.Entry) {
	unused := o.scheduler.RecoverReservations(entries)
	if o.ownsAllTeams() {
		o.commits.DeleteLater(unused...)
	}
}
