package controller

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"tamarindlead/internal/budget"
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
	writes, _ := jobWrites(j, 77, 8<<10)
	want := wire.Encode(old{wire.FromJob(j), 77})
	if got := wire.Encode(writes[0].Value); len(writes) != 1 || !bytes.Equal(got, want) {
		t.Fatalf("written as %x, was %x", got, want)
	}
	writes, _ = jobWrites(waitingJob(jobName(1), jobName(2)), 77, 8<<10)
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
			writes, size := jobWrites(waitingJob(jobName(1), ids...), 5, limit)
			var got []string
			for _, w := range writes {
				r, _ := s.Handle("n0", "POST", "/commit", state.Commit(nil, []state.Write{w}).Body, true)
				if r.Status != 200 {
					t.Fatalf("%d ids in %d bytes: %s is refused with %d", n, limit, w.Put, r.Status)
				}
				if p, ok := w.Value.(partRecord); ok {
					got = append(got, p.IDs...)
				}
			}
			rec := writes[0].Value.(jobRecord)
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

// records are the jobs' records as a state service has them, with their history.
type records struct {
	revision uint64
	jobs     map[string][]string // accepted: what each awaits
	accepted map[string]uint64   // active: version
	finals   map[string]finalRecord
	history  []state.Change
}

func (r *records) accept(id string, awaits []string) {
	r.revision++
	r.jobs[id], r.accepted[id] = awaits, r.revision
	writes, _ := jobWrites(waitingJob(id, awaits...), 1, 8<<10)
	r.history = append(r.history, state.Change{Put: activeKey(id), Value: wire.Encode(writes[0].Value), Version: r.revision})
}

func (r *records) end(id string, rec finalRecord) {
	r.revision++
	delete(r.accepted, id)
	r.finals[id] = rec
	r.history = append(r.history, state.Change{Delete: activeKey(id), Version: r.revision})
}

func (r *records) since(after uint64) *state.Changes {
	ch := &state.Changes{Revision: r.revision}
	for _, e := range r.history {
		if e.Version > after {
			ch.Events = append(ch.Events, e)
		}
	}
	return ch
}

func (r *records) list() []state.Entry {
	var all []state.Entry
	for _, id := range sortedKeys(r.accepted) {
		i := slices.IndexFunc(r.history, func(e state.Change) bool { return e.Put == activeKey(id) })
		all = append(all, state.Entry{Key: activeKey(id), Value: r.history[i].Value, Version: r.accepted[id]})
	}
	return all
}

// is is a job's state as a function of records alone.
func (r *records) is(id string) string {
	if f, ok := r.finals[id]; ok {
		return f.Status
	}
	state := "ready"
	for _, x := range r.jobs[id] {
		switch r.is(x) {
		case wire.JobCancelled:
			return wire.JobCancelled
		case wire.JobDone:
		default:
			state = "waits"
		}
	}
	return state
}

// TestGraph plays drawn histories of records, with listings that are behind and changes that
// come twice or from too early, and holds what the view says against the records themselves.
func TestGraph(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 9))
			c := testOwner().c
			c.owner = nil
			r := &records{jobs: map[string][]string{}, accepted: map[string]uint64{}, finals: map[string]finalRecord{}}
			c.resetJobs(nil, 0)
			pick := func() string {
				ids := sortedKeys(r.jobs)
				return ids[rng.IntN(len(ids))]
			}
			stale, staleAt := r.list(), uint64(0)
			for step := range 400 {
				switch p := rng.IntN(10); {
				case p < 4 || len(r.jobs) < 3:
					var awaits []string
					for range rng.IntN(4) {
						if len(r.jobs) > 0 {
							awaits = append(awaits, pick())
						}
					}
					slices.Sort(awaits)
					r.accept(jobName(step), slices.Compact(awaits))
				case p < 8:
					if id := pick(); r.is(id) == "ready" {
						r.end(id, finalRecord{Status: wire.JobDone, At: int64(step)})
					}
				case p < 9:
					if id := pick(); r.accepted[id] != 0 {
						rec := finalRecord{Status: wire.JobCancelled}
						if r.is(id) == wire.JobCancelled && rng.IntN(2) == 0 {
							rec.Before = c.rootFor(r, id)
						}
						r.end(id, rec)
					}
				default:
					if rng.IntN(2) == 0 {
						stale, staleAt = r.list(), r.revision
					} else { // its later pages were read later
						from := activeKey(jobName(rng.IntN(step + 1)))
						entries := slices.DeleteFunc(slices.Clone(stale), func(e state.Entry) bool { return e.Key >= from })
						for _, e := range r.list() {
							if e.Key >= from {
								entries = append(entries, e)
							}
						}
						c.resetJobs(entries, staleAt)
					}
				}
				if rng.IntN(3) == 0 {
					continue // changes gather
				}
				g := &c.jobs
				if ahead := g.revision + 1; c.applyJobs(ahead, r.since(ahead)) {
					t.Fatal("changes with a gap before them were taken")
				}
				after := g.revision - min(g.revision, rng.Uint64N(5))
				if !c.applyJobs(after, r.since(after)) || !c.applyJobs(after, r.since(after)) {
					t.Fatal("changes that continue the view were refused")
				}
				for _, id := range sortedKeys(g.ended) {
					if _, over := r.finals[id]; !over {
						t.Fatalf("step %d: %s is taken to be over", step, id)
					}
					c.awaitedOver(id, r.finals[id])
				}
				if c.applyJobs(0, r.since(0)); len(g.ended) > 0 {
					t.Fatalf("step %d: changes that were applied before are taken for news: %v", step, sortedKeys(g.ended))
				}
				for x, deps := range g.dependents {
					for id, w := range deps {
						if g.waiting[id] != w || !w.need[x] {
							t.Fatalf("step %d: %s is kept as waiting for %s", step, id, x)
						}
					}
				}
				for id := range r.jobs {
					if g.active[id] != (r.accepted[id] != 0) {
						t.Fatalf("step %d: %s is active: %v", step, id, g.active[id])
					}
					w := g.waiting[id]
					if (w != nil) != (r.accepted[id] != 0 && len(r.jobs[id]) > 0) {
						t.Fatalf("step %d: %s waits: %v", step, id, w)
					}
					if w == nil {
						continue
					}
					got := "waits"
					if w.root != "" {
						got = wire.JobCancelled
						if f := r.finals[w.root]; f.Status != wire.JobCancelled {
							t.Fatalf("step %d: %s is cancelled with %s, which is %q", step, id, w.root, f.Status)
						}
					} else if w.ready() {
						got = "ready"
					}
					if want := r.is(id); got != want {
						t.Fatalf("step %d: %s is %s by the records, %s in the view", step, id, want, got)
					}
				}
			}
		})
	}
}

