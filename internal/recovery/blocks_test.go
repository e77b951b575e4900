package recovery

import (
	"slices"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestRecoverMachine checks which properties of a machine are recovered from a block's record.
func TestRecoverMachine(t *testing.T) {
	for _, decommissioning := range []bool{false, true} {
		o := newTestOwner(t)
		data := &record.BlockData{
			LaunchTimeBase: 1000,
			MachineTypes:   []record.BlockMachineType{{Type: "small", Zone: "a"}, {Type: "mid", Zone: "b", Spot: true}},
			Machines: []record.BlockMachine{{
				Name: "m-1", Endpoint: "worker:1", MachineType: 1, LaunchedAt: 234, FencingToken: 7, Decommissioning: decommissioning,
			}},
		}
		o.RecoverBlocks([]kv.Entry{{Key: record.BlockKey("b"), Value: wire.Encode(data.Block(self)), Version: 8}})
		m := o.inv.Machines["m-1"]
		if m == nil {
			t.Fatal("the machine is not recovered")
		}
		want := inventory.MachineInfo{Name: "m-1", Type: "mid", Zone: "b", Spot: true, Endpoint: "worker:1"}
		if m.MachineInfo != want || m.ProvisionedAt != 1234 || !m.Recorded {
			t.Errorf("machine %+v, provisioned at %d, recorded %t; want spot machine m-1 of type mid in zone b, 1234, true", m.MachineInfo, m.ProvisionedAt, m.Recorded)
		}
		if m.FencingToken != 0 {
			t.Error("the fencing token of the earlier owner is used")
		}
		wantState := inventory.MachineBooting
		if decommissioning {
			wantState = inventory.MachineTerminating
		}
		if m.State != wantState {
			t.Errorf("decommissioning %t: state %v, want %v", decommissioning, m.State, wantState)
		}
		if b := m.Block; b.Name != "b" || b.Version != 8 || !b.Dirty || b.DirtySince != o.now {
			t.Errorf("block %q, version %d, dirty %t since %d; want \"b\", 8, true since now", b.Name, b.Version, b.Dirty, b.DirtySince)
		}
	}
}

// TestRecoverOwnBlocksOnly checks that only blocks of owners whose records now belong to this owner are
// recovered, and that an unreadable block does not prevent the recovery of the others.
func TestRecoverOwnBlocksOnly(t *testing.T) {
	o := newTestOwner(t)
	o.RecoverBlocks([]kv.Entry{
		{Key: record.BlockKey("bad"), Value: []byte{0xff}, Version: 30},
		{Key: record.BlockKey("data"), Value: wire.Encode(record.Block{Owner: self, Data: "*"}), Version: 20},
		blockEntry(other, "other", 15, "m-1"),
		blockEntry(self, "own", 10, "m-2"),
	})
	if want := []string{"block own"}; !slices.Equal(o.actions, want) {
		t.Errorf("actions %q, want %q", o.actions, want)
	}
	if len(o.inv.Machines) != 1 || o.inv.Machines["m-2"] == nil {
		t.Errorf("machines %v, want only m-2", o.inv.SortedMachines)
	}
}

// TestNewerBlockTakesPrecedence checks that of two blocks with the same machine the newer one takes
// precedence, whatever their order in the listing.
func TestNewerBlockTakesPrecedence(t *testing.T) {
	for _, reverse := range []bool{false, true} {
		o := newTestOwner(t)
		j := o.addJob("req-000001", 2, false)
		entries := []kv.Entry{
			blockEntry(self, "new", 20, "m-1", placement{j, 1}),
			blockEntry(self, "old", 10, "m-1", placement{j, 0}),
		}
		if reverse {
			slices.Reverse(entries)
		}
		first := entries[0].Key
		o.RecoverBlocks(entries)
		if entries[0].Key != first {
			t.Error("the caller's list is changed")
		}
		if m := o.inv.Machines["m-1"]; m == nil || m.Block.Name != "new" {
			t.Fatal("the machine is not in the newer block")
		}
		if j.Attempts[0] != nil || j.Attempts[1] == nil {
			t.Errorf("attempts %v, want that of the newer block", j.Attempts)
		}
	}
}

// TestRecoverAttempts checks which attempts are recovered, and in which state.
func TestRecoverAttempts(t *testing.T) {
	o := newTestOwner(t)
	j := o.addJob("req-000001", 3, false)
	j.SetTaskState(1, inventory.TaskDone)
	blocked := newJob("req-000002", 1, false)
	o.blocked = blocked
	gang := o.addJob("req-000003", 1, true)
	o.RecoverBlocks([]kv.Entry{
		blockEntry(self, "b1", 20, "m-1", placement{j, 0}, placement{j, 1}, placement{j, 3}, placement{blocked, 0}, placement{gang, 0}),
		blockEntry(self, "b2", 10, "m-2", placement{j, 0}, placement{j, 2}),
	})
	for _, test := range []struct {
		name    string
		job     *inventory.Job
		index   int
		machine string // "" for no attempt
	}{
		{"on the machine of the newer block", j, 0, "m-1"},
		{"completed", j, 1, ""},
		{"no conflict", j, 2, "m-2"},
		{"not a task of the job", j, 3, ""},
		{"of a blocked job", blocked, 0, "m-1"},
		{"of a gang", gang, 0, "m-1"},
	} {
		switch a := test.job.Attempts[test.index]; {
		case a == nil && test.machine != "":
			t.Errorf("%s: no attempt", test.name)
		case a == nil:
		case a.Machine.Name != test.machine || a.State != inventory.AttemptStarting || a.Number != 1:
			t.Errorf("%s: attempt %d on %s is %v, want attempt 1 on the expected machine, starting", test.name, a.Number, a.Machine.Name, a.State)
		}
	}
	if gang.GangState != inventory.GangStarting || j.GangState != inventory.GangNone {
		t.Errorf("states of the gang %v and of the other job %v, want starting and none", gang.GangState, j.GangState)
	}
	if !j.EverPlaced || !blocked.EverPlaced || len(o.unresolvedJobs) > 0 {
		t.Error("jobs are not marked as placed, or an active job is unresolved")
	}
	if m := o.inv.Machines["m-2"]; len(m.Attempts) != 1 {
		t.Errorf("%d attempts on m-2, want 1", len(m.Attempts))
	}
}

// TestUnreadableAttempts checks that a machine is recovered even if its attempts cannot be read.
func TestUnreadableAttempts(t *testing.T) {
	o := newTestOwner(t)
	data := &record.BlockData{
		MachineTypes: []record.BlockMachineType{{Type: "small", Zone: "a"}},
		Machines:     []record.BlockMachine{{Name: "m-1", Tasks: []uint64{5, 1, 1, 0}}},
	}
	o.RecoverBlocks([]kv.Entry{{Key: record.BlockKey("b"), Value: wire.Encode(data.Block(self)), Version: 8}})
	if m := o.inv.Machines["m-1"]; m == nil || len(m.Attempts) > 0 {
		t.Errorf("machine %v, want one without attempts", m)
	}
}

// TestAttemptsOfEndedJobs checks that attempts of a job that is not active are stopped, that they
// count against the quota of its team until they end, and that the job's terminal state is to be
// read.
func TestAttemptsOfEndedJobs(t *testing.T) {
	o := newTestOwner(t)
	ended := newJob("req-000009", 5, false)
	o.RecoverBlocks([]kv.Entry{blockEntry(self, "b", 20, "m-1", placement{ended, 2}, placement{ended, 4})})
	j := o.inv.Jobs[ended.ID]
	if j == nil || j.State != inventory.JobEnded || len(j.Attempts) != 2 {
		t.Fatalf("job %v, want an ended job with 2 attempts", j)
	}
	for i, a := range j.Attempts {
		if a.State != inventory.AttemptStopping || a.GracePeriod != 0 {
			t.Errorf("attempt of task %d is %v, want stopping without a grace period", i, a.State)
		}
	}
	if want := taskNeed.Times(2); o.inv.Teams["red"].Used != want {
		t.Errorf("the team uses %v, want %v", o.inv.Teams["red"].Used, want)
	}
	if !slices.Equal(o.unresolvedJobs, []*inventory.Job{j}) {
		t.Errorf("unresolved jobs %v, want only the ended job", o.unresolvedJobs)
	}
}

// TestEndedJobWithoutAttempts checks that a job that is not active is dropped unless it has attempts.
func TestEndedJobWithoutAttempts(t *testing.T) {
	o := newTestOwner(t)
	ended := newJob("req-000009", 1, false)
	o.RecoverBlocks([]kv.Entry{blockEntry(self, "b", 20, "m-1", placement{ended, 1})})
	if len(o.inv.Jobs) > 0 {
		t.Errorf("jobs %v, want none", o.inv.Jobs)
	}
}

// TestIncompleteGangs checks that a gang is stopped if some of its tasks have neither an attempt nor a
// completion.
func TestIncompleteGangs(t *testing.T) {
	for _, test := range []struct {
		name                string
		gang                bool
		attempts, completed int
		state               inventory.JobState
		wantStopped         bool
	}{
		{"complete", true, 3, 0, inventory.JobActive, false},
		{"complete with completions", true, 2, 1, inventory.JobActive, false},
		{"incomplete", true, 2, 0, inventory.JobActive, true},
		{"incomplete with completions", true, 1, 1, inventory.JobActive, true},
		{"finishing", true, 2, 0, inventory.JobFinishing, false},
		{"no gang", false, 2, 0, inventory.JobActive, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newTestOwner(t)
			j := o.addJob("req-000001", 3, test.gang)
			j.State = test.state
			var placements []placement
			for i := range test.attempts {
				placements = append(placements, placement{j, i})
			}
			for i := range test.completed {
				j.SetTaskState(2-i, inventory.TaskDone)
			}
			o.RecoverBlocks([]kv.Entry{blockEntry(self, "b", 20, "m-1", placements...)})
			want := inventory.AttemptStarting
			if test.wantStopped {
				want = inventory.AttemptStopping
			}
			if len(j.Attempts) != test.attempts {
				t.Fatalf("%d attempts, want %d", len(j.Attempts), test.attempts)
			}
			for i, a := range j.Attempts {
				if a.State != want {
					t.Errorf("attempt of task %d is %v, want %v", i, a.State, want)
				}
			}
			if stopping := j.GangState == inventory.GangStopping; stopping != test.wantStopped {
				t.Errorf("gang is %v, want stopping only if it is incomplete", j.GangState)
			}
		})
	}
}

