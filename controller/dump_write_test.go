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

// maxMessages is how many messages of each kind a dump holds.
const maxMessages = 6

// TestDump writes the dumps of production/*.cbor. See production/README.md.
func TestDump(t *testing.T) {
	commit, err := productionCommit()
	if err != nil {
		t.Fatal(err)
	}
	var bodies [][]byte
	count := map[string]int{}
	runDumpScript(t, func(w *simulation) {
		bodies, count = nil, map[string]int{}
		f := &differences{name: w.production, seen: map[string]bool{}}
		w.onMessage = func(body []byte) {
			f.kinds = map[string]bool{}
			f.message(body)
			for kind := range f.kinds {
				if kind == "beat" && bytes.Contains([]byte(decodedMessage(body)), []byte(`"idle"`)) {
					kind = "beat of an owner"
				}
				if count[kind]++; count[kind] <= maxMessages {
					bodies = append(bodies, body)
				}
			}
		}
	}, func(w *simulation, name string) {
		d := w.writeDump()
		d.Commit, d.Messages = commit, bodies
		for _, m := range bodies {
			d.Said = append(d.Said, w.production.decodeMessage(m))
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

// writeDump takes a dump; the messages come from elsewhere.
func (w *simulation) writeDump() *dump {
	d := &dump{Settings: *w.cfg, Now: w.now, Types: w.cloud.Types, Capacity: w.cloud.Capacity, Done: ordered.Keys(w.done)}
	d.Records, d.Revision = w.kvStore.Records()
	d.Grants, d.Rented = w.cloud.ScaleOutGrants()
	for _, r := range d.Records {
		d.Readings = append(d.Readings, w.production.decodeRecord(r.Key, r.Value))
	}
	for _, name := range w.cloud.MachineNames() {
		m := dumpMachine{CloudMachine: *w.cloud.Machines[name]}
		if k := w.workers[name]; k != nil {
			m.Worker, m.Hung, m.Session, m.Seq, m.Token = true, k.Hung, k.AgentEpoch, k.HeartbeatSeq, k.FencingToken
			for _, n := range ordered.Keys(k.Tasks) {
				t := k.Tasks[n]
				m.Tasks = append(m.Tasks, dumpTask{t.Name, t.Attempt, t.Phase, t.Cause, t.Checkpointed, t.PhaseRemaining(w.now)})
			}
		}
		d.Machines = append(d.Machines, m)
	}
	for _, id := range ordered.Keys(w.submitted) {
		d.Jobs = append(d.Jobs, dumpJob{*w.submitted[id], w.infos[id], w.accepted[id], w.cancelRequested[id], w.reportedTerminal[id], w.cancelled[id]})
	}
	return d
}
