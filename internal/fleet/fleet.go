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

// Host provides what the fleet needs from its owner and the node.
type Host interface {
	// Now returns the monotonic time of the current event.
	Now() micros.Micros
	// WallClock returns the wall-clock time of the current event.
	WallClock() micros.Micros
	// MachineTypes returns the machine types of the cloud, or none before they are known.
	MachineTypes() []sched.MachineType
	// Superseded reports whether the owner was replaced. Its callbacks must do nothing then.
	Superseded() bool
	// IsActive reports whether the owner has recovered its records and was not replaced.
	IsActive() bool
	// ActiveSince returns when the owner became active.
	ActiveSince() micros.Micros
	// LastHeartbeat returns the time of the last heartbeat from any machine.
	LastHeartbeat() micros.Micros
	// NextNumber returns a unique number.
	NextNumber() uint64
	// ReportViolation reports the violation of an invariant, with keys and values for the log.
	ReportViolation(violation string, details ...any)
}

// Ownership provides what the fleet needs to know about the machines' records and other owners.
type Ownership interface {
	// ID returns the identifier of this owner in records.
	ID() record.OwnerID
	// OwnsRecordsOf reports whether this owner takes over the records of the given owner.
	OwnsRecordsOf(owner record.OwnerID) bool
	// IsClaimedByPeer reports whether a peer lists the machine as its own in its heartbeats.
	IsClaimedByPeer(machine string) bool
	// AdoptsOrphans reports whether this owner is the one that adopts orphaned machines, which have no
	// owner.
	AdoptsOrphans() bool
	// NewMachine adds a machine to the inventory, with an entry in a block of its type and zone.
	NewMachine(info inventory.MachineInfo) *inventory.Machine
	// NewAdoptedMachine adds a machine that may belong to another owner without this owner's
	// knowledge.
	NewAdoptedMachine(info inventory.MachineInfo) *inventory.Machine
}

// Cloud sends requests to the cloud.
type Cloud interface {
	// Allow reports whether the rate limit permits another request, and if so counts that request.
	Allow() bool
	// Call sends a request. done receives status 0 if there is no response.
	Call(method, target string, body any, done func(status wire.Status, body []byte))
}

// Jobs provides what the fleet needs from scheduling.
type Jobs interface {
	// QuotaHeadroom returns how many of a job's pending tasks its team's quota limit permits if
	// the reserved resources are in use too.
	QuotaHeadroom(j *inventory.Job, reserved sched.Resources) int
	// ClassWaitTarget returns how long a job may wait according to the SLOs of its class.
	ClassWaitTarget(j *inventory.Job) micros.Micros
	// MaxQueueingDelay returns how long a job may wait according to its SLOs and its deadline.
	MaxQueueingDelay(j *inventory.Job) micros.Micros
	// EstimatedRunTime returns the estimated run time of a job's tasks.
	EstimatedRunTime(j *inventory.Job) micros.Micros
	// IsUrgent reports whether a job must start soon to meet a deadline.
	IsUrgent(j *inventory.Job) bool
	// MinOnDemandTasks returns the number of tasks of a gang that must not run on spot machines.
	MinOnDemandTasks(j *inventory.Job) int
	// HasReservation reports whether a gang has a reservation of machines.
	HasReservation(job string) bool
	// IsReserved reports whether a machine is reserved for any gang.
	IsReserved(machine string) bool
	// HasNoSingleTypeTasks reports whether none of the machine's tasks belongs to a job that can run
	// on no other machine type.
	HasNoSingleTypeTasks(m *inventory.Machine) bool
	// RemainingRunTime estimates the time until an attempt completes.
	RemainingRunTime(a *inventory.Attempt) micros.Micros
	// RemainingBusyTime estimates the time until all tasks that use resources of a machine have
	// completed.
	RemainingBusyTime(m *inventory.Machine) micros.Micros
	// Evict stops an attempt with a grace period for a checkpoint.
	Evict(a *inventory.Attempt, reason string)
	// RequestMachines requests machines from other owners for tasks of a job.
	RequestMachines(job *sched.Job, tasks int)
	// RecordSpotUptime adds an interval to the uptime of each spot machine.
	RecordSpotUptime(interval micros.Micros)
	// RecordSpotReclaimed counts the loss of a spot machine, once per machine. It ignores
	// on-demand machines.
	RecordSpotReclaimed(m *inventory.Machine)
}

// Config holds the dependencies of a fleet.
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

// Fleet manages the set of machines of one owner.
type Fleet struct {
	*inventory.Inventory
	classes   *autoscaler.Classes
	settings  *config.Settings
	log       *slog.Logger
	host      Host
	ownership Ownership
	cloud     Cloud
	jobs      Jobs

	// now, wallClock and types are the values of the host for the current event. Every exported
	// method and callback that uses them calls refresh first, so that loops over machines do not
	// call the host for each machine.
	now       micros.Micros
	wallClock micros.Micros
	types     []sched.MachineType

	cloudListing       cloudList
	recentlyTerminated map[string]micros.Micros // end of the retention, by machine
	ownedElsewhere     map[string]micros.Micros // end of the assumption, by machine
	orphanedSince      map[string]micros.Micros // start of being listed without an owner, by machine
	partitionedSince   map[string]micros.Micros // start of the network partition, by zone

	scaleOuts        *scaleOuts
	terminating      bool // a termination request is in flight
	nextTermination  micros.Micros
	nextAutoscaling  micros.Micros
	nextScaleIn      micros.Micros
	nextArrayRequest micros.Micros // time of the next request to other owners for an array
}

// New returns the fleet of an owner.
func New(c Config) *Fleet {
	return &Fleet{
		Inventory: c.Inventory, classes: c.Classes, settings: c.Settings, log: c.Log,
		host: c.Host, ownership: c.Ownership, cloud: c.Cloud, jobs: c.Jobs,
		recentlyTerminated: map[string]micros.Micros{},
		ownedElsewhere:     map[string]micros.Micros{},
		orphanedSince:      map[string]micros.Micros{},
		partitionedSince:   map[string]micros.Micros{},
		scaleOuts:          newScaleOuts(c),
	}
}

// refresh updates now, wallClock and types at the start of an event.
func (f *Fleet) refresh() {
	f.now, f.wallClock, f.types = f.host.Now(), f.host.WallClock(), f.host.MachineTypes()
}

// Reset discards the scale-out requests before the records are recovered.
func (f *Fleet) Reset() { clear(f.scaleOuts.requests) }
