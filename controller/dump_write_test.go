//go:build dump

package controller

import (
	"bytes"
	"os"
	"testing"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// mostMessages is how many messages of each kind a dump holds.
const mostMessages = 6

// TestDump writes the dumps of production/*.cbor. See production/README.md.
func TestDump(t *testing.T) {
	commit, err := productionCommit()
	if err != nil {
		t.Fatal(err)
	}
	var bodies [][]byte
	count := map[string]int{}
	playDumpScript(t, func(w *world) {
		bodies, count = nil, map[string]int{}
		f := &differences{of: w.production, seen: map[string]bool{}}
		w.onMessage = func(body []byte) {
			f.kinds = map[string]bool{}
			f.message(body)
			for kind := range f.kinds {
				if kind == "beat" && bytes.Contains([]byte(messageReading(body)), []byte(`"idle"`)) {
					kind = "beat of an owner"
				}
				if count[kind]++; count[kind] <= mostMessages {
					bodies = append(bodies, body)
				}
			}
		}
	}, func(w *world, name string) {
		d := w.save()
		d.Commit, d.Messages = commit, bodies
		for _, m := range bodies {
			d.Said = append(d.Said, w.production.readsMessage(m))
		}
		if err := os.WriteFile("production/"+name+".cbor", record.Compress(wire.Encode(toProduction(d))), 0o644); err != nil {
			t.Fatal(err)
		}
		kinds := map[string]int{}
		for _, r := range d.Records {
			kinds[kindOfRecord(r.Key)]++
		}
		t.Logf("%s: %v %v", name, kinds, count)
	})
}

// save takes a dump; the messages come from elsewhere.
func (w *world) save() *dump {
	d := &dump{Settings: *w.cfg, Now: w.now, Types: w.cloud.Types, Capacity: w.cloud.Capacity, Done: sortedKeys(w.done)}
	d.Records, d.Revision = w.state.Records()
	d.Grants, d.Rented = w.cloud.Grants()
	for _, r := range d.Records {
		d.Readings = append(d.Readings, w.production.reads(r.Key, r.Value))
	}
	for _, name := range w.cloud.Names() {
		m := dumpMachine{CloudMachine: *w.cloud.Machines[name]}
		if k := w.workers[name]; k != nil {
			m.Worker, m.Hung, m.Session, m.Seq, m.Token = true, k.Hung, k.AgentEpoch, k.HeartbeatSeq, k.FencingToken
			for _, n := range sortedKeys(k.Tasks) {
				t := k.Tasks[n]
				m.Tasks = append(m.Tasks, dumpTask{t.Name, t.Attempt, t.Phase, t.Cause, t.Checkpointed, t.PhaseRemaining(w.now)})
			}
		}
		d.Machines = append(d.Machines, m)
	}
	for _, id := range sortedKeys(w.submitted) {
		d.Jobs = append(d.Jobs, dumpJob{*w.submitted[id], w.infos[id], w.accepted[id], w.wantsEnd[id], w.told[id], w.cancelled[id]})
	}
	return d
}
