package scheduler

import (
	"log/slog"

	"tamarindlead/config"
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Host is the part of its owner that the scheduler uses.
type Host interface {
	// Now returns the monotonic time of the current event.
	Now() micros.Micros
	// WallClock returns the wall-clock time of the current event.
	WallClock() micros.Micros
	// Committing reports whether a transaction with records of the owner is in flight.
	Committing() bool
	// NextNumber returns a number for attempts that was never used before.
	NextNumber() uint64
	// FreeBytes returns how many more bytes of tasks the record of a block can take.
	FreeBytes(block *inventory.Block) float64
	// EntryChanged is called when a machine's entry must be written.
	EntryChanged(machine *inventory.Machine)
	// CommandsNeeded is called when a machine may need commands.
	CommandsNeeded(machine *inventory.Machine)
	// Evict stops an attempt, and all others of its gang, with a grace period for a checkpoint.
	Evict(attempt *inventory.Attempt, reason string)
	// Catalog returns the machine types of the cloud.
	Catalog() autoscaler.Catalog
	// Market returns what can be requested from the cloud now.
	Market() autoscaler.Market
	// RequestMachines requests machines for tasks of a job from other owners. With reclaim, these
	// may preempt tasks of teams that use more than their guaranteed quotas.
	RequestMachines(job *sched.Job, tasks int, reclaim bool)
	// Inherited returns what a job inherits from its downstream jobs, and whether it is part of
	// a pipeline at all.
	Inherited(job string) (inherited dag.Inheritance, inPipeline bool)
	// UnblockPlacedJob returns a job that is placed according to a record of an earlier owner, so
	// that it cannot be blocked any more, or nil if this owner does not have the job.
	UnblockPlacedJob(job string) *inventory.Job
}

// MachineFuncs are the functions of other parts of the owner that a pass calls for each machine or
// attempt. They are bound once, when the scheduler is created.
type MachineFuncs struct {
	// FreeSlots returns how many more tasks the machine's entry in its block can take. It
	// caches the free bytes of blocks in freeBytes.
	FreeSlots func(machine *inventory.Machine, freeBytes map[*inventory.Block]float64) int
	// Size returns a machine's resources, zero while its type is unknown.
	Size func(machine *inventory.Machine) sched.Resources
	// FindType returns a machine type, or nil.
	FindType func(name string) *sched.MachineType
	// RemainingRunTime returns the estimated time until an attempt's task completes.
	RemainingRunTime func(attempt *inventory.Attempt) micros.Micros
}

// Dependencies are the other parts of an owner that a scheduler uses.
type Dependencies struct {
	Host      Host
	Machines  MachineFuncs
	Inventory *inventory.Inventory
	Classes   *autoscaler.Classes
	SpotRisk  *autoscaler.SpotRisk
	Settings  *config.Settings
	Log       *slog.Logger
}

// Scheduler places the jobs of an owner. It exists as long as its owner.
type Scheduler struct {
	host      Host
	machines  MachineFuncs
	inventory *inventory.Inventory
	classes   *autoscaler.Classes
	spotRisk  *autoscaler.SpotRisk
	settings  *config.Settings
	log       *slog.Logger

	nextPass     micros.Micros           // the earliest time of the next pass
	reservations map[string]*reservation // by job

	// freeBytes is a buffer for the calls of MachineFuncs.FreeSlots. It is cleared before each use
	// and shared by all, since allocating a map for each of many assignments would be wasteful.
	freeBytes map[*inventory.Block]float64
}

// New returns a scheduler without reservations.
func New(d Dependencies) *Scheduler {
	return &Scheduler{
		host:         d.Host,
		machines:     d.Machines,
		inventory:    d.Inventory,
		classes:      d.Classes,
		spotRisk:     d.SpotRisk,
		settings:     d.Settings,
		log:          d.Log,
		reservations: map[string]*reservation{},
		freeBytes:    map[*inventory.Block]float64{},
	}
}

// EstimatedRunTime returns the estimate of a task's run time, corrected by the actual run times of
// its class.
func (s *Scheduler) EstimatedRunTime(j *inventory.Job) micros.Micros {
	return s.classes.CorrectedEstimate(j.Class, j.Estimate)
}

// isScarce reports whether some recent class of jobs fits only the machine's type and may use the machine.
func (s *Scheduler) isScarce(m *inventory.Machine, now micros.Micros) bool {
	return s.classes.Scarce(now, m.Type, m.Spot)
}

// RemainingBusyTime returns the estimated time until all tasks that use resources of a machine have
// completed.
func (s *Scheduler) RemainingBusyTime(m *inventory.Machine) micros.Micros {
	longest := micros.Micros(0)
	for _, a := range m.Attempts {
		if !a.ResourcesReleased {
			longest = max(longest, s.machines.RemainingRunTime(a))
		}
	}
	return longest
}
