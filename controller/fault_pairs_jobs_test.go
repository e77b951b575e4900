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
func (p *faultPairRun) generateJob(i int, first, second micros.Micros) {
	r, w := p.rng, p.w
	id := fmt.Sprintf("req-%06d", i)
	j := &sched.Job{
		ID: id, Class: "work", Team: []string{"red", "blue"}[r.IntN(2)], Priority: sched.Priority(r.IntN(4)),
		Tasks: 1, Need: sched.NewResources(2, 0, 2), Image: "img", ImageGB: 1, Spot: r.IntN(3) == 0,
	}
	mem := 2.0
	run := p.seconds(3, 20)
	switch kind := r.IntN(10); {
	case kind < 3: // one task
	case kind < 7:
		j.Tasks = 2 + r.IntN(14)
	default:
		j.Gang, j.Tasks = true, 2+r.IntN(4)
		mem = 4
		j.Need = sched.NewResources(4, 0, mem)
	}
	j.OneZone = r.IntN(4) == 0
	j.Spread = !j.OneZone && r.IntN(4) == 0
	if r.IntN(2) == 0 {
		j.CheckpointInterval, j.CheckpointDuration = 5*micros.Second, 2*micros.Second
	}
	at := p.seconds(0, 10)
	if r.IntN(2) == 0 {
		at = p.seconds(0, 50)
	}
	cancelAt, atOnce := micros.Micros(0), false
	if r.IntN(3) == 0 {
		kind := r.IntN(5)
		if p.outageSecond {
			kind = r.IntN(10)
		}
		switch kind {
		case 0:
			cancelAt = at + p.seconds(1, 60)
		case 1:
			atOnce = true // the moment it is accepted
		default: // while it runs, when troubles meet
			at = p.seconds(0, 6)
			cancelAt = first - micros.Second + p.seconds(0, (second-first).Seconds()+2)
		}
		if r.IntN(4) > 0 {
			run = p.seconds(60, 200)
		}
	} else if r.IntN(6) == 0 {
		run = p.seconds(30, 60)
	}
	j.Estimate = micros.FromSeconds(run.Seconds() * (0.5 + r.Float64()))
	w.submitted[id] = j
	w.bodies[id] = wire.Encode(wire.FromJob(j))
	w.infos[id] = fake.TaskInfo{
		CPU: j.Need.CPUs(), Mem: mem, Run: run, Fetch: micros.Second, Save: j.CheckpointDuration,
		Saves: j.CheckpointInterval > 0, Gang: j.Gang, Tasks: j.Tasks,
	}
	text := fmt.Sprintf("%s at %v: %d tasks of %v, priority %d, team %s", id, at, j.Tasks, run, j.Priority, j.Team)
	for _, f := range []struct {
		set  bool
		name string
	}{{j.Gang, "gang"}, {j.OneZone, "one zone"}, {j.Spread, "spread"}, {j.Spot, "spot"}, {j.CheckpointInterval > 0, "saves"}, {atOnce, "cancelled at once"}} {
		if f.set {
			text += ", " + f.name
		}
	}
	if cancelAt > 0 {
		text += fmt.Sprintf(", cancelled at %v", cancelAt)
		w.after(cancelAt, func() { p.cancel(id) })
	}
	p.logf("%s", text)
	w.after(at, func() { w.submittedAt[id] = w.now; p.submit(id, atOnce) })
	w.after(at+2*micros.Second, func() { p.poll(id) })
}

// checkSchedulingDelay finds jobs that have waited for long although there was room for them all
// the while.
func (p *faultPairRun) checkSchedulingDelay() {
	w := p.w
	used := map[string]float64{}
	on := map[string][]string{} // job -> zones of its tasks
	for task, name := range w.running {
		id, _, _ := wire.SplitTaskName(task)
		used[w.submitted[id].Team] += w.infos[id].CPU
		on[id] = append(on[id], w.cloud.Machines[name].Zone)
	}
	seen := map[string]bool{}
	for _, id := range p.openJobs() {
		j := w.submitted[id]
		pending := j.Tasks - len(on[id])
		for i := range j.Tasks {
			if w.done[wire.TaskName(id, i)] {
				pending--
			}
		}
		team, _ := w.cfg.Team(j.Team)
		if !w.accepted[id] || w.cancelRequested[id] || w.isBlocked(id) || pending <= 0 || j.Gang && len(on[id]) > 0 {
			continue
		}
		need := j.Need.CPUs()
		if j.Gang {
			need *= float64(j.Tasks)
		}
		if team.QuotaLimit.CPU > 0 && used[j.Team]+need > team.QuotaLimit.CPUs()+1e-6 {
			continue
		}
		room, inZone := 0, map[string]int{}
		for _, name := range w.workerNames() {
			k := w.workers[name]
			n := p.tasksThatFit(k, j)
			if j.OneZone && len(on[id]) > 0 && on[id][0] != k.Machine.Zone {
				n = 0
			}
			if j.Spread {
				held := 0
				for _, z := range on[id] {
					if z == k.Machine.Zone {
						held++
					}
				}
				n = min(n, j.ZoneCap()-held-inZone[k.Machine.Zone])
			}
			if n <= 0 {
				continue
			}
			inZone[k.Machine.Zone] += n
			room += n
			if !j.Gang {
				p.recordSchedulableWait(seen, id, name)
			}
		}
		if j.OneZone {
			room = slices.Max(append(slices.Collect(maps.Values(inZone)), 0))
		}
		if j.Gang && room >= j.Tasks {
			p.recordSchedulableWait(seen, id, "")
		}
	}
	maps.DeleteFunc(p.fitsSince, func(key string, _ micros.Micros) bool { return !seen[key] })
}

// tasksThatFit tells how many tasks of a job fit on a machine now.
func (p *faultPairRun) tasksThatFit(k *fake.Worker, j *sched.Job) int {
	w := p.w
	m := k.Machine
	if m.Gone || k.Hung || k.Partitioned || k.InboundBlocked || k.FailsTasks || k.PreemptionNotice != nil || !j.Allows(m.Type, m.Zone, m.Spot) {
		return 0
	}
	return freeTaskSlots(k, w.infos[j.ID])
}

func (p *faultPairRun) recordSchedulableWait(seen map[string]bool, id, name string) {
	key := id + " " + name
	seen[key] = true
	if _, ok := p.fitsSince[key]; !ok {
		p.fitsSince[key] = p.w.now
	}
	if p.w.now-p.fitsSince[key] > maxSchedulingDelay {
		p.w.reportViolation("left waiting: %s, with room for it on %q", id, name)
	}
}

// generateSmallJob draws a job of one task that comes after some time.
func (p *faultPairRun) generateSmallJob(i int, in micros.Micros) {
	w, id := p.w, fmt.Sprintf("req-%06d", i)
	j := &sched.Job{
		ID: id, Class: "small", Team: []string{"red", "blue"}[p.rng.IntN(2)], Priority: sched.Priority(p.rng.IntN(4)),
		Tasks: 1, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: 3 * micros.Second,
	}
	w.submitted[id], w.bodies[id] = j, wire.Encode(wire.FromJob(j))
	w.infos[id] = fake.TaskInfo{CPU: 1, Mem: 1, Run: p.seconds(1, 5), Fetch: micros.Second, Tasks: 1}
	w.after(in, func() { w.submittedAt[id] = w.now; p.submit(id, false) })
	w.after(in+2*micros.Second, func() { p.poll(id) })
	if p.rng.IntN(4) == 0 {
		w.after(in+p.seconds(0, 6), func() { p.cancel(id) })
	}
}
