package dag

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const wallClock = micros.Hour

func jobName(n int) string { return fmt.Sprintf("req-%06d", n) }

func testJob(id string, awaits ...string) *sched.Job {
	return &sched.Job{
		ID: id, Class: "work", Team: "red", Priority: sched.Normal, Tasks: 3, Need: sched.NewResources(2, 0, 2),
		Image: "img", ImageGB: 1, Estimate: 10 * micros.Second, Dependencies: awaits,
	}
}

// recordOf is the record of a job as the state service has it, with all that the job awaits.
func recordOf(job *sched.Job, accepted micros.Micros) []byte {
	writes, _ := record.JobWrites(job, accepted, 1<<20)
	return wire.Encode(writes[0].Value)
}

// recorder is an observer that keeps what it is told.
type recorder struct {
	active    map[string]bool
	ready     []string
	cancelled []string
	inherit   int             // how often something inherited changed
	done      map[string]bool // known to be done
}

func (r *recorder) JobPut(key string, _ []byte, _ uint64) { r.active[key] = true }
func (r *recorder) JobDeleted(id string)                  { delete(r.active, record.ActiveJobKey(id)) }
func (r *recorder) JobReady(job *BlockedJob)              { r.ready = append(r.ready, job.ID) }
func (r *recorder) JobCancelled(id string)                { r.cancelled = append(r.cancelled, id) }
func (r *recorder) InheritanceChanged(string)             { r.inherit++ }
func (r *recorder) IsDone(id string) bool                 { return r.done[id] }

func (r *recorder) EstimateOf(job *BlockedJob) micros.Micros { return job.Estimate }

func newRecorder() *recorder { return &recorder{active: map[string]bool{}, done: map[string]bool{}} }

func newTestGraph(t testing.TB) *Graph {
	return New(newRecorder(), slog.New(slog.NewTextHandler(t.Output(), nil)))
}

// terminalState is how a job ended.
type terminalState struct {
	status wire.JobPhase
	at     micros.Micros
	root   string // of one that is cancelled: the job that its user cancelled
}

// applyTo has a graph take how a job ended.
func (f terminalState) applyTo(g *Graph, id string) {
	if f.status == wire.JobDone {
		g.MarkDone(id, f.at)
	} else {
		g.MarkCancelled(id, f.root)
	}
}

// records are the jobs' records as a state service has them, with their history.
type records struct {
	revision       uint64
	jobs           map[string][]string // accepted: what each awaits
	accepted       map[string]uint64   // active: version
	terminalStates map[string]terminalState
	history        []kv.Change
}

func newRecords() *records {
	return &records{jobs: map[string][]string{}, accepted: map[string]uint64{}, terminalStates: map[string]terminalState{}}
}

func (r *records) accept(id string, awaits []string) {
	r.revision++
	r.jobs[id], r.accepted[id] = awaits, r.revision
	r.history = append(r.history, kv.Change{Put: record.ActiveJobKey(id), Value: recordOf(testJob(id, awaits...), 1), Version: r.revision})
}

func (r *records) end(id string, rec terminalState) {
	r.revision++
	delete(r.accepted, id)
	r.terminalStates[id] = rec
	r.history = append(r.history, kv.Change{Delete: record.ActiveJobKey(id), Version: r.revision})
}

func (r *records) since(after uint64) *kv.WatchResult {
	ch := &kv.WatchResult{Revision: r.revision}
	for _, e := range r.history {
		if e.Version > after {
			ch.Events = append(ch.Events, e)
		}
	}
	return ch
}

func (r *records) list() []kv.Entry {
	var all []kv.Entry
	for _, id := range sortedKeys(r.accepted) {
		i := slices.IndexFunc(r.history, func(e kv.Change) bool { return e.Put == record.ActiveJobKey(id) })
		all = append(all, kv.Entry{Key: record.ActiveJobKey(id), Value: r.history[i].Value, Version: r.accepted[id]})
	}
	return all
}

