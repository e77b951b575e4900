package controller

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/record"
	"tamarindlead/internal/standin"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

func waitingJob(id string, awaits ...string) *sched.Job {
	return &sched.Job{
		ID: id, Class: "work", Team: "red", Priority: sched.Normal, Tasks: 3, Need: sched.NewResources(2, 0, 2),
		Image: "img", ImageGB: 1, Estimate: 10 * micros.Second, Awaits: awaits,
	}
}

// TestPlainRecordStays guards the form that the version in production reads: the record of a
// job that awaits none has no field more, and that of one that does has no description where
// that version looks for it.
func TestPlainRecordStays(t *testing.T) {
	type old struct {
		Job      wire.Submission `cbor:"j"`
		Accepted int64           `cbor:"at"`
	}
	j := waitingJob(jobName(1))
	writes, _ := record.JobWrites(j, 77, 8<<10)
	want := wire.Encode(old{wire.FromJob(j), 77})
	if got := wire.Encode(writes[0].Value); len(writes) != 1 || !bytes.Equal(got, want) {
		t.Fatalf("written as %x, was %x", got, want)
	}
	writes, _ = record.JobWrites(waitingJob(jobName(1), jobName(2)), 77, 8<<10)
	var seen old
	if err := wire.Decode(wire.Encode(writes[0].Value), &seen); err != nil {
		t.Fatal(err)
	}
	if _, err := seen.Job.Job(); err == nil {
		t.Fatal("an older version could place a job that waits")
	}
}

// TestLongLists guards that every value of a job with a long list fits, and that no id of it
// is lost.
func TestLongLists(t *testing.T) {
	for _, limit := range []int{2 << 10, 8 << 10} {
		for _, n := range []int{1, 10, 60, 61, 150, 151, 300, 620, 1500} {
			var ids []string
			for i := range n {
				ids = append(ids, jobName(100+i))
			}
			s := standinWith(limit)
			writes, size := record.JobWrites(waitingJob(jobName(1), ids...), 5, limit)
			var got []string
			for _, w := range writes {
				r, _ := s.Handle("n0", "POST", "/commit", state.Commit(nil, []state.Write{w}).Body, true)
				if r.Status != 200 {
					t.Fatalf("%d ids in %d bytes: %s is refused with %d", n, limit, w.Put, r.Status)
				}
				if p, ok := w.Value.(record.Part); ok {
					got = append(got, p.IDs...)
				}
			}
			rec := writes[0].Value.(record.Job)
			if rec.Parts != len(writes)-1 {
				t.Fatalf("%d ids: %d parts are %d writes", n, rec.Parts, len(writes))
			}
			if rec.Parts == 0 {
				got = *rec.Waiting.Awaits
			}
			if !slices.Equal(got, ids) {
				t.Fatalf("%d ids become %d", n, len(got))
			}
			if body := len(state.Commit(nil, writes).Body); size < body {
				t.Fatalf("%d ids: a commit of %d bytes is taken for %d", n, body, size)
			}
		}
	}
}

// standinWith is a state service that takes values up to a size.
func standinWith(limit int) *standin.State {
	s := standin.NewState()
	s.Value = limit
	return s
}

// manyWaiting is an owner with so many chains of jobs, all but the first of each waiting.
func manyWaiting(chains, length int) *owner {
	o := testOwner()
	var entries []state.Entry
	for i := range chains * length {
		var awaits []string
		if i%length > 0 {
			awaits = []string{jobName(i - 1)}
		}
		writes, _ := record.JobWrites(waitingJob(jobName(i), awaits...), 1, 8<<10)
		entries = append(entries, state.Entry{Key: writes[0].Put, Value: wire.Encode(writes[0].Value), Version: uint64(i + 1)})
	}
	o.c.graph.Reset(entries, uint64(len(entries)))
	o.listed = true
	for _, e := range entries {
		o.jobRecord(e.Key, e.Value, e.Version)
	}
	return o
}

