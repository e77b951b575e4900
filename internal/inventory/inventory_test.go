package inventory

import (
	"fmt"
	"slices"
	"testing"

	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestAttemptStates covers the side effects of each change of an attempt's state.
func TestAttemptStates(t *testing.T) {
	var nothing sched.Resources
	tests := []struct {
		from, to       AttemptState
		used, stopping sched.Resources // of the team, afterwards
		task           TaskState
		assumed        int
		closed         bool // the machine and the job no longer list the attempt
		calls          []string
	}{
		{from: AttemptAssumed, to: AttemptRecorded, used: taskNeed, task: TaskPlaced},
		{from: AttemptAssumed, to: AttemptClosed, task: TaskPending, closed: true},
		{from: AttemptAssumed, to: AttemptAssumed, used: taskNeed, task: TaskPlaced, assumed: 1},
		{from: AttemptRecorded, to: AttemptRemoving, task: TaskPlaced, calls: []string{"entry of m-1"}},
		{from: AttemptRecorded, to: AttemptStarting, used: taskNeed, task: TaskPlaced},
		{from: AttemptStarting, to: AttemptLive, used: taskNeed, task: TaskPlaced},
		{from: AttemptLive, to: AttemptStopping, used: taskNeed, stopping: taskNeed, task: TaskPlaced},
		{from: AttemptLive, to: AttemptCompleted, task: TaskDone, calls: []string{"completion in chunk 0 of j"}},
		{from: AttemptRemoving, to: AttemptClosed, task: TaskPending, closed: true, calls: nil},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%v to %v", test.from, test.to), func(t *testing.T) {
			inv, host, m := newTestInventory(t)
			j := addJob(inv, "j", 3, false)
			a := inv.AddAttempt(j, 1, 7, m, test.from)
			inv.SetAttemptState(a, test.to)
			if a.State != test.to {
				t.Errorf("attempt is in state %v, want the state that was set", a.State)
			}
			team := inv.Teams["red"]
			if team.Used != test.used || m.Used != test.used || team.Stopping != test.stopping {
				t.Errorf("unexpected use: team %v, machine %v, stopping attempts %v", team.Used, m.Used, team.Stopping)
			}
			if freed := test.used == nothing; inv.SchedulingNeeded != freed {
				t.Errorf("scheduling needed: %t, want true exactly if the attempt uses no resources", inv.SchedulingNeeded)
			}
			if s := j.TaskState(1); s != test.task {
				t.Errorf("task is %v, want %v", s, test.task)
			}
			if j.Assumed != test.assumed || inv.Assumed != test.assumed || inv.AssumedJobs != test.assumed {
				t.Errorf("%d assumed attempts of the job, %d in total, of %d jobs, want 1 each in state assumed, otherwise 0", j.Assumed, inv.Assumed, inv.AssumedJobs)
			}
			if closed := m.Attempts[a.Key()] == nil && j.Attempts[1] == nil; closed != test.closed {
				t.Errorf("attempt removed from machine and job: %t, want true exactly in state closed", closed)
			}
			if !slices.Equal(host.calls, test.calls) {
				t.Errorf("calls %q, want %q", host.calls, test.calls)
			}
		})
	}
}

// TestClosedAttemptIsFinal guards against resources that are released twice.
func TestClosedAttemptIsFinal(t *testing.T) {
	inv, _, m := newTestInventory(t)
	a := inv.AddAttempt(addJob(inv, "j", 1, false), 0, 7, m, AttemptLive)
	inv.SetAttemptState(a, AttemptRemoving)
	inv.SetAttemptState(a, AttemptClosed)
	inv.SetAttemptState(a, AttemptLive)
	if a.State != AttemptClosed || m.Used != (sched.Resources{}) || inv.Teams["red"].Used != (sched.Resources{}) {
		t.Errorf("attempt is %v, machine uses %v, team uses %v, want a closed attempt that uses nothing", a.State, m.Used, inv.Teams["red"].Used)
	}
}

