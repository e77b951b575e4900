package scheduler

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// newPreemptionFixture returns a scheduler with one machine, on which an array of two tasks with low
// priority runs, and a gang that fits only if both tasks are stopped. Both have run for 20 s of an
// estimated 30 s.
func newPreemptionFixture(t *testing.T, checkpoint micros.Micros) (f *fixture, gang, array *inventory.Job) {
	t.Helper()
	f = newFixture(t)
	f.fake.types[0].Zones = nil // nothing can be requested from the cloud
	array = f.addJob(&sched.Job{
		ID: jobName(1), Class: "work", Tasks: 2, Priority: sched.Low, Need: sched.NewResources(14, 0, 14),
		Estimate: 30 * micros.Second, CheckpointInterval: checkpoint, CheckpointDuration: micros.Second,
	}, f.fake.now)
	gang = f.addJob(&sched.Job{
		ID: jobName(2), Class: "work", Tasks: 1, Gang: true, Priority: sched.High, Need: sched.NewResources(28, 0, 28),
		Estimate: 30 * micros.Second,
	}, f.fake.now)
	m := f.addMachine(1, false)
	for i := range array.Tasks {
		f.inventory.AddAttempt(array, i, 9, m, inventory.AttemptLive).RunningSince = f.fake.now - 20*micros.Second
	}
	return f, gang, array
}

// TestFailedPreemptionBacksOff guards against a gang that preempts tasks again on every retry
// although it never starts: each reservation with which the gang does not start doubles the pause
// before the next preemption.
func TestFailedPreemptionBacksOff(t *testing.T) {
	f, gang, _ := newPreemptionFixture(t, 0)
	wait := f.settings.Tuning.ReservationTimeout
	for n := range 3 {
		if !f.preempt(gang) {
			t.Fatalf("reservation %d: no preemption is planned", n)
		}
		r := f.reservations[gang.ID]
		r.victims = nil // the victims continue to run, so that the next reservation finds them again
		f.setReservationState(r, reservationReady, "test")
		f.advance(r.expiresAt + 1 - f.fake.now)
		f.TickReservations()
		if r.state != reservationReleased {
			t.Fatalf("reservation %d is not released after its timeout", n)
		}
		delete(f.reservations, gang.ID)
		pause := wait << n
		f.advance(pause - 1)
		if f.preempt(gang) {
			t.Fatalf("after %d reservations without a start, tasks are preempted again before a pause of %v", n+1, pause)
		}
		f.advance(1)
	}
}

// TestPreemptionSparesEndingTasks guards against stopping tasks that end soon, which would not free
// their resources earlier.
func TestPreemptionSparesEndingTasks(t *testing.T) {
	f, gang, array := newPreemptionFixture(t, 0)
	if n := len(f.victims(gang.Job, sched.Preempt, nil)); n != 1 {
		t.Fatalf("%d victims 10 s before the array's end, want 1", n)
	}
	f.fake.now += 8 * micros.Second
	if list := f.victims(gang.Job, sched.Preempt, nil); len(list) != 0 {
		t.Errorf("%d tasks would be stopped 2 s before their end", len(list[0].Tasks))
	}
	for _, a := range array.SortedAttempts() {
		if !endsSoon(a, f.fake.now) {
			t.Errorf("task %d does not count as ending soon", a.Index)
		}
	}
}

// TestPreemptionOrderByLostWork checks the lost work, by which machines are chosen: stopping a task with
// checkpoints costs only the time of one checkpoint, stopping a task without checkpoints costs its
// whole run time so far.
func TestPreemptionOrderByLostWork(t *testing.T) {
	for checkpoint, want := range map[micros.Micros]float64{0: 14 * 20, 15 * micros.Second: 14 * 1} {
		f, gang, _ := newPreemptionFixture(t, checkpoint)
		list := f.victims(gang.Job, sched.Preempt, nil)
		if len(list) != 1 || list[0].Tasks[0].LostWork != want {
			t.Errorf("checkpoint interval %v: victims %+v, want lost work %g", checkpoint, list, want)
		}
	}
}

// TestFreedCapacityCountedOnce guards against counting released resources twice: a reservation for them
// would wait forever, since another gang already uses them.
func TestFreedCapacityCountedOnce(t *testing.T) {
	f := newFixture(t)
	for i := range 2 {
		f.addJob(&sched.Job{ID: jobName(i), Class: "merge", Gang: true, Tasks: 1, Need: sched.NewResources(20, 0, 80)}, 0)
	}
	m := f.addMachine(0, false)
	queue := f.inventory.Queue
	ended := f.inventory.AddAttempt(queue[0], 0, 7, m, inventory.AttemptLive)
	f.inventory.SetAttemptState(ended, inventory.AttemptCompleted)
	f.inventory.AddAttempt(queue[1], 0, 8, m, inventory.AttemptLive)
	if free, want := f.preemptionView()[0].Free.CPUs(), m.Size.Sub(m.Used).CPUs(); free != want {
		t.Errorf("%g CPUs count as free, want %g", free, want)
	}
}