// TestResolveJobs checks the effect of the terminal state of an ended job on its attempts.
func TestResolveJobs(t *testing.T) {
	const now, wallClock = micros.Hour, 1000 * micros.Hour
	for _, test := range []struct {
		name        string
		outcome     kv.Outcome
		state       record.TerminalState
		heartbeat   bool // the machine has sent one
		wantClosed  bool
		wantEndedAt micros.Micros
		wantRetry   bool
	}{
		{"done", kv.OK, record.TerminalState{Status: record.StatusDone, FinishedAt: 1}, false, true, 0, false},
		{"done, after a heartbeat", kv.OK, record.TerminalState{Status: record.StatusDone, FinishedAt: 1}, true, false, 0, false},
		{
			"cancelled", kv.OK,
			record.TerminalState{Status: record.StatusCancelled, FinishedAt: wallClock - 3*micros.Second},
			false, false, now - 3*micros.Second, false,
		},
		{
			"cancelled before this node started", kv.OK,
			record.TerminalState{Status: record.StatusCancelled, FinishedAt: wallClock - 2*now},
			false, false, 1, false,
		},
		{"cancelled at an unknown time", kv.OK, record.TerminalState{Status: record.StatusCancelled}, false, false, now - 40*micros.Second, false},
		{"not found", kv.NotFound, record.TerminalState{}, false, false, 0, false},
		{"throttled", kv.Throttled, record.TerminalState{}, false, false, 0, true},
		{"unknown", kv.Unknown, record.TerminalState{}, false, false, now - 16*micros.Second, true},
		{"refused", kv.Refused, record.TerminalState{}, false, false, now - 16*micros.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newTestOwner(t)
			o.RecoverBlocks([]kv.Entry{blockEntry(self, "b", 20, "m-1", placement{newJob("req-000009", 1, false), 0})})
			j, m := o.inv.Jobs["req-000009"], o.inv.Machines["m-1"]
			if test.heartbeat {
				m.AgentEpoch = 4
			}
			o.takeActions()
			o.ResolveJobs()
			if want := []string{"get " + record.TerminalStateKey(j.ID)}; !slices.Equal(o.actions, want) {
				t.Fatalf("actions %q, want %q", o.actions, want)
			}
			o.gets[0](test.outcome, kv.Entry{Value: wire.Encode(test.state)})
			if closed := len(m.Attempts) == 0; closed != test.wantClosed {
				t.Errorf("attempt closed %t, want %t", closed, test.wantClosed)
			}
			if j.CancelledAt != test.wantEndedAt {
				t.Errorf("ended at %d, want %d", j.CancelledAt, test.wantEndedAt)
			}
			if retry := len(o.unresolvedJobs) > 0; retry != test.wantRetry {
				t.Errorf("read again %t, want %t", retry, test.wantRetry)
			}
		})
	}
}

