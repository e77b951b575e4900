package controller

import (
	"fmt"
	"maps"
	"slices"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// generateJob draws a job, when it comes, and whether and when it is cancelled: often between
// the beginnings of two troubles.
func (run *faultPairRun) generateJob(i int, first, second micros.Micros) {
	rng, sim := run.rng, run.sim
	id := fmt.Sprintf("req-%06d", i)
	job := &sched.Job{
		ID: id, Class: "work", Team: []string{"red", "blue"}[rng.IntN(2)], Priority: sched.Priority(rng.IntN(4)),
		Tasks: 1, Need: sched.NewResources(2, 0, 2), Image: "img", ImageGB: 1, Spot: rng.IntN(3) == 0,
	}
	mem := 2.0
	duration := run.randomSeconds(3, 20)
	switch kind := rng.IntN(10); {
	case kind < 3: // one task
	case kind < 7:
		job.Tasks = 2 + rng.IntN(14)
	default:
		job.Gang, job.Tasks = true, 2+rng.IntN(4)
		mem = 4
		job.Need = sched.NewResources(4, 0, mem)
	}
	job.OneZone = rng.IntN(4) == 0
	job.Spread = !job.OneZone && rng.IntN(4) == 0
	if rng.IntN(2) == 0 {
		job.CheckpointInterval, job.CheckpointDuration = 5*micros.Second, 2*micros.Second
	}
	at := run.randomSeconds(0, 10)
	if rng.IntN(2) == 0 {
		at = run.randomSeconds(0, 50)
	}
	cancelAt, atOnce := micros.Micros(0), false
	if rng.IntN(3) == 0 {
		kind := rng.IntN(5)
		if run.secondIsKVOutage {
			kind = rng.IntN(10)
		}
		switch kind {
		case 0:
			cancelAt = at + run.randomSeconds(1, 60)
		case 1:
			atOnce = true // the moment it is accepted
		default: // while it runs, when troubles meet
			at = run.randomSeconds(0, 6)
			cancelAt = first - micros.Second + run.randomSeconds(0, (second-first).Seconds()+2)
		}
		if rng.IntN(4) > 0 {
			duration = run.randomSeconds(60, 200)
		}
	} else if rng.IntN(6) == 0 {
		duration = run.randomSeconds(30, 60)
	}
	job.Estimate = micros.FromSeconds(duration.Seconds() * (0.5 + rng.Float64()))
	sim.submitted[id] = job
	sim.submissions[id] = wire.Encode(wire.FromJob(job))
	sim.taskInfos[id] = fake.TaskInfo{
		CPU: job.Need.CPUs(), Mem: mem, Run: duration, Fetch: micros.Second, Save: job.CheckpointDuration,
		Saves: job.CheckpointInterval > 0, Gang: job.Gang, Tasks: job.Tasks,
	}
	text := fmt.Sprintf("%s at %v: %d tasks of %v, priority %d, team %s", id, at, job.Tasks, duration, job.Priority, job.Team)
	for _, f := range []struct {
		set  bool
		name string
	}{{job.Gang, "gang"}, {job.OneZone, "one zone"}, {job.Spread, "spread"}, {job.Spot, "spot"}, {job.CheckpointInterval > 0, "saves"}, {atOnce, "cancelled at once"}} {
		if f.set {
			text += ", " + f.name
		}
	}
	if cancelAt > 0 {
		text += fmt.Sprintf(", cancelled at %v", cancelAt)
		sim.after(cancelAt, func() { run.cancel(id) })
	}
	run.logf("%s", text)
	sim.after(at, func() { sim.submittedAt[id] = sim.now; run.submit(id, atOnce) })
	sim.after(at+2*micros.Second, func() { run.poll(id) })
}

// checkSchedulingDelay finds jobs that have waited for long although there was room for them all
// the while.
func (run *faultPairRun) checkSchedulingDelay() {
	sim := run.sim
	used := map[string]float64{}
	on := map[string][]string{} // job -> zones of its tasks
	for task, name := range sim.runningOn {
		id, _, _ := wire.SplitTaskName(task)
		used[sim.submitted[id].Team] += sim.taskInfos[id].CPU
		on[id] = append(on[id], sim.cloud.Machines[name].Zone)
	}
	seen := map[string]bool{}
	for _, id := range run.openJobs() {
		job := sim.submitted[id]
		pending := job.Tasks - len(on[id])
		for i := range job.Tasks {
			if sim.completedTasks[wire.TaskName(id, i)] {
				pending--
			}
		}
		team, _ := sim.cfg.Team(job.Team)
		if !sim.accepted[id] || sim.cancelRequested[id] || sim.hasUnreportedDependency(id) || pending <= 0 || job.Gang && len(on[id]) > 0 {
			continue
		}
		need := job.Need.CPUs()
		if job.Gang {
			need *= float64(job.Tasks)
		}
		if team.QuotaLimit.CPU > 0 && used[job.Team]+need > team.QuotaLimit.CPUs()+1e-6 {
			continue
		}
		room, inZone := 0, map[string]int{}
		for _, name := range sim.workerNames() {
			worker := sim.workers[name]
			n := run.tasksThatFit(worker, job)
			if job.OneZone && len(on[id]) > 0 && on[id][0] != worker.Machine.Zone {
				n = 0
			}
			if job.Spread {
				held := 0
				for _, z := range on[id] {
					if z == worker.Machine.Zone {
						held++
					}
				}
				n = min(n, job.ZoneCap()-held-inZone[worker.Machine.Zone])
			}
			if n <= 0 {
				continue
			}
			inZone[worker.Machine.Zone] += n
			room += n
			if !job.Gang {
				run.recordSchedulableWait(seen, id, name)
			}
		}
		if job.OneZone {
			room = slices.Max(append(slices.Collect(maps.Values(inZone)), 0))
		}
		if job.Gang && room >= job.Tasks {
			run.recordSchedulableWait(seen, id, "")
		}
	}
	maps.DeleteFunc(run.fitsSince, func(key string, _ micros.Micros) bool { return !seen[key] })
}

// tasksThatFit tells how many tasks of a job fit on a machine now.
func (run *faultPairRun) tasksThatFit(worker *fake.Worker, job *sched.Job) int {
	sim := run.sim
	machine := worker.Machine
	if machine.Gone || worker.Hung || worker.Partitioned || worker.InboundBlocked || worker.FailsTasks || worker.PreemptionNotice != nil || !job.Allows(machine.Type, machine.Zone, machine.Spot) {
		return 0
	}
	return freeTaskSlots(worker, sim.taskInfos[job.ID])
}

func (run *faultPairRun) recordSchedulableWait(seen map[string]bool, id, name string) {
	key := id + " " + name
	seen[key] = true
	if _, ok := run.fitsSince[key]; !ok {
		run.fitsSince[key] = run.sim.now
	}
	if run.sim.now-run.fitsSince[key] > maxSchedulingDelay {
		run.sim.reportViolation("left waiting: %s, with room for it on %q", id, name)
	}
}

// generateSmallJob draws a job of one task that comes after some time.
func (run *faultPairRun) generateSmallJob(i int, in micros.Micros) {
	sim, id := run.sim, fmt.Sprintf("req-%06d", i)
	job := &sched.Job{
		ID: id, Class: "small", Team: []string{"red", "blue"}[run.rng.IntN(2)], Priority: sched.Priority(run.rng.IntN(4)),
		Tasks: 1, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: 3 * micros.Second,
	}
	sim.submitted[id], sim.submissions[id] = job, wire.Encode(wire.FromJob(job))
	sim.taskInfos[id] = fake.TaskInfo{CPU: 1, Mem: 1, Run: run.randomSeconds(1, 5), Fetch: micros.Second, Tasks: 1}
	sim.after(in, func() { sim.submittedAt[id] = sim.now; run.submit(id, false) })
	sim.after(in+2*micros.Second, func() { run.poll(id) })
	if run.rng.IntN(4) == 0 {
		sim.after(in+run.randomSeconds(0, 6), func() { run.cancel(id) })
	}
}
