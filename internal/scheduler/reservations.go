package scheduler

import (
	"fmt"
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// stopTimeoutFactor is the time that stopping the victims may take, in multiples of the
	// reservation timeout. Tasks that still use the resources after that were not among the victims.
	stopTimeoutFactor = 2
	// maxBackoffDoublings limits the backoff after reservations with which a gang did not start.
	maxBackoffDoublings = 4
)

// reservationState is the state of a reservation.
type reservationState int

// The states of a reservation, in the order in which a reservation passes through them.
const (
	reservationPlanned  reservationState = iota // must be recorded before tasks are preempted
	reservationStopping                         // recorded; the victims are being stopped
	reservationReady                            // its resources are free: the gang may be placed
	reservationReleased                         // its record must be deleted
)

func (s reservationState) String() string {
	switch s {
	case reservationPlanned:
		return "planned"
	case reservationStopping:
		return "stopping"
	case reservationReady:
		return "ready"
	case reservationReleased:
		return "released"
	}
	return fmt.Sprintf("reservationState(%d)", int(s))
}

// reservation reserves machines for a gang for which tasks are preempted. It has a record of its own,
// so that it survives a failover.
type reservation struct {
	job       string
	state     reservationState
	machines  map[string]int // tasks of the gang by machine
	need      sched.Resources
	victims   []sched.Bundle // stopped after the reservation has been recorded
	expiresAt micros.Micros  // timeout of the current state
	writing   bool           // a transaction with its record is in flight
}

// view returns the reserved machines as the gang may use them: with the reserved resources free.
func (r *reservation) view(view []*sched.Machine) []*sched.Machine {
	var reserved []*sched.Machine
	for _, v := range view {
		if n := r.machines[v.Name]; n > 0 {
			m := *v
			m.Free = m.Free.Add(r.need.Times(n))
			m.ReservedForGangs, m.ReservedForJob = false, "" // a recorded reservation takes precedence
			reserved = append(reserved, &m)
		}
	}
	return reserved
}

// setReservationState changes the state of a reservation. Every change goes through it, so that all are
// logged.
func (s *Scheduler) setReservationState(r *reservation, state reservationState, reason string) {
	if r.state == state {
		return
	}
	s.log.Info("reservation state changed", "job", r.job, "from", r.state.String(), "to", state.String(),
		"machines", len(r.machines), "reason", reason)
	r.state = state
	switch state {
	case reservationPlanned: // the initial state, which is never set here
	case reservationStopping:
		r.expiresAt = s.host.Now() + stopTimeoutFactor*s.settings.Tuning.ReservationTimeout
	case reservationReady:
		r.expiresAt = s.host.Now() + s.settings.Tuning.ReservationTimeout
	case reservationReleased:
		s.inventory.SchedulingNeeded = true
	}
}

// HasReservation reports whether machines are reserved for a job, or the record of its reservation
// still exists.
func (s *Scheduler) HasReservation(job string) bool { return s.reservations[job] != nil }

// ReservationCount returns the number of reservations.
func (s *Scheduler) ReservationCount() int { return len(s.reservations) }

// IsReserved reports whether a machine is reserved for a gang, so that it must not be terminated or
// transferred.
func (s *Scheduler) IsReserved(machine string) bool {
	for _, r := range s.reservations {
		if r.state != reservationReleased && r.machines[machine] > 0 {
			return true
		}
	}
	return false
}

// reservedResources returns the resources of a machine that are reserved for gangs not yet placed.
func (s *Scheduler) reservedResources(machine string) sched.Resources {
	var sum sched.Resources
	for id, r := range s.reservations {
		if j := s.inventory.Jobs[id]; r.state != reservationReleased && j != nil && j.GangState == inventory.GangNone {
			sum = sum.Add(r.need.Times(r.machines[machine]))
		}
	}
	return sum
}

// Reasons for changes of a reservation's state, in addition to inventory.ReasonJobEnded.
const (
	reasonRecorded         = "recorded"
	reasonVictimsStopped   = "victims stopped"
	reasonGangStarted      = "gang started"
	reasonMachineLost      = "machine lost"
	reasonNotFreedInTime   = "resources not freed in time"
	reasonNotStartedInTime = "gang not started in time"
)

// TickReservations advances the states of reservations.
func (s *Scheduler) TickReservations() {
	for _, id := range ordered.Keys(s.reservations) {
		if r := s.reservations[id]; r.state != reservationReleased {
			s.tickReservation(r, s.inventory.Jobs[id])
		}
	}
}

