package controller

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// jobState is the state machine of a job at its owner.
type jobState int

const (
	jobActive    jobState = iota // tasks wait or run
	jobFinishing                 // all tasks are done, which is not recorded yet
	jobEnded                     // over: what is still on machines must go
	jobWaiting                   // others that it awaits are not done
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
	state    jobState
	version  uint64 // of its record
	accepted micros.Micros
	since    micros.Micros  // accepted, or ready if it waited for others: its times count from here
	own      sched.Priority // as submitted: the priority may be inherited
	mustEnd  micros.Micros  // for it and those that need it to meet their deadlines, 0: any time
	parts    int            // further keys of its list of jobs that it awaits
	tasks    []taskState
	pending  int
	lowest   int // no task below it is pending
	done     bitmap
	doneN    int
	shards   map[int]*shard     // of its chunks
	finished map[int][]*attempt // by chunk: completed, which is not recorded yet
	proposed int                // attempts that are not recorded yet
	runs     int                // tasks that run, for display
	attempts map[int]*attempt

	gang      gangState
	notUntil  micros.Micros // backing off
	failures  int           // in a row, without any success
	failedOn  map[string]bool
	writing   bool          // its final record is being written
	cancelled bool          // to be recorded as cancelled with one before it
	unsure    bool          // its record did not match: nothing is placed until that is cleared up
	began     bool          // some of it was placed
	idleSince micros.Micros // nothing of it is on machines
	evictAt   micros.Micros // room may be made for it again from then on
	evictions int           // in vain, in a row
	endedAt   micros.Micros // users were not told before then that it is cancelled; 0: it was not
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
		Job: j, version: version, accepted: accepted, since: accepted, own: j.Priority,
		pending:  j.Tasks,
		shards:   map[int]*shard{},
		finished: map[int][]*attempt{},
		attempts: map[int]*attempt{},
		failedOn: map[string]bool{},
	}
}

// task returns a task's state.
func (j *job) task(i int) taskState {
	if j.tasks == nil {
		return taskPending
	}
	return j.tasks[i]
}

// unfold makes room for the states of single tasks, which a job that only waits does
// without: a queue of large jobs must fit into little memory.
func (j *job) unfold() {
	if j.tasks == nil {
		j.tasks, j.done = make([]taskState, j.Tasks), make(bitmap, (j.Tasks+7)/8)
	}
}

func (j *job) setTask(i int, s taskState) {
	j.unfold()
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
		j.lowest = min(j.lowest, i)
	}
	if s == taskDone {
		j.done.set(i)
		j.doneN++
	}
}

// setJob is the one place where a job changes its state.
func (o *owner) setJob(j *job, s jobState) {
	if j.state != s {
		o.c.log.Debug("job", "job", j.ID, "from", j.state.String(), "to", s.String())
		j.state = s
	}
}

// setGang is the one place where a gang's attempt changes its state.
func (o *owner) setGang(j *job, s gangState) {
	if j.gang != s {
		o.c.log.Debug("gang", "job", j.ID, "from", j.gang.String(), "to", s.String())
		j.gang = s
	}
}

const (
	attemptProposed attemptState = iota // not recorded yet
	attemptRecorded                     // recorded: may be started
	attemptOrdered                      // a start was sent, or may have been
	attemptLive                         // the machine has it
	attemptStopping                     // must stop
	attemptFinished                     // done, which is not recorded yet
	attemptLeaving                      // off the machine, which is not recorded yet
	attemptClosed
)
