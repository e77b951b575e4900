package controller

import (
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

// sortedAttempts lists the job's attempts in the order of their tasks.
func (j *job) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(j.attempts))
	for _, i := range sortedKeys(j.attempts) {
		list = append(list, j.attempts[i])
	}
	return list
}
