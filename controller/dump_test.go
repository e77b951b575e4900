package controller

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// dump is a simulation at one moment, with nodes of the version in production: its records, what
// its machines ran and its users knew, and peer messages up to then. For each record and message
// it holds what that version reads in it. production/README.md describes how the dumps are made.
// Tags keep the names that fields have in the recorded dumps.
type dump struct {
	Commit          string
	Settings        config.Settings
	Now             micros.Micros
	Revision        uint64
	Records         []fake.Record
	DecodedRecords  []string `cbor:"Readings"` // by the version in production
	Messages        [][]byte
	DecodedMessages []string `cbor:"Said"` // by the version in production
	Types           []wire.MachineType
	Capacity        map[string]int
	Grants          map[string][]string
	Rented          int
	Machines        []dumpMachine
	Jobs            []dumpJob
	Done            []string // tasks
}

type dumpMachine struct {
	fake.CloudMachine
	Worker       bool
	Hung         bool
	AgentEpoch   uint64 `cbor:"Session"`
	HeartbeatSeq uint64 `cbor:"Seq"`
	FencingToken uint64 `cbor:"Token"`
	Tasks        []dumpTask
}

type dumpTask struct {
	Name           string
	Attempt        uint64
	Phase          wire.TaskPhase
	Cause          wire.ExitCause
	Checkpointed   bool          `cbor:"Saved"`
	PhaseRemaining micros.Micros `cbor:"Left"`
}

type dumpJob struct {
	Job              sched.Job
	Info             fake.TaskInfo
	Accepted         bool
	CancelRequested  bool          `cbor:"WantsEnd"`
	ReportedTerminal wire.JobPhase `cbor:"Told"`
	CancelledAt      micros.Micros `cbor:"Cancelled"`
}

// notifyPeerMessage passes on what a node said to another.
func (sim *simulation) notifyPeerMessage(body []byte) {
	if sim.onMessage != nil && len(body) > 0 {
		sim.onMessage(body)
	}
}

// dumpLease is how long the leases of the nodes of a dump last still.
const dumpLease = 2 * micros.Second

// loadSimulation returns a simulation that continues from a dump; its users ask for their jobs.
func loadSimulation(d *dump) *simulation {
	cfg := d.Settings
	sim := newSimulation(1, &cfg)
	sim.now, sim.kvStore.Now, sim.cloud.Now = d.Now, d.Now, d.Now
	sim.kvStore.Load(d.Records, d.Revision, dumpLease)
	sim.cloud.Types, sim.cloud.Capacity = d.Types, d.Capacity
	sim.cloud.RestoreScaleOutGrants(d.Grants, d.Rented)
	for _, task := range d.Done {
		sim.completedTasks[task] = true
	}
	for i := range d.Jobs {
		sim.loadJob(&d.Jobs[i])
	}
	for i := range d.Machines {
		sim.loadMachine(&d.Machines[i])
	}
	return sim
}

// loadJob restores what users know of a job and has them go on asking.
func (sim *simulation) loadJob(saved *dumpJob) {
	job := saved.Job
	id := job.ID
	sim.submitted[id], sim.taskInfos[id], sim.submissions[id] = &job, saved.Info, wire.Encode(wire.FromJob(&job))
	sim.submittedAt[id], sim.cancelRequested[id] = sim.now, saved.CancelRequested
	if saved.Accepted {
		sim.accepted[id], sim.users.acceptedAt[id] = true, sim.now
	}
	if saved.ReportedTerminal != "" {
		sim.reportedTerminal[id], sim.users.terminalSeenAt[id] = saved.ReportedTerminal, sim.now
	}
	if saved.CancelledAt > 0 {
		sim.acknowledgedCancellations[id] = saved.CancelledAt
	}
	if saved.CancelRequested && saved.ReportedTerminal == "" {
		sim.cancel(id, 0)
	}
	if !saved.Accepted {
		sim.submit(id, 0)
	}
	sim.after(micros.Second, func() { sim.poll(id, 0) })
}

// loadMachine restores a machine and the worker that ran on it, if any.
func (sim *simulation) loadMachine(saved *dumpMachine) {
	machine := saved.CloudMachine
	machine.Endpoint = fake.Endpoint(machine.Name) // dumps do not hold it
	sim.cloud.Machines[machine.Name] = &machine
	if !saved.Worker {
		return
	}
	worker := sim.bootWorker(&machine, sim.machineType(machine.Type))
	worker.Hung, worker.AgentEpoch, worker.HeartbeatSeq, worker.FencingToken = saved.Hung, saved.AgentEpoch, saved.HeartbeatSeq, saved.FencingToken
	for _, t := range saved.Tasks {
		task := &fake.Task{Name: t.Name, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Checkpointed: t.Checkpointed}
		task.SetPhaseRemaining(sim.now, t.PhaseRemaining)
		worker.Tasks[t.Name] = task
		if t.Phase != wire.PhaseExited && !machine.Gone {
			sim.runningOn[t.Name] = machine.Name
		}
	}
}