// TestAssumedCancellation guards against tasks of a cancelled job that stay on an unresponsive machine because
// an outage of the key-value store begins before the new owner has read that the job was cancelled. The
// assumption is made at the first failed read, and ends when the terminal state is read.
func TestAssumedCancellation(t *testing.T) {
	cancelled := record.TerminalState{Status: record.StatusCancelled, FinishedAt: 1000*micros.Hour - 3*micros.Second}
	for state, want := range map[record.TerminalState]micros.Micros{
		{Status: record.StatusDone, FinishedAt: 1}: 0,
		cancelled: micros.Hour - 3*micros.Second,
	} {
		o := newTestOwner(t)
		o.RecoverBlocks([]kv.Entry{blockEntry(self, "b", 20, "m-1", placement{newJob("req-000009", 1, false), 0})})
		o.inv.Machines["m-1"].AgentEpoch = 4 // heartbeats decide when the attempt ends
		j := o.inv.Jobs["req-000009"]
		var got []micros.Micros
		for i, outcome := range []kv.Outcome{kv.Refused, kv.Unknown, kv.OK} {
			o.now = micros.Hour - micros.Micros(2-i)*micros.Second
			o.ResolveJobs()
			o.gets[i](outcome, kv.Entry{Value: wire.Encode(state)})
			got = append(got, j.CancelledAt)
		}
		assumed := micros.Hour - 18*micros.Second
		if !slices.Equal(got, []micros.Micros{assumed, assumed, want}) {
			t.Errorf("%s: cancelled at %v, want twice %v, then %v", state.Status, got, assumed, want)
		}
	}
}