// TestRunningTasks covers the number of running tasks that users see.
func TestRunningTasks(t *testing.T) {
	inv, _, m := newTestInventory(t)
	j := addJob(inv, "j", 1, false)
	a := inv.AddAttempt(j, 0, 7, m, AttemptStarting)
	inv.SetAttemptState(a, AttemptLive)
	for range 2 { // repeated heartbeats count once
		a.SetCountedRunning(true)
	}
	if j.RunningTasks != 1 {
		t.Errorf("%d tasks run, want 1", j.RunningTasks)
	}
	inv.SetAttemptState(a, AttemptStopping)
	if j.RunningTasks != 0 {
		t.Errorf("%d tasks run after the stop, want 0", j.RunningTasks)
	}
}

// TestGangCompletion checks that completions of a gang's tasks are not recorded individually.
func TestGangCompletion(t *testing.T) {
	inv, host, m := newTestInventory(t)
	j := addJob(inv, "j", 2, true)
	inv.SetAttemptState(inv.AddAttempt(j, 0, 7, m, AttemptLive), AttemptCompleted)
	if len(host.calls) > 0 || len(j.UnrecordedCompletions) > 0 || j.CompletedCount != 1 {
		t.Errorf("calls %q, unrecorded completions %v, want none; %d tasks completed, want 1", host.calls, j.UnrecordedCompletions, j.CompletedCount)
	}
}

// TestLastAttemptOfEndedJob guards against ended jobs that are never removed from the inventory.
func TestLastAttemptOfEndedJob(t *testing.T) {
	inv, host, m := newTestInventory(t)
	j := addJob(inv, "j", 2, true)
	inv.SetGangState(j, GangStarting)
	a, b := inv.AddAttempt(j, 0, 7, m, AttemptRemoving), inv.AddAttempt(j, 1, 7, m, AttemptRemoving)
	inv.SetJobState(j, JobEnded)
	host.now += micros.Second
	inv.SetAttemptState(a, AttemptClosed)
	if inv.Jobs["j"] == nil || j.GangState != GangStarting {
		t.Error("the job was removed when its first attempt was closed")
	}
	inv.SetAttemptState(b, AttemptClosed)
	if inv.Jobs["j"] != nil || j.GangState != GangNone || j.IdleSince != host.now || m.IdleSince != host.now {
		t.Errorf("after the last attempt was closed, the job is %+v, its gang state %v, want the job removed and none",
			inv.Jobs["j"], j.GangState)
	}
}

// TestStopAttempt covers how an attempt is stopped in each of its states.
func TestStopAttempt(t *testing.T) {
	tests := []struct {
		name    string
		from    AttemptState
		writing bool // the transaction that records it is in flight
		want    AttemptState
		grace   micros.Micros
		reason  string
		calls   []string
	}{
		{name: "assumed", from: AttemptAssumed, want: AttemptClosed, reason: "test"},
		{name: "assumed, in flight", from: AttemptAssumed, writing: true, want: AttemptRemoving, reason: "test", calls: []string{"entry of m-1"}},
		{name: "recorded", from: AttemptRecorded, want: AttemptRemoving, reason: "test", calls: []string{"entry of m-1"}},
		{name: "starting", from: AttemptStarting, want: AttemptStopping, grace: 5, reason: "test", calls: []string{"commands for m-1"}},
		{name: "live", from: AttemptLive, want: AttemptStopping, grace: 5, reason: "test", calls: []string{"commands for m-1"}},
		{name: "completed", from: AttemptCompleted, want: AttemptCompleted},
		{name: "removing", from: AttemptRemoving, want: AttemptRemoving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inv, host, m := newTestInventory(t)
			a := inv.AddAttempt(addJob(inv, "j", 1, false), 0, 7, m, test.from)
			m.Block.Writing = test.writing
			inv.StopAttempt(a, 5, "test")
			if a.State != test.want || a.GracePeriod != test.grace || a.Reason != test.reason {
				t.Errorf("unexpected result: attempt is %v with grace period %v, reason %q", a.State, a.GracePeriod, a.Reason)
			}
			if !slices.Equal(host.calls, test.calls) {
				t.Errorf("calls %q, want %q", host.calls, test.calls)
			}
		})
	}
}