// readDumps reads the dumps of the version in production.
func readDumps(t *testing.T) map[string]*dump {
	t.Helper()
	paths, err := filepath.Glob("production/*.cbor")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no dumps: %v", err)
	}
	commit, err := productionCommit()
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]*dump{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if data, err = record.Decompress(data); err != nil {
			t.Fatal(err)
		}
		var d dump
		if err := decodeProduction(data, &d); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if d.Commit != commit {
			t.Errorf("%s is of %s, in production is %s: see production/README.md", path, d.Commit, commit)
		}
		all[strings.TrimSuffix(filepath.Base(path), ".cbor")] = &d
	}
	return all
}

// TestProductionRecords has the present version read what the one in production wrote, and
// go on from there: all jobs end, and the rules hold.
func TestProductionRecords(t *testing.T) {
	for name, d := range readDumps(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, r := range d.Records {
				if got := decodedText(r.Key, r.Value); got != withoutDefaults(d.DecodedRecords[i]) {
					t.Errorf("%s is read as\n%s\nin production as\n%s", r.Key, got, d.DecodedRecords[i])
				}
			}
			for i, m := range d.Messages {
				if got := decodedMessage(m); got != d.DecodedMessages[i] {
					t.Errorf("a message is read as\n%s\nin production as\n%s", got, d.DecodedMessages[i])
				}
			}
			runToCompletion(t, loadSimulation(d))
			sim := loadSimulation(d) // and with the smaller limits at once
			sim.nextLimits = nextLimits{on: true, value: 1 << 10, ops: 5, writes: 15, rps: 150}
			sim.kvStore.MaxValueBytes, sim.kvStore.MaxOps, sim.kvStore.WriteRate, sim.kvStore.RequestRate = 1<<10, 5, 15, 150
			runToCompletion(t, sim)
		})
	}
}

// runToCompletion plays until all jobs have ended.
func runToCompletion(t *testing.T, sim *simulation) {
	t.Helper()
	for end := sim.now + 300*micros.Second; sim.now < end && len(unfinishedJobs(sim)) > 0 && len(sim.violations) == 0; {
		sim.run(micros.Second)
	}
	if len(sim.violations) > 0 {
		t.Errorf("rules broken:\n%s", strings.Join(sim.violations, "\n"))
	}
	if left := unfinishedJobs(sim); len(left) > 0 {
		t.Errorf("not done: %s", strings.Join(left, " "))
	}
}

// TestProductionOwnerEnds goes on from the dumps with the owner of the production version
// still alive, which leads until it ends; the others are new.
func TestProductionOwnerEnds(t *testing.T) {
	for name, d := range readDumps(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := loadSimulation(d)
			sim.startWithProduction(t, 1)
			for _, node := range sim.nodes[1:] { // so that the old one leads first
				node.downUntil = sim.now + 6*micros.Second
			}
			sim.run(12 * micros.Second)
			if sim.leader() != 0 {
				t.Fatal("the node of the production version does not lead")
			}
			sim.nodes[0].version = currentVersion
			sim.crash(sim.nodes[0], restartDelay)
			runToCompletion(t, sim)
		})
	}
}

// recordKind is the part of a key that tells what is recorded.
func recordKind(key string) string {
	for _, p := range []string{record.MemberPrefix, record.TeamPrefix, record.BlockPrefix, record.ActiveJobPrefix, record.TerminalStatePrefix, record.CompletionSegmentPrefix, record.ScaleOutRequestPrefix, record.ReservationPrefix} {
		if strings.HasPrefix(key, p) {
			return p
		}
	}
	return key
}

// kinds that a world of each version must have written, so that nothing goes unchecked.
var recordKinds = []string{record.LeaderKey, record.MachineTypesKey, record.MemberPrefix, record.TeamPrefix, record.BlockPrefix, record.ActiveJobPrefix, record.TerminalStatePrefix, record.CompletionSegmentPrefix, record.ScaleOutRequestPrefix, record.ReservationPrefix}

// TestDumpsCoverAllKinds sees that the dumps hold every kind of record and message.
func TestDumpsCoverAllKinds(t *testing.T) {
	seen, said := map[string]bool{}, ""
	condemned := false
	for _, d := range readDumps(t) {
		for i, r := range d.Records {
			seen[recordKind(r.Key)] = true
			condemned = condemned || strings.Contains(d.DecodedRecords[i], `"condemned":true`)
		}
		said += strings.Join(d.DecodedMessages, "\n")
	}
	for _, k := range recordKinds {
		if !seen[k] {
			t.Errorf("no record %s", k)
		}
	}
	if !condemned {
		t.Error("no condemned machine")
	}
	for _, m := range messageKinds {
		if !strings.Contains(said, `"`+m+`":`) {
			t.Errorf("no message %s", m)
		}
	}
}

