package handover

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"

	"tamarindlead/micros"
)

const (
	testDeadline = 40 * micros.Second
	// overdueAge is the age from which a cancellation is overdue.
	overdueAge = 28*micros.Second + 1
)

// fakeHost is a Host with a fixed successor. It records terminations, and what the node's own owner
// resumes.
type fakeHost struct {
	successor  Successor
	ownActive  bool
	throttled  bool
	resumed    []string
	requests   [][]string
	done       func(now micros.Micros, terminated bool)
	violations []string
}

func (h *fakeHost) Successor(map[string]uint64) Successor { return h.successor }

func (h *fakeHost) Resume(machine *Machine) bool {
	if h.ownActive {
		h.resumed = append(h.resumed, fmt.Sprint(machine.Name, machine.CancelledAt))
	}
	return h.ownActive
}

func (h *fakeHost) Terminate(machines []string, done func(now micros.Micros, terminated bool)) bool {
	if h.throttled {
		return false
	}
	h.requests, h.done = append(h.requests, slices.Clone(machines)), done
	return true
}

func (h *fakeHost) ReportViolation(violation string, _ ...any) {
	h.violations = append(h.violations, violation)
}

// newTestTracker returns a tracker that has retained, at the time 0, m1 with a cancelled job and m2 with
// an active one.
func newTestTracker(successor Successor) (*Tracker, *fakeHost) {
	host := &fakeHost{successor: successor}
	tracker := NewTracker(host, testDeadline, slog.New(slog.NewTextHandler(io.Discard, nil)))
	tracker.Retain(Snapshot{TeamVersions: map[string]uint64{"red": 4}, Machines: []Machine{
		{Name: "m1", AgentEpoch: 3, CancelledAt: map[string]micros.Micros{"j1": 1, "j2": 0}},
		{Name: "m2", CancelledAt: map[string]micros.Micros{"j2": 0}},
	}}, 0)
	return tracker, host
}

// tickUntil calls Tick once a second, and at last at the given time.
func (h *fakeHost) tickUntil(tracker *Tracker, end micros.Micros) {
	for now := tracker.lastTick + micros.Second; now < end; now += micros.Second {
		tracker.Tick(now)
	}
	tracker.Tick(end)
}

// TestTerminationOfOverdueTasks checks that a machine with an overdue task is terminated if and only if
// no successor can act, and that the successor's own recovery ends the duty.
func TestTerminationOfOverdueTasks(t *testing.T) {
	for successor, want := range map[Successor]struct {
		terminates bool
		retained   int
	}{
		SuccessorNone:       {true, 2},
		SuccessorRecovering: {true, 2},
		SuccessorUnknown:    {false, 2},
		SuccessorPossible:   {false, 2},
		SuccessorAssigned:   {false, 0}, // for longer than recoveryAllowance
		SuccessorActive:     {false, 0},
	} {
		t.Run(successor.String(), func(t *testing.T) {
			tracker, host := newTestTracker(successor)
			host.tickUntil(tracker, overdueAge)
			if len(host.requests) > 0 {
				t.Fatal("terminated before the deadline was close")
			}
			host.tickUntil(tracker, overdueAge+1)
			if got := fmt.Sprint(host.requests); got != map[bool]string{true: "[[m1]]", false: "[]"}[want.terminates] {
				t.Errorf("requests %s, want one for m1: %t", got, want.terminates)
			}
			if got := tracker.MachineCount(); got != want.retained {
				t.Errorf("%d machines retained, want %d", got, want.retained)
			}
			if len(host.violations) > 0 {
				t.Errorf("violations %v", host.violations)
			}
		})
	}
}

