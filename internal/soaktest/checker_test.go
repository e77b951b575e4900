package soaktest

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// atSecond is when an event of these tests happens, in seconds since the start of a run.
func atSecond(s float64) micros.Micros { return micros.Hour + micros.FromSeconds(s) }

// newCheckedHarness returns a run without processes, in which one job was submitted.
func newCheckedHarness() (*harness, *jobHistory) {
	s := &harness{
		options: Options{Seed: 1, Controllers: 3, Machines: 4}, started: time.Now().Add(-10 * time.Minute),
		rng: rand.New(rand.NewPCG(1, 1)), kvStore: fake.NewKVStore(), cloud: fake.NewCloud(),
	}
	s.cloud.Types = []wire.MachineType{machineType()}
	s.checker = newChecker(s)
	s.fleet = fake.NewFleet(fake.FleetTimeouts{Lease: workerLease, GangPeerTimeout: gangPeer, GangWaitTimeout: gangWait})
	truth := &jobHistory{
		job: &sched.Job{
			ID: "req-000001", Team: "service", Tasks: 2, Need: sched.NewResources(2, 0, 2), OneZone: true, Zone: "north",
		},
		info: fake.TaskInfo{CPU: 2, Tasks: 2},
	}
	s.checker.jobs[truth.job.ID] = truth
	s.checker.order = append(s.checker.order, truth.job.ID)
	return s, truth
}

// newJobResponse is an answer about the job of newCheckedHarness.
func newJobResponse(kind operationKind, sent, answered float64, status int, phase wire.JobPhase) operation {
	return operation{kind: kind, job: "req-000001", sentAt: atSecond(sent), respondedAt: atSecond(answered), status: status, phase: phase}
}

// rulesBroken lists the rules that were broken, each once.
func rulesBroken(c *checker) []Rule {
	var rules []Rule
	for _, v := range c.violations {
		if !slices.Contains(rules, v.Rule) {
			rules = append(rules, v.Rule)
		}
	}
	return rules
}

// TestCheckerResponses plays what users are told, and sees which rule each history breaks.
func TestCheckerResponses(t *testing.T) {
	accepted := newJobResponse(opSubmit, 1, 1.1, wire.StatusAccepted, wire.JobQueued)
	cancelled := newJobResponse(opCancel, 2, 2.1, wire.StatusOK, wire.JobCancelled)
	unknown := newJobResponse(opQuery, 3, 3.1, wire.StatusOK, wire.JobQueued)
	unknown.job = "req-900001"
	for _, c := range []struct {
		name    string
		history []operation
		want    []Rule
	}{
		{"all is well", []operation{accepted, cancelled, newJobResponse(opQuery, 2.2, 2.3, 200, wire.JobCancelled)}, nil},
		{"an answer that crosses the cancellation", []operation{accepted, cancelled, newJobResponse(opQuery, 2.05, 2.3, 200, wire.JobRunning)}, nil},
		{"running after cancelled", []operation{accepted, cancelled, newJobResponse(opSubmit, 2.2, 2.3, 200, wire.JobRunning)}, []Rule{RuleWentBack, RuleNotLinear}},
		{"accepted after cancelled", []operation{accepted, cancelled, newJobResponse(opSubmit, 2.2, 2.3, 201, wire.JobQueued)}, []Rule{RuleWentBack, RuleNotLinear}},
		{"done after cancelled", []operation{accepted, cancelled, newJobResponse(opQuery, 2.05, 2.3, 200, wire.JobDone)}, []Rule{RuleWentBack, RuleNotLinear}},
		{"unknown after accepted", []operation{accepted, newJobResponse(opQuery, 1.2, 1.3, 404, "")}, []Rule{RuleForgotten, RuleNotLinear}},
		{"a valid submission refused for good", []operation{newJobResponse(opSubmit, 1, 1.1, 422, "")}, []Rule{RuleForgotten}},
		{"done without its tasks", []operation{accepted, newJobResponse(opQuery, 2, 2.1, 200, wire.JobDone)}, []Rule{RuleNotDone}},
		{"known though nobody submitted it", []operation{unknown}, []Rule{RuleInvented}},
		{"refused without Retry-After", []operation{accepted, newJobResponse(opQuery, 2, 2.1, 503, "")}, []Rule{RuleRefusal}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, truth := newCheckedHarness()
			truth.cancelRequested = true
			for _, o := range c.history {
				s.checker.handleResponse(o, callResult{status: o.status})
			}
			s.checker.checkHistories()
			if got := rulesBroken(s.checker); !slices.Equal(got, c.want) {
				t.Errorf("broken: %v, want %v\n%v", got, c.want, s.checker.violations)
			}
		})
	}
}

