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

// newScheduler returns the scheduler of an owner.
func newScheduler(o *owner) *scheduler.Scheduler {
	return scheduler.New(scheduler.Dependencies{
		Host: schedulerHost{inventoryHost{o}},
		Machines: scheduler.MachineFuncs{
			FreeSlots:        o.commits.FreeSlots,
			Size:             o.machineSize,
			FindType:         o.c.types.find,
			RemainingRunTime: o.remainingRunTime,
		},
		Inventory: o.Inventory,
		Classes:   o.classes,
		SpotRisk:  &o.c.spotRisk,
		Settings:  o.c.cfg,
		Log:       o.c.log,
	})
}

// schedulerHost is the part of an owner that its scheduler uses. Changes of machines' entries and
// commands are handled as for its inventory.
type schedulerHost struct{ inventoryHost }

func (h schedulerHost) WallClock() micros.Micros { return h.o.c.wallClock }

func (h schedulerHost) Committing() bool { return h.o.commits.InFlight() }

func (h schedulerHost) NextNumber() uint64 { return h.o.nextNumber() }

func (h schedulerHost) FreeBytes(b *inventory.Block) float64 { return h.o.commits.FreeBytes(b) }

func (h schedulerHost) Evict(a *inventory.Attempt, reason string) { h.o.evict(a, reason) }

func (h schedulerHost) Catalog() autoscaler.Catalog { return h.o.c.catalog() }

func (h schedulerHost) Market() autoscaler.Market { return h.o.market() }

func (h schedulerHost) RequestMachines(job *sched.Job, tasks int, reclaim bool) {
	h.o.requestMachines(job, tasks, reclaim)
}

func (h schedulerHost) Inherited(job string) (inherited dag.Inheritance, inPipeline bool) {
	inherited, isDependency := h.o.c.graph.Inherited(job)
	return inherited, isDependency || h.o.c.graph.Blocked(job) != nil
}

func (h schedulerHost) UnblockPlacedJob(job string) *inventory.Job { return h.o.unblockPlacedJob(job) }

func (o *owner) schedule() { o.scheduler.Schedule() }

func (o *owner) quotaHeadroom(j *inventory.Job, reserved sched.Resources) int {
	return o.scheduler.QuotaHeadroom(j, reserved)
}

func (o *owner) teamUsage(t *inventory.Team) sched.TeamUsage { return scheduler.Usage(t) }

func (o *owner) estimatedRunTime(j *inventory.Job) micros.Micros {
	return o.scheduler.EstimatedRunTime(j)
}

func (o *owner) maxWait(j *inventory.Job) micros.Micros { return o.scheduler.ClassWaitTarget(j) }

func (o *owner) inheritPriority(j *inventory.Job) { o.scheduler.InheritPriority(j) }

func (o *owner) recordSpotReclaimed(m *inventory.Machine) { o.scheduler.RecordSpotReclaimed(m) }

func (o *owner) handleAttemptRecorded(a *inventory.Attempt) { o.scheduler.HandleAttemptRecorded(a) }

func (o *owner) planReclaim(job *sched.Job) *sched.PreemptionPlan {
	return o.scheduler.PlanReclaim(job)
}

func (o *owner) stopBundledAttempts(bundles []sched.Bundle, reason string) {
	o.scheduler.EvictVictims(bundles, reason)
}

func (o *owner) isReserved(machine string) bool { return o.scheduler.IsReserved(machine) }

func (o *owner) tickReservations() { o.scheduler.TickReservations() }

func (o *owner) flushReservations(t *transaction, full func() bool) {
	o.scheduler.FlushReservations(t, full)
}

// recoverReservations recovers the reservations of an earlier owner. A record that is no use may be
// another owner's, unless there is none.
func (o *owner) recoverReservations(entries []kv.Entry) {
	unused := o.scheduler.RecoverReservations(entries)
	if o.ownsAllTeams() {
		o.commits.DeleteLater(unused...)
	}
}
