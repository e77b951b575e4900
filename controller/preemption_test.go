package controller

import (
	"testing"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// newPreemptionOwner is an owner with one machine, on which a low array of two tasks runs, and a
// gang that fits only in its place. The first task has run for 20 s of 30 s.
func newPreemptionOwner(checkpoint micros.Micros) (o *owner, gang, array *inventory.Job) {
	o = testOwner()
	o.c.types.list[0].Zones = nil // nothing can be rented
	array = addTestJob(o, 1, &sched.Job{
		Tasks: 2, Priority: sched.Low, Need: sched.NewResources(14, 0, 14), Estimate: 30 * micros.Second, CheckpointInterval: checkpoint, CheckpointDuration: micros.Second,
	})
	gang = addTestJob(o, 2, &sched.Job{
		Tasks: 1, Gang: true, Priority: sched.High, Need: sched.NewResources(28, 0, 28), Estimate: 30 * micros.Second,
	})
	m := o.newMachine(inventory.MachineInfo{Name: "m-000001", Type: "mid", Zone: "a", Endpoint: "worker"})
	m.FencingToken, m.AgentEpoch, m.TokenConfirmed, m.LastHeartbeat, m.State = 7, 1, true, o.c.now, inventory.MachineReady
	for i := range array.Tasks {
		o.AddAttempt(array, i, 9, m, inventory.AttemptLive).RunningSince = o.c.now - 20*micros.Second
	}
	return o, gang, array
}

func addTestJob(o *owner, n int, spec *sched.Job) *inventory.Job {
	spec.ID, spec.Class, spec.Team, spec.Image = jobName(n), "work", "red", "img"
	o.recoverJob(record.ActiveJobKey(spec.ID), wire.Encode(record.NewJob(spec, o.c.wallClock)), uint64(n))
	return o.Jobs[spec.ID]
}

// TestFailedPreemptionBacksOff guards against a gang that evicts again on every retry although
// it never starts: each hold in vain doubles the pause before the next eviction.
func TestFailedPreemptionBacksOff(t *testing.T) {
	o, gang, _ := newPreemptionOwner(0)
	wait := o.c.cfg.Tuning.ReservationTimeout
	for n := range 3 {
		if !o.preempt(gang) {
			t.Fatalf("hold %d: no room is made", n)
		}
		h := o.reservations[gang.ID]
		h.victims = nil // what was to be stopped goes on, so that the next hold finds the same
		o.setReservationState(h, reservationReady, "test")
		o.c.now = h.expiresAt + 1
		o.Machines["m-000001"].LastHeartbeat = o.c.now
		o.tickReservations()
		if h.state != reservationReleased {
			t.Fatalf("hold %d is not over after its wait", n)
		}
		delete(o.reservations, gang.ID)
		pause := wait << n
		o.c.now += pause - 1
		o.Machines["m-000001"].LastHeartbeat = o.c.now
		if o.preempt(gang) {
			t.Fatalf("after %d holds in vain work is stopped again before %v", n+1, pause)
		}
		o.c.now++
		o.Machines["m-000001"].LastHeartbeat = o.c.now
	}
}

// TestPreemptionSparesEndingTasks guards against stopping what is about to end, since a stop would not be
// faster: its room counts as free soon.
func TestPreemptionSparesEndingTasks(t *testing.T) {
	o, gang, array := newPreemptionOwner(0)
	if n := len(o.victims(gang.Job, sched.Preempt, nil)); n != 1 {
		t.Fatalf("%d victims 10 s before the array's end", n)
	}
	o.c.now += 8 * micros.Second
	if list := o.victims(gang.Job, sched.Preempt, nil); len(list) != 0 {
		t.Errorf("%d tasks are to be stopped 2 s before their end", len(list[0].Tasks))
	}
	for _, a := range array.SortedAttempts() {
		if !o.endsSoon(a) {
			t.Errorf("task %d does not count as leaving", a.Index)
		}
	}
}

// TestPreemptionOrderByLostWork guards the order in which machines are tried: what can save loses the
// time for saving only, what cannot loses all of its run.
func TestPreemptionOrderByLostWork(t *testing.T) {
	for checkpoint, want := range map[micros.Micros]float64{0: 14 * 20, 15 * micros.Second: 14 * 1} {
		o, gang, _ := newPreemptionOwner(checkpoint)
		list := o.victims(gang.Job, sched.Preempt, nil)
		if len(list) != 1 || list[0].Tasks[0].LostWork != want {
			t.Errorf("checkpoints every %v: victims %+v, lost should be %g", checkpoint, list, want)
		}
	}
}