// TestCheckerCancellation sees that a job which is cancelled without its user's wish is noticed.
func TestCheckerCancellation(t *testing.T) {
	s, _ := newCheckedHarness()
	s.checker.handleResponse(newJobResponse(opQuery, 1, 1.1, 200, wire.JobCancelled), callResult{status: 200})
	if got := rulesBroken(s.checker); !slices.Equal(got, []Rule{RuleWentBack}) {
		t.Errorf("broken: %v", got)
	}
}

// TestCheckerTasks starts tasks, and sees which rule each start breaks.
func TestCheckerTasks(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *harness, truth *jobHistory, north, south *fake.Worker)
		want []Rule
	}{
		{"all is well", func(s *harness, _ *jobHistory, north, _ *fake.Worker) {
			s.checker.taskStarted(north, "req-000001/0", 1)
			s.checker.taskExited(north, "req-000001/0", wire.CauseStopped)
			s.checker.taskStarted(north, "req-000001/0", 2)
		}, nil},
		{"twice", func(s *harness, truth *jobHistory, north, south *fake.Worker) {
			truth.job.OneZone, truth.job.Zone = false, ""
			s.checker.taskStarted(north, "req-000001/0", 1)
			s.checker.taskStarted(south, "req-000001/0", 2)
		}, []Rule{RuleRanTwice}},
		{"elsewhere after its machine is gone", func(s *harness, truth *jobHistory, north, south *fake.Worker) {
			truth.job.OneZone, truth.job.Zone = false, ""
			s.checker.taskStarted(north, "req-000001/0", 1)
			north.Machine.Gone = true
			s.checker.machinesGone()
			s.checker.taskStarted(south, "req-000001/0", 2)
		}, nil},
		{"in a zone that is not allowed", func(s *harness, _ *jobHistory, _, south *fake.Worker) {
			s.checker.taskStarted(south, "req-000001/0", 1)
		}, []Rule{RuleWrongPlace}},
		{"long after the cancellation", func(s *harness, truth *jobHistory, north, _ *fake.Worker) {
			truth.terminalPhase, truth.terminalAt = wire.JobCancelled, s.now()-cancelDeadline-1
			s.checker.taskStarted(north, "req-000001/0", 1)
		}, []Rule{RuleRanCancelled}},
		{"still there long after the cancellation", func(s *harness, truth *jobHistory, north, _ *fake.Worker) {
			s.checker.taskStarted(north, "req-000001/0", 1)
			truth.terminalPhase, truth.terminalAt = wire.JobCancelled, s.now()-cancelDeadline-1
			s.checker.tick(s.now())
		}, []Rule{RuleRanCancelled}},
		{"still there, but the soak itself was held up", func(s *harness, truth *jobHistory, north, _ *fake.Worker) {
			s.checker.taskStarted(north, "req-000001/0", 1)
			truth.terminalPhase, truth.terminalAt = wire.JobCancelled, s.now()-cancelDeadline-1
			s.checker.recordStall(atSecond(1), atSecond(6))
			s.checker.tick(s.now())
		}, nil},
		{"beyond the team's limit", func(s *harness, truth *jobHistory, north, _ *fake.Worker) {
			truth.info.CPU = machineCPUs * 2
			s.checker.taskStarted(north, "req-000001/0", 1)
			s.checker.taskStarted(north, "req-000001/1", 1)
			s.checker.tick(s.now())
		}, []Rule{RuleQuota}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, truth := newCheckedHarness()
			worker := func(zone string) *fake.Worker {
				return &fake.Worker{Machine: s.cloud.Add(machineType().Name, zone, false, 0)}
			}
			c.play(s, truth, worker("north"), worker("south"))
			if got := rulesBroken(s.checker); !slices.Equal(got, c.want) {
				t.Errorf("broken: %v, want %v", got, c.want)
			}
		})
	}
}

