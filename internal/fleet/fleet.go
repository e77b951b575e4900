package fleet

import (
	"log/slog"

	"tamarindlead/config"
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Host is what the fleet needs of its owner and the node.
type Host interface {
	// Now returns the time of the present event on a clock that only moves forward.
	Now() micros.Micros
	// WallClock returns the time of day of the present event.
	WallClock() micros.Micros
	// MachineTypes returns the machine types of the cloud, as far as they are known.
	MachineTypes() []sched.MachineType
	// Superseded reports whether the owner was replaced, so that callbacks must do nothing.
	Superseded() bool
	// IsActive reports whether the owner has recovered its records and was not replaced.
	IsActive() bool
	// ActiveSince returns when the owner became active.
	ActiveSince() micros.Micros
	// LastHeartbeat returns when any machine sent a heartbeat last.
	LastHeartbeat() micros.Micros
	// NextNumber returns a number that is never used again.
	NextNumber() uint64
	// ReportViolation reports an invariant that does not hold, with keys and values for the log.
	ReportViolation(violation string, details ...any)
}

// Ownership is what the fleet needs to know of the machines' records and of other owners.
type Ownership interface {
	// ID returns the name of this owner in records.
	ID() record.OwnerID
	// OwnsRecordsOf reports whether this owner takes over the records of another.
	OwnsRecordsOf(owner record.OwnerID) bool
	// IsClaimedByPeer reports whether another owner's heartbeat names the machine.
	IsClaimedByPeer(machine string) bool
	// AdoptsUnclaimed reports whether this owner adopts the machines that no owner claims.
	AdoptsUnclaimed() bool
	// NewMachine adds a machine to the inventory, with an entry in a block of its type and zone.
	NewMachine(info inventory.MachineInfo) *inventory.Machine
	// NewAdoptedMachine adds a machine that another owner may have without this one's knowledge.
	NewAdoptedMachine(info inventory.MachineInfo) *inventory.Machine
}

// Cloud sends requests to the cloud.
type Cloud interface {
	// Allow reports whether the rate limit permits another request, and counts it.
	Allow() bool
	// Call sends a request. done receives status 0 if there is no response.
	Call(method, target string, body any, done func(status wire.Status, body []byte))
}

// Jobs is what the fleet needs of scheduling.
type Jobs interface {
	// QuotaHeadroom returns how many more tasks of a job its team's quota limit permits, if
	// the reserved resources are used too.
	QuotaHeadroom(j *inventory.Job, reserved sched.Resources) int
	// ClassWaitTarget returns how long a job may wait, by the SLOs of its class.
	ClassWaitTarget(j *inventory.Job) micros.Micros
	// MaxQueueingDelay returns how long a job may wait, by its SLOs and its deadline.
	MaxQueueingDelay(j *inventory.Job) micros.Micros
	// EstimatedRunTime returns the estimated run time of a job's tasks.
	EstimatedRunTime(j *inventory.Job) micros.Micros
	// IsUrgent reports whether a job must start soon for a deadline to be met.
	IsUrgent(j *inventory.Job) bool
	// MinOnDemandTasks returns how many tasks of a gang must not run on spot machines.
	MinOnDemandTasks(j *inventory.Job) int
	// HasReservation reports whether machines are reserved for a gang.
	HasReservation(job string) bool
	// IsReserved reports whether a machine is reserved for some gang.
	IsReserved(machine string) bool
	// HasNoSingleTypeTasks reports whether no job that depends on the machine's type has tasks on it.
	HasNoSingleTypeTasks(m *inventory.Machine) bool
	// RemainingRunTime estimates how long an attempt still takes.
	RemainingRunTime(a *inventory.Attempt) micros.Micros
	// RemainingBusyTime estimates how long the tasks that use resources of a machine still take.
	RemainingBusyTime(m *inventory.Machine) micros.Micros
	// Evict stops an attempt, with time for a checkpoint.
	Evict(a *inventory.Attempt, reason string)
	// RequestMachines asks other owners for machines for tasks of a job.
	RequestMachines(job *sched.Job, tasks int)
	// RecordSpotUptime adds an interval to the uptime of each spot machine.
	RecordSpotUptime(interval micros.Micros)
	// RecordSpotReclaimed counts the loss of a machine, if it is a spot machine, once.
	RecordSpotReclaimed(m *inventory.Machine)
}

// Config holds what a fleet is made of.
type Config struct {
	Inventory *inventory.Inventory
	Classes   *autoscaler.Classes
	Settings  *config.Settings
	Log       *slog.Logger
	Host      Host
	Ownership Ownership
	Cloud     Cloud
	Jobs      Jobs
}

// Fleet is the machines of one owner as a whole.
type Fleet struct {
	*inventory.Inventory
	classes   *autoscaler.Classes
	settings  *config.Settings
	log       *slog.Logger
	host      Host
	ownership Ownership
	cloud     Cloud
	jobs      Jobs

	// now, wallClock and types are those of the present event. Every exported method and callback
	// that uses them calls refresh first, so that loops over machines need not call the host for
	// each machine.
	now       micros.Micros
	wallClock micros.Micros
	types     []sched.MachineType

	cloudListing       cloudList
	recentlyTerminated map[string]micros.Micros // by machine, until when it is remembered
	ownedElsewhere     map[string]micros.Micros // machines of other owners, until when that is assumed
	unclaimedSince     map[string]micros.Micros // listed machines that no owner claims
	partitionedSince   map[string]micros.Micros // zones behind a network partition

	scaleOuts        *scaleOuts
	terminating      bool // a termination request is in flight
	nextTermination  micros.Micros
	nextAutoscaling  micros.Micros
	nextScaleIn      micros.Micros
	nextArrayRequest micros.Micros // when other owners may be asked for machines for an array
}

// New returns the fleet of an owner.
func New(c Config) *Fleet {
	return &Fleet{
		Inventory: c.Inventory, classes: c.Classes, settings: c.Settings, log: c.Log,
		host: c.Host, ownership: c.Ownership, cloud: c.Cloud, jobs: c.Jobs,
		recentlyTerminated: map[string]micros.Micros{},
		ownedElsewhere:     map[string]micros.Micros{},
		unclaimedSince:     map[string]micros.Micros{},
		partitionedSince:   map[string]micros.Micros{},
		scaleOuts:          newScaleOuts(c),
	}
}

// refresh updates now, wallClock and types at the beginning of an event.
func (f *Fleet) refresh() {
	f.now, f.wallClock, f.types = f.host.Now(), f.host.WallClock(), f.host.MachineTypes()
}

// Reset drops the scale-out requests, before the records are recovered.
func (f *Fleet) Reset() { clear(f.scaleOuts.requests) }
