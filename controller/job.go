package controller

import (
	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// jobState is the state machine of a job at its owner.
type jobState int

const (
	jobActive    jobState = iota // tasks wait or run
	jobFinishing                 // all tasks are done, which is not recorded yet
	jobEnded                     // over: what is still on machines must go
	jobBlocked                   // others that it awaits are not done
)

func (s jobState) String() string { return [...]string{"active", "finishing", "ended", "waiting"}[s] }

// taskState is the state machine of a task.
type taskState uint8

const (
	taskPending taskState = iota
	taskPlaced            // has an attempt
	taskDone
)

// job is a job at its owner.
type job struct {
	*sched.Job
	state jobState
	// version is that of the job's record.
	version  uint64
	accepted micros.Micros
	// readyAt is when the job was accepted, or when it became ready if it waited for others:
	// its service level objectives count from here.
	readyAt micros.Micros
	// submittedPriority is the priority as submitted; the job's priority may be inherited.
	submittedPriority sched.Priority
	// effectiveDeadline is the latest end with which this job and all that need it meet their
	// deadlines; 0 for none.
	effectiveDeadline micros.Micros
	// dependencyParts is the number of further keys of its list of jobs that it awaits.
	dependencyParts int

	// tasks are the states of its tasks; nil while all are pending (see unfold).
	tasks        []taskState
	pending      int
	firstPending int // no task below it is pending
	// completed is the set of completed tasks, completedCount their number.
	completed      record.Bitmap
	completedCount int
	// segments hold the completions, and finished those that are not recorded yet, by chunk.
	segments              map[int]*completionSegment
	unrecordedCompletions map[int][]*attempt

	// attempts are the placements of its tasks, by task.
	attempts     map[int]*attempt
	assumed      int // attempts that are not recorded yet
	runningTasks int // tasks that run, for display
	gangState    gangState
	// everPlaced tells whether some of it was placed, and idleSince since when nothing of it is
	// on machines.
	everPlaced bool
	idleSince  micros.Micros

	// backoffUntil is the end of its pause after failures.
	backoffUntil micros.Micros
	failures     int // in a row, without any success
	failedOn     map[string]bool
	// nextPreemptionAt is when room may be made for it again, and evictions how often in a row that
	// was in vain.
	nextPreemptionAt  micros.Micros
	failedPreemptions int

	// writing: its final record is being written.
	writing bool
	// cancelQueued: it is to be recorded as cancelled with a job that it awaits.
	cancelQueued bool
	// recordStale: its record has changed, so nothing is placed until it was read again.
	recordStale bool
	// endedAt is a time before which no user was told that it is cancelled; 0: it was not.
	endedAt micros.Micros
}

// gangState is the state machine of a gang's attempt.
type gangState int

const (
	gangNone     gangState = iota // no attempt
	gangPlacing                   // places are being recorded
	gangStarting                  // all places are recorded: tasks may be started
	gangStopping                  // the attempt is over: its tasks must go
)

func (s gangState) String() string {
	return [...]string{"none", "placing", "starting", "stopping"}[s]
}

func newJob(j *sched.Job, version uint64, accepted micros.Micros) *job {
	return &job{
		Job: j, version: version, accepted: accepted, readyAt: accepted, submittedPriority: j.Priority,
		pending:               j.Tasks,
		segments:              map[int]*completionSegment{},
		unrecordedCompletions: map[int][]*attempt{},
		attempts:              map[int]*attempt{},
		failedOn:              map[string]bool{},
	}
}

// task returns a task's state.
func (j *job) task(i int) taskState {
	if j.tasks == nil {
		return taskPending
	}
	return j.tasks[i]
}

// allocateTaskStates makes room for the states of single tasks, which a job that only waits does
// without: a queue of large jobs must fit into little memory.
func (j *job) allocateTaskStates() {
	if j.tasks == nil {
		j.tasks, j.completed = make([]taskState, j.Tasks), make(record.Bitmap, (j.Tasks+7)/8)
	}
}

func (j *job) setTaskState(i int, s taskState) {
	j.allocateTaskStates()
	was := j.tasks[i]
	if was == s || was == taskDone {
		return // done is final
	}
	j.tasks[i] = s
	switch {
	case was == taskPending:
		j.pending--
	case s == taskPending:
		j.pending++
		j.firstPending = min(j.firstPending, i)
	}
	if s == taskDone {
		j.completed.Set(i)
		j.completedCount++
	}
}

// setJobState is the one place where a job changes its state.
func (o *owner) setJobState(j *job, s jobState) {
	if j.state != s {
		o.c.log.Debug("job", "job", j.ID, "from", j.state.String(), "to", s.String())
		j.state = s
	}
}

// setGangState is the one place where a gang's attempt changes its state.
func (o *owner) setGangState(j *job, s gangState) {
	if j.gangState != s {
		o.c.log.Debug("gang", "job", j.ID, "from", j.gangState.String(), "to", s.String())
		j.gangState = s
	}
}