// TestTerminationRetries checks that one request is in flight at a time, and that a failed one is
// repeated after a delay until the machine is gone.
func TestTerminationRetries(t *testing.T) {
	tracker, host := newTestTracker(SuccessorNone)
	now := overdueAge + 1
	host.throttled = true
	host.tickUntil(tracker, now)
	host.throttled = false
	tracker.Tick(now)
	now += micros.Second
	tracker.Tick(now)
	if len(host.requests) != 1 {
		t.Fatalf("%d requests, want 1", len(host.requests))
	}
	host.done(now, false)
	tracker.Tick(now + terminationRetryDelay - 1)
	if len(host.requests) != 1 || !tracker.Retains("m1", "j1") {
		t.Fatalf("%d requests, m1 retained %t; want 1, true", len(host.requests), tracker.Retains("m1", "j1"))
	}
	now += terminationRetryDelay
	tracker.Tick(now)
	host.done(now, true)
	tracker.Tick(now)
	if len(host.requests) != 2 || tracker.Retains("m1", "j1") || !tracker.Retains("m2", "j2") {
		t.Errorf("requests %v, m1 retained %t, m2 retained %t; want 2, false, true",
			host.requests, tracker.Retains("m1", "j1"), tracker.Retains("m2", "j2"))
	}
}

// TestObservationPeriod checks that it must have been known for a while, without interruption, that no
// successor can act: neither what was known when the owner was discarded nor what a node knows after a
// standstill is evidence of that.
func TestObservationPeriod(t *testing.T) {
	const discardedAt = 35 * micros.Second
	for _, test := range []struct {
		name      string
		interrupt func(tracker *Tracker, host *fakeHost) // after half of the period
	}{
		{"the owner was discarded", nil},
		{"contact was lost", func(tracker *Tracker, host *fakeHost) {
			host.successor = SuccessorUnknown
			tracker.Tick(tracker.lastTick + 1)
			host.successor = SuccessorNone
		}},
		{"the node stood still", func(tracker *Tracker, _ *fakeHost) { tracker.Tick(tracker.lastTick + maxTickGap + 1) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			host := &fakeHost{successor: SuccessorNone}
			tracker := NewTracker(host, testDeadline, slog.New(slog.NewTextHandler(io.Discard, nil)))
			tracker.Tick(discardedAt)
			tracker.Retain(Snapshot{Machines: []Machine{{Name: "m1", CancelledAt: map[string]micros.Micros{"j1": 1}}}}, discardedAt)
			if test.interrupt != nil {
				host.tickUntil(tracker, discardedAt+observationPeriod/2)
				test.interrupt(tracker, host)
			}
			start := tracker.lastTick
			host.tickUntil(tracker, start+observationPeriod)
			if len(host.requests) > 0 {
				t.Error("terminated within the observation period")
			}
			host.tickUntil(tracker, start+observationPeriod+1)
			if len(host.requests) != 1 {
				t.Errorf("%d requests after the observation period, want 1", len(host.requests))
			}
		})
	}
}

// TestCancelledAfterOwner checks that a job that is cancelled after the owner was discarded has its
// deadline too.
func TestCancelledAfterOwner(t *testing.T) {
	tracker, host := newTestTracker(SuccessorNone)
	tracker.ObserveHeartbeat("m1", 4)
	cancelledAt := 10 * micros.Second
	tracker.MarkCancelled("j2", cancelledAt)
	tracker.MarkCancelled("j2", cancelledAt+micros.Second)
	host.tickUntil(tracker, cancelledAt+overdueAge-1)
	if len(host.requests) > 0 {
		t.Error("terminated before the deadline was close")
	}
	tracker.Tick(cancelledAt + overdueAge)
	if got := fmt.Sprint(host.requests); got != "[[m2]]" {
		t.Errorf("requests %s, want one for m2", got)
	}
}

// TestNewEpochEndsTasks checks that only a heartbeat of a later agent epoch shows that the tasks have
// ended.
func TestNewEpochEndsTasks(t *testing.T) {
	for _, test := range []struct {
		machine string
		epoch   uint64
		want    bool
	}{{"m1", 2, true}, {"m1", 3, true}, {"m1", 4, false}, {"m2", 9, true}, {"m3", 9, false}} {
		tracker, _ := newTestTracker(SuccessorNone)
		tracker.ObserveHeartbeat(test.machine, test.epoch)
		if got := tracker.Retains(test.machine, "j2"); got != test.want {
			t.Errorf("%s retained after a heartbeat of epoch %d: %t, want %t", test.machine, test.epoch, got, test.want)
		}
	}
}

