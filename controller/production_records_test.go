package controller

import (
	"slices"
	"strings"
	"testing"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestProductionRecords checks that the present version decodes the records and messages of the dumps
// as the version in production does, and that nodes of the present version continue from each dump: all
// jobs reach a terminal state without a violated rule.
func TestProductionRecords(t *testing.T) {
	for name, d := range readDumps(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, r := range d.Records {
				if got := decodedText(r.Key, r.Value); got != withoutDefaults(d.DecodedRecords[i]) {
					t.Errorf("%s is decoded as\n%s\nby the version in production as\n%s", r.Key, got, d.DecodedRecords[i])
				}
			}
			for i, m := range d.Messages {
				if got := decodedMessage(m); got != d.DecodedMessages[i] {
					t.Errorf("a message is decoded as\n%s\nby the version in production as\n%s", got, d.DecodedMessages[i])
				}
			}
			runToCompletion(t, loadSimulation(d))
			sim := loadSimulation(d) // with smaller KV store limits
			sim.nextLimits = nextLimits{enabled: true, value: 1 << 10, ops: 5, writes: 15, rps: 150}
			sim.kvStore.MaxValueBytes, sim.kvStore.MaxOps, sim.kvStore.WriteRate, sim.kvStore.RequestRate = 1<<10, 5, 15, 150
			runToCompletion(t, sim)
		})
	}
}

// runToCompletion runs until all jobs have a terminal state, for at most 300 s, and checks that no rule
// is violated.
func runToCompletion(t *testing.T, sim *simulation) {
	t.Helper()
	for end := sim.now + 300*micros.Second; sim.now < end && len(unfinishedJobs(sim)) > 0 && len(sim.violations) == 0; {
		sim.run(micros.Second)
	}
	if len(sim.violations) > 0 {
		t.Errorf("rules violated:\n%s", strings.Join(sim.violations, "\n"))
	}
	if left := unfinishedJobs(sim); len(left) > 0 {
		t.Errorf("jobs without a terminal state at the end of the run: %s", strings.Join(left, " "))
	}
}

// TestProductionOwnerCrashes continues from each dump with a node of the version in production that is
// the leader until it crashes. The other nodes run the present version.
func TestProductionOwnerCrashes(t *testing.T) {
	for name, d := range readDumps(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := loadSimulation(d)
			sim.startWithProduction(t, 1)
			for _, node := range sim.nodes[1:] { // so that the first node becomes the leader
				node.downUntil = sim.now + 6*micros.Second
			}
			sim.run(12 * micros.Second)
			if sim.leader() != 0 {
				t.Fatal("the node of the production version is not the leader")
			}
			sim.nodes[0].version = currentVersion
			sim.crash(sim.nodes[0], restartDelay)
			runToCompletion(t, sim)
		})
	}
}

// recordKind returns the prefix of a key that identifies the kind of record.
func recordKind(key string) string {
	for _, p := range []string{record.MemberPrefix, record.TeamPrefix, record.BlockPrefix, record.ActiveJobPrefix, record.TerminalStatePrefix, record.CompletionSegmentPrefix, record.ScaleOutRequestPrefix, record.ReservationPrefix} {
		if strings.HasPrefix(key, p) {
			return p
		}
	}
	return key
}

// recordKinds lists the kinds of records that each version must have written in these tests, so that
// every kind is checked.
var recordKinds = []string{record.LeaderKey, record.MachineTypesKey, record.MemberPrefix, record.TeamPrefix, record.BlockPrefix, record.ActiveJobPrefix, record.TerminalStatePrefix, record.CompletionSegmentPrefix, record.ScaleOutRequestPrefix, record.ReservationPrefix}

// TestDumpsCoverAllKinds checks that the dumps hold every kind of record and message, and a machine
// that is being decommissioned ("condemned" in the dumps).
func TestDumpsCoverAllKinds(t *testing.T) {
	seen, messages := map[string]bool{}, ""
	condemned := false
	for _, d := range readDumps(t) {
		for i, r := range d.Records {
			seen[recordKind(r.Key)] = true
			condemned = condemned || strings.Contains(d.DecodedRecords[i], `"condemned":true`)
		}
		messages += strings.Join(d.DecodedMessages, "\n")
	}
	for _, k := range recordKinds {
		if !seen[k] {
			t.Errorf("no dump holds a record of kind %s", k)
		}
	}
	if !condemned {
		t.Error("no dump holds a machine that is being decommissioned (condemned)")
	}
	for _, m := range messageKinds {
		if !strings.Contains(messages, `"`+m+`":`) {
			t.Errorf("no dump holds a message of kind %s", m)
		}
	}
}

var messageKinds = []string{"beat", "storeCall", "storeReply", "jobEnded", "want", "given"}

// differences collects the records and messages that the present version and the version in production
// decode differently, or that the present version cannot decode.
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
		diffs.differing = append(diffs.differing, what+" is decoded as\n"+own+"\nby the version in production as\n"+old)
	}
}

// TestProductionReads has the version in production decode all records and messages that the present
// version writes while no job has dependencies. Both versions must decode them to the same values.
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
			t.Errorf("no record or message of kind %s was written", k)
		}
	}
}

// TestBlockedJobInProduction checks what the version in production does with a blocked job if the nodes
// are downgraded although such a job exists. The description of a blocked job is recorded in a field
// that this version does not decode, so it starts no task of the job, reports it as queued and does not
// accept it a second time.
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
		t.Errorf("the version in production decodes the record of a blocked job as %s, want an error", old)
	}
	sim.run(60 * micros.Second)
	statuses := map[string]int{}
	for i := range sim.nodes {
		for _, request := range []Request{{Method: "GET", Path: "/api/jobs/" + id}, {Method: "POST", Path: "/api/jobs", Body: sim.submissions[id]}} {
			sim.sendRequest(sim.nodes[i], request, 5*micros.Second, func(response Respond) {
				var state wire.JobState
				if wire.Decode(response.Body, &state) != nil {
					state.Status = "unreadable"
				}
				statuses[strings.Join([]string{request.Method, string(state.Status)}, " ")]++
			})
		}
	}
	sim.run(6 * micros.Second)
	if statuses["GET queued"] != len(sim.nodes) || statuses["POST queued"] != len(sim.nodes) {
		t.Errorf("job states in the responses by method: %v, want only queued", statuses)
	}
	if sim.startedAt[id] != 0 || sim.runningOn[wire.TaskName(id, 0)] != "" || sim.completedTasks[wire.TaskName(id, 0)] {
		t.Error("the blocked job has started, want no start")
	}
	if len(sim.violations) > 0 {
		t.Errorf("rules violated:\n%s", strings.Join(sim.violations, "\n"))
	}
}
