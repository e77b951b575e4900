package controller

import (
	"fmt"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

func newBlockedJob(id string, dependencies ...string) *sched.Job {
	return &sched.Job{
		ID: id, Class: "work", Team: "red", Priority: sched.Normal, Tasks: 3, Need: sched.NewResources(2, 0, 2),
		Image: "img", ImageGB: 1, Estimate: 10 * micros.Second, Dependencies: dependencies,
	}
}

// newOwnerWithBlockedJobs returns an owner of dependency chains. All jobs of a chain but the first are
// blocked.
func newOwnerWithBlockedJobs(chains, length int) *owner {
	o := testOwner()
	var entries []kv.Entry
	for i := range chains * length {
		var dependencies []string
		if i%length > 0 {
			dependencies = []string{jobName(i - 1)}
		}
		writes, _ := record.JobWrites(newBlockedJob(jobName(i), dependencies...), 1, 8<<10)
		entries = append(entries, kv.Entry{Key: writes[0].Put, Value: wire.Encode(writes[0].Value), Version: uint64(i + 1)})
	}
	o.c.graph.Reset(entries, uint64(len(entries)))
	o.jobsListed = true
	for _, e := range entries {
		o.recoverJob(e.Key, e.Value, e.Version)
	}
	return o
}

// TestBlockedJobsCostNothing checks that the cost of an event depends only on the jobs that it
// affects, not on the number of blocked jobs, and that blocked jobs are in none of the owner's
// lists of jobs to place.
func TestBlockedJobsCostNothing(t *testing.T) {
	for _, chains := range []int{10, 1000} {
		o := newOwnerWithBlockedJobs(chains, 5)
		if len(o.Queue) != chains || len(o.Jobs) != chains || len(o.BlockedJobs) != 4*chains {
			t.Fatalf("%d chains: %d queued jobs, %d ready jobs, %d blocked jobs, want 1, 1 and 4 per chain",
				chains, len(o.Queue), len(o.Jobs), len(o.BlockedJobs))
		}
		g := o.c.graph
		before, revision := g.Work().Jobs, g.Revision()
		g.Apply(revision, &kv.WatchResult{Revision: revision + 2, Events: []kv.Change{
			{Delete: record.ActiveJobKey(jobName(0)), Version: revision + 1},
			{Delete: record.ActiveJobKey(jobName(5)), Version: revision + 2},
		}}, o.c.wallClock)
		terminalStates := map[string]record.TerminalState{
			jobName(0): {Status: record.StatusDone, FinishedAt: 3},
			jobName(5): {Status: record.StatusCancelled},
		}
		for _, id := range g.UnresolvedJobs() {
			o.c.jobView.ApplyTerminalState(id, terminalStates[id])
		}
		// One job of the first chain is ready, and the four blocked jobs of the second are cancelled.
		if visited := g.Work().Jobs - before; visited != 1+4 || o.Jobs[jobName(1)] == nil || len(o.cascadedCancellations) != 4 {
			t.Fatalf("%d chains: %d jobs were visited and %d cancelled, want 5 and 4, and the next job of the first chain ready",
				chains, visited, len(o.cascadedCancellations))
		}
	}
}

// BenchmarkBlockedJobs measures a slow tick, and the addition and deletion of one job's record, at an
// owner of many blocked jobs.
func BenchmarkBlockedJobs(b *testing.B) {
	for _, chains := range []int{10, 1000} {
		b.Run(fmt.Sprint(4*chains), func(b *testing.B) {
			o := newOwnerWithBlockedJobs(chains, 5)
			o.Queue = nil // only the blocked jobs remain
			beginCommit(b, o)
			clear(o.Jobs)
			g, id := o.c.graph, jobName(5*chains)
			for b.Loop() {
				rev := g.Revision()
				put := kv.Change{Put: record.ActiveJobKey(id), Value: wire.Encode(record.NewJob(newBlockedJob(id), 1)), Version: rev + 1}
				g.Apply(rev, &kv.WatchResult{Revision: rev + 2, Events: []kv.Change{put, {Delete: record.ActiveJobKey(id), Version: rev + 2}}}, o.c.wallClock)
				o.c.nextSlowTick = 0
				o.c.Handle(o.c.now, o.c.now, Tick{})
			}
			if len(o.BlockedJobs) != 4*chains || g.IsActive(id) {
				b.Fatal("blocked jobs are missing, or the deleted job is still active")
			}
		})
	}
}
