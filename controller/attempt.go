package controller

import (
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// attemptState is the state machine of an attempt: one placement of one task.
type attemptState int

const (
	attemptAssumed   attemptState = iota // not recorded yet
	attemptRecorded                      // recorded: may be started
	attemptStarting                      // a start was sent, or may have been
	attemptLive                          // the machine has it
	attemptStopping                      // must stop
	attemptCompleted                     // done, which is not recorded yet
	attemptRemoving                      // off the machine, which is not recorded yet
	attemptClosed
)

func (s attemptState) String() string {
	return [...]string{"proposed", "recorded", "ordered", "live", "stopping", "finished", "leaving", "closed"}[s]
}

// attempt is one placement of a task on a machine.
type attempt struct {
	job     *job
	index   int // of the task in its job
	number  uint64
	machine *machine
	state   attemptState
	// phase is the task's phase in the machine's latest report, and seen whether any report
	// listed it.
	phase         wire.TaskPhase
	heartbeatSeen bool
	// startHeartbeatSeq is the sequence number of the report that its start command answered.
	startHeartbeatSeq uint64
	// placedAt is when it was placed, and running when it was first reported running, or 0.
	placedAt     micros.Micros
	runningSince micros.Micros
	// gracePeriod is the time to save when it is stopped, and why the reason for the stop.
	gracePeriod micros.Micros
	reason      string
	// countedRunning: it is among its job's tasks that run.
	countedRunning bool
	// resourcesReleased: it takes nothing of its machine any more.
	resourcesReleased bool
}

// taskKey identifies a task.
type taskKey struct {
	job   string
	index int
}

// key identifies the attempt's task on a machine.
func (a *attempt) key() taskKey { return taskKey{a.job.ID, a.index} }

// taskName is the name of the attempt's task on the wire.
func (a *attempt) taskName() string { return wire.TaskName(a.job.ID, a.index) }

// mayStart tells whether the attempt's job wants it started: a gang only once all of its
// places are recorded.
func (a *attempt) mayStart() bool {
	return a.job.state == jobActive && (!a.job.Gang || a.job.gangState == gangStarting)
}

// setAttemptState is the one place where an attempt changes its state.
func (o *owner) setAttemptState(a *attempt, s attemptState) {
	if a.state == s || a.state == attemptClosed {
		return
	}
	was := a.state
	a.state = s
	if o.c.debug {
		o.c.log.Debug("attempt", "task", a.taskName(), "try", a.number,
			"machine", a.machine.name, "token", a.machine.fencingToken, "from", was.String(), "to", s.String(), "why", a.reason)
	}
	if was == attemptAssumed {
		o.countAssumed(a.job, -1)
	}
	a.setCountedRunning(s == attemptLive && a.countedRunning)
	if t := o.teams[a.job.Team]; t != nil {
		switch attemptStopping {
		case s:
			t.stopping = t.stopping.Add(a.job.Need)
		case was:
			t.stopping = t.stopping.Sub(a.job.Need)
		}
	}
	switch s {
	case attemptRemoving:
		o.releaseResources(a)
		o.markDirty(a.machine)
	case attemptCompleted:
		o.releaseResources(a)
		a.job.setTaskState(a.index, taskDone)
		if !a.job.Gang { // a gang is done as a whole, which its final record tells
			a.job.noteFinished(a)
			o.segmentFor(a.job, a.index/record.TasksPerChunk).markDirty(o.c.now)
		}
	case attemptClosed:
		o.releaseResources(a)
		o.handleAttemptClosed(a)
	}
}

// setCountedRunning notes whether an attempt's task runs.
func (a *attempt) setCountedRunning(runs bool) {
	if a.countedRunning == runs {
		return
	}
	if a.countedRunning = runs; runs {
		a.job.runningTasks++
	} else {
		a.job.runningTasks--
	}
}

// countAssumed keeps count of attempts that are not recorded yet, and of jobs with such.
func (o *owner) countAssumed(j *job, by int) {
	was := j.assumed > 0
	j.assumed += by
	o.assumed += by
	if is := j.assumed > 0; is != was {
		if is {
			o.assumedJobs++
		} else {
			o.assumedJobs--
		}
	}
}

// releaseResources gives back what an attempt took of its machine and of its team's limit, once it
// is certain that the task is not there. Its task waits until that is recorded.
func (o *owner) releaseResources(a *attempt) {
	if a.resourcesReleased {
		return
	}
	a.resourcesReleased = true
	a.machine.used = a.machine.used.Sub(a.job.Need)
	if t := o.teams[a.job.Team]; t != nil {
		t.used = t.used.Sub(a.job.Need)
	}
	o.schedulingNeeded = true
}

// handleAttemptClosed frees what an attempt took. Its task may be placed again from now on.
func (o *owner) handleAttemptClosed(a *attempt) {
	m, j := a.machine, a.job
	delete(m.attempts, a.key())
	if len(m.attempts) == 0 {
		m.idleSince = o.c.now
		if m.state == machineTransferring {
			o.markDirty(m)
		}
	}
	if j.attempts[a.index] == a {
		delete(j.attempts, a.index)
		if a.index < j.Tasks {
			j.setTaskState(a.index, taskPending)
		}
	}
	if len(j.attempts) == 0 {
		j.idleSince = o.c.now
		o.setGangState(j, gangNone)
		if j.state == jobEnded {
			delete(o.jobs, j.ID)
		}
	}
	o.schedulingNeeded = true
}

// addAttempt gives an attempt its place.
func (o *owner) addAttempt(j *job, index int, number uint64, m *machine, s attemptState) *attempt {
	a := &attempt{job: j, index: index, number: number, machine: m, state: s, placedAt: o.c.now}
	m.attempts[a.key()] = a
	m.used = m.used.Add(j.Need)
	m.addCachedImage(j.Image)
	if t := o.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.Need)
	}
	j.attempts[index] = a
	if index < j.Tasks {
		j.setTaskState(index, taskPlaced)
	}
	if s == attemptAssumed {
		o.countAssumed(j, 1)
	}
	return a
}

// stopAttempt ends an attempt, with grace for saving if its machine has it already.
func (o *owner) stopAttempt(a *attempt, grace micros.Micros, why string) {
	switch a.state {
	case attemptAssumed:
		// Its commit may be under way; if so it is recorded first and leaves then.
		a.reason = why
		if !a.machine.block.writing {
			o.setAttemptState(a, attemptClosed)
		} else {
			o.setAttemptState(a, attemptRemoving)
		}
	case attemptRecorded:
		a.reason = why
		o.setAttemptState(a, attemptRemoving)
	case attemptStarting, attemptLive:
		a.reason, a.gracePeriod = why, grace
		o.setAttemptState(a, attemptStopping)
		o.queueDispatch(a.machine)
	case attemptStopping:
		a.gracePeriod = min(a.gracePeriod, grace)
	}
}

// stopJob ends everything that a job has on machines.
func (o *owner) stopJob(j *job, grace micros.Micros, why string) {
	if j.gangState != gangNone {
		o.setGangState(j, gangStopping)
	}
	for _, a := range j.sortedAttempts() {
		o.stopAttempt(a, grace, why)
	}
}

// sortedAttempts lists the job's attempts in the order of their tasks.
func (j *job) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(j.attempts))
	for _, i := range sortedKeys(j.attempts) {
		list = append(list, j.attempts[i])
	}
	return list
}
