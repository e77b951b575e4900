package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/store"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// cancelWrites is how many writes a cancellation takes.
const cancelWrites = 2

// cancellation is a user's request to cancel a job.
type cancellation struct {
	c        *Core
	request  uint64
	job      string
	deadline micros.Micros
}

// cancel handles a user's request to cancel a job.
func (c *Core) cancel(request uint64, job string) {
	if !wire.ValidRef(job) {
		c.reject(request, wire.StatusNotFound, reasonNoSuchJob)
		return
	}
	if status := c.finals.of(job); status != "" {
		c.respondState(request, wire.StatusOK, job, status)
		return
	}
	if c.store.Down() {
		c.refuse(request, wire.StatusUnavailable, reasonStoreSilent)
		return
	}
	if c.budget.WriteRoom(budget.Users, c.now) < cancelWrites {
		c.refuse(request, wire.StatusTooMany, reasonManyCancellations) // a read would be wasted
		return
	}
	cancel := &cancellation{c, request, job, c.now + acceptWithin}
	if version := c.knownVersion(job); version != 0 {
		cancel.commit(version)
		return
	}
	cancel.readRecord()
}

// readRecord reads the job's record, and then cancels the job.
func (x *cancellation) readRecord() {
	x.c.store.Get(budget.Users, record.ActiveKey(x.job), func(outcome store.Outcome, entry state.Entry) {
		switch outcome {
		case store.OK:
			x.commit(entry.Version)
		case store.Missing:
			x.c.lookup(x.job, x.notActive)
		default:
			x.refuse(reasonStoreSilent)
		}
	})
}

// notActive answers about a job that has no record as an active one.
func (x *cancellation) notActive(result lookupResult) {
	switch {
	case result.outcome == lookupNotFound:
		x.c.reject(x.request, wire.StatusNotFound, reasonNoSuchJob)
	case result.outcome == lookupFound && result.version == 0:
		x.respond(result.status)
	default:
		x.refuse(reasonStoreSilent)
	}
}

// commit records that the job is cancelled, if its record still has a version.
func (x *cancellation) commit(version uint64) {
	guards := []state.Guard{{Key: record.ActiveKey(x.job), Version: version}}
	writes := []state.Write{
		{Put: record.FinalKey(x.job), Value: record.Final{Status: record.StatusCancelled, At: x.c.wallClock}},
		{Delete: record.ActiveKey(x.job)},
	}
	x.c.store.Do(budget.Users, state.Commit(guards, writes), func(reply store.Reply) { x.committed(reply.Outcome) })
}

func (x *cancellation) committed(outcome store.Outcome) {
	inDoubt := outcome == store.Conflict || outcome == store.Unknown // over meanwhile, or perhaps executed
	switch {
	case outcome == store.OK:
		x.c.announceCancellation(x.job, x.c.now+acceptWithin, x.announced)
	case inDoubt && x.c.now < x.deadline:
		x.readRecord()
	default:
		x.refuse(reasonStoreSilent)
	}
}

func (x *cancellation) announced(mayTell bool) {
	if !mayTell {
		x.refuse(reasonUnacknowledged)
		return
	}
	x.respond(wire.JobCancelled)
}

func (x *cancellation) respond(status wire.JobPhase) {
	x.c.respond(x.request, wire.StatusOK, wire.JobState{Ref: x.job, Status: status})
}

func (x *cancellation) refuse(reason refusalReason) {
	x.c.refuse(x.request, wire.StatusUnavailable, reason)
}
