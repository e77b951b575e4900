package scheduler

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
func (s *Scheduler) setReservationState(h *reservation, state reservationState, why string) {
	if h.state == state {
		return
	}
	s.log.Info("hold", "job", h.job, "from", h.state.String(), "to", state.String(), "machines", len(h.machines), "why", why)
	h.state = state
	switch state {
	case reservationStopping:
		h.expiresAt = s.host.Now() + stopTimeoutFactor*s.settings.Tuning.ReservationTimeout
	case reservationReady:
		h.expiresAt = s.host.Now() + s.settings.Tuning.ReservationTimeout
	case reservationReleased:
		s.inventory.SchedulingNeeded = true
	}
}

// reservedResources is what is kept on a machine for gangs that are not placed yet.
func (s *Scheduler) reservedResources(name string) sched.Resources {
	var sum sched.Resources
	for id, h := range s.reservations {
		if j := s.inventory.Jobs[id]; h.state != reservationReleased && j != nil && j.GangState == inventory.GangNone {
			sum = sum.Add(h.need.Times(h.machines[name]))
		}
	}
	return sum
}

// reservedView is what the holder of a hold may use: the held machines, with what is kept
// there.
func (s *Scheduler) reservedView(h *reservation, view []*sched.Machine) []*sched.Machine {
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
func (s *Scheduler) TickReservations() {
	for _, id := range ordered.Keys(s.reservations) {
		h, j := s.reservations[id], s.inventory.Jobs[id]
		switch {
		case h.state == reservationReleased:
		case j == nil || j.State != inventory.JobActive:
			s.setReservationState(h, reservationReleased, "the gang is over")
		case s.reservationBroken(h):
			s.setReservationState(h, reservationReleased, "a machine is gone")
		case j.GangState == inventory.GangStarting && s.allLive(j):
			j.FailedPreemptions = 0
			s.setReservationState(h, reservationReleased, "the gang has started")
		case h.state == reservationStopping && s.reservedRoomFree(h):
			s.setReservationState(h, reservationReady, "all stops have ended")
			s.inventory.SchedulingNeeded = true
		case h.state == reservationStopping && s.host.Now() > h.expiresAt:
			s.setReservationState(h, reservationReleased, "its room does not come free")
		case h.state == reservationReady && j.GangState == inventory.GangNone && s.host.Now() > h.expiresAt:
			// Each eviction in vain doubles the pause before the next (ours).
			j.NextPreemptionAt = s.host.Now() + s.settings.Tuning.ReservationTimeout<<min(j.FailedPreemptions, 4)
			j.FailedPreemptions++
			s.setReservationState(h, reservationReleased, "the gang has not started")
		}
	}
}

// reservationBroken tells that a machine of a hold can't be used any more.
func (s *Scheduler) reservationBroken(h *reservation) bool {
	for name := range h.machines {
		if m := s.inventory.Machines[name]; m == nil || m.State != inventory.MachineReady {
			return true
		}
	}
	return false
}

// reservedRoomFree tells whether the held room is free of what had to go.
func (s *Scheduler) reservedRoomFree(h *reservation) bool {
	for name, n := range h.machines {
		m := s.inventory.Machines[name]
		if !h.need.Times(n).Fits(m.Size.Sub(m.Used)) {
			return false
		}
	}
	return true
}

// allLive tells that all tasks of a job that have a place run.
func (s *Scheduler) allLive(j *inventory.Job) bool {
	for _, a := range j.Attempts {
		if a.State != inventory.AttemptLive || a.Phase != wire.PhaseRunning {
			return false
		}
	}
	return len(j.Attempts) > 0
}

// Transaction collects the writes of the owner's next transaction.
type Transaction interface {
	// Require adds the precondition that a key has a version.
	Require(key string, version uint64)
	// Put writes a value.
	Put(key string, value any)
	// Delete deletes a key.
	Delete(key string)
	// OnResult has a function called with the outcome of the transaction.
	OnResult(handle func(ok bool, revision uint64))
}

// flushReservations writes the records of holds, and removes those that are over.
func (s *Scheduler) FlushReservations(t Transaction, full func() bool) {
	for _, id := range ordered.Keys(s.reservations) {
		h := s.reservations[id]
		if h.state == holdPlanned && s.inventory.Jobs[id] == nil {
			s.setReservationState(h, reservationReleased, "the gang is over")
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
			t.Require(record.ActiveJobKey(id), s.inventory.Jobs[id].Version)
			t.Put(record.ReservationKey(id), record.Reservation{Machines: h.machines})
		}
		t.OnResult(func(ok bool, _ uint64) {
			h.writing = false
			switch {
			case !ok:
			case over:
				delete(s.reservations, id)
				s.inventory.SchedulingNeeded = true
			case h.state == holdPlanned:
				s.setReservationState(h, reservationStopping, "recorded")
				s.preemptVictims(h)
			}
		})
	}
}

// recoverReservations takes over the holds of an earlier owner. Its stops may not all have been
// begun; what was not is found by the gang's next look for room once the wait is over.
func (s *Scheduler) RecoverReservations(entries []kv.Entry) (unused []string) {
	for _, e := range entries {
		var rec record.Reservation
		id := strings.TrimPrefix(e.Key, record.ReservationPrefix)
		j := s.host.UnblockPlacedJob(id)
		if j == nil || wire.Decode(e.Value, &rec) != nil {
			unused = append(unused, e.Key)
			continue
		}
		h := &reservation{job: id, machines: rec.Machines, need: j.Need, state: reservationReady}
		h.expiresAt = s.host.Now() + s.settings.Tuning.ReservationTimeout
		s.reservations[id] = h
	}
	return unused
}

// HasReservation tells whether there is a hold for a job.
func (s *Scheduler) HasReservation(job string) bool { return s.reservations[job] != nil }

// ReservationCount is the number of holds.
func (s *Scheduler) ReservationCount() int { return len(s.reservations) }

// ClearReservations forgets all holds, before they are read from the records.
func (s *Scheduler) ClearReservations() { clear(s.reservations) }

// isReserved tells whether a machine is held for some gang, and so must not be returned.
func (s *Scheduler) IsReserved(name string) bool {
	for _, h := range s.reservations {
		if h.state != reservationReleased && h.machines[name] > 0 {
			return true
		}
	}
	return false
}