// rootFor finds a job that was cancelled before another.
func (c *Core) rootFor(r *records, id string) string {
	for _, x := range r.jobs[id] {
		if f, over := r.finals[x]; over && f.Status == wire.JobCancelled {
			return f.root(x)
		} else if !over && r.is(x) == wire.JobCancelled {
			return c.rootFor(r, x)
		}
	}
	return ""
}

// manyWaiting is an owner with so many chains of jobs, all but the first of each waiting.
func manyWaiting(chains, length int) (*owner, *records) {
	o := testOwner()
	r := &records{jobs: map[string][]string{}, accepted: map[string]uint64{}, finals: map[string]finalRecord{}}
	for n := range chains {
		for i := range length {
			var awaits []string
			if i > 0 {
				awaits = []string{jobName(n*length + i - 1)}
			}
			r.accept(jobName(n*length+i), awaits)
		}
	}
	o.c.resetJobs(r.list(), r.revision)
	o.listed = true
	for _, e := range r.list() {
		o.jobRecord(e.Key, e.Value, e.Version)
	}
	return o, r
}

// TestWaitingCostsNothing guards that an event looks only at the jobs that depend on it,
// however many wait, and that those are in none of the owner's lists.
func TestWaitingCostsNothing(t *testing.T) {
	for _, chains := range []int{10, 1000} {
		o, r := manyWaiting(chains, 5)
		if len(o.queue) != chains || len(o.jobs) != chains || len(o.waiting) != 4*chains {
			t.Fatalf("%d chains: queue %d, jobs %d, waiting %d", chains, len(o.queue), len(o.jobs), len(o.waiting))
		}
		g := &o.c.jobs
		g.touched = 0
		r.end(jobName(0), finalRecord{Status: wire.JobDone, At: 3})
		r.end(jobName(5), finalRecord{Status: wire.JobCancelled})
		o.c.applyJobs(g.revision, r.since(g.revision))
		for _, id := range sortedKeys(g.ended) {
			o.c.awaitedOver(id, r.finals[id])
		}
		// One job is ready, and the four of the other chain are cancelled.
		if g.touched != 1+4 || o.jobs[jobName(1)] == nil || len(o.withdrawing) != 4 {
			t.Fatalf("%d chains: %d jobs were looked at, %d are cancelled", chains, g.touched, len(o.withdrawing))
		}
	}
}

// BenchmarkWaiting passes the time, a done job and a report of the present state to an owner
// of many jobs that wait.
func BenchmarkWaiting(b *testing.B) {
	for _, chains := range []int{10, 1000} {
		b.Run(fmt.Sprint(4*chains), func(b *testing.B) {
			o, r := manyWaiting(chains, 5)
			o.queue, o.flushing = nil, true // only what waits
			clear(o.jobs)
			g, id := &o.c.jobs, jobName(5*chains)
			for b.Loop() {
				rev := g.revision
				put := state.Change{Put: activeKey(id), Value: wire.Encode(plainRecord(waitingJob(id), 1)), Version: rev + 1}
				o.c.applyJobs(rev, &state.Changes{Revision: rev + 2, Events: []state.Change{put, {Delete: activeKey(id), Version: rev + 2}}})
				o.c.nextSlow = 0
				o.c.Handle(o.c.now, o.c.now, Tick{})
			}
			if len(o.waiting) != 4*chains || len(r.jobs) != 5*chains {
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
				s.Handle("n0", "POST", "/commit", state.Commit(nil, []state.Write{{Put: finalKey(id), Value: finalRecord{Status: wire.JobDone}}}).Body, true)
				want[id] = true
			}
			if rng.IntN(1+int(seed)*20) == 0 {
				ids = append(ids, id)
			}
		}
		requests := 0
		var found map[string]finalRecord
		c.readFinals(budget.Users, slices.Clone(ids), c.now+micros.Second, func(f map[string]finalRecord, ok bool) {
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

// TestBefore guards the place from which a listing must start to bring a key first.
func TestBefore(t *testing.T) {
	for _, id := range []string{"req-000000", "req-000010", "req-000019", "req-0000190"} {
		from := before(finalKey(id))
		if !(from < finalKey(id)) || strings.Compare(from, finalKey(id)[:len(finalKey(id))-1]) < 0 {
			t.Errorf("%s from %s", id, from)
		}
	}
}