// phaseOf is a job's state as a function of records alone.
func (r *records) phaseOf(id string) wire.JobPhase {
	if f, ok := r.terminalStates[id]; ok {
		return f.status
	}
	state := wire.JobPhase("ready")
	for _, x := range r.jobs[id] {
		switch r.phaseOf(x) {
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
			g := newTestGraph(t)
			r := newRecords()
			g.Reset(nil, 0)
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
					if id := pick(); r.phaseOf(id) == "ready" {
						r.end(id, terminalState{status: wire.JobDone, at: micros.Micros(step), root: id})
					}
				case p < 9:
					if id := pick(); r.accepted[id] != 0 {
						rec := terminalState{status: wire.JobCancelled, root: id}
						if r.phaseOf(id) == wire.JobCancelled && rng.IntN(2) == 0 {
							rec.root = r.rootOf(id)
						}
						r.end(id, rec)
					}
				default:
					if rng.IntN(2) == 0 {
						stale, staleAt = r.list(), r.revision
					} else { // its later pages were read later
						from := record.ActiveJobKey(jobName(rng.IntN(step + 1)))
						entries := slices.DeleteFunc(slices.Clone(stale), func(e kv.Entry) bool { return e.Key >= from })
						for _, e := range r.list() {
							if e.Key >= from {
								entries = append(entries, e)
							}
						}
						g.Reset(entries, staleAt)
					}
				}
				if rng.IntN(3) == 0 {
					continue // changes gather
				}
				if ahead := g.revision + 1; g.Apply(ahead, r.since(ahead), wallClock) {
					t.Fatal("changes with a gap before them were taken")
				}
				after := g.revision - min(g.revision, rng.Uint64N(5))
				for range 2 { // two reads may both bring the same changes
					if !g.Apply(after, r.since(after), wallClock) {
						t.Fatal("changes that continue the view were refused")
					}
				}
				for _, id := range sortedKeys(g.unresolvedJobs) {
					if _, over := r.terminalStates[id]; !over {
						t.Fatalf("step %d: %s is taken to be over", step, id)
					}
					r.terminalStates[id].applyTo(g, id)
				}
				if g.Apply(0, r.since(0), wallClock); len(g.unresolvedJobs) > 0 {
					t.Fatalf("step %d: changes that were applied before are taken for news: %v", step, sortedKeys(g.unresolvedJobs))
				}
				for x, deps := range g.dependents {
					for id, w := range deps {
						if g.blocked[id] != w || !w.pendingDependencies[x] {
							t.Fatalf("step %d: %s is kept as waiting for %s", step, id, x)
						}
					}
				}
				for id := range r.jobs {
					if g.active[id] != (r.accepted[id] != 0) {
						t.Fatalf("step %d: %s is active: %v", step, id, g.active[id])
					}
					w := g.blocked[id]
					if (w != nil) != (r.accepted[id] != 0 && len(r.jobs[id]) > 0) {
						t.Fatalf("step %d: %s waits: %v", step, id, w)
					}
					if w == nil {
						continue
					}
					got := wire.JobPhase("waits")
					if w.Cancelled() {
						got = wire.JobCancelled
						if f := r.terminalStates[w.CancelledRoot]; f.status != wire.JobCancelled {
							t.Fatalf("step %d: %s is cancelled with %s, which is %q", step, id, w.CancelledRoot, f.status)
						}
					} else if w.Ready() {
						got = "ready"
					}
					if want := r.phaseOf(id); got != want {
						t.Fatalf("step %d: %s is %s by the records, %s in the view", step, id, want, got)
					}
				}
			}
		})
	}
}

// rootOf finds a job that was cancelled before another.
func (r *records) rootOf(id string) string {
	for _, x := range r.jobs[id] {
		if f, over := r.terminalStates[x]; over && f.status == wire.JobCancelled {
			return f.root
		} else if !over && r.phaseOf(x) == wire.JobCancelled {
			return r.rootOf(x)
		}
	}
	return ""
}

// submit applies the record of a job that awaits others.
func submit(t testing.TB, g *Graph, job *sched.Job, accepted micros.Micros) {
	t.Helper()
	put := kv.Change{Put: record.ActiveJobKey(job.ID), Value: recordOf(job, accepted), Version: g.Revision() + 1}
	apply(t, g, put)
}

// apply applies one change.
func apply(t testing.TB, g *Graph, change kv.Change) {
	t.Helper()
	after := g.Revision()
	change.Version = after + 1
	if !g.Apply(after, &kv.WatchResult{Revision: after + 1, Events: []kv.Change{change}}, wallClock) {
		t.Fatalf("change after %d is refused", after)
	}
}

