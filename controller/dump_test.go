package controller

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// dump is the state of a simulation at one point in time, with nodes of the version in production: its
// records, its machines with their tasks, its jobs with the states reported to users, and peer messages
// sent until that time. For each record and message it holds what that version decodes from it.
// production/README.md describes how the dumps are made. The cbor tags are the names of the fields in the
// recorded dumps.
type dump struct {
	Commit          string
	Settings        config.Settings
	Now             micros.Micros
	Revision        uint64
	Records         []fake.Record
	DecodedRecords  []string `cbor:"Readings"` // Records as decoded by the version in production
	Messages        [][]byte
	DecodedMessages []string `cbor:"Said"` // Messages as decoded by the version in production
	Types           []wire.MachineType
	Capacity        map[string]int
	Grants          map[string][]string // names of the created machines by scale-out request
	MachinesCreated int                 `cbor:"Rented"` // number of machines created since the start
	Machines        []dumpMachine
	Jobs            []dumpJob
	CompletedTasks  []string `cbor:"Done"`
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

// notifyPeerMessage passes a non-empty peer message to the test's callback, if there is one.
func (sim *simulation) notifyPeerMessage(body []byte) {
	if sim.onMessage != nil && len(body) > 0 {
		sim.onMessage(body)
	}
}

// dumpLease is how long the leases of a dump's nodes remain valid after the dump is loaded.
const dumpLease = 2 * micros.Second

// loadSimulation returns a simulation that continues from a dump. Its users poll the states of their jobs.
func loadSimulation(d *dump) *simulation {
	cfg := d.Settings
	sim := newSimulation(1, &cfg)
	sim.now, sim.kvStore.Now, sim.cloud.Now = d.Now, d.Now, d.Now
	sim.kvStore.Load(d.Records, d.Revision, dumpLease)
	sim.cloud.Types, sim.cloud.Capacity = d.Types, d.Capacity
	sim.cloud.RestoreScaleOutGrants(d.Grants, d.MachinesCreated)
	for _, task := range d.CompletedTasks {
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

// loadJob restores a job and the states reported to its user, who resumes the pending requests and polls
// the job's state.
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
	machine.Endpoint = fake.Endpoint(machine.Name) // dumps do not contain the endpoint
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
		t.Fatalf("no dumps match production/*.cbor: %v", err)
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
			t.Errorf("%s was made with version %s, but version %s is in production: see production/README.md", path, d.Commit, commit)
		}
		all[strings.TrimSuffix(filepath.Base(path), ".cbor")] = &d
	}
	return all
}
