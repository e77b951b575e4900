package controller

import (
	"math"

	"tamarindlead/sched"
)

func (o *owner) propose(j *job, got []sched.Assignment) {
	if len(got) == 0 {
		return
	}
	number := o.nextNumber()
	if j.Gang {
		o.setGang(j, gangPlacing)
	}
	for _, as := range got {
		m := o.machines[as.Machine.Name]
		for n := 0; n < as.Count; n++ {
			for j.task(j.lowest) != taskPending {
				j.lowest++
			}
			o.attach(j, j.lowest, number, m, attemptProposed)
		}
		o.markDirty(m)
		as.Machine.Free = as.Machine.Free.Sub(j.Need.Times(as.Count))
		as.Machine.Slots -= as.Count
		as.Machine.Idle = false
		as.Machine.Images = m.images
	}
}

// nextNumber gives out numbers for attempts and rentals that nobody has given out
// before: the revision of this node's record comes first, and the count goes on when all
// records are read again.
func (o *owner) nextNumber() uint64 {
	o.c.numbers++
	return o.c.node.RecordVersion()<<20 | o.c.numbers
}

func (o *owner) recorded(a *attempt) {
	if a.state != attemptProposed {
		return
	}
	o.setAttempt(a, attemptRecorded)
	j := a.job
	j.began = j.began || !j.Gang
	o.queueDispatch(a.machine)
	if j.state != jobActive {
		o.stop(a, 0, "job is over")
		return
	}
	if !j.Gang || j.gang != gangPlacing {
		return
	}
	for _, b := range j.attempts {
		if b.state == attemptProposed {
			return
		}
	}
	o.setGang(j, gangStarting)
	j.began = true
	o.c.log.Info("gang placed", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "ordinary", j.Ordinary,
		"since_accepted_s", math.Round((o.c.wallClock - j.since).Seconds()))
	for _, b := range j.attempts {
		o.queueDispatch(b.machine)
	}
}