// TestWaitingCostsNothing guards that an event looks only at the jobs that depend on it,
// however many wait, and that those are in none of the owner's lists.
func TestWaitingCostsNothing(t *testing.T) {
	for _, chains := range []int{10, 1000} {
		o := manyWaiting(chains, 5)
		if len(o.queue) != chains || len(o.jobs) != chains || len(o.waiting) != 4*chains {
			t.Fatalf("%d chains: queue %d, jobs %d, waiting %d", chains, len(o.queue), len(o.jobs), len(o.waiting))
		}
		g := o.c.graph
		before, revision := g.Work().Jobs, g.Revision()
		g.Apply(revision, &state.Changes{Revision: revision + 2, Events: []state.Change{
			{Delete: record.ActiveKey(jobName(0)), Version: revision + 1},
			{Delete: record.ActiveKey(jobName(5)), Version: revision + 2},
		}}, o.c.day)
		finals := map[string]record.Final{
			jobName(0): {Status: wire.JobDone, At: 3},
			jobName(5): {Status: wire.JobCancelled},
		}
		for _, id := range g.Unresolved() {
			o.c.takeFinal(id, finals[id])
		}
		// One job is ready, and the four of the other chain are cancelled.
		if looked := g.Work().Jobs - before; looked != 1+4 || o.jobs[jobName(1)] == nil || len(o.cancelled) != 4 {
			t.Fatalf("%d chains: %d jobs were looked at, %d are cancelled", chains, looked, len(o.cancelled))
		}
	}
}

// BenchmarkWaiting passes the time, a done job and a report of the present state to an owner
// of many jobs that wait.
func BenchmarkWaiting(b *testing.B) {
	for _, chains := range []int{10, 1000} {
		b.Run(fmt.Sprint(4*chains), func(b *testing.B) {
			o := manyWaiting(chains, 5)
			o.queue, o.flushing = nil, true // only what waits
			clear(o.jobs)
			g, id := o.c.graph, jobName(5*chains)
			for b.Loop() {
				rev := g.Revision()
				put := state.Change{Put: record.ActiveKey(id), Value: wire.Encode(record.NewJob(waitingJob(id), 1)), Version: rev + 1}
				g.Apply(rev, &state.Changes{Revision: rev + 2, Events: []state.Change{put, {Delete: record.ActiveKey(id), Version: rev + 2}}}, o.c.day)
				o.c.nextSlow = 0
				o.c.Handle(o.c.now, o.c.now, Tick{})
			}
			if len(o.waiting) != 4*chains || g.Active(id) {
				b.Fatal("jobs are missing")
			}
		})
	}
}

// TestReadFinals guards that final records are found among many others, in no more requests
// than there are jobs.
func TestReadFinals(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 10))
		c, s := testOwner().c, standinWith(0)
		var ids []string
		want := map[string]bool{}
		for i := range 3000 {
			id := jobName(i)
			if rng.IntN(3) > 0 {
				s.Handle("n0", "POST", "/commit", state.Commit(nil, []state.Write{{Put: record.FinalKey(id), Value: record.Final{Status: wire.JobDone}}}).Body, true)
				want[id] = true
			}
			if rng.IntN(1+int(seed)*20) == 0 {
				ids = append(ids, id)
			}
		}
		requests := 0
		var found map[string]record.Final
		c.readFinals(budget.Users, slices.Clone(ids), c.now+micros.Second, func(f map[string]record.Final, ok bool) {
			if !ok {
				t.Fatal("not read")
			}
			found = f
		})
		for found == nil {
			out := c.out
			c.out = nil
			for _, e := range out {
				call := e.(Call)
				requests++
				reply, _ := s.Handle("n0", call.Method, call.Target, call.Body, true)
				done := c.calls[call.ID]
				delete(c.calls, call.ID)
				done(CallDone{ID: call.ID, Status: reply.Status, Body: reply.Body, Sent: true})
			}
		}
		if requests > len(ids) {
			t.Errorf("%d requests for %d jobs", requests, len(ids))
		}
		for _, id := range ids {
			if _, ok := found[id]; ok != want[id] {
				t.Fatalf("%s is found: %v", id, ok)
			}
		}
	}
}

// TestKeyBefore guards the place from which a listing must start to bring a key first.
func TestKeyBefore(t *testing.T) {
	for _, id := range []string{"req-000000", "req-000010", "req-000019", "req-0000190"} {
		from := keyBefore(record.FinalKey(id))
		if !(from < record.FinalKey(id)) || strings.Compare(from, record.FinalKey(id)[:len(record.FinalKey(id))-1]) < 0 {
			t.Errorf("%s from %s", id, from)
		}
	}
}
