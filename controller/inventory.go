package controller

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
	EntryChanged(m *machine)
	// CompletionUnrecorded is called when tasks of a chunk of a job have completed, which
	// must be recorded.
	CompletionUnrecorded(j *job, chunk int)
	// CommandsNeeded is called when a machine may need commands.
	CommandsNeeded(m *machine)
}

// Inventory is what an owner knows of its teams, jobs, attempts and machines. Each of these
// has one function for every change of state, which keeps what depends on it.
type Inventory struct {
	host  Host
	log   *slog.Logger
	debug bool // the log takes details

	teams       map[string]*team
	jobs        map[string]*job
	queue       []*job          // active jobs in the order of their priorities
	blockedJobs map[string]*job // those with open dependencies, which are not among the jobs

	machines       map[string]*machine
	sortedMachines []*machine // the same in the order of their names

	assumed     int // attempts that are not recorded yet
	assumedJobs int // jobs with such attempts

	// schedulingNeeded is set when tasks may find a place that found none before.
	schedulingNeeded bool
	// terminationNeeded is set when machines are to be terminated by the cloud.
	terminationNeeded bool
}

// NewInventory returns an inventory without jobs and machines.
func NewInventory(host Host, log *slog.Logger) *Inventory {
	return &Inventory{
		host: host, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug),
		teams: map[string]*team{}, jobs: map[string]*job{}, blockedJobs: map[string]*job{}, machines: map[string]*machine{},
	}
}

// reset removes all jobs and machines; the teams remain, with nothing in use.
func (inv *Inventory) reset() {
	clear(inv.jobs)
	clear(inv.blockedJobs)
	clear(inv.machines)
	inv.queue, inv.sortedMachines = nil, nil
	inv.assumed, inv.assumedJobs = 0, 0
	for _, t := range inv.teams {
		t.used, t.stopping = sched.Resources{}, sched.Resources{}
	}
}

// newMachineInBlock adds a machine, with an entry in a block.
func (inv *Inventory) newMachineInBlock(b *block, info machineInfo, size sched.Resources) *machine {
	m := &machine{
		name: info.name, machineType: info.machineType, zone: info.zone, spot: info.spot, endpoint: info.endpoint,
		lastHeartbeat: inv.host.Now(), idleSince: inv.host.Now(),
		attempts: map[taskKey]*attempt{},
	}
	b.add(m)
	inv.host.EntryChanged(m)
	m.size = size
	inv.machines[info.name] = m
	i, _ := slices.BinarySearchFunc(inv.sortedMachines, info.name, compareMachineName)
	inv.sortedMachines = slices.Insert(inv.sortedMachines, i, m)
	return m
}

// unregisterMachine takes a machine out of all that lists it.
func (inv *Inventory) unregisterMachine(m *machine) {
	delete(inv.machines, m.name)
	if i, ok := slices.BinarySearchFunc(inv.sortedMachines, m.name, compareMachineName); ok {
		inv.sortedMachines = slices.Delete(inv.sortedMachines, i, i+1)
	}
	m.block.machines = slices.DeleteFunc(m.block.machines, func(x *machine) bool { return x == m })
}

// removeMachine removes a machine whose record is gone, and closes its attempts: their tasks
// may be placed elsewhere from now on.
func (inv *Inventory) removeMachine(m *machine) {
	inv.unregisterMachine(m)
	for _, a := range m.sortedAttempts() {
		j := a.job
		a.reason = "machine is gone"
		if a.state != attemptCompleted || j.state == jobEnded {
			inv.setAttemptState(a, attemptClosed)
		}
		if j.Gang && j.state == jobActive && len(j.attempts) > 0 && j.gangState != gangStopping {
			inv.stopJob(j, 0, "gang lost a machine")
		}
	}
	inv.schedulingNeeded = true
}

// setMachineState is the one place where a machine changes its state.
func (inv *Inventory) setMachineState(m *machine, s machineState, why string) {
	if m.state == s {
		return
	}
	inv.log.Info("machine", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot,
		"from", m.state.String(), "to", s.String(), "why", why)
	m.state = s
	switch s {
	case machineReady:
		m.idleSince, m.tokenConfirmedAt = inv.host.Now(), max(m.tokenConfirmedAt, inv.host.Now())
		inv.schedulingNeeded = true
	case machineTerminating:
		inv.terminationNeeded = true
	case machineTransferring, machineDecommissioning, machineTerminated:
		inv.host.EntryChanged(m)
	}
}

// setFencingState is the one place where a machine's fence changes its state.
func (inv *Inventory) setFencingState(m *machine, s fencingState) {
	if m.fencing == s {
		return
	}
	inv.log.Debug("fence", "machine", m.name, "from", m.fencing.String(), "to", s.String())
	m.fencing = s
	if s == fencingNeeded {
		inv.host.EntryChanged(m)
	}
}

// setJobState is the one place where a job changes its state.
func (inv *Inventory) setJobState(j *job, s jobState) {
	if j.state != s {
		inv.log.Debug("job", "job", j.ID, "from", j.state.String(), "to", s.String())
		j.state = s
	}
}

// setGangState is the one place where a gang's attempt changes its state.
func (inv *Inventory) setGangState(j *job, s gangState) {
	if j.gangState != s {
		inv.log.Debug("gang", "job", j.ID, "from", j.gangState.String(), "to", s.String())
		j.gangState = s
	}
}