var messageKinds = []string{"beat", "storeCall", "storeReply", "jobEnded", "want", "given"}

// differences collects what two versions read differently.
type differences struct {
	process   *productionProcess
	compared  map[string]bool
	kinds     map[string]bool
	differing []string
}

func (diffs *differences) record(key string, value []byte) {
	text := key + " " + string(value)
	if diffs.compared[text] {
		return
	}
	diffs.compared[text], diffs.kinds[recordKind(key)] = true, true
	diffs.compare(key, decodedText(key, value), diffs.process.decodeRecord(key, value))
}

func (diffs *differences) message(body []byte) {
	if diffs.compared[string(body)] {
		return
	}
	diffs.compared[string(body)] = true
	own := decodedMessage(body)
	for _, m := range messageKinds {
		if strings.Contains(own, `"`+m+`":`) {
			diffs.kinds[m] = true
		}
	}
	diffs.compare("a message", own, diffs.process.decodeMessage(body))
}

func (diffs *differences) compare(what, own, old string) {
	if own != old || strings.HasPrefix(own, "error") {
		diffs.differing = append(diffs.differing, what+" means\n"+own+"\nand in production\n"+old)
	}
}

// TestProductionReads has the version in production read all that the present one writes and
// says while plain jobs are all that there is: each record and message must mean to it what
// it means to us.
func TestProductionReads(t *testing.T) {
	diffs := &differences{process: startProduction(t), compared: map[string]bool{}, kinds: map[string]bool{}}
	runDumpScript(t, func(sim *simulation) {
		sim.kvStore.OnPut = func(key string, value []byte, _ uint64) { diffs.record(key, value) }
		sim.onMessage = diffs.message
	}, nil)
	if len(diffs.differing) > 0 {
		t.Errorf("%d differences, the first:\n%s", len(diffs.differing), diffs.differing[0])
	}
	for _, k := range slices.Concat(recordKinds, messageKinds) {
		if !diffs.kinds[k] {
			t.Errorf("no %s was written", k)
		}
	}
}

// TestBlockedJobInProduction is what the version in production does with a job that waits
// for others, should a node go back to it all the same: its description is kept where that
// version does not look, so it starts nothing, goes on calling the job queued, and accepts it
// no second time.
func TestBlockedJobInProduction(t *testing.T) {
	d := readDumps(t)["begun"]
	id := "req-000099"
	job := sched.Job{ID: id, Class: "work", Team: "red", Tasks: 2, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: micros.Second}
	value := wire.Encode(map[string]any{"w": wire.FromJob(&job), "at": int64(d.Now)})
	d.Records = append(d.Records, fake.Record{Key: record.ActiveJobKey(id), Value: value, Version: d.Revision + 1})
	d.Revision++
	d.Jobs = append(d.Jobs, dumpJob{Job: job, Info: fake.TaskInfo{CPU: 1, Mem: 1, Run: micros.Second, Fetch: micros.Second, Tasks: 2}, Accepted: true})
	sim := loadSimulation(d)
	sim.startWithProduction(t, len(sim.nodes))
	if old := sim.production.decodeRecord(record.ActiveJobKey(id), value); !strings.HasPrefix(old, "error") {
		t.Errorf("the version in production reads %s", old)
	}
	sim.run(60 * micros.Second)
	statuses := map[string]int{}
	for i := range sim.nodes {
		for _, request := range []Request{{Method: "GET", Path: "/api/jobs/" + id}, {Method: "POST", Path: "/api/jobs", Body: sim.submissions[id]}} {
			sim.sendRequest(sim.nodes[i], request, 5*micros.Second, func(a Respond) {
				var state wire.JobState
				if wire.Decode(a.Body, &state) != nil {
					state.Status = "unreadable"
				}
				statuses[strings.Join([]string{request.Method, string(state.Status)}, " ")]++
			})
		}
	}
	sim.run(6 * micros.Second)
	if statuses["GET queued"] != len(sim.nodes) || statuses["POST queued"] != len(sim.nodes) {
		t.Errorf("answers: %v", statuses)
	}
	if sim.startedAt[id] != 0 || sim.runningOn[wire.TaskName(id, 0)] != "" || sim.completedTasks[wire.TaskName(id, 0)] {
		t.Error("it has started")
	}
	if len(sim.violations) > 0 {
		t.Errorf("rules broken:\n%s", strings.Join(sim.violations, "\n"))
	}
}
