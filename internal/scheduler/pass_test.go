package scheduler

import (
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestQuotaReservedForGang guards against a gang that waits forever because later tasks use parts of the
// quota, which the gang needs as a whole, and against an array that never runs because of such a gang.
func TestQuotaReservedForGang(t *testing.T) {
	tests := []struct {
		name      string
		arrayIdle micros.Micros
		want      int // attempts of the array
	}{
		{"gang first", 0, 0},
		{"array idle for too long", maxArrayIdleTime + 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.inventory.Teams["red"].QuotaLimit = sched.NewResources(20, 0, 0)
			f.addMachine(1, false)
			gang := f.addJob(&sched.Job{
				ID: jobName(1), Class: "merge", Gang: true, Tasks: 2, Priority: sched.High, Need: sched.NewResources(12, 0, 4),
			}, f.fake.now)
			array := f.addJob(&sched.Job{
				ID: jobName(2), Class: "work", Tasks: 8, Priority: sched.Low, Need: sched.NewResources(2, 0, 1),
			}, f.fake.now)
			array.IdleSince -= test.arrayIdle
			f.Schedule()
			if len(gang.Attempts) != 0 || len(array.Attempts) != test.want {
				t.Errorf("%d attempts of the gang, %d of the array, want 0 and %d", len(gang.Attempts), len(array.Attempts), test.want)
			}
		})
	}
}

// TestPassBounds guards against passes that follow each other without a pause, and against more assumed
// attempts than the limit.
func TestPassBounds(t *testing.T) {
	f := newFixture(t)
	f.addMachine(1, false)
	j := f.addJob(&sched.Job{ID: jobName(1), Class: "work", Tasks: 9, Need: sched.NewResources(4, 0, 4)}, f.fake.now)
	f.Schedule()
	if len(j.Attempts) != 7 || f.inventory.SchedulingNeeded {
		t.Fatalf("%d attempts on a machine on which 7 tasks fit, want 7, and no further scheduling needed", len(j.Attempts))
	}
	if len(f.fake.changed) != 2 { // the first change is the addition of the machine
		t.Errorf("changed entries: %v, want 2", f.fake.changed)
	}
	f.inventory.SetAttemptState(j.Attempts[0], inventory.AttemptClosed)
	f.advance(MinPassInterval - 1)
	if f.Schedule(); len(j.Attempts) != 6 {
		t.Fatal("a pass began before the minimum interval was over")
	}
	f.advance(1)
	f.inventory.Assumed += maxAssumed
	if f.Schedule(); len(j.Attempts) != 6 {
		t.Fatal("a pass began although the limit of assumed attempts was reached")
	}
	f.inventory.Assumed -= maxAssumed
	if f.Schedule(); len(j.Attempts) != 7 {
		t.Errorf("%d attempts after the pass, want 7", len(j.Attempts))
	}
}

// TestMachineViewSkipsUnusable guards against placing tasks on machines that cannot run them.
func TestMachineViewSkipsUnusable(t *testing.T) {
	tests := map[string]func(f *fixture, m *inventory.Machine){
		"draining":     func(_ *fixture, m *inventory.Machine) { m.State = inventory.MachineDraining },
		"unclaimed":    func(_ *fixture, m *inventory.Machine) { m.FencingToken = 0 },
		"fencing":      func(_ *fixture, m *inventory.Machine) { m.Fencing = inventory.FencingPending },
		"quarantined":  func(f *fixture, m *inventory.Machine) { m.QuarantinedUntil = f.fake.now + 1 },
		"unresponsive": func(f *fixture, m *inventory.Machine) { m.LastHeartbeat -= 2*f.settings.HeartbeatInterval + 1 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			m := f.addMachine(1, false)
			if len(f.machineView()) != 1 {
				t.Fatal("a ready machine is not in the view")
			}
			if change(f, m); len(f.machineView()) != 0 {
				t.Error("an unusable machine is in the view")
			}
		})
	}
}
