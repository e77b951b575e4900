package soak

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

// second is when an event of these tests happens, in seconds since the start of a run.
func second(s float64) micros.Micros { return micros.Hour + micros.FromSeconds(s) }

// checkedSite returns a run without processes, in which one job was submitted.
func checkedSite() (*site, *jobTruth) {
	s := &site{
		options: Options{Seed: 1, Controllers: 3, Machines: 4}, started: time.Now().Add(-10 * time.Minute),
		rng: rand.New(rand.NewPCG(1, 1)), state: fake.NewKVStore(), cloud: fake.NewCloud(),
	}
	s.cloud.Types = []wire.MachineType{machineType()}
	s.check = newChecker(s)
	s.fleet = fake.NewFleet(fake.FleetTimeouts{Lease: workerLease, GangPeerTimeout: gangPeer, GangWaitTimeout: gangWait})
	truth := &jobTruth{
		job: &sched.Job{
			ID: "req-000001", Team: "service", Tasks: 2, Need: sched.NewResources(2, 0, 2), OneZone: true, Zone: "north",
		},
		info: fake.TaskInfo{CPU: 2, Tasks: 2},
	}
	s.check.jobs[truth.job.ID] = truth
	s.check.order = append(s.check.order, truth.job.ID)
	return s, truth
}

// told is an answer about the job of checkedSite.
func told(kind operationKind, sent, answered float64, status int, phase wire.JobPhase) operation {
	return operation{kind: kind, job: "req-000001", sent: second(sent), answered: second(answered), status: status, phase: phase}
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

// TestCheckerOfAnswers plays what users are told, and sees which rule each history breaks.
func TestCheckerOfAnswers(t *testing.T) {
	accepted := told(opSubmit, 1, 1.1, wire.StatusAccepted, wire.JobQueued)
	cancelled := told(opCancel, 2, 2.1, wire.StatusOK, wire.JobCancelled)
	unknown := told(opQuery, 3, 3.1, wire.StatusOK, wire.JobQueued)
	unknown.job = "req-900001"
	for _, c := range []struct {
		name    string
		history []operation
		want    []Rule
	}{
		{"all is well", []operation{accepted, cancelled, told(opQuery, 2.2, 2.3, 200, wire.JobCancelled)}, nil},
		{"an answer that crosses the cancellation", []operation{accepted, cancelled, told(opQuery, 2.05, 2.3, 200, wire.JobRunning)}, nil},
		{"running after cancelled", []operation{accepted, cancelled, told(opSubmit, 2.2, 2.3, 200, wire.JobRunning)}, []Rule{RuleWentBack, RuleNotLinear}},
		{"accepted after cancelled", []operation{accepted, cancelled, told(opSubmit, 2.2, 2.3, 201, wire.JobQueued)}, []Rule{RuleWentBack, RuleNotLinear}},
		{"done after cancelled", []operation{accepted, cancelled, told(opQuery, 2.05, 2.3, 200, wire.JobDone)}, []Rule{RuleWentBack, RuleNotLinear}},
		{"unknown after accepted", []operation{accepted, told(opQuery, 1.2, 1.3, 404, "")}, []Rule{RuleForgotten, RuleNotLinear}},
		{"a valid submission refused for good", []operation{told(opSubmit, 1, 1.1, 422, "")}, []Rule{RuleForgotten}},
		{"done without its tasks", []operation{accepted, told(opQuery, 2, 2.1, 200, wire.JobDone)}, []Rule{RuleNotDone}},
		{"known though nobody submitted it", []operation{unknown}, []Rule{RuleInvented}},
		{"refused without Retry-After", []operation{accepted, told(opQuery, 2, 2.1, 503, "")}, []Rule{RuleRefusal}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, truth := checkedSite()
			truth.cancelAsked = true
			for _, o := range c.history {
				s.check.answered(o, answer{status: o.status})
			}
			s.check.checkHistories()
			if got := rulesBroken(s.check); !slices.Equal(got, c.want) {
				t.Errorf("broken: %v, want %v\n%v", got, c.want, s.check.violations)
			}
		})
	}
}

// TestCheckerOfCancellation sees that a job which is cancelled without its user's wish is noticed.
func TestCheckerOfCancellation(t *testing.T) {
	s, _ := checkedSite()
	s.check.answered(told(opQuery, 1, 1.1, 200, wire.JobCancelled), answer{status: 200})
	if got := rulesBroken(s.check); !slices.Equal(got, []Rule{RuleWentBack}) {
		t.Errorf("broken: %v", got)
	}
}