// TestResolveUnreadableTerminalState checks that a job whose terminal state cannot be read is treated
// as cancelled.
func TestResolveUnreadableTerminalState(t *testing.T) {
	o := newTestOwner(t)
	o.RecoverBlocks([]kv.Entry{blockEntry(self, "b", 20, "m-1", placement{newJob("req-000009", 1, false), 0})})
	o.ResolveJobs()
	o.gets[0](kv.OK, kv.Entry{Value: []byte{0xff}})
	if j := o.inv.Jobs["req-000009"]; j == nil || j.CancelledAt != o.now-40*micros.Second {
		t.Errorf("job %v, want one that counts as cancelled 40 s ago", j)
	}
}

// TestResolveJobsRateLimit checks that each tick takes at most terminalStatesPerTick jobs from the
// list, that the terminal states of removed jobs are not read, and that responses to a superseded
// owner are ignored.
func TestResolveJobsRateLimit(t *testing.T) {
	o := newTestOwner(t)
	var placements []placement
	for _, id := range []string{"req-000001", "req-000002", "req-000003", "req-000004", "req-000005"} {
		placements = append(placements, placement{newJob(id, 1, false), 0})
	}
	o.RecoverBlocks([]kv.Entry{blockEntry(self, "b", 20, "m-1", placements...)})
	delete(o.inv.Jobs, "req-000002")
	if o.ResolveJobs(); len(o.gets) != terminalStatesPerTick-1 {
		t.Errorf("%d reads in the first tick, want one less than terminalStatesPerTick, because one job was removed", len(o.gets))
	}
	if o.ResolveJobs(); len(o.gets) != terminalStatesPerTick {
		t.Errorf("%d reads in two ticks, want one for each remaining job", len(o.gets))
	}
	o.superseded = true
	for _, done := range o.gets {
		done(kv.Unknown, kv.Entry{})
		done(kv.OK, kv.Entry{Value: wire.Encode(record.TerminalState{Status: record.StatusDone, FinishedAt: 1})})
	}
	if len(o.unresolvedJobs) > 0 || len(o.inv.Machines["m-1"].Attempts) != len(placements) {
		t.Error("responses to a superseded owner are handled")
	}
}
