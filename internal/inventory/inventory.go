package inventory

import (
	"context"
	"log/slog"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Host is the owner to which an inventory belongs. It provides the time, and is called when a change
// of state requires an action.
type Host interface {
	// Now returns the monotonic time of the current event.
	Now() micros.Micros
	// EntryChanged is called when a machine's entry must be written.
	EntryChanged(m *Machine)
	// CompletionUnrecorded is called when the completion of a task in a chunk of a job must be
	// recorded.
	CompletionUnrecorded(j *Job, chunk int)
	// AttemptClosed is called when an attempt is closed.
	AttemptClosed(a *Attempt)
	// CommandsNeeded is called when a machine may need commands.
	CommandsNeeded(m *Machine)
}

// Inventory holds an owner's teams, jobs, attempts and machines. It is not safe for concurrent use.
type Inventory struct {
	host  Host
	log   *slog.Logger
	debug bool // the log includes debug messages

	Teams       map[string]*Team
	Jobs        map[string]*Job
	Queue       []*Job          // active jobs in the order of CompareQueueOrder
	BlockedJobs map[string]*Job // jobs with unfinished dependencies, which are not in Jobs

	Machines       map[string]*Machine
	SortedMachines []*Machine // sorted by name

	Assumed     int // attempts that are not recorded yet
	AssumedJobs int // jobs that have such attempts

	// SchedulingNeeded is set when pending tasks may fit a machine that they did not fit before.
	SchedulingNeeded bool
	// TerminationNeeded is set when the termination of machines must be requested from the cloud.
	TerminationNeeded bool
}

// New returns an inventory without jobs and machines.
func New(host Host, log *slog.Logger) *Inventory {
	return &Inventory{
		host: host, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug),
		Teams: map[string]*Team{}, Jobs: map[string]*Job{}, BlockedJobs: map[string]*Job{}, Machines: map[string]*Machine{},
	}
}

// Reset removes all jobs and machines. The teams remain, with no resources in use.
func (inv *Inventory) Reset() {
	clear(inv.Jobs)
	clear(inv.BlockedJobs)
	clear(inv.Machines)
	inv.Queue, inv.SortedMachines = nil, nil
	inv.Assumed, inv.AssumedJobs = 0, 0
	for _, t := range inv.Teams {
		t.Used, t.Stopping = sched.Resources{}, sched.Resources{}
	}
}
