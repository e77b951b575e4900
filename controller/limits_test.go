package controller

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/config"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/scheduler"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// nextLimits are the limits that the key-value store will have at a later time. Nodes get them from
// their settings: from the start or, with the argument "next-limits-later", only after a command of the scenario
// has enabled them. In the latter case, records that were written before may exceed them.
type nextLimits struct {
	enabled bool
	value   int
	ops     int
	writes  float64
	rps     float64
}

func parseNextLimits(t *testing.T, d *datadriven.TestData) nextLimits {
	return nextLimits{
		enabled: !d.HasArg("next-limits-later"), value: arg(t, d, "next-max-value-bytes", 0), ops: arg(t, d, "next-max-txn-ops", 0),
		writes: argNumber(t, d, "next-kv-write-rps", 0), rps: argNumber(t, d, "next-kv-rps", 0),
	}
}

// apply lowers the limits of settings to the next limits, as package config does.
func (n *nextLimits) apply(cfg *config.Settings) {
	if !n.enabled {
		return
	}
	if n.value > 0 {
		cfg.MaxValueBytes = min(cfg.MaxValueBytes, n.value)
	}
	if n.ops > 0 {
		cfg.MaxTransactionOps = min(cfg.MaxTransactionOps, n.ops)
	}
	if n.writes > 0 {
		cfg.KVWriteRate = min(cfg.KVWriteRate, n.writes)
	}
	if n.rps > 0 {
		cfg.KVRequestRate = min(cfg.KVRequestRate, n.rps)
	}
}

// runLimitCommand executes the scenario commands of this file. It returns false for any other command.
func runLimitCommand(t *testing.T, sim *simulation, d *datadriven.TestData) bool {
	switch d.Cmd {
	case "kv-limits":
		// Changes the limits of the key-value store.
		s := sim.kvStore
		s.MaxValueBytes, s.MaxOps = arg(t, d, "max-value-bytes", s.MaxValueBytes), arg(t, d, "max-txn-ops", s.MaxOps)
		s.WriteRate, s.RequestRate = argNumber(t, d, "kv-write-rps", s.WriteRate), argNumber(t, d, "kv-rps", s.RequestRate)
	case "node-settings":
		// Sets whether the settings of nodes that start later contain the next limits.
		sim.nextLimits.enabled = d.HasArg("next-limits")
	default:
		return false
	}
	return true
}

// countRecordsAbove counts the records that are larger than a size. If there are at least minimum, it
// returns "true" instead; a minimum of 0 always returns the count.
func (sim *simulation) countRecordsAbove(prefix string, bytes, minimum int) string {
	n := 0
	for _, k := range sim.kvStore.Keys(prefix) {
		if v, _ := sim.kvStore.Get(k); fake.JSONSize(v) > bytes {
			n++
		}
	}
	if minimum > 0 && n >= minimum {
		return "true"
	}
	return fmt.Sprint(n)
}

// blockSize returns the size of a written block as the value limit counts it.
func blockSize(t *testing.T, w transactionWrite) int {
	t.Helper()
	var block record.Block
	if err := wire.Decode(w.Value, &block); err != nil {
		t.Fatal(err)
	}
	return block.Size()
}

// countAttempts returns how many attempts an owner's machines have.
func countAttempts(o *owner) int {
	n := 0
	for _, m := range o.Machines {
		n += len(m.Attempts)
	}
	return n
}

// TestTaskSlotsFitValueLimit guards against a scheduling pass that places so many tasks that a block
// exceeds the maximum value size. The value limit is low, the jobs are many and small, so a pass places
// tasks of different jobs, and the machines' blocks are new.
func TestTaskSlotsFitValueLimit(t *testing.T) {
	o := testOwner()
	o.c.cfg.MaxValueBytes, o.c.cfg.MaxTransactionOps = 2<<10, 500
	for i := range 400 {
		id := fmt.Sprintf("req-%06d", i*7919%1000000)
		o.recoverJob(record.ActiveJobKey(id), wire.Encode(record.NewJob(&sched.Job{
			ID: id, Class: "work", Team: "red", Priority: sched.Normal, Tasks: 1 + i%5, Image: "img",
			Need: sched.NewResources(float64(1+i%3)/4, 0, float64(1+i%7)/8), Estimate: 30 * micros.Second,
		}, 0)), uint64(i+1))
	}
	for i := range 30 {
		m := o.newMachine(inventory.MachineInfo{Name: fmt.Sprintf("m-%06d", i), Type: "mid", Zone: o.c.cfg.Zones[0], Spot: false, Endpoint: "worker"})
		m.Claim(1)
		m.AgentEpoch, m.TokenConfirmed, m.TokenConfirmedAt, m.LastHeartbeat, m.State = 1, true, o.c.now, o.c.now, inventory.MachineReady
	}
	for range 20 {
		o.SchedulingNeeded = true
		o.scheduler.Schedule()
		before := countAttempts(o)
		for _, w := range commitAll(t, o, 10) {
			if n := blockSize(t, w); n > o.c.cfg.MaxValueBytes {
				t.Fatalf("%s has %d bytes, more than the value limit", w.Put, n)
			}
		}
		if n := countAttempts(o); n != before {
			t.Fatalf("%d of %d attempts were abandoned", before-n, before)
		}
		for _, b := range o.commits.Blocks() {
			if b.Dirty || b.Oversized {
				t.Fatalf("block %s was not written", b.Name)
			}
		}
		o.c.now += scheduler.MinPassInterval
	}
	if placed := countAttempts(o); placed < 300 {
		t.Fatalf("%d tasks were placed, want at least 300", placed)
	}
}