// TestCheckerRecords writes records, and sees that two owners of a machine and a final record
// that changes are noticed.
func TestCheckerRecords(t *testing.T) {
	const first, second = record.OwnerID("controller-0/1"), record.OwnerID("controller-1/2")
	block := func(owner record.OwnerID, machine string) []byte {
		data := &record.BlockData{MachineTypes: []record.BlockMachineType{{Type: "standard", Zone: "north"}}, Machines: []record.BlockMachine{{Name: machine}}}
		return wire.Encode(data.Block(owner))
	}
	final := func(status record.Status) []byte { return wire.Encode(record.TerminalState{Status: status}) }
	for _, c := range []struct {
		name   string
		writes [][2]any // key and value, each a transaction
		want   []Rule
	}{
		{"all is well", [][2]any{{"m/a", block(first, "m-000001")}, {"m/b", block(second, "m-000002")}, {"f/req-000001", final(record.StatusDone)}, {"f/req-000001", final(record.StatusDone)}}, nil},
		{"a machine in two blocks of one owner", [][2]any{{"m/a", block(first, "m-000001")}, {"m/b", block(first, "m-000001")}}, nil},
		{"a machine in blocks of two owners", [][2]any{{"m/a", block(first, "m-000001")}, {"m/b", block(second, "m-000001")}}, []Rule{RuleOwnedTwice}},
		{"a machine that is adopted though another owner has it", [][2]any{{"m/a", block(first, "m-000001")}, {"m/x-m-000001", block(second, "m-000001")}}, []Rule{RuleAdopted}},
		{"a final record changes", [][2]any{{"f/req-000001", final(record.StatusDone)}, {"f/req-000001", final(record.StatusCancelled)}}, []Rule{RuleFinalChanged}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, _ := newCheckedHarness()
			s.kvStore.OnPut, s.kvStore.OnCommit = s.checker.recordWritten, s.checker.committed
			for _, w := range c.writes {
				commitPut(t, s.kvStore, w[0].(string), w[1].([]byte))
			}
			if got := rulesBroken(s.checker); !slices.Equal(got, c.want) {
				t.Errorf("broken: %v, want %v", got, c.want)
			}
		})
	}
}

// commitPut writes a record in a transaction of its own.
func commitPut(t *testing.T, state *fake.KVStore, key string, value []byte) {
	t.Helper()
	var decoded any
	if err := wire.Decode(value, &decoded); err != nil {
		t.Fatal(err)
	}
	body := wire.Encode(map[string]any{"writes": []any{map[string]any{"put": key, "data": decoded}}})
	if r, _ := state.Handle("controller-0", "POST", "/commit", body, true); r.Status != wire.StatusOK {
		t.Fatalf("the commit is answered %d", r.Status)
	}
}

// TestCheckerUnansweredJobs sees that a job about which nobody answers is noticed.
func TestCheckerUnansweredJobs(t *testing.T) {
	s, truth := newCheckedHarness()
	truth.acceptedAt, truth.answeredAt = atSecond(1), atSecond(1)
	s.checker.faultsEndedAt = s.now() - maxUnansweredTime - micros.Second
	s.checker.checkForgotten()
	if got := rulesBroken(s.checker); !slices.Equal(got, []Rule{RuleForgotten}) {
		t.Errorf("broken: %v", got)
	}
}

// TestLinearizabilityOfPendingOperations sees that a cancellation without an answer may have taken effect,
// and that one that was never sent has not.
func TestLinearizabilityOfPendingOperations(t *testing.T) {
	for _, sent := range []bool{true, false} {
		s, truth := newCheckedHarness()
		truth.cancelRequested = true
		s.checker.handleResponse(newJobResponse(opSubmit, 1, 1.1, wire.StatusAccepted, wire.JobQueued), callResult{status: 201})
		if sent {
			s.checker.handleResponse(newJobResponse(opCancel, 2, 4, 0, ""), callResult{failure: failureTimeout})
		}
		s.checker.handleResponse(newJobResponse(opQuery, 5, 5.1, 200, wire.JobCancelled), callResult{status: 200})
		s.checker.checkHistories()
		if got := len(rulesBroken(s.checker)) == 0; got != sent {
			t.Errorf("with a cancellation sent: %t, held: %t, %v", sent, got, s.checker.violations)
		}
	}
}