// TestStopTwice covers a second stop, which can only shorten the grace period.
func TestStopTwice(t *testing.T) {
	inv, _, m := newTestInventory(t)
	a := inv.AddAttempt(addJob(inv, "j", 1, false), 0, 7, m, AttemptLive)
	for _, gracePeriod := range []micros.Micros{5, 9, 3} {
		inv.StopAttempt(a, gracePeriod, "test")
	}
	if a.GracePeriod != 3 || inv.Teams["red"].Stopping != taskNeed {
		t.Errorf("grace period %v, stopping attempts use %v, want the shortest grace period and the need of one task", a.GracePeriod, inv.Teams["red"].Stopping)
	}
}

// TestRemoveMachine covers the removal of a machine: its tasks can be placed again, and gangs stop.
func TestRemoveMachine(t *testing.T) {
	inv, _, m := newTestInventory(t)
	other := inv.AddMachine(m.Block, MachineInfo{Name: "m-0"}, m.Size)
	array, gang := addJob(inv, "array", 2, false), addJob(inv, "gang", 2, true)
	inv.AddAttempt(array, 0, 7, m, AttemptLive)
	completed := inv.AddAttempt(array, 1, 7, m, AttemptLive)
	inv.SetAttemptState(completed, AttemptCompleted)
	inv.SetGangState(gang, GangStarting)
	inv.AddAttempt(gang, 0, 7, m, AttemptLive)
	rest := inv.AddAttempt(gang, 1, 7, other, AttemptLive)
	inv.RemoveMachine(m)
	if inv.Machines["m-1"] != nil || !slices.Equal(inv.SortedMachines, []*Machine{other}) || !slices.Equal(other.Block.Machines, []*Machine{other}) {
		t.Error("the machine is still listed")
	}
	if array.TaskState(0) != TaskPending || gang.TaskState(0) != TaskPending {
		t.Errorf("the tasks on the machine are %v and %v, want pending", array.TaskState(0), gang.TaskState(0))
	}
	if completed.State != AttemptCompleted {
		t.Errorf("the attempt whose completion is not recorded is %v, want completed", completed.State)
	}
	if rest.State != AttemptStopping || gang.GangState != GangStopping {
		t.Errorf("the gang's other attempt is %v, the gang %v, want both stopping", rest.State, gang.GangState)
	}
}

// TestMachineStates covers the actions that each change of a machine's state requires.
func TestMachineStates(t *testing.T) {
	tests := []struct {
		to                      MachineState
		entry                   bool // must be written
		scheduling, termination bool // are needed
	}{
		{to: MachineReady, scheduling: true},
		{to: MachineDraining},
		{to: MachineTransferring, entry: true},
		{to: MachineDecommissioning, entry: true},
		{to: MachineTerminating, termination: true},
		{to: MachineTerminated, entry: true},
	}
	for _, test := range tests {
		t.Run(test.to.String(), func(t *testing.T) {
			inv, host, m := newTestInventory(t)
			m.State = MachineBooting
			inv.SetMachineState(m, test.to, "test")
			inv.SetMachineState(m, test.to, "test")
			if m.State != test.to || inv.SchedulingNeeded != test.scheduling || inv.TerminationNeeded != test.termination {
				t.Errorf("machine is %v, scheduling needed: %t, termination needed: %t, want the state that was set and what it needs",
					m.State, inv.SchedulingNeeded, inv.TerminationNeeded)
			}
			if changed := slices.Equal(host.calls, []string{"entry of m-1"}); changed != test.entry || !changed && len(host.calls) > 0 {
				t.Errorf("calls %q, want one write of the machine's entry if the state must be recorded, otherwise none", host.calls)
			}
		})
	}
}

