package controller

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// jobState is the state machine of a job at its owner.
type jobState int

const (
	jobActive    jobState = iota // tasks wait or run
	jobFinishing                 // all tasks are done, which is not recorded yet
	jobEnded                     // over: what is still on machines must go
)

func (s jobState) String() string { return [...]string{"active", "finishing", "ended"}[s] }

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
	tasks    []taskState
	pending  int
	done     bitmap
	doneN    int
	dirty    map[int]bool   // chunks with completions that are not recorded
	chunks   map[int]uint64 // versions of the records of chunks
	attempts map[int]*attempt

	gang      gangState
	notUntil  micros.Micros // backing off
	failures  int           // in a row, without any success
	failedOn  map[string]bool
	unsure    bool          // its record did not match: nothing is placed until that is cleared up
	evictAt   micros.Micros // room may be made for it again from then on
	evictions int           // in vain, in a row
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
		Job: j, version: version, accepted: accepted,
		pending:  j.Tasks,
		dirty:    map[int]bool{},
		chunks:   map[int]uint64{},
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
	}
	if s == taskDone {
		j.done.set(i)
		j.doneN++
		j.dirty[i/chunkTasks] = true
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

// running counts the tasks that are on machines, for display.
func (j *job) running() int {
	n := 0
	for _, a := range j.attempts {
		if a.state == attemptLive && (a.phase == wire.PhaseRunning || a.phase == wire.PhaseSaving) {
			n++
		}
	}
	return n
}

// attemptState is the state machine of an attempt: one placement of one task.
type attemptState int

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

func (s attemptState) String() string {
	return [...]string{"proposed", "recorded", "ordered", "live", "stopping", "finished", "leaving", "closed"}[s]
}

// attempt is one placement of a task on a machine.
type attempt struct {
	job      *job
	index    int
	number   uint64
	machine  *machine
	state    attemptState
	phase    wire.TaskPhase
	seen     bool // the machine has reported it
	startSeq uint64
	since    micros.Micros // placed
	running  micros.Micros // first seen running, 0 before
	grace    micros.Micros // for stopping
	why      string        // why it is stopped
}

type taskKey struct {
	job   string
	index int
}

func (a *attempt) key() taskKey { return taskKey{a.job.ID, a.index} }

// setAttempt is the one place where an attempt changes its state.
func (o *owner) setAttempt(a *attempt, s attemptState) {
	if a.state == s || a.state == attemptClosed {
		return
	}
	was := a.state
	a.state = s
	o.c.log.Debug("attempt", "task", taskName(a.job.ID, a.index), "try", a.number,
		"machine", a.machine.name, "from", was.String(), "to", s.String(), "why", a.why)
	switch s {
	case attemptLeaving:
		a.machine.dirty = true
	case attemptFinished:
		a.job.setTask(a.index, taskDone)
	case attemptClosed:
		o.closed(a)
	}
}

// closed frees what an attempt took. Its task may be placed again from now on.
func (o *owner) closed(a *attempt) {
	m, j := a.machine, a.job
	delete(m.attempts, a.key())
	m.used = m.used.Sub(j.Need)
	if len(m.attempts) == 0 {
		m.idleSince = o.c.now
		m.dirty = m.dirty || m.state == machineMoving
	}
	if t := o.teams[j.Team]; t != nil {
		t.used = t.used.Sub(j.Need)
	}
	if j.attempts[a.index] == a {
		delete(j.attempts, a.index)
		if a.index < j.Tasks {
			j.setTask(a.index, taskPending)
		}
	}
	if len(j.attempts) == 0 {
		o.setGang(j, gangNone)
		if j.state == jobEnded {
			delete(o.jobs, j.ID)
		}
	}
	o.wantSchedule = true
}

// attach gives an attempt its place.
func (o *owner) attach(j *job, index int, number uint64, m *machine, s attemptState) *attempt {
	a := &attempt{job: j, index: index, number: number, machine: m, state: s, since: o.c.now}
	m.attempts[a.key()] = a
	m.used = m.used.Add(j.Need)
	m.noteImage(j.Image)
	if t := o.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.Need)
	}
	j.attempts[index] = a
	if index < j.Tasks {
		j.setTask(index, taskPlaced)
	}
	return a
}

// stop ends an attempt, with grace for saving if its machine has it already.
func (o *owner) stop(a *attempt, grace micros.Micros, why string) {
	switch a.state {
	case attemptProposed:
		// Its commit may be under way; if so it is recorded first and leaves then.
		a.why = why
		if !a.machine.writing {
			o.setAttempt(a, attemptClosed)
		} else {
			o.setAttempt(a, attemptLeaving)
		}
	case attemptRecorded:
		a.why = why
		o.setAttempt(a, attemptLeaving)
	case attemptOrdered, attemptLive:
		a.why, a.grace = why, grace
		o.setAttempt(a, attemptStopping)
		a.machine.wantPush = true
	case attemptStopping:
		a.grace = min(a.grace, grace)
	}
}

// stopJob ends everything that a job has on machines.
func (o *owner) stopJob(j *job, grace micros.Micros, why string) {
	if j.gang != gangNone {
		o.setGang(j, gangStopping)
	}
	for _, a := range j.sorted() {
		o.stop(a, grace, why)
	}
}

func (j *job) sorted() []*attempt {
	list := make([]*attempt, 0, len(j.attempts))
	for _, i := range sortedKeys(j.attempts) {
		list = append(list, j.attempts[i])
	}
	return list
}
