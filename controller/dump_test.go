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

// dump is a world at one moment, with nodes of the version in production: its records, what
// its machines ran and its users knew, and messages between siblings up to then. For each
// record and message it holds what that version reads in it. production/README.md tells how
// the dumps are made.
type dump struct {
	Commit   string
	Settings config.Settings
	Now      micros.Micros
	Revision uint64
	Records  []fake.Record
	Readings []string
	Messages [][]byte
	Said     []string // what is read in those
	Types    []wire.MachineType
	Capacity map[string]int
	Grants   map[string][]string
	Rented   int
	Machines []dumpMachine
	Jobs     []dumpJob
	Done     []string // tasks
}

type dumpMachine struct {
	fake.CloudMachine
	Worker, Hung        bool
	Session, Seq, Token uint64
	Tasks               []dumpTask
}

type dumpTask struct {
	Name    string
	Attempt uint64
	Phase   wire.TaskPhase
	Cause   wire.ExitCause
	Saved   bool
	Left    micros.Micros
}

type dumpJob struct {
	Job       sched.Job
	Info      fake.TaskInfo
	Accepted  bool
	WantsEnd  bool
	Told      wire.JobPhase
	Cancelled micros.Micros
}

// recordPeerMessage passes on what a node said to another.
func (w *simulation) recordPeerMessage(body []byte) {
	if w.onMessage != nil && len(body) > 0 {
		w.onMessage(body)
	}
}

// dumpLease is how long the leases of the nodes of a dump last still.
const dumpLease = 2 * micros.Second

// loadSimulation makes a world that goes on from a dump; its users ask for their jobs.
func loadSimulation(d *dump) *simulation {
	cfg := d.Settings
	w := newSimulation(1, &cfg)
	w.now, w.kvStore.Now, w.cloud.Now = d.Now, d.Now, d.Now
	w.kvStore.Load(d.Records, d.Revision, dumpLease)
	w.cloud.Types, w.cloud.Capacity = d.Types, d.Capacity
	w.cloud.RestoreScaleOutGrants(d.Grants, d.Rented)
	for _, task := range d.Done {
		w.done[task] = true
	}
	for _, j := range d.Jobs {
		job := j.Job
		id := job.ID
		w.submitted[id], w.infos[id], w.bodies[id] = &job, j.Info, wire.Encode(wire.FromJob(&job))
		w.submittedAt[id], w.cancelRequested[id] = w.now, j.WantsEnd
		if j.Accepted {
			w.accepted[id], w.users.acceptedAt[id] = true, w.now
		}
		if j.Told != "" {
			w.reportedTerminal[id], w.users.terminalSeenAt[id] = j.Told, w.now
		}
		if j.Cancelled > 0 {
			w.cancelled[id] = j.Cancelled
		}
		if j.WantsEnd && j.Told == "" {
			w.cancel(id, 0)
		}
		if !j.Accepted {
			w.submit(id, 0)
		}
		w.after(micros.Second, func() { w.poll(id, 0) })
	}
	for _, m := range d.Machines {
		cm := m.CloudMachine
		cm.Endpoint = fake.Endpoint(cm.Name) // dumps do not hold it
		w.cloud.Machines[cm.Name] = &cm
		if !m.Worker {
			continue
		}
		k := w.bootWorker(&cm, w.typeOf(cm.Type))
		k.Hung, k.AgentEpoch, k.HeartbeatSeq, k.FencingToken = m.Hung, m.Session, m.Seq, m.Token
		for _, t := range m.Tasks {
			task := &fake.Task{Name: t.Name, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Checkpointed: t.Saved}
			task.SetPhaseRemaining(w.now, t.Left)
			k.Tasks[t.Name] = task
			if t.Phase != wire.PhaseExited && !cm.Gone {
				w.running[t.Name] = cm.Name
			}
		}
	}
	return w
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
				if got := decodedText(r.Key, r.Value); got != withoutDefaults(d.Readings[i]) {
					t.Errorf("%s is read as\n%s\nin production as\n%s", r.Key, got, d.Readings[i])
				}
			}
			for i, m := range d.Messages {
				if got := decodedMessage(m); got != d.Said[i] {
					t.Errorf("a message is read as\n%s\nin production as\n%s", got, d.Said[i])
				}
			}
			runToCompletion(t, loadSimulation(d))
			w := loadSimulation(d) // and with the smaller limits at once
			w.nextLimits = nextLimits{on: true, value: 1 << 10, ops: 5, writes: 15, rps: 150}
			w.kvStore.MaxValueBytes, w.kvStore.MaxOps, w.kvStore.WriteRate, w.kvStore.RequestRate = 1<<10, 5, 15, 150
			runToCompletion(t, w)
		})
	}
}