// TestObserver guards what the user of a graph is told: each job that becomes ready or is
// cancelled once, in order.
func TestObserver(t *testing.T) {
	seen := newRecorder()
	g := New(seen, slog.Default())
	if g.Apply(0, &kv.WatchResult{Revision: 1}, wallClock) || g.IsSynced() {
		t.Fatal("changes are taken without a listing")
	}
	g.Reset(nil, 0)
	a, b, c, d := jobName(1), jobName(2), jobName(3), jobName(4)
	submit(t, g, testJob(a), 1)
	submit(t, g, testJob(b, a), 2)
	submit(t, g, testJob(c, b), 3)
	submit(t, g, testJob(d, c, a), 4)
	if !g.HasOpenDependencies(b) || g.HasOpenDependencies(a) || g.Version(c) != 3 || len(seen.active) != 4 {
		t.Fatalf("after four submissions: %+v", seen)
	}

	apply(t, g, kv.Change{Delete: record.ActiveJobKey(a)})
	if got := g.UnresolvedJobs(); !slices.Equal(got, []string{a}) || len(seen.ready) > 0 {
		t.Fatalf("one ended in a way not known: unresolved %v, ready %v", got, seen.ready)
	}
	g.MarkDone(a, 77)
	if !slices.Equal(seen.ready, []string{b}) || g.Blocked(b).LatestDependencyDone != 77 || g.HasUnresolvedJobs() {
		t.Fatalf("the first is done: ready %v", seen.ready)
	}

	apply(t, g, kv.Change{Delete: record.ActiveJobKey(b)})
	g.MarkCancelled(b, b)
	g.MarkCancelled(b, b)
	if !slices.Equal(seen.cancelled, []string{c, d}) || g.Blocked(d).CancelledRoot != b {
		t.Fatalf("the second is cancelled: cancelled %v", seen.cancelled)
	}
	g.MarkUnsynced()
	if g.Apply(g.Revision(), &kv.WatchResult{Revision: g.Revision() + 1}, wallClock) {
		t.Fatal("changes are taken after some were missed")
	}
}

// TestIsDone guards that a job which the user knows to be done holds up nobody.
func TestIsDone(t *testing.T) {
	seen := newRecorder()
	g := New(seen, slog.Default())
	g.Reset(nil, 0)
	a, b, c := jobName(1), jobName(2), jobName(3)
	submit(t, g, testJob(a), 1)
	submit(t, g, testJob(b, a), 2)
	seen.done[a] = true
	apply(t, g, kv.Change{Delete: record.ActiveJobKey(a)})
	submit(t, g, testJob(c, a), 3)
	if !slices.Equal(seen.ready, []string{b, c}) || g.HasUnresolvedJobs() || g.Blocked(b).LatestDependencyDone != wallClock {
		t.Fatalf("ready %v, unresolved %v", seen.ready, g.UnresolvedJobs())
	}
}

// TestPartialList guards that nothing is concluded about a job whose list was not read.
func TestPartialList(t *testing.T) {
	seen := newRecorder()
	g := New(seen, slog.Default())
	g.Reset(nil, 0)
	a, b, c := jobName(1), jobName(2), jobName(3)
	submit(t, g, testJob(a), 1)
	description := wire.FromJob(testJob(b))
	value := wire.Encode(record.Job{AcceptedAt: 2, Blocked: &description, DependencyParts: 1})
	apply(t, g, kv.Change{Put: record.ActiveJobKey(b), Value: value})
	submit(t, g, testJob(c, b), 3)
	partial, unresolved := g.FindUnresolved([]string{c})
	if partial == nil || partial.ID != b || unresolved || partial.Ready() || g.FirstIncomplete() != partial {
		t.Fatalf("missing: %+v, unresolved %v", partial, unresolved)
	}
	g.SetDependencies(partial, []string{a})
	if partial, unresolved = g.FindUnresolved([]string{c}); partial != nil || unresolved || g.FirstIncomplete() != nil {
		t.Fatalf("with its list: %+v, unresolved %v", partial, unresolved)
	}
	apply(t, g, kv.Change{Delete: record.ActiveJobKey(a)})
	if _, unresolved = g.FindUnresolved([]string{c}); !unresolved {
		t.Fatal("a job ended that c needs through b")
	}
	g.AssumeDone(g.Blocked(b))
	if !g.Blocked(b).Ready() || g.HasUnresolvedJobs() || len(seen.ready) > 0 {
		t.Fatalf("assumed done: ready %v, told %v", g.Blocked(b).Ready(), seen.ready)
	}
}

// entryOf is a job's record as a listing has it.
func entryOf(job *sched.Job, version uint64) kv.Entry {
	return kv.Entry{Key: record.ActiveJobKey(job.ID), Value: recordOf(job, 1), Version: version}
}