// TestCheckerOfTasks starts tasks, and sees which rule each start breaks.
func TestCheckerOfTasks(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *site, truth *jobTruth, north, south *fake.Worker)
		want []Rule
	}{
		{"all is well", func(s *site, _ *jobTruth, north, _ *fake.Worker) {
			s.check.taskStarted(north, "req-000001/0", 1)
			s.check.taskExited(north, "req-000001/0", wire.CauseStopped)
			s.check.taskStarted(north, "req-000001/0", 2)
		}, nil},
		{"twice", func(s *site, truth *jobTruth, north, south *fake.Worker) {
			truth.job.OneZone, truth.job.Zone = false, ""
			s.check.taskStarted(north, "req-000001/0", 1)
			s.check.taskStarted(south, "req-000001/0", 2)
		}, []Rule{RuleRanTwice}},
		{"elsewhere after its machine is gone", func(s *site, truth *jobTruth, north, south *fake.Worker) {
			truth.job.OneZone, truth.job.Zone = false, ""
			s.check.taskStarted(north, "req-000001/0", 1)
			north.Machine.Gone = true
			s.check.machinesGone()
			s.check.taskStarted(south, "req-000001/0", 2)
		}, nil},
		{"in a zone that is not allowed", func(s *site, _ *jobTruth, _, south *fake.Worker) {
			s.check.taskStarted(south, "req-000001/0", 1)
		}, []Rule{RuleWrongPlace}},
		{"long after the cancellation", func(s *site, truth *jobTruth, north, _ *fake.Worker) {
			truth.final, truth.finalAt = wire.JobCancelled, s.now()-cancelWithin-1
			s.check.taskStarted(north, "req-000001/0", 1)
		}, []Rule{RuleRanCancelled}},
		{"still there long after the cancellation", func(s *site, truth *jobTruth, north, _ *fake.Worker) {
			s.check.taskStarted(north, "req-000001/0", 1)
			truth.final, truth.finalAt = wire.JobCancelled, s.now()-cancelWithin-1
			s.check.tick(s.now())
		}, []Rule{RuleRanCancelled}},
		{"still there, but the soak itself was held up", func(s *site, truth *jobTruth, north, _ *fake.Worker) {
			s.check.taskStarted(north, "req-000001/0", 1)
			truth.final, truth.finalAt = wire.JobCancelled, s.now()-cancelWithin-1
			s.check.noteStall(second(1), second(6))
			s.check.tick(s.now())
		}, nil},
		{"beyond the team's limit", func(s *site, truth *jobTruth, north, _ *fake.Worker) {
			truth.info.CPU = machineCPUs * 2
			s.check.taskStarted(north, "req-000001/0", 1)
			s.check.taskStarted(north, "req-000001/1", 1)
			s.check.tick(s.now())
		}, []Rule{RuleQuota}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, truth := checkedSite()
			worker := func(zone string) *fake.Worker {
				return &fake.Worker{Machine: s.cloud.Add(machineType().Name, zone, false, 0)}
			}
			c.play(s, truth, worker("north"), worker("south"))
			if got := rulesBroken(s.check); !slices.Equal(got, c.want) {
				t.Errorf("broken: %v, want %v", got, c.want)
			}
		})
	}
}

// TestCheckerOfRecords writes records, and sees that two owners of a machine and a final record
// that changes are noticed.
func TestCheckerOfRecords(t *testing.T) {
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
			s, _ := checkedSite()
			s.state.OnPut, s.state.OnCommit = s.check.recordWritten, s.check.committed
			for _, w := range c.writes {
				commitPut(t, s.state, w[0].(string), w[1].([]byte))
			}
			if got := rulesBroken(s.check); !slices.Equal(got, c.want) {
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

// TestCheckerOfSilence sees that a job about which nobody answers is noticed.
func TestCheckerOfSilence(t *testing.T) {
	s, truth := checkedSite()
	truth.acceptedAt, truth.answeredAt = second(1), second(1)
	s.check.faultsOver = s.now() - unheardFor - micros.Second
	s.check.checkForgotten()
	if got := rulesBroken(s.check); !slices.Equal(got, []Rule{RuleForgotten}) {
		t.Errorf("broken: %v", got)
	}
}

// TestLinearizabilityOfPending sees that a cancellation without an answer may have taken effect,
// and that one that was never sent has not.
func TestLinearizabilityOfPending(t *testing.T) {
	for _, sent := range []bool{true, false} {
		s, truth := checkedSite()
		truth.cancelAsked = true
		s.check.answered(told(opSubmit, 1, 1.1, wire.StatusAccepted, wire.JobQueued), answer{status: 201})
		if sent {
			s.check.answered(told(opCancel, 2, 4, 0, ""), answer{failure: failureSilent})
		}
		s.check.answered(told(opQuery, 5, 5.1, 200, wire.JobCancelled), answer{status: 200})
		s.check.checkHistories()
		if got := len(rulesBroken(s.check)) == 0; got != sent {
			t.Errorf("with a cancellation sent: %t, held: %t, %v", sent, got, s.check.violations)
		}
	}
}
