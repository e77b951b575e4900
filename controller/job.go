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
	counted  bool          // among its job's tasks that run
	freed    bool          // takes nothing of its machine any more
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
	if o.c.debug {
		o.c.log.Debug("attempt", "task", numbered(a.job.ID, a.index), "try", a.number,
			"machine", a.machine.name, "from", was.String(), "to", s.String(), "why", a.why)
	}
	if was == attemptProposed {
		o.countProposed(a.job, -1)
	}
	a.count(s == attemptLive && a.counted)
	if t := o.teams[a.job.Team]; t != nil {
		switch attemptStopping {
		case s:
			t.stopping = t.stopping.Add(a.job.Need)
		case was:
			t.stopping = t.stopping.Sub(a.job.Need)
		}
	}
	switch s {
	case attemptLeaving:
		o.free(a)
		o.touch(a.machine)
	case attemptFinished:
		o.free(a)
		a.job.setTask(a.index, taskDone)
		if !a.job.Gang { // a gang is done as a whole, which its final record tells
			a.job.noteFinished(a)
			o.shardFor(a.job, a.index/chunkTasks).soil(o.c.now)
		}
	case attemptClosed:
		o.free(a)
		o.closed(a)
	}
}

// count notes whether an attempt's task runs.
func (a *attempt) count(runs bool) {
	if a.counted == runs {
		return
	}
	if a.counted = runs; runs {
		a.job.runs++
	} else {
		a.job.runs--
	}
}

func (o *owner) countProposed(j *job, by int) {
	was := j.proposed > 0
	j.proposed += by
	o.proposed += by
	if is := j.proposed > 0; is != was {
		if is {
			o.proposedJobs++
		} else {
			o.proposedJobs--
		}
	}
}

// free gives back what an attempt took of its machine and of its team's limit, once it
// is certain that the task is not there. Its task waits until that is recorded.
func (o *owner) free(a *attempt) {
	if a.freed {
		return
	}
	a.freed = true
	a.machine.used = a.machine.used.Sub(a.job.Need)
	if t := o.teams[a.job.Team]; t != nil {
		t.used = t.used.Sub(a.job.Need)
	}
	o.wantSchedule = true
}

// closed frees what an attempt took. Its task may be placed again from now on.
func (o *owner) closed(a *attempt) {
	m, j := a.machine, a.job
	delete(m.attempts, a.key())
	if len(m.attempts) == 0 {
		m.idleSince = o.c.now
		if m.state == machineMoving {
			o.touch(m)
		}
	}
	if j.attempts[a.index] == a {
		delete(j.attempts, a.index)
		if a.index < j.Tasks {
			j.setTask(a.index, taskPending)
		}
	}
	if len(j.attempts) == 0 {
		j.idleSince = o.c.now
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
	if s == attemptProposed {
		o.countProposed(j, 1)
	}
	return a
}

// stop ends an attempt, with grace for saving if its machine has it already.
func (o *owner) stop(a *attempt, grace micros.Micros, why string) {
	switch a.state {
	case attemptProposed:
		// Its commit may be under way; if so it is recorded first and leaves then.
		a.why = why
		if !a.machine.block.writing {
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
		o.poke(a.machine)
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
