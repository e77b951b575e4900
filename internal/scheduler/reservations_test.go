package scheduler

import (
	"maps"
	"slices"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

func notFull() bool { return false }

// flush writes the records of reservations in a transaction, which succeeds if ok is set, and returns
// the transaction.
func (f *fixture) flush(ok bool) *fakeTransaction {
	t := newFakeTransaction()
	f.FlushReservations(t, notFull)
	t.finish(ok)
	return t
}

// TestReservationRecordedBeforePreemption guards against stopping tasks for a reservation that would be
// lost in a failover: no task may be stopped before the record of the reservation is written.
func TestReservationRecordedBeforePreemption(t *testing.T) {
	f, gang, array := newPreemptionFixture(t, 0)
	key := record.ReservationKey(gang.ID)
	f.Schedule()
	if r := f.reservations[gang.ID]; r == nil || r.state != reservationPlanned || !f.IsReserved("m-000001") || !f.HasReservation(gang.ID) {
		t.Fatalf("reservation is %+v, want a planned one that reserves m-000001", r)
	}
	if tx := f.flush(false); len(tx.put) != 1 || tx.put[key] == nil || tx.required[record.ActiveJobKey(gang.ID)] != gang.Version {
		t.Fatalf("the transaction writes %v with preconditions %v, want only the reservation with the gang's version",
			tx.put, tx.required)
	}
	if len(f.fake.evicted) != 0 {
		t.Fatalf("tasks %v are stopped although the record is not written", f.fake.evicted)
	}
	f.flush(true)
	want := []string{wire.TaskName(array.ID, 0), wire.TaskName(array.ID, 1)}
	if state := f.reservations[gang.ID].state; state != reservationStopping || !slices.Equal(f.fake.evicted, want) {
		t.Fatalf("reservation is %v, stopped tasks are %v, want stopping and both tasks of the array", state, f.fake.evicted)
	}
	if tx := f.flush(true); len(tx.results) != 0 {
		t.Fatalf("the record is written again: %v", tx.put)
	}
}

// TestGangPlacedAfterVictimsEnded guards against a gang that is placed while its victims still run, and
// against a reservation that is kept after the gang has started.
func TestGangPlacedAfterVictimsEnded(t *testing.T) {
	f, gang, array := newPreemptionFixture(t, 0)
	f.Schedule()
	f.flush(true)
	f.TickReservations()
	f.advance(MinPassInterval)
	f.Schedule()
	if len(gang.Attempts) != 0 {
		t.Fatal("gang is placed before its victims have ended")
	}
	for _, a := range array.SortedAttempts() {
		f.inventory.SetAttemptState(a, inventory.AttemptClosed)
	}
	f.TickReservations()
	f.advance(MinPassInterval)
	f.Schedule()
	if state := f.reservations[gang.ID].state; state != reservationReady || len(gang.Attempts) != 1 || len(array.Attempts) != 0 {
		t.Fatalf("reservation is %v with %d attempts of the gang, %d of the array, want ready with 1 and 0",
			state, len(gang.Attempts), len(array.Attempts))
	}
	f.startAttempts(gang)
	f.TickReservations()
	if tx := f.flush(true); !slices.Equal(tx.deleted, []string{record.ReservationKey(gang.ID)}) || f.ReservationCount() != 0 || f.IsReserved("m-000001") {
		t.Fatalf("deleted keys are %v, %d reservations remain, want only the deletion of the gang's reservation",
			tx.deleted, f.ReservationCount())
	}
}

// startAttempts records all attempts of a gang and reports their tasks as running.
func (f *fixture) startAttempts(gang *inventory.Job) {
	for _, a := range gang.SortedAttempts() {
		f.HandleAttemptRecorded(a)
		f.inventory.SetAttemptState(a, inventory.AttemptStarting)
		f.inventory.SetAttemptState(a, inventory.AttemptLive)
		a.Phase = wire.PhaseRunning
	}
}

// TestReservationReleased guards against machines that stay reserved for a gang that cannot use
// them.
func TestReservationReleased(t *testing.T) {
	tests := []struct {
		name  string
		state reservationState
		event func(f *fixture, gang *inventory.Job)
	}{
		{"job ended", reservationStopping, func(_ *fixture, gang *inventory.Job) { gang.State = inventory.JobEnded }},
		{"job unknown", reservationPlanned, func(f *fixture, gang *inventory.Job) { delete(f.inventory.Jobs, gang.ID) }},
		{"machine lost", reservationReady, func(f *fixture, _ *inventory.Job) {
			f.inventory.Machines["m-000001"].State = inventory.MachineDraining
		}},
		{"victims not stopped", reservationStopping, func(f *fixture, _ *inventory.Job) {
			f.fake.now += stopTimeoutFactor*f.settings.Tuning.ReservationTimeout + 1
		}},
		{"gang not started", reservationReady, func(f *fixture, _ *inventory.Job) {
			f.fake.now += f.settings.Tuning.ReservationTimeout + 1
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, gang, _ := newPreemptionFixture(t, 0)
			if !f.preempt(gang) {
				t.Fatal("no preemption is planned")
			}
			r := f.reservations[gang.ID]
			f.setReservationState(r, test.state, "test")
			f.TickReservations()
			if r.state != test.state {
				t.Fatalf("reservation is %v before the event, want the state that was set", r.state)
			}
			f.inventory.SchedulingNeeded = false
			test.event(f, gang)
			f.TickReservations()
			if r.state != reservationReleased || !f.inventory.SchedulingNeeded || f.IsReserved("m-000001") {
				t.Errorf("reservation is %v, scheduling needed: %t, want released and true", r.state, f.inventory.SchedulingNeeded)
			}
		})
	}
}

// TestFullTransactionTakesNoReservation guards against exceeding the limits of a transaction.
func TestFullTransactionTakesNoReservation(t *testing.T) {
	f, gang, _ := newPreemptionFixture(t, 0)
	if !f.preempt(gang) {
		t.Fatal("no preemption is planned")
	}
	tx := newFakeTransaction()
	f.FlushReservations(tx, func() bool { return true })
	if len(tx.put)+len(tx.required)+len(tx.results) != 0 || f.reservations[gang.ID].writing {
		t.Errorf("a full transaction writes %v", tx.put)
	}
}

// TestRecoverReservations guards against reservations that are lost in a failover, and against records
// that are never deleted.
func TestRecoverReservations(t *testing.T) {
	f, gang, _ := newPreemptionFixture(t, 0)
	machines := map[string]int{"m-000001": 1}
	value := wire.Encode(record.Reservation{Machines: machines})
	ended := record.ReservationKey(jobName(9))
	unused := f.RecoverReservations([]kv.Entry{
		{Key: record.ReservationKey(gang.ID), Value: value},
		{Key: ended, Value: value},
	})
	if !slices.Equal(unused, []string{ended}) {
		t.Errorf("unused keys are %v, want only the key of the ended job", unused)
	}
	r := f.reservations[gang.ID]
	if f.ReservationCount() != 1 || r == nil || r.state != reservationReady || !maps.Equal(r.machines, machines) {
		t.Fatalf("recovered reservation is %+v, want a ready one of the recorded machines", r)
	}
	if reserved, want := f.reservedResources("m-000001"), gang.Need; reserved != want {
		t.Errorf("reserved resources are %v, want %v", reserved, want)
	}
	if f.ClearReservations(); f.IsReserved("m-000001") {
		t.Error("a machine is still reserved after all reservations were removed")
	}
}

// TestFailedPreemptionRequestsMachines guards against a gang that waits although other owners might
// have machines for it.
func TestFailedPreemptionRequestsMachines(t *testing.T) {
	f, gang, array := newPreemptionFixture(t, 0)
	array.Priority = sched.High // not a victim
	if f.preempt(gang) || f.ReservationCount() != 0 {
		t.Fatal("tasks of the same priority are preempted")
	}
	if !slices.Equal(f.fake.requested, []string{gang.ID}) || gang.NextPreemptionAt != f.fake.now+preemptionRetryDelay {
		t.Errorf("machines were requested for %v, the next preemption is at %v, want only the gang, and after the retry delay",
			f.fake.requested, gang.NextPreemptionAt)
	}
	f.advance(preemptionRetryDelay - micros.Millisecond)
	if f.preempt(gang); len(f.fake.requested) != 1 {
		t.Error("machines are requested again before the pause is over")
	}
}

func TestReservationStateNames(t *testing.T) {
	want := []string{"planned", "stopping", "ready", "released", "reservationState(4)"}
	for i, name := range want {
		if got := reservationState(i).String(); got != name {
			t.Errorf("state %d is named %q, want %q", i, got, name)
		}
	}
}
