package controller

import (
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file keeps machines free for gangs for which work is stopped (see eviction.go).

// reservationState is the state machine of a hold.
type reservationState int

const (
	holdPlanned         reservationState = iota // must be recorded before anything is stopped
	reservationStopping                         // recorded; what must go is leaving
	reservationReady                            // the room is free: the gang may be placed
	reservationReleased                         // its record must go
)

func (s reservationState) String() string {
	return [...]string{"planned", "stopping", "waiting", "over"}[s]
}

// reservation is kept in one record, so that it survives its owner.
type reservation struct {
	job       string
	state     reservationState
	machines  map[string]int // tasks of the gang by machine
	need      sched.Resources
	victims   []sched.Bundle // what is stopped once the hold is recorded
	expiresAt micros.Micros  // end of waiting
	writing   bool
}

// stopTimeoutFactor is how many times the wait of a hold its stops may take: what keeps its room
// for longer was not among them.
const stopTimeoutFactor = 2

// setReservationState is the one place where a hold changes its state.
func (o *owner) setReservationState(h *reservation, s reservationState, why string) {
	if h.state == s {
		return
	}
	o.c.log.Info("hold", "job", h.job, "from", h.state.String(), "to", s.String(), "machines", len(h.machines), "why", why)
	h.state = s
	switch s {
	case reservationStopping:
		h.expiresAt = o.c.now + stopTimeoutFactor*o.c.cfg.Tuning.ReservationTimeout
	case reservationReady:
		h.expiresAt = o.c.now + o.c.cfg.Tuning.ReservationTimeout
	case reservationReleased:
		o.SchedulingNeeded = true
	default: // nothing follows in the other states
	}
}

// reservedResources is what is kept on a machine for gangs that are not placed yet.
func (o *owner) reservedResources(name string) sched.Resources {
	var sum sched.Resources
	for id, h := range o.reservations {
		if j := o.Jobs[id]; h.state != reservationReleased && j != nil && j.GangState == inventory.GangNone {
			sum = sum.Add(h.need.Times(h.machines[name]))
		}
	}
	return sum
}

// reservedView is what the holder of a hold may use: the held machines, with what is kept
// there.
func (o *owner) reservedView(h *reservation, view []*sched.Machine) []*sched.Machine {
	var out []*sched.Machine
	for _, v := range view {
		if n := h.machines[v.Name]; n > 0 {
			c := *v
			c.Free = c.Free.Add(h.need.Times(n))
			c.ReservedForGangs, c.ReservedForJob = false, "" // the hold comes before what is kept for others
			out = append(out, &c)
		}
	}
	return out
}

// tickReservations moves holds on.
func (o *owner) tickReservations() {
	for _, id := range ordered.Keys(o.reservations) {
		h, j := o.reservations[id], o.Jobs[id]
		switch {
		case h.state == reservationReleased:
		case j == nil || j.State != inventory.JobActive:
			o.setReservationState(h, reservationReleased, "the gang is over")
		case o.reservationBroken(h):
			o.setReservationState(h, reservationReleased, "a machine is gone")
		case j.GangState == inventory.GangStarting && o.allLive(j):
			j.FailedPreemptions = 0
			o.setReservationState(h, reservationReleased, "the gang has started")
		case h.state == reservationStopping && o.reservedRoomFree(h):
			o.setReservationState(h, reservationReady, "all stops have ended")
			o.SchedulingNeeded = true
		case h.state == reservationStopping && o.c.now > h.expiresAt:
			o.setReservationState(h, reservationReleased, "its room does not come free")
		case h.state == reservationReady && j.GangState == inventory.GangNone && o.c.now > h.expiresAt:
			// Each eviction in vain doubles the pause before the next (ours).
			j.NextPreemptionAt = o.c.now + o.c.cfg.Tuning.ReservationTimeout<<min(j.FailedPreemptions, 4)
			j.FailedPreemptions++
			o.setReservationState(h, reservationReleased, "the gang has not started")
		}
	}
}

// reservationBroken tells that a machine of a hold can't be used any more.
func (o *owner) reservationBroken(h *reservation) bool {
	for name := range h.machines {
		if m := o.Machines[name]; m == nil || m.State != inventory.MachineReady {
			return true
		}
	}
	return false
}

// reservedRoomFree tells whether the held room is free of what had to go.
func (o *owner) reservedRoomFree(h *reservation) bool {
	for name, n := range h.machines {
		m := o.Machines[name]
		if !h.need.Times(n).Fits(m.Size.Sub(m.Used)) {
			return false
		}
	}
	return true
}

// allLive tells that all tasks of a job that have a place run.
func (o *owner) allLive(j *inventory.Job) bool {
	for _, a := range j.Attempts {
		if a.State != inventory.AttemptLive || a.Phase != wire.PhaseRunning {
			return false
		}
	}
	return len(j.Attempts) > 0
}

// flushReservations writes the records of holds, and removes those that are over.
func (o *owner) flushReservations(t *transaction, full func() bool) {
	for _, id := range ordered.Keys(o.reservations) {
		h := o.reservations[id]
		if h.state == holdPlanned && o.Jobs[id] == nil {
			o.setReservationState(h, reservationReleased, "the gang is over")
		}
		if h.writing || h.state != holdPlanned && h.state != reservationReleased {
			continue
		}
		if full() {
			return
		}
		h.writing = true
		over := h.state == reservationReleased
		if over {
			t.Delete(record.ReservationKey(id))
		} else {
			t.Require(record.ActiveJobKey(id), o.Jobs[id].Version)
			t.Put(record.ReservationKey(id), record.Reservation{Machines: h.machines})
		}
		t.OnResult(func(ok bool, _ uint64) {
			h.writing = false
			switch {
			case !ok:
			case over:
				delete(o.reservations, id)
				o.SchedulingNeeded = true
			case h.state == holdPlanned:
				o.setReservationState(h, reservationStopping, "recorded")
				o.preemptVictims(h)
			}
		})
	}
}

// recoverReservations takes over the holds of an earlier owner. Its stops may not all have been
// begun; what was not is found by the gang's next look for room once the wait is over.
func (o *owner) recoverReservations(entries []kv.Entry) {
	for _, e := range entries {
		var rec record.Reservation
		id := strings.TrimPrefix(e.Key, record.ReservationPrefix)
		j := o.unblockPlacedJob(id)
		if j == nil || wire.Decode(e.Value, &rec) != nil {
			if o.ownsAllTeams() { // else it may be another owner's
				o.commits.DeleteLater(e.Key)
			}
			continue
		}
		h := &reservation{job: id, machines: rec.Machines, need: j.Need, state: reservationReady}
		h.expiresAt = o.c.now + o.c.cfg.Tuning.ReservationTimeout
		o.reservations[id] = h
	}
}

// isReserved tells whether a machine is held for some gang, and so must not be returned.
func (o *owner) isReserved(name string) bool {
	for _, h := range o.reservations {
		if h.state != reservationReleased && h.machines[name] > 0 {
			return true
		}
	}
	return false
}