// TestNeedsWrite covers when a machine's entry must be written again after a transaction.
func TestNeedsWrite(t *testing.T) {
	tests := []struct {
		name   string
		change func(inv *Inventory, m *Machine, j *Job)
		want   bool
	}{
		{"unchanged", func(*Inventory, *Machine, *Job) {}, false},
		{"live attempt", func(inv *Inventory, m *Machine, j *Job) { inv.AddAttempt(j, 0, 7, m, AttemptLive) }, false},
		{"assumed attempt", func(inv *Inventory, m *Machine, j *Job) { inv.AddAttempt(j, 0, 7, m, AttemptAssumed) }, true},
		{"removed attempt", func(inv *Inventory, m *Machine, j *Job) { inv.AddAttempt(j, 0, 7, m, AttemptRemoving) }, true},
		{"decommissioning", func(_ *Inventory, m *Machine, _ *Job) { m.State = MachineDecommissioning }, true},
		{"terminating", func(_ *Inventory, m *Machine, _ *Job) { m.State = MachineTerminating }, false},
		{"terminated", func(_ *Inventory, m *Machine, _ *Job) { m.State = MachineTerminated }, true},
		{"empty machine to transfer", func(_ *Inventory, m *Machine, _ *Job) { m.State = MachineTransferring }, true},
		{"machine to transfer once empty", func(inv *Inventory, m *Machine, j *Job) {
			inv.AddAttempt(j, 0, 7, m, AttemptLive)
			m.State = MachineTransferring
		}, false},
		{"unclaimed", func(_ *Inventory, m *Machine, _ *Job) { m.FencingToken = 0 }, true},
		{"verifying", func(_ *Inventory, m *Machine, _ *Job) { m.FencingToken, m.Verifying = 0, true }, false},
		{"fencing needed", func(inv *Inventory, m *Machine, _ *Job) { inv.SetFencingState(m, FencingNeeded) }, true},
		{"fencing pending", func(inv *Inventory, m *Machine, _ *Job) { inv.SetFencingState(m, FencingPending) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inv, _, m := newTestInventory(t)
			m.Claim(7)
			test.change(inv, m, addJob(inv, "j", 1, false))
			if got := m.NeedsWrite(); got != test.want {
				t.Errorf("NeedsWrite() = %v, want %v", got, test.want)
			}
		})
	}
}

// TestQueueOrder covers the order of the queue: priority, then the time when a job became ready, then
// its ID.
func TestQueueOrder(t *testing.T) {
	inv, _, _ := newTestInventory(t)
	for _, j := range []struct {
		id       string
		priority sched.Priority
		readyAt  micros.Micros
	}{{"d", sched.Normal, 2}, {"a", sched.Low, 1}, {"c", sched.Normal, 1}, {"b", sched.Normal, 1}, {"e", sched.High, 3}} {
		job := NewJob(&sched.Job{ID: j.id, Priority: j.priority}, 1, j.readyAt)
		inv.QueueJob(job)
	}
	var order []string
	for _, j := range inv.Queue {
		order = append(order, j.ID)
	}
	if want := []string{"e", "b", "c", "d", "a"}; !slices.Equal(order, want) {
		t.Errorf("queue %q, want %q", order, want)
	}
}

// TestTaskCounts covers the counts of a job's tasks.
func TestTaskCounts(t *testing.T) {
	j := NewJob(&sched.Job{ID: "j", Tasks: 3}, 1, 0)
	if j.Pending != 3 || j.TaskStates != nil || j.TaskState(2) != TaskPending {
		t.Errorf("new job: %+v", j.Progress)
	}
	j.FirstPending = 2
	for _, s := range []TaskState{TaskPlaced, TaskPending, TaskPlaced, TaskDone, TaskPending} {
		j.SetTaskState(1, s)
	}
	if j.Pending != 2 || j.FirstPending != 1 || j.CompletedCount != 1 || !j.Completed.Has(1) || j.TaskState(1) != TaskDone {
		t.Errorf("after the completion: %+v", j.Progress)
	}
}

