package controller

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/cluster"
	"tamarindlead/internal/frontend"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/scheduler"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// The size at which the hot paths are measured.
const (
	benchMachines = 2000
	benchTasks    = 12 // running on each machine
)

// benchOwner returns an owner of benchMachines machines and 300 jobs with 150 tasks each. benchTasks
// tasks run on each machine, which has free resources for two more. The running tasks are 100 tasks of
// each of 240 jobs; all other tasks are pending.
func benchOwner() *owner {
	o := testOwner()
	for i := range 300 {
		o.recoverJob(record.ActiveJobKey(fmt.Sprintf("req-%06d", i)), wire.Encode(record.NewJob(&sched.Job{
			ID: fmt.Sprintf("req-%06d", i), Class: "render", Team: "red", Priority: sched.Normal, Tasks: 150,
			Need: sched.NewResources(2, 0, 2), Image: fmt.Sprint("img", i%20), Spot: true, Estimate: 30 * micros.Second,
		}, 0)), uint64(i+1))
	}
	for i := range benchMachines {
		m := o.newMachine(inventory.MachineInfo{Name: fmt.Sprintf("m-%06d", i), Type: "mid", Zone: o.c.cfg.Zones[i%2], Spot: i%3 == 0, Endpoint: "worker"})
		m.Claim(1)
		m.AgentEpoch, m.TokenConfirmed, m.TokenConfirmedAt, m.LastHeartbeat, m.State = 1, true, o.c.now, o.c.now, inventory.MachineReady
		for n := range benchTasks {
			at := i*benchTasks + n
			j := o.Queue[at/100]
			o.AddAttempt(j, at%100, 7, m, inventory.AttemptLive).HeartbeatSeen = true
		}
	}
	o.workers.Reset()
	return o
}

// testOwner returns an owner of one team without machines and jobs.
func testOwner() *owner {
	cfg := &config.Settings{
		Node: "n0", Zone: "a", KVAddr: "state", CloudAddr: "cloud", Zones: []string{"a", "b"},
		Teams:             []config.Team{{Name: "red"}},
		HeartbeatInterval: 3 * micros.Second, WorkerLease: 15 * micros.Second,
		KVRequestRate: 1e6, KVWriteRate: 1e6, MaxValueBytes: 8 << 10, MaxTransactionOps: 16, CloudRequestRate: 5, CloudListLag: 6 * micros.Second,
		Tuning: config.DefaultTuning(),
	}
	c := New(cfg, 1, slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})), micros.Hour, micros.Hour)
	c.types.Fill([]sched.MachineType{{Name: "mid", Size: sched.NewResources(28, 0, 112), Price: 1, SpotPrice: 0.3, Zones: cfg.Zones}})
	store := &stubKVClient{}
	c.node = cluster.New(cfg, store, clusterHost{c}, rand.New(rand.NewPCG(1, randomSeedStream)), c.log)
	c.cluster = c.node.View()
	store.incarnation = c.node.Incarnation()
	c.node.Tick(c.now)
	c.owner.state = ownerActive
	return c.owner
}

// stubKVClient is a cluster.KVClient without a key-value store. Its responses make node n0 the owner of
// team red; watches get no response.
type stubKVClient struct{ incarnation uint64 }

func (s *stubKVClient) Call(request kv.Request, done func(micros.Micros, kv.Result)) {
	respond := func(body any) {
		done(micros.Hour, kv.Result{Outcome: kv.OK, Body: wire.Encode(body)})
	}
	switch {
	case strings.HasPrefix(request.Target, "/kv/"):
		done(micros.Hour, kv.Result{Outcome: kv.NotFound})
	case request.Target == "/leases":
		respond(kv.LeaseGrant{Lease: 1})
	case request.Target == "/commit":
		respond(kv.TransactionResult{Revision: 1})
	case strings.HasPrefix(request.Target, "/kv?"):
		team := record.Team{Owner: "n0", Incarnation: s.incarnation}
		leader := record.Leader{Node: "n1"}
		respond(kv.Page{Revision: 1, Entries: []kv.Entry{
			{Key: record.TeamKey("red"), Value: wire.Encode(team), Version: 1},
			{Key: record.LeaderKey, Value: wire.Encode(leader), Version: 1},
		}})
	}
}

func (s *stubKVClient) Watch(string, uint64, func(micros.Micros, kv.Result)) {}

