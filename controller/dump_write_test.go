//go:build dump

package controller

import (
	"bytes"
	"os"
	"testing"

	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// maxMessages is the maximum number of messages of each kind in a dump.
const maxMessages = 6

// TestDump writes the dumps production/*.cbor. See production/README.md.
func TestDump(t *testing.T) {
	commit, err := productionCommit()
	if err != nil {
		t.Fatal(err)
	}
	var bodies [][]byte
	count := map[string]int{}
	runDumpScript(t, func(sim *simulation) {
		bodies, count = nil, map[string]int{}
		diffs := &differences{process: sim.production, compared: map[string]bool{}}
		sim.onMessage = func(body []byte) {
			diffs.kinds = map[string]bool{}
			diffs.message(body)
			for kind := range diffs.kinds {
				if kind == "beat" && bytes.Contains([]byte(decodedMessage(body)), []byte(`"idle"`)) {
					kind = "beat of an owner"
				}
				if count[kind]++; count[kind] <= maxMessages {
					bodies = append(bodies, body)
				}
			}
		}
	}, func(sim *simulation, name string) {
		d := sim.writeDump()
		d.Commit, d.Messages = commit, bodies
		for _, m := range bodies {
			d.DecodedMessages = append(d.DecodedMessages, sim.production.decodeMessage(m))
		}
		if err := os.WriteFile("production/"+name+".cbor", record.Compress(wire.Encode(toProduction(d))), 0o644); err != nil {
			t.Fatal(err)
		}
		kinds := map[string]int{}
		for _, r := range d.Records {
			kinds[recordKind(r.Key)]++
		}
		t.Logf("%s: %v %v", name, kinds, count)
	})
}

// writeDump returns a dump of the simulation without its messages, which the caller collects.
func (sim *simulation) writeDump() *dump {
	d := &dump{Settings: *sim.cfg, Now: sim.now, Types: sim.cloud.Types, Capacity: sim.cloud.Capacity, CompletedTasks: ordered.Keys(sim.completedTasks)}
	d.Records, d.Revision = sim.kvStore.Records()
	d.Grants, d.MachinesCreated = sim.cloud.ScaleOutGrants()
	for _, r := range d.Records {
		d.DecodedRecords = append(d.DecodedRecords, sim.production.decodeRecord(r.Key, r.Value))
	}
	for _, name := range sim.cloud.MachineNames() {
		m := dumpMachine{CloudMachine: *sim.cloud.Machines[name]}
		if worker := sim.workers[name]; worker != nil {
			m.Worker, m.Hung, m.AgentEpoch, m.HeartbeatSeq, m.FencingToken = true, worker.Hung, worker.AgentEpoch, worker.HeartbeatSeq, worker.FencingToken
			for _, n := range ordered.Keys(worker.Tasks) {
				t := worker.Tasks[n]
				m.Tasks = append(m.Tasks, dumpTask{t.Name, t.Attempt, t.Phase, t.Cause, t.Checkpointed, t.PhaseRemaining(sim.now)})
			}
		}
		d.Machines = append(d.Machines, m)
	}
	for _, id := range ordered.Keys(sim.submitted) {
		d.Jobs = append(d.Jobs, dumpJob{*sim.submitted[id], sim.taskInfos[id], sim.accepted[id], sim.cancelRequested[id], sim.reportedTerminal[id], sim.acknowledgedCancellations[id]})
	}
	return d
}