// tickReservation advances the state of a reservation. j is its gang, or nil if the gang has ended.
func (s *Scheduler) tickReservation(r *reservation, j *inventory.Job) {
	now := s.host.Now()
	switch {
	case j == nil || j.State != inventory.JobActive:
		s.setReservationState(r, reservationReleased, inventory.ReasonJobEnded)
	case s.lostMachine(r):
		s.setReservationState(r, reservationReleased, reasonMachineLost)
	case j.GangState == inventory.GangStarting && allRunning(j):
		j.FailedPreemptions = 0
		s.setReservationState(r, reservationReleased, reasonGangStarted)
	case r.state == reservationStopping && s.resourcesFree(r):
		s.setReservationState(r, reservationReady, reasonVictimsStopped)
		s.inventory.SchedulingNeeded = true
	case r.state == reservationStopping && now > r.expiresAt:
		s.setReservationState(r, reservationReleased, reasonNotFreedInTime)
	case r.state == reservationReady && j.GangState == inventory.GangNone && now > r.expiresAt:
		// Each preemption after which the gang did not start doubles the pause before the next.
		j.NextPreemptionAt = now + s.settings.Tuning.ReservationTimeout<<min(j.FailedPreemptions, maxBackoffDoublings)
		j.FailedPreemptions++
		s.setReservationState(r, reservationReleased, reasonNotStartedInTime)
	}
}

// lostMachine reports whether any machine of a reservation can no longer be used.
func (s *Scheduler) lostMachine(r *reservation) bool {
	for name := range r.machines {
		if m := s.inventory.Machines[name]; m == nil || m.State != inventory.MachineReady {
			return true
		}
	}
	return false
}

// resourcesFree reports whether all reserved resources are free.
func (s *Scheduler) resourcesFree(r *reservation) bool {
	for name, tasks := range r.machines {
		m := s.inventory.Machines[name]
		if !r.need.Times(tasks).Fits(m.Size.Sub(m.Used)) {
			return false
		}
	}
	return true
}

// allRunning reports whether a job has attempts and all of them run.
func allRunning(j *inventory.Job) bool {
	for _, a := range j.Attempts {
		if !a.IsRunning() {
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
	// OnResult registers a function that is called with the outcome of the transaction.
	OnResult(handle func(ok bool, revision uint64))
}

// FlushReservations adds the records of planned reservations and the deletions of released ones to a
// transaction, until it is full.
func (s *Scheduler) FlushReservations(t Transaction, full func() bool) {
	for _, id := range ordered.Keys(s.reservations) {
		r := s.reservations[id]
		if r.state == reservationPlanned && s.inventory.Jobs[id] == nil {
			s.setReservationState(r, reservationReleased, inventory.ReasonJobEnded)
		}
		if r.writing || r.state != reservationPlanned && r.state != reservationReleased {
			continue
		}
		if full() {
			return
		}
		s.writeReservation(t, r)
	}
}

// writeReservation adds the record of a reservation to a transaction, or its deletion.
func (s *Scheduler) writeReservation(t Transaction, r *reservation) {
	r.writing = true
	released := r.state == reservationReleased
	if released {
		t.Delete(record.ReservationKey(r.job))
	} else {
		t.Require(record.ActiveJobKey(r.job), s.inventory.Jobs[r.job].Version)
		t.Put(record.ReservationKey(r.job), record.Reservation{Machines: r.machines})
	}
	t.OnResult(func(ok bool, _ uint64) {
		r.writing = false
		switch {
		case !ok:
		case released:
			delete(s.reservations, r.job)
			s.inventory.SchedulingNeeded = true
		case r.state == reservationPlanned:
			s.setReservationState(r, reservationStopping, reasonRecorded)
			s.EvictVictims(r.victims, PreemptionReason(r.job))
			r.victims = nil
		}
	})
}

// ClearReservations removes all reservations, before they are recovered from the records.
func (s *Scheduler) ClearReservations() { clear(s.reservations) }

// RecoverReservations recovers the reservations of an earlier owner from their records. It returns the
// keys of records that it does not use, since this owner does not have the job or they cannot be
// decoded. Some victims may not have been stopped yet; the gang then preempts tasks again after the
// reservation timeout.
func (s *Scheduler) RecoverReservations(entries []kv.Entry) (unused []string) {
	for _, e := range entries {
		var rec record.Reservation
		id := strings.TrimPrefix(e.Key, record.ReservationPrefix)
		j := s.host.UnblockPlacedJob(id)
		if j == nil || wire.Decode(e.Value, &rec) != nil {
			unused = append(unused, e.Key)
			continue
		}
		s.reservations[id] = &reservation{
			job: id, state: reservationReady, machines: rec.Machines, need: j.Need,
			expiresAt: s.host.Now() + s.settings.Tuning.ReservationTimeout,
		}
	}
	return unused
}