func benchHeartbeat(m *inventory.Machine, seq uint64) []byte {
	r := wire.Heartbeat{Machine: m.Name, Endpoint: m.Endpoint, Type: m.Type, Zone: m.Zone, Spot: m.Spot, AgentEpoch: 1, HeartbeatSeq: seq, FencingToken: 1}
	for _, a := range m.SortedAttempts() {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(a.Job.ID, a.Index), Attempt: a.Number, Phase: wire.PhaseRunning})
	}
	return wire.Encode(r)
}

// BenchmarkHeartbeat measures the handling of one heartbeat, including the work that is due after every
// event.
func BenchmarkHeartbeat(b *testing.B) {
	o := benchOwner()
	var bodies [][]byte
	for _, m := range o.SortedMachines {
		bodies = append(bodies, benchHeartbeat(m, 1<<40))
	}
	o.SchedulingNeeded = false
	beginCommit(b, o)
	for i := 0; b.Loop(); i++ {
		m := o.SortedMachines[i%benchMachines]
		m.HeartbeatSeq = 0
		o.c.Handle(o.c.now, o.c.now, Request{ID: uint64(i), Method: "POST", Path: "/hello", Body: bodies[i%benchMachines]})
	}
	if o.c.owner != o {
		b.Fatal("it owns no longer")
	}
}

// BenchmarkPlace measures a scheduling pass that places pending tasks on 2,000 machines, each of which
// has free resources for two tasks. The placements are undone after each pass.
func BenchmarkPlace(b *testing.B) {
	o := benchOwner()
	for b.Loop() {
		o.SchedulingNeeded = true
		o.scheduler.Schedule()
		b.StopTimer()
		o.c.now += scheduler.MinPassInterval
		for _, m := range o.SortedMachines {
			m.LastHeartbeat = o.c.now
		}
		n := 0
		for _, j := range o.Queue {
			for _, a := range j.SortedAttempts() {
				if a.State == inventory.AttemptAssumed {
					o.SetAttemptState(a, inventory.AttemptClosed)
					n++
				}
			}
		}
		if n == 0 {
			b.Fatal("no task was placed")
		}
		b.StartTimer()
	}
}

// BenchmarkTick measures a slow tick of an owner without other work.
func BenchmarkTick(b *testing.B) {
	o := benchOwner()
	o.SchedulingNeeded = false
	beginCommit(b, o)
	for b.Loop() {
		o.c.nextSlowTick = 0
		o.c.Handle(o.c.now, o.c.now, Tick{})
	}
	if o.c.owner != o {
		b.Fatal("it owns no longer")
	}
}

// BenchmarkFailover measures the recovery of jobs, machines and attempts from an earlier owner's records.
func BenchmarkFailover(b *testing.B) {
	o := benchOwner()
	var entries []kv.Entry
	for _, w := range commitAll(b, o, 5) {
		entries = append(entries, kv.Entry{Key: w.Put, Value: w.Value, Version: 5})
	}
	for b.Loop() {
		fresh := newOwner(o.c, o.c.node.OwnTeams())
		fresh.Jobs, fresh.Queue = map[string]*inventory.Job{}, nil
		for _, j := range o.Queue {
			fresh.recoverJob(record.ActiveJobKey(j.ID), wire.Encode(record.NewJob(j.Job, 0)), j.Version)
		}
		fresh.recovery.RecoverBlocks(entries)
		if len(fresh.SortedMachines) != benchMachines {
			b.Fatal("the number of recovered machines differs from the number of recorded machines")
		}
	}
}

// BenchmarkLookup measures users' lookups of 50 jobs. One transaction without writes compares the versions
// of all their records.
func BenchmarkLookup(b *testing.B) {
	o := benchOwner()
	c := o.c
	o.SchedulingNeeded = false
	beginCommit(b, o)
	var id uint64
	for b.Loop() {
		responded := 0
		for i := range 50 {
			id++
			c.Handle(c.now, c.now, Request{ID: id, Method: "GET", Path: frontend.PathJobs + "/" + o.Queue[i].ID})
		}
		for _, e := range c.Handle(c.now+frontend.LookupBatchInterval, c.now, Tick{}) {
			call, ok := e.(Call)
			if !ok || call.Target != "/commit" {
				continue
			}
			for _, e := range c.Handle(c.now, c.now, CallDone{ID: call.ID, Status: 200, Body: wire.Encode(kv.TransactionResult{Revision: 1}), Sent: true}) {
				if r, ok := e.(Respond); ok && r.Status == 200 {
					responded++
				}
			}
		}
		if responded != 50 {
			b.Fatalf("%d lookups got a response with status 200, want 50", responded)
		}
	}
}
