package controller

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Pauses after failures.
const (
	errorPause    = micros.Second
	maxErrorPause = 60 * micros.Second
	refusalPause  = 5 * micros.Second
	otherMachines = 2 // a job that fails on this many machines is itself at fault
)

func (o *owner) exited(a *attempt, t *wire.TaskReport) {
	j, m := a.job, a.machine
	if t.Cause == wire.CauseDone {
		m.errors = 0
		if j.state != jobActive {
			o.setAttempt(a, attemptLeaving)
			return
		}
		j.failures = 0
		clear(j.failedOn)
		o.noteRun(a)
		if !j.Gang {
			o.setAttempt(a, attemptFinished)
		} else {
			// The tasks of a gang complete together.
			// One is done, so all are, also those whose machines are gone: another attempt
			// of the gang would wait for them for ever.
			// Those that ran are off their machines. When a completed gang was started again, each
			// task ends by itself, and takes its room until its machine says so.
			o.setAttempt(a, attemptFinished)
			for _, b := range j.sorted() {
				if b.number == a.number && (a.running != 0 || b.running != 0) {
					o.setAttempt(b, attemptFinished)
				}
			}
			for i := range j.Tasks {
				j.setTask(i, taskDone)
			}
		}
		if j.doneN == j.Tasks {
			o.setJob(j, jobFinishing)
		}
		return
	}
	switch t.Cause {
	case wire.CauseError:
		o.failed(a, true)
	case wire.CauseUnknown:
		o.failed(a, false)
	case wire.CauseNoRoom, wire.CauseBusy:
		m.pausedTo = o.c.now + refusalPause
	}
	o.c.log.Info("task ended", "task", t.Task, "machine", m.name, "cause", t.Cause, "saved", t.Saved, "why", a.why)
	o.lost(a, string(t.Cause))
}

// failed tells a sick machine from a job that fails everywhere.
func (o *owner) failed(a *attempt, machineToo bool) {
	j, m := a.job, a.machine
	j.failures++
	j.failedOn[m.name] = true
	if machineToo && len(j.failedOn) <= otherMachines {
		m.errors++
	}
	if m.errors >= o.c.cfg.Tuning.FaultyAfter && m.state == machineUp {
		o.setMachine(m, machineDraining, "fails task after task")
		for _, b := range m.sorted() {
			if b != a {
				o.evict(b, "machine is sick")
			}
		}
	}
	if len(j.failedOn) > otherMachines || j.Gang {
		pause := errorPause << min(j.failures, 8)
		j.notUntil = max(j.notUntil, o.c.now+min(pause, maxErrorPause))
	}
}

// evict stops an attempt in order: a gang everywhere, with time to save.
func (o *owner) evict(a *attempt, why string) {
	grace := micros.Micros(0)
	if a.job.Checkpoint > 0 {
		grace = a.job.Save + micros.Second
	}
	if a.job.Gang {
		o.stopJob(a.job, grace, why)
		return
	}
	o.stop(a, grace, why)
}

// noticed handles the cloud's notice that it takes a machine back.
func (o *owner) noticed(m *machine, left micros.Micros) {
	first := m.notice == 0
	m.notice = o.c.now + left
	if m.state == machineUp || m.state == machineMoving {
		o.setMachine(m, machineDraining, "taken back by the cloud")
	}
	if !first {
		return
	}
	o.noteSpotLost(m)
	for _, a := range m.sorted() {
		// What would not complete in time is stopped now: it saves if it can, and
		// starts elsewhere the sooner. What cannot save and has run for long may
		// still complete; it has nothing to lose.
		ran := micros.Micros(0)
		if a.running != 0 && a.job.Checkpoint == 0 {
			ran = o.c.now - a.running
		}
		if o.remaining(a) > left-micros.Second && ran < left {
			o.evict(a, "machine is taken back")
		}
	}
}

// remaining estimates how long an attempt still takes.
func (o *owner) remaining(a *attempt) micros.Micros {
	total := o.estimate(a.job)
	if a.running == 0 {
		return total
	}
	ran := o.c.now - a.running
	return max(total-ran, ran/4, micros.Second)
}
