package dag

import (
	"fmt"
	"log/slog"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// wallClock is the wall clock time of all changes that tests apply.
const wallClock = micros.Hour

func jobName(n int) string { return fmt.Sprintf("req-%06d", n) }

func testJob(id string, dependencies ...string) *sched.Job {
	return &sched.Job{
		ID: id, Class: "work", Team: "red", Priority: sched.Normal, Tasks: 3, Need: sched.NewResources(2, 0, 2),
		Image: "img", ImageGB: 1, Estimate: 10 * micros.Second, Dependencies: dependencies,
	}
}

// encodeJob returns a job's record with all its dependencies.
func encodeJob(job *sched.Job, accepted micros.Micros) []byte {
	writes, _ := record.JobWrites(job, accepted, 1<<20) // the size limit is high enough that no dependency parts are needed
	return wire.Encode(writes[0].Value)
}

// encodeIncompleteJob returns a job's record whose dependencies are stored in a dependency part.
func encodeIncompleteJob(job *sched.Job) []byte {
	description := wire.FromJob(job)
	return wire.Encode(record.Job{AcceptedAt: 2, Blocked: &description, DependencyParts: 1})
}

// entryOf returns a job's record as part of a listing.
func entryOf(job *sched.Job, version uint64) kv.Entry {
	return kv.Entry{Key: record.ActiveJobKey(job.ID), Value: encodeJob(job, 1), Version: version}
}

// recorder is an Observer that records the calls to it.
type recorder struct {
	active             map[string]bool // by key
	ready              []string
	cancelled          []string
	inheritanceChanges int
	done               map[string]bool // jobs that IsDone reports as done
}

func newRecorder() *recorder { return &recorder{active: map[string]bool{}, done: map[string]bool{}} }

// JobPut implements Observer.
func (r *recorder) JobPut(key string, _ []byte, _ uint64) { r.active[key] = true }

// JobDeleted implements Observer.
func (r *recorder) JobDeleted(id string) { delete(r.active, record.ActiveJobKey(id)) }

// JobReady implements Observer.
func (r *recorder) JobReady(job *BlockedJob) { r.ready = append(r.ready, job.ID) }

// JobCancelled implements Observer.
func (r *recorder) JobCancelled(id string) { r.cancelled = append(r.cancelled, id) }

// InheritanceChanged implements Observer.
func (r *recorder) InheritanceChanged(string) { r.inheritanceChanges++ }

// EstimateOf implements Observer.
func (r *recorder) EstimateOf(job *BlockedJob) micros.Micros { return job.Estimate }

// IsDone implements Observer.
func (r *recorder) IsDone(id string) bool { return r.done[id] }

// newTestGraph returns a graph that is not synced, and its observer.
func newTestGraph(t testing.TB) (*Graph, *recorder) {
	observer := newRecorder()
	return New(observer, slog.New(slog.NewTextHandler(t.Output(), nil))), observer
}

// newSyncedGraph returns a graph that has applied an empty listing, and its observer.
func newSyncedGraph(t testing.TB) (*Graph, *recorder) {
	g, observer := newTestGraph(t)
	g.Reset(nil, 0)
	return g, observer
}

// submit applies the record of an accepted job.
func submit(t testing.TB, g *Graph, job *sched.Job, accepted micros.Micros) {
	t.Helper()
	apply(t, g, kv.Change{Put: record.ActiveJobKey(job.ID), Value: encodeJob(job, accepted)})
}

// submitIncomplete applies the record of a job whose dependencies are stored in a dependency part.
func submitIncomplete(t testing.TB, g *Graph, id string) {
	t.Helper()
	apply(t, g, kv.Change{Put: record.ActiveJobKey(id), Value: encodeIncompleteJob(testJob(id))})
}

// end applies the deletion of a job's record.
func end(t testing.TB, g *Graph, id string) {
	t.Helper()
	apply(t, g, kv.Change{Delete: record.ActiveJobKey(id)})
}

// apply applies one change at the revision after the graph's.
func apply(t testing.TB, g *Graph, change kv.Change) {
	t.Helper()
	after := g.Revision()
	change.Version = after + 1
	if !g.Apply(after, &kv.WatchResult{Revision: after + 1, Events: []kv.Change{change}}, wallClock) {
		t.Fatalf("change after revision %d is refused", after)
	}
}