// setAttemptState is the one place where an attempt changes its state.
func (inv *Inventory) setAttemptState(a *attempt, s attemptState) {
	if a.state == s || a.state == attemptClosed {
		return
	}
	was := a.state
	a.state = s
	if inv.debug {
		inv.log.Debug("attempt", "task", a.taskName(), "try", a.number,
			"machine", a.machine.name, "token", a.machine.fencingToken, "from", was.String(), "to", s.String(), "why", a.reason)
	}
	if was == attemptAssumed {
		inv.countAssumed(a.job, -1)
	}
	a.setCountedRunning(s == attemptLive && a.countedRunning)
	if t := inv.teams[a.job.Team]; t != nil {
		switch attemptStopping {
		case s:
			t.stopping = t.stopping.Add(a.job.Need)
		case was:
			t.stopping = t.stopping.Sub(a.job.Need)
		}
	}
	switch s {
	case attemptRemoving:
		inv.releaseResources(a)
		inv.host.EntryChanged(a.machine)
	case attemptCompleted:
		inv.releaseResources(a)
		a.job.setTaskState(a.index, taskDone)
		if !a.job.Gang { // a gang is done as a whole, which its final record tells
			a.job.noteFinished(a)
			inv.host.CompletionUnrecorded(a.job, a.index/record.TasksPerChunk)
		}
	case attemptClosed:
		inv.releaseResources(a)
		inv.handleAttemptClosed(a)
	}
}

// countAssumed keeps count of attempts that are not recorded yet, and of jobs with such.
func (inv *Inventory) countAssumed(j *job, by int) {
	was := j.assumed > 0
	j.assumed += by
	inv.assumed += by
	if is := j.assumed > 0; is != was {
		if is {
			inv.assumedJobs++
		} else {
			inv.assumedJobs--
		}
	}
}

// releaseResources gives back what an attempt took of its machine and of its team's limit, once it
// is certain that the task is not there. Its task waits until that is recorded.
func (inv *Inventory) releaseResources(a *attempt) {
	if a.resourcesReleased {
		return
	}
	a.resourcesReleased = true
	a.machine.used = a.machine.used.Sub(a.job.Need)
	if t := inv.teams[a.job.Team]; t != nil {
		t.used = t.used.Sub(a.job.Need)
	}
	inv.schedulingNeeded = true
}

// handleAttemptClosed frees what an attempt took. Its task may be placed again from now on.
func (inv *Inventory) handleAttemptClosed(a *attempt) {
	m, j := a.machine, a.job
	delete(m.attempts, a.key())
	if len(m.attempts) == 0 {
		m.idleSince = inv.host.Now()
		if m.state == machineTransferring {
			inv.host.EntryChanged(m)
		}
	}
	if j.attempts[a.index] == a {
		delete(j.attempts, a.index)
		if a.index < j.Tasks {
			j.setTaskState(a.index, taskPending)
		}
	}
	if len(j.attempts) == 0 {
		j.idleSince = inv.host.Now()
		inv.setGangState(j, gangNone)
		if j.state == jobEnded {
			delete(inv.jobs, j.ID)
		}
	}
	inv.schedulingNeeded = true
}

// addAttempt gives an attempt its place.
func (inv *Inventory) addAttempt(j *job, index int, number uint64, m *machine, s attemptState) *attempt {
	a := &attempt{job: j, index: index, number: number, machine: m, state: s, placedAt: inv.host.Now()}
	m.attempts[a.key()] = a
	m.used = m.used.Add(j.Need)
	m.addCachedImage(j.Image)
	if t := inv.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.Need)
	}
	j.attempts[index] = a
	if index < j.Tasks {
		j.setTaskState(index, taskPlaced)
	}
	if s == attemptAssumed {
		inv.countAssumed(j, 1)
	}
	return a
}

// stopAttempt ends an attempt, with grace for saving if its machine has it already.
func (inv *Inventory) stopAttempt(a *attempt, grace micros.Micros, why string) {
	switch a.state {
	case attemptAssumed:
		// Its commit may be under way; if so it is recorded first and leaves then.
		a.reason = why
		if !a.machine.block.writing {
			inv.setAttemptState(a, attemptClosed)
		} else {
			inv.setAttemptState(a, attemptRemoving)
		}
	case attemptRecorded:
		a.reason = why
		inv.setAttemptState(a, attemptRemoving)
	case attemptStarting, attemptLive:
		a.reason, a.gracePeriod = why, grace
		inv.setAttemptState(a, attemptStopping)
		inv.host.CommandsNeeded(a.machine)
	case attemptStopping:
		a.gracePeriod = min(a.gracePeriod, grace)
	}
}

// stopJob ends everything that a job has on machines.
func (inv *Inventory) stopJob(j *job, grace micros.Micros, why string) {
	if j.gangState != gangNone {
		inv.setGangState(j, gangStopping)
	}
	for _, a := range j.sortedAttempts() {
		inv.stopAttempt(a, grace, why)
	}
}

// queueJob puts a job at its place in the queue.
func (inv *Inventory) queueJob(j *job) {
	i, _ := slices.BinarySearchFunc(inv.queue, j, compareQueueOrder)
	inv.queue = slices.Insert(inv.queue, i, j)
}

// compareQueueOrder compares jobs in the queue: higher priority first, then who came, or was ready, first.
func compareQueueOrder(a, b *job) int {
	return cmp.Or(-cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.readyAt, b.readyAt), cmp.Compare(a.ID, b.ID))
}