// runToCompletion plays until all jobs have ended.
func runToCompletion(t *testing.T, w *simulation) {
	t.Helper()
	for end := w.now + 300*micros.Second; w.now < end && len(unfinished(w)) > 0 && len(w.violations) == 0; {
		w.run(micros.Second)
	}
	if len(w.violations) > 0 {
		t.Errorf("rules broken:\n%s", strings.Join(w.violations, "\n"))
	}
	if left := unfinished(w); len(left) > 0 {
		t.Errorf("not done: %s", strings.Join(left, " "))
	}
}

// TestProductionOwnerEnds goes on from the dumps with the owner of the production version
// still alive, which leads until it ends; the others are new.
func TestProductionOwnerEnds(t *testing.T) {
	for name, d := range readDumps(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := loadSimulation(d)
			w.startWithProduction(t, 1)
			for _, n := range w.nodes[1:] { // so that the old one leads first
				n.downUntil = w.now + 6*micros.Second
			}
			w.run(12 * micros.Second)
			if w.leader() != 0 {
				t.Fatal("the node of the production version does not lead")
			}
			w.nodes[0].version = currentVersion
			w.crash(w.nodes[0], restartDelay)
			runToCompletion(t, w)
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
			condemned = condemned || strings.Contains(d.Readings[i], `"condemned":true`)
		}
		said += strings.Join(d.Said, "\n")
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
	name  *production
	seen  map[string]bool
	kinds map[string]bool
	found []string
}

func (f *differences) record(key string, value []byte) {
	text := key + " " + string(value)
	if f.seen[text] {
		return
	}
	f.seen[text], f.kinds[recordKind(key)] = true, true
	f.compare(key, decodedText(key, value), f.name.decodeRecord(key, value))
}

func (f *differences) message(body []byte) {
	if f.seen[string(body)] {
		return
	}
	f.seen[string(body)] = true
	own := decodedMessage(body)
	for _, m := range messageKinds {
		if strings.Contains(own, `"`+m+`":`) {
			f.kinds[m] = true
		}
	}
	f.compare("a message", own, f.name.decodeMessage(body))
}

func (f *differences) compare(what, own, old string) {
	if own != old || strings.HasPrefix(own, "error") {
		f.found = append(f.found, what+" means\n"+own+"\nand in production\n"+old)
	}
}

// TestProductionReads has the version in production read all that the present one writes and
// says while plain jobs are all that there is: each record and message must mean to it what
// it means to us.
func TestProductionReads(t *testing.T) {
	f := &differences{name: startProduction(t), seen: map[string]bool{}, kinds: map[string]bool{}}
	runDumpScript(t, func(w *simulation) {
		w.kvStore.OnPut = func(key string, value []byte, _ uint64) { f.record(key, value) }
		w.onMessage = f.message
	}, nil)
	if len(f.found) > 0 {
		t.Errorf("%d differences, the first:\n%s", len(f.found), f.found[0])
	}
	for _, k := range slices.Concat(recordKinds, messageKinds) {
		if !f.kinds[k] {
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
	j := sched.Job{ID: id, Class: "work", Team: "red", Tasks: 2, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: micros.Second}
	value := wire.Encode(map[string]any{"w": wire.FromJob(&j), "at": int64(d.Now)})
	d.Records = append(d.Records, fake.Record{Key: record.ActiveJobKey(id), Value: value, Version: d.Revision + 1})
	d.Revision++
	d.Jobs = append(d.Jobs, dumpJob{Job: j, Info: fake.TaskInfo{CPU: 1, Mem: 1, Run: micros.Second, Fetch: micros.Second, Tasks: 2}, Accepted: true})
	w := loadSimulation(d)
	w.startWithProduction(t, len(w.nodes))
	if old := w.production.decodeRecord(record.ActiveJobKey(id), value); !strings.HasPrefix(old, "error") {
		t.Errorf("the version in production reads %s", old)
	}
	w.run(60 * micros.Second)
	statuses := map[string]int{}
	for i := range w.nodes {
		for _, r := range []Request{{Method: "GET", Path: "/api/jobs/" + id}, {Method: "POST", Path: "/api/jobs", Body: w.bodies[id]}} {
			w.sendRequest(w.nodes[i], r, 5*micros.Second, func(a Respond) {
				var st wire.JobState
				if wire.Decode(a.Body, &st) != nil {
					st.Status = "unreadable"
				}
				statuses[strings.Join([]string{r.Method, string(st.Status)}, " ")]++
			})
		}
	}
	w.run(6 * micros.Second)
	if statuses["GET queued"] != len(w.nodes) || statuses["POST queued"] != len(w.nodes) {
		t.Errorf("answers: %v", statuses)
	}
	if w.startedAt[id] != 0 || w.running[wire.TaskName(id, 0)] != "" || w.done[wire.TaskName(id, 0)] {
		t.Error("it has started")
	}
	if len(w.violations) > 0 {
		t.Errorf("rules broken:\n%s", strings.Join(w.violations, "\n"))
	}
}