// TestAssignedSuccessor checks that owners that can read the records have recovered them after
// recoveryAllowance. The time between two owners does not count; an outage begins the count anew.
func TestAssignedSuccessor(t *testing.T) {
	tracker, host := newTestTracker(SuccessorAssigned)
	now := micros.Micros(0)
	tick := func(successor Successor, elapsed micros.Micros) {
		host.successor = successor
		now += elapsed
		tracker.Tick(now)
	}
	tick(SuccessorAssigned, recoveryAllowance)
	tick(SuccessorUnknown, 1)
	tick(SuccessorAssigned, recoveryAllowance-1)
	tick(SuccessorPossible, recoveryAllowance)
	tick(SuccessorAssigned, 1)
	if tracker.MachineCount() != 2 {
		t.Fatal("handed over before the allowance has passed")
	}
	tick(SuccessorAssigned, 1)
	if tracker.MachineCount() != 0 {
		t.Error("not handed over after the allowance")
	}
}

// TestOwnOwnerResumes checks that the node's own active owner gets the machines with what is known of
// cancellations.
func TestOwnOwnerResumes(t *testing.T) {
	tracker, host := newTestTracker(SuccessorNone)
	host.ownActive = true
	tracker.Tick(overdueAge + 1)
	if got := fmt.Sprint(host.resumed); got != "[m1map[j1:1µs j2:0s] m2map[j2:0s]]" || tracker.MachineCount() != 0 || len(host.requests) > 0 {
		t.Errorf("resumed %s, %d retained, requests %v; want both, 0, none", got, tracker.MachineCount(), host.requests)
	}
}

// TestLaterSnapshotReplaces checks that the snapshot of a later owner replaces what an earlier one says
// of the same machine, and that an owner that had recovered nothing replaces nothing.
func TestLaterSnapshotReplaces(t *testing.T) {
	tracker, _ := newTestTracker(SuccessorNone)
	tracker.Retain(Snapshot{}, 1)
	if tracker.MachineCount() != 2 {
		t.Fatal("an owner that knew no machine has replaced an earlier snapshot")
	}
	tracker.Retain(Snapshot{Machines: []Machine{{Name: "m1", CancelledAt: map[string]micros.Micros{"j3": 0}}}}, 1)
	if !tracker.Retains("m1", "j3") || tracker.Retains("m1", "j1") || !tracker.Retains("m2", "j2") || tracker.MachineCount() != 2 {
		t.Error("the retained machines are not those of the later snapshots")
	}
}

// TestTerminationsAreAsserted checks that a termination that is not due, or that another owner may
// decide, is omitted and reported.
func TestTerminationsAreAsserted(t *testing.T) {
	for _, test := range []struct {
		name      string
		machine   string
		successor Successor
		now       micros.Micros
		want      bool
	}{
		{"overdue", "m1", SuccessorNone, overdueAge + 1, true},
		{"not overdue", "m1", SuccessorNone, overdueAge, false},
		{"not cancelled", "m2", SuccessorNone, overdueAge + 1, false},
		{"not retained", "m3", SuccessorNone, overdueAge + 1, false},
		{"successor active", "m1", SuccessorActive, overdueAge + 1, false},
		{"successor unknown", "m1", SuccessorUnknown, overdueAge + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker, host := newTestTracker(test.successor)
			for _, d := range tracker.owners {
				d.noSuccessorFor = observationPeriod + 1
			}
			tracker.terminate([]string{test.machine}, test.now)
			if got := len(host.requests) == 1; got != test.want || (len(host.violations) == 0) != test.want {
				t.Errorf("requests %v, violations %v; want a request: %t", host.requests, host.violations, test.want)
			}
		})
	}
}

func TestSuccessorNames(t *testing.T) {
	for successor, want := range map[Successor]string{SuccessorNone: "none", SuccessorActive + 1: "Successor(6)"} {
		if got := successor.String(); got != want {
			t.Errorf("name %q, want %q", got, want)
		}
	}
}
