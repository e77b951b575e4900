package soaktest

import (
	"testing"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// taskTest is a run with one worker in each zone.
type taskTest struct {
	*harness
	history      *jobHistory
	north, south *fake.Worker
}

func newTaskTest() *taskTest {
	h, history := newTestHarness()
	newWorker := func(zone string) *fake.Worker {
		return &fake.Worker{Machine: h.cloud.Add(machineTypeName, zone, false, 0)}
	}
	return &taskTest{h, history, newWorker("north"), newWorker("south")}
}

// start starts an attempt of a task of testJob.
func (r *taskTest) start(w *fake.Worker, index int, attempt uint64) {
	r.checker.taskStarted(w, wire.TaskName(testJob, index), attempt)
}

// allowAnyZone removes the constraints on zones.
func (r *taskTest) allowAnyZone() { r.history.job.OneZone, r.history.job.Zone = false, "" }

// cancel marks the job as cancelled so long ago that the cancellation deadline has just passed.
func (r *taskTest) cancel() {
	r.history.terminalPhase, r.history.terminalAt = wire.JobCancelled, r.now()-cancelDeadline-1
}

// TestCheckerTasks checks which rules starting and running tasks violate.
func TestCheckerTasks(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps func(r *taskTest)
		want  []Rule
	}{
		{"started again after its exit", func(r *taskTest) {
			r.start(r.north, 0, 1)
			r.checker.taskExited(r.north, wire.TaskName(testJob, 0), wire.CauseStopped)
			r.start(r.north, 0, 2)
		}, nil},
		{"started on two machines", func(r *taskTest) {
			r.allowAnyZone()
			r.start(r.north, 0, 1)
			r.start(r.south, 0, 2)
		}, []Rule{RuleRanTwice}},
		{"started elsewhere after its machine was terminated", func(r *taskTest) {
			r.allowAnyZone()
			r.start(r.north, 0, 1)
			r.north.Machine.Gone = true
			r.checker.dropTerminatedMachines()
			r.start(r.south, 0, 2)
		}, nil},
		{"started in a zone that is not allowed", func(r *taskTest) {
			r.start(r.south, 0, 1)
		}, []Rule{RuleWrongPlace}},
		{"started after the cancellation deadline", func(r *taskTest) {
			r.cancel()
			r.start(r.north, 0, 1)
		}, []Rule{RuleRanCancelled}},
		{"running after the cancellation deadline", func(r *taskTest) {
			r.start(r.north, 0, 1)
			r.cancel()
			r.checker.checkContinuously()
		}, []Rule{RuleRanCancelled}},
		{"running after the cancellation deadline, but the test itself was stalled", func(r *taskTest) {
			r.start(r.north, 0, 1)
			r.cancel()
			r.checker.recordStall(atSecond(1), atSecond(6))
			r.checker.checkContinuously()
		}, nil},
		{"running beyond the team's quota limit", func(r *taskTest) {
			r.history.taskInfo.CPU = machineCPUs * 2
			r.start(r.north, 0, 1)
			r.start(r.north, 1, 1)
			r.checker.checkContinuously()
		}, []Rule{RuleQuota}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTaskTest()
			test.steps(r)
			checkRules(t, r.checker, test.want)
		})
	}
}

// TestCheckerStall checks that only a time above maxStepInterval between two steps counts as a stall.
func TestCheckerStall(t *testing.T) {
	for _, test := range []struct {
		name        string
		before, now micros.Micros
		want        micros.Micros
	}{
		{"first step", 0, atSecond(1), 0},
		{"interval at the limit", atSecond(1), atSecond(1) + maxStepInterval, 0},
		{"interval above the limit", atSecond(1), atSecond(6), 5 * micros.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, _ := newTestHarness()
			h.checker.recordStall(test.before, test.now)
			if h.checker.stallTime != test.want {
				t.Errorf("stall time %v, want %v", h.checker.stallTime, test.want)
			}
		})
	}
}