// TestReset guards that a listing keeps what was read of ends and lists. Only how a cancelled
// job ended is read once more, since the listing does not show why its dependents wait.
func TestReset(t *testing.T) {
	g := newTestGraph(t)
	a, b, c, d := jobName(1), jobName(2), jobName(3), jobName(4)
	other := testJob(jobName(9))
	partial := kv.Entry{Key: record.ActiveJobKey(d), Version: 5}
	description := wire.FromJob(testJob(d))
	partial.Value = wire.Encode(record.Job{AcceptedAt: 2, Blocked: &description, DependencyParts: 1})
	entries := []kv.Entry{
		entryOf(testJob(a), 1), entryOf(testJob(b), 2), entryOf(other, 3),
		entryOf(testJob(c, a, other.ID), 4), partial, entryOf(testJob(jobName(5), b), 6),
	}
	g.Reset(entries, 6)
	g.SetDependencies(g.Blocked(d), []string{other.ID})
	apply(t, g, kv.Change{Delete: record.ActiveJobKey(a)})
	g.MarkDone(a, 55)
	apply(t, g, kv.Change{Delete: record.ActiveJobKey(b)})
	g.MarkCancelled(b, b)

	g.Reset(entries[2:], 8)
	if job := g.Blocked(c); job.LatestDependencyDone != 55 || len(job.pendingDependencies) != 1 || !slices.Equal(g.UnresolvedJobs(), []string{b}) {
		t.Errorf("what is known of a job that is done is lost: %+v, unresolved %v", job, g.UnresolvedJobs())
	}
	if job := g.Blocked(d); !job.DependenciesKnown() || !job.pendingDependencies[other.ID] {
		t.Errorf("a list is lost: %+v", job)
	}
	if job := g.Blocked(jobName(5)); job.CancelledRoot != b {
		t.Errorf("a cancellation is lost: %+v", job)
	}

	entries[3].Version = 9 // the same name, and not the job that was known
	g.Reset(entries[2:], 9)
	if job := g.Blocked(c); job.LatestDependencyDone != 0 || len(job.pendingDependencies) != 2 {
		t.Errorf("another record is taken for the one that was known: %+v", job)
	}
}

// TestCancelledDependent guards that nobody reads how a job ended whose dependents are known to
// be cancelled with it, and that a cancelled job passes on nothing.
func TestCancelledDependent(t *testing.T) {
	g := newTestGraph(t)
	g.Reset(nil, 0)
	a, b, c, d := jobName(1), jobName(2), jobName(3), jobName(4)
	submit(t, g, testJob(a), 1)
	submit(t, g, testJob(b), 1)
	submit(t, g, testJob(c, a, b), 1)
	submit(t, g, testJob(d, c), 1)
	if inherited, awaited := g.Inherited(b); !awaited || inherited.Priority != sched.Normal {
		t.Fatalf("inherits %v, awaited %v", inherited, awaited)
	}
	apply(t, g, kv.Change{Delete: record.ActiveJobKey(a)})
	g.MarkCancelled(a, a)
	if inherited, awaited := g.Inherited(b); !awaited || inherited != (Inheritance{}) {
		t.Errorf("inherits %v from a cancelled job, awaited %v", inherited, awaited)
	}
	apply(t, g, kv.Change{Delete: record.ActiveJobKey(c)})
	if g.HasUnresolvedJobs() {
		t.Errorf("how %v ended is asked", g.UnresolvedJobs())
	}
	if _, awaited := g.Inherited(b); awaited {
		t.Error("a job is taken to be awaited when nobody does any more")
	}
}

// TestAssumeDone guards that a job is ready which was placed before its list was read.
func TestAssumeDone(t *testing.T) {
	g := newTestGraph(t)
	g.Reset(nil, 0)
	description := wire.FromJob(testJob(jobName(1)))
	value := wire.Encode(record.Job{AcceptedAt: 2, Blocked: &description, DependencyParts: 1})
	apply(t, g, kv.Change{Put: record.ActiveJobKey(jobName(1)), Value: value})
	g.AssumeDone(g.Blocked(jobName(1)))
	if !g.Blocked(jobName(1)).Ready() || g.FirstIncomplete() != nil {
		t.Error("a job that was placed is not ready")
	}
}

// TestVersions guards the bound of the versions that are kept.
func TestVersions(t *testing.T) {
	g := newTestGraph(t)
	for i := range maxVersions + 5 {
		g.SetVersion(jobName(i), 1)
	}
	if len(g.versions) != maxVersions {
		t.Errorf("%d versions are kept", len(g.versions))
	}
	if g.SetVersion(jobName(0), 7); g.Version(jobName(0)) != 7 {
		t.Error("a version that is kept is not replaced")
	}
	if g.ForgetVersion(jobName(0)); g.Version(jobName(0)) != 0 {
		t.Error("a version is not forgotten")
	}
}

// TestHasDependencies guards the difference between records of jobs that await others and those
// that do not.
func TestHasDependencies(t *testing.T) {
	for _, awaits := range [][]string{nil, {jobName(1)}} {
		got, err := HasDependencies(recordOf(testJob(jobName(2), awaits...), 1))
		if err != nil || got != (len(awaits) > 0) {
			t.Errorf("awaits %v: %v, %v", awaits, got, err)
		}
	}
	if _, err := HasDependencies([]byte{0xff}); err == nil {
		t.Error("a record that cannot be read is read")
	}
}