// TestBlockSources checks that a block is not written before the block to which its machines were
// moved.
func TestBlockSources(t *testing.T) {
	from, to := &Block{Name: "from"}, &Block{Name: "to"}
	from.MarkDirty(1)
	from.MarkDirty(2)
	if from.DirtySince != 1 || !from.IsDue(2) || to.IsDue(2) {
		t.Errorf("dirty since %v, due: %t and %t, want the time of the first change, true and false", from.DirtySince, from.IsDue(2), to.IsDue(2))
	}
	to.AddSource(from)
	if from.IsDue(2) || from.UnwrittenTargets != 1 || !slices.Contains(to.Sources, from) {
		t.Errorf("from %+v, to %+v", from, to)
	}
}

// TestCompletionSegment covers the chunks of a segment and its sources.
func TestCompletionSegment(t *testing.T) {
	a, b := NewCompletionSegment("red", "1"), NewCompletionSegment("red", "2")
	a.Version = 5
	j := NewJob(&sched.Job{ID: "j", Tasks: 2 * record.TasksPerChunk}, 1, 0)
	j.AllocateTaskStates()
	for _, chunk := range []int{1, 0} {
		a.AddChunk(j, chunk)
	}
	if keys := a.SortedChunks(); !slices.Equal(keys, []ChunkKey{{"j", 0}, {"j", 1}}) || j.Segments[1] != a || a.Bytes != j.ChunkBytes(0)+j.ChunkBytes(1) {
		t.Errorf("the segment has chunks %v of %d bytes", keys, a.Bytes)
	}
	for chunk := range 2 {
		a.RemoveChunk(j, chunk)
		b.AddChunk(j, chunk)
		b.AddSource(a)
	}
	if a.Bytes != 0 || a.UnwrittenTargets != 1 || len(b.Sources) != 1 || a.IsRemovable() {
		t.Errorf("from %+v, to %+v", a, b)
	}
	a.UnwrittenTargets = 0 // b is written
	if !a.IsRemovable() || b.IsRemovable() {
		t.Errorf("removable: %t and %t, want true and false", a.IsRemovable(), b.IsRemovable())
	}
	if chunks := b.Completions().Chunks; len(chunks) != 2 {
		t.Errorf("%d chunks are encoded, want 2", len(chunks))
	}
}

// TestStateNames guards against a state that has no name in the log.
func TestStateNames(t *testing.T) {
	check := func(name, unknown string) {
		t.Helper()
		if name == "" || name == unknown {
			t.Errorf("a state is logged as %q, want a name", name)
		}
	}
	for s := AttemptAssumed; s <= AttemptClosed; s++ {
		check(s.String(), fmt.Sprintf("AttemptState(%d)", int(s)))
	}
	for s := MachineBooting; s <= MachineTerminated; s++ {
		check(s.String(), fmt.Sprintf("MachineState(%d)", int(s)))
	}
	for s := FencingNone; s <= FencingPending; s++ {
		check(s.String(), fmt.Sprintf("FencingState(%d)", int(s)))
	}
	for s := JobActive; s <= JobBlocked; s++ {
		check(s.String(), fmt.Sprintf("JobState(%d)", int(s)))
	}
	for s := GangNone; s <= GangStopping; s++ {
		check(s.String(), fmt.Sprintf("GangState(%d)", int(s)))
	}
	for s := TaskPending; s <= TaskDone; s++ {
		check(s.String(), fmt.Sprintf("TaskState(%d)", int(s)))
	}
	if name := AttemptState(99).String(); name != "AttemptState(99)" {
		t.Errorf("an unknown state is logged as %q, want AttemptState(99)", name)
	}
}
