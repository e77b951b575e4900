package inventory

import (
	"cmp"
	"context"
	"log/slog"
	"slices"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Host is what the inventory needs of its owner. It is told what must be done because of a
// change of state.
type Host interface {
	// Now returns the time of the present event.
	Now() micros.Micros
	// EntryChanged is called when a machine's entry must be written.
	EntryChanged(m *Machine)
	// CompletionUnrecorded is called when tasks of a chunk of a job have completed, which
	// must be recorded.
	CompletionUnrecorded(j *Job, chunk int)
	// CommandsNeeded is called when a machine may need commands.
	CommandsNeeded(m *Machine)
}

// Inventory is what an owner knows of its teams, jobs, attempts and machines. Each of these
// has one function for every change of state, which keeps what depends on it.
type Inventory struct {
	host  Host
	log   *slog.Logger
	debug bool // the log takes details

	Teams       map[string]*Team
	Jobs        map[string]*Job
	Queue       []*Job          // active jobs in the order of their priorities
	BlockedJobs map[string]*Job // those with open dependencies, which are not among the jobs

	Machines       map[string]*Machine
	SortedMachines []*Machine // the same in the order of their names

	Assumed     int // attempts that are not recorded yet
	AssumedJobs int // jobs with such attempts

	// SchedulingNeeded is set when tasks may find a place that found none before.
	SchedulingNeeded bool
	// TerminationNeeded is set when machines are to be terminated by the cloud.
	TerminationNeeded bool
}

// NewInventory returns an inventory without jobs and machines.
func NewInventory(host Host, log *slog.Logger) *Inventory {
	return &Inventory{
		host: host, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug),
		Teams: map[string]*Team{}, Jobs: map[string]*Job{}, BlockedJobs: map[string]*Job{}, Machines: map[string]*Machine{},
	}
}

// Reset removes all jobs and machines; the teams remain, with nothing in use.
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

// AddMachine adds a machine, with an entry in a block.
func (inv *Inventory) AddMachine(b *Block, info MachineInfo, size sched.Resources) *Machine {
	m := &Machine{MachineInfo: info, Size: size}
	m.LastHeartbeat, m.IdleSince = inv.host.Now(), inv.host.Now()
	m.Attempts = map[TaskKey]*Attempt{}
	b.Add(m)
	inv.host.EntryChanged(m)
	inv.Machines[info.Name] = m
	i, _ := slices.BinarySearchFunc(inv.SortedMachines, info.Name, CompareMachineName)
	inv.SortedMachines = slices.Insert(inv.SortedMachines, i, m)
	return m
}

// unregisterMachine takes a machine out of all that lists it.
func (inv *Inventory) unregisterMachine(m *Machine) {
	delete(inv.Machines, m.Name)
	if i, ok := slices.BinarySearchFunc(inv.SortedMachines, m.Name, CompareMachineName); ok {
		inv.SortedMachines = slices.Delete(inv.SortedMachines, i, i+1)
	}
	m.Block.Machines = slices.DeleteFunc(m.Block.Machines, func(x *Machine) bool { return x == m })
}

// RemoveMachine removes a machine whose record is gone, and closes its attempts: their tasks
// may be placed elsewhere from now on.
func (inv *Inventory) RemoveMachine(m *Machine) {
	inv.unregisterMachine(m)
	for _, a := range m.SortedAttempts() {
		j := a.Job
		a.Reason = "machine is gone"
		if a.State != AttemptCompleted || j.State == JobEnded {
			inv.SetAttemptState(a, AttemptClosed)
		}
		if j.Gang && j.State == JobActive && len(j.Attempts) > 0 && j.GangState != GangStopping {
			inv.StopJob(j, 0, "gang lost a machine")
		}
	}
	inv.SchedulingNeeded = true
}