// TestCompletionSegmentsMove guards against completions that are lost while chunks move to another
// segment: the completions of both records count, and the old record is deleted only after the new
// ones are written.
func TestCompletionSegmentsMove(t *testing.T) {
	o := testOwner()
	o.c.cfg.MaxValueBytes = 1024
	var entries []kv.Entry
	rec := record.CompletionSegment{Chunks: map[string]string{}}
	for i := range 12 {
		id := jobName(i)
		o.recoverJob(record.ActiveJobKey(id), wire.Encode(record.NewJob(&sched.Job{
			ID: id, Class: "work", Team: "red", Tasks: 800, Need: sched.NewResources(1, 0, 1), Image: "img", Estimate: micros.Second,
		}, 0)), uint64(i+1))
		bits := make(record.Bitmap, 100)
		bits.Set(5)
		rec.Chunks[wire.TaskName(id, 0)] = bits.Chunk(0)
	}
	other := make(record.Bitmap, 100)
	other.Set(700)
	entries = append(entries, kv.Entry{Key: record.CompletionSegmentKey("red", "1"), Value: wire.Encode(rec), Version: 20},
		kv.Entry{Key: record.CompletionSegmentKey("red", "2"), Value: wire.Encode(record.CompletionSegment{Chunks: map[string]string{wire.TaskName(jobName(3), 0): other.Chunk(0)}}), Version: 19})
	o.recovery.RecoverSegments(entries)
	if j := o.Jobs[jobName(3)]; !j.Completed.Has(5) || !j.Completed.Has(700) || j.CompletedCount != 2 {
		t.Fatalf("%d completions were recovered, want 2: tasks 5 and 700", j.CompletedCount)
	}
	o.c.cfg.MaxTransactionOps = 1
	old, deleted := record.CompletionSegmentKey("red", "1"), false
	for range 20 {
		o.c.now += micros.Second // refills the write budget, so that deletions are sent
		for _, w := range commitNext(t, o, 30) {
			deleted = deleted || w.Delete == old
			if kv.EncodedSizeBound(w.Value) > 2*o.c.cfg.MaxValueBytes {
				t.Fatalf("the size bound of %s exceeds twice the value limit", w.Put)
			}
		}
		unwritten := func(s *inventory.CompletionSegment) bool { return s.Version == 0 }
		if (deleted || o.commits.IsObsolete(old)) && slices.ContainsFunc(o.commits.Segments(), unwritten) {
			t.Fatal("the old record was deleted before the new ones were written")
		}
	}
	if !deleted {
		t.Fatal("the old record was not deleted")
	}
}

// TestIdleMachinesFilledInOneWrite guards against idle machines that get only some of their tasks with
// each write, because the size of unrecorded tasks in a block is overestimated: such tasks share the
// description of their job, and take few other bytes.
func TestIdleMachinesFilledInOneWrite(t *testing.T) {
	o := testOwner()
	o.c.cfg.MaxValueBytes, o.c.cfg.MaxTransactionOps = 4<<10, 12
	for i := range 5 {
		id := jobName(i)
		o.recoverJob(record.ActiveJobKey(id), wire.Encode(record.NewJob(&sched.Job{
			ID: id, Class: "work", Team: "red", Tasks: 100, Need: sched.NewResources(2, 0, 2), Image: "img", Estimate: micros.Second,
		}, o.c.wallClock)), uint64(i+1))
	}
	const machines, tasksEach = 30, 14
	for i := range machines {
		m := o.newMachine(inventory.MachineInfo{Name: fmt.Sprintf("m-%06d", i*7919), Type: "mid", Zone: "a", Spot: false, Endpoint: fmt.Sprintf("10.1.%d.%d:9000", i*37%256, i*91%256)})
		m.Claim(uint64(1000 + i*4711))
		m.AgentEpoch, m.TokenConfirmed, m.LastHeartbeat, m.State = 1, true, o.c.now, inventory.MachineReady
	}
	o.SchedulingNeeded = true
	o.scheduler.Schedule()
	if o.Assumed != machines*tasksEach {
		t.Errorf("%d of %d tasks were placed", o.Assumed, machines*tasksEach)
	}
	writes := commitNext(t, o, 10)
	for _, b := range o.commits.Blocks() {
		if b.Oversized || b.Version != 10 {
			t.Errorf("block %s of %d machines was not written", b.Name, len(b.Machines))
		}
	}
	for _, w := range writes {
		if n := blockSize(t, w); n > o.c.cfg.MaxValueBytes {
			t.Errorf("%s has %d bytes, more than the value limit", w.Put, n)
		}
	}
}