// SetMachineState is the one place where a machine changes its state.
func (inv *Inventory) SetMachineState(m *Machine, s MachineState, reason string) {
	if m.State == s {
		return
	}
	inv.log.Info("machine state changed", "machine", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot,
		"from", m.State.String(), "to", s.String(), "reason", reason)
	m.State = s
	switch s {
	case MachineReady:
		m.IdleSince, m.TokenConfirmedAt = inv.host.Now(), max(m.TokenConfirmedAt, inv.host.Now())
		inv.SchedulingNeeded = true
	case MachineTerminating:
		inv.TerminationNeeded = true
	case MachineTransferring, MachineDecommissioning, MachineTerminated:
		inv.host.EntryChanged(m)
	default: // nothing follows in the other states
	}
}

// SetFencingState is the one place where a machine's fence changes its state.
func (inv *Inventory) SetFencingState(m *Machine, s FencingState) {
	if m.Fencing == s {
		return
	}
	inv.log.Debug("fencing state changed", "machine", m.Name, "from", m.Fencing.String(), "to", s.String())
	m.Fencing = s
	if s == FencingNeeded {
		inv.host.EntryChanged(m)
	}
}

// SetJobState is the one place where a job changes its state.
func (inv *Inventory) SetJobState(j *Job, s JobState) {
	if j.State != s {
		inv.log.Debug("job state changed", "job", j.ID, "from", j.State.String(), "to", s.String())
		j.State = s
	}
}

// SetGangState is the one place where a gang's attempt changes its state.
func (inv *Inventory) SetGangState(j *Job, s GangState) {
	if j.GangState != s {
		inv.log.Debug("gang state changed", "job", j.ID, "from", j.GangState.String(), "to", s.String())
		j.GangState = s
	}
}

// SetAttemptState is the one place where an attempt changes its state.
func (inv *Inventory) SetAttemptState(a *Attempt, s AttemptState) {
	if a.State == s || a.State == AttemptClosed {
		return
	}
	was := a.State
	a.State = s
	if inv.debug {
		inv.log.Debug("attempt state changed", "task", a.TaskName(), "attempt", a.Number,
			"machine", a.Machine.Name, "fencing_token", a.Machine.FencingToken, "from", was.String(), "to", s.String(), "reason", a.Reason)
	}
	if was == AttemptAssumed {
		inv.countAssumed(a.Job, -1)
	}
	a.SetCountedRunning(s == AttemptLive && a.CountedRunning)
	if t := inv.Teams[a.Job.Team]; t != nil {
		switch AttemptStopping {
		case s:
			t.Stopping = t.Stopping.Add(a.Job.Need)
		case was:
			t.Stopping = t.Stopping.Sub(a.Job.Need)
		default: // nothing follows in the other states
		}
	}
	switch s {
	case AttemptRemoving:
		inv.releaseResources(a)
		inv.host.EntryChanged(a.Machine)
	case AttemptCompleted:
		inv.releaseResources(a)
		a.Job.SetTaskState(a.Index, TaskDone)
		if !a.Job.Gang { // a gang is done as a whole, which its final record tells
			a.Job.AddUnrecordedCompletion(a)
			inv.host.CompletionUnrecorded(a.Job, a.Index/record.TasksPerChunk)
		}
	case AttemptClosed:
		inv.releaseResources(a)
		inv.handleAttemptClosed(a)
	default: // nothing follows in the other states
	}
}

// countAssumed keeps count of attempts that are not recorded yet, and of jobs with such.
func (inv *Inventory) countAssumed(j *Job, by int) {
	was := j.Assumed > 0
	j.Assumed += by
	inv.Assumed += by
	if is := j.Assumed > 0; is != was {
		if is {
			inv.AssumedJobs++
		} else {
			inv.AssumedJobs--
		}
	}
}

// releaseResources gives back what an attempt took of its machine and of its team's limit, once it
// is certain that the task is not there. Its task waits until that is recorded.
func (inv *Inventory) releaseResources(a *Attempt) {
	if a.ResourcesReleased {
		return
	}
	a.ResourcesReleased = true
	a.Machine.Used = a.Machine.Used.Sub(a.Job.Need)
	if t := inv.Teams[a.Job.Team]; t != nil {
		t.Used = t.Used.Sub(a.Job.Need)
	}
	inv.SchedulingNeeded = true
}

// handleAttemptClosed frees what an attempt took. Its task may be placed again from now on.
func (inv *Inventory) handleAttemptClosed(a *Attempt) {
	m, j := a.Machine, a.Job
	delete(m.Attempts, a.Key())
	if len(m.Attempts) == 0 {
		m.IdleSince = inv.host.Now()
		if m.State == MachineTransferring {
			inv.host.EntryChanged(m)
		}
	}
	if j.Attempts[a.Index] == a {
		delete(j.Attempts, a.Index)
		if a.Index < j.Tasks {
			j.SetTaskState(a.Index, TaskPending)
		}
	}
	if len(j.Attempts) == 0 {
		j.IdleSince = inv.host.Now()
		inv.SetGangState(j, GangNone)
		if j.State == JobEnded {
			delete(inv.Jobs, j.ID)
		}
	}
	inv.SchedulingNeeded = true
}

// AddAttempt gives an attempt its place.
func (inv *Inventory) AddAttempt(j *Job, index int, number uint64, m *Machine, s AttemptState) *Attempt {
	a := &Attempt{Job: j, Index: index, Number: number, Machine: m, State: s, PlacedAt: inv.host.Now()}
	m.Attempts[a.Key()] = a
	m.Used = m.Used.Add(j.Need)
	m.AddCachedImage(j.Image)
	if t := inv.Teams[j.Team]; t != nil {
		t.Used = t.Used.Add(j.Need)
	}
	j.Attempts[index] = a
	if index < j.Tasks {
		j.SetTaskState(index, TaskPlaced)
	}
	if s == AttemptAssumed {
		inv.countAssumed(j, 1)
	}
	return a
}

// StopAttempt ends an attempt, with grace for saving if its machine has it already.
func (inv *Inventory) StopAttempt(a *Attempt, gracePeriod micros.Micros, reason string) {
	switch a.State {
	case AttemptAssumed:
		// Its commit may be under way; if so it is recorded first and leaves then.
		a.Reason = reason
		if !a.Machine.Block.Writing {
			inv.SetAttemptState(a, AttemptClosed)
		} else {
			inv.SetAttemptState(a, AttemptRemoving)
		}
	case AttemptRecorded:
		a.Reason = reason
		inv.SetAttemptState(a, AttemptRemoving)
	case AttemptStarting, AttemptLive:
		a.Reason, a.GracePeriod = reason, gracePeriod
		inv.SetAttemptState(a, AttemptStopping)
		inv.host.CommandsNeeded(a.Machine)
	case AttemptStopping:
		a.GracePeriod = min(a.GracePeriod, gracePeriod)
	default: // nothing follows in the other states
	}
}

// StopJob ends everything that a job has on machines.
func (inv *Inventory) StopJob(j *Job, gracePeriod micros.Micros, reason string) {
	if j.GangState != GangNone {
		inv.SetGangState(j, GangStopping)
	}
	for _, a := range j.SortedAttempts() {
		inv.StopAttempt(a, gracePeriod, reason)
	}
}

// QueueJob puts a job at its place in the queue.
func (inv *Inventory) QueueJob(j *Job) {
	i, _ := slices.BinarySearchFunc(inv.Queue, j, CompareQueueOrder)
	inv.Queue = slices.Insert(inv.Queue, i, j)
}

// CompareQueueOrder compares jobs in the queue: higher priority first, then who came, or was ready, first.
func CompareQueueOrder(a, b *Job) int {
	return cmp.Or(-cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ReadyAt, b.ReadyAt), cmp.Compare(a.ID, b.ID))
}
