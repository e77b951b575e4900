package controller

import (
	"fmt"
	"math/rand/v2"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// generatePipelines adds pipelines to a drawn run: chains, diamonds and fans, some with a job
// cancelled as the troubles meet, some whose last job comes when the others are over.
func (run *faultPairRun) generatePipelines(seed uint64, first, second micros.Micros) {
	rng := rand.New(rand.NewPCG(seed, 5))
	seconds := func(from, to float64) micros.Micros { return micros.FromSeconds(from + rng.Float64()*(to-from)) }
	next := 100
	for range 2 + rng.IntN(3) {
		at := seconds(0, 25)
		var made []string
		add := func(awaits ...string) string {
			id := jobName(next)
			next++
			made = append(made, id)
			run.generateStage(rng, id, at, awaits)
			return id
		}
		shape := ""
		switch n := 2 + rng.IntN(5); rng.IntN(4) {
		case 0:
			shape = "chain"
			last := add()
			for range n {
				last = add(last)
			}
		case 1:
			shape = "diamond"
			root := add()
			var middle []string
			for range 2 + rng.IntN(2) {
				middle = append(middle, add(root))
			}
			add(append([]string{root}, middle...)...)
		case 2:
			shape = "fan out"
			root := add()
			for range 2 * n {
				add(root)
			}
		case 3:
			shape = "fan in"
			var roots []string
			for range n {
				roots = append(roots, add())
			}
			add(add(roots...))
		}
		text := fmt.Sprintf("%s %s..%s from %v", shape, made[0], made[len(made)-1], at)
		for range rng.IntN(3) { // cancelled: often the root, often as troubles meet
			id := made[0]
			if rng.IntN(3) == 0 {
				id = made[rng.IntN(len(made))]
			}
			when := first - micros.Second + seconds(0, (second-first).Seconds()+3)
			switch rng.IntN(4) {
			case 0:
				when = at + seconds(0, 60)
			case 1: // as it ends
				text += fmt.Sprintf(", %s cancelled as it ends", id)
				run.sim.pipelines.onDone[id] = append(run.sim.pipelines.onDone[id], func() { run.cancel(id) })
				continue
			}
			text += fmt.Sprintf(", %s cancelled at %v", id, when)
			run.sim.after(when, func() { run.cancel(id) })
		}
		run.logf("%s", text)
	}
	run.generateInvalidDependencies(rng)
}

// generateInvalidDependencies submits a job that awaits one that nobody submitted, and one whose list cannot
// be read, in the middle of the troubles.
func (run *faultPairRun) generateInvalidDependencies(rng *rand.Rand) {
	sim := run.sim
	for i, awaits := range []any{[]string{"req-000100", "req-000950"}, []any{"req-000100", nil}} {
		id := jobName(910 + i)
		job := &sched.Job{ID: id, Class: "stage", Team: "red", Tasks: 1, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1}
		run.expectedRefusals[id] = []int{422, 400}[i]
		sim.submitted[id], sim.submissions[id] = job, withDependencyField(wire.Encode(wire.FromJob(job)), awaits)
		sim.after(faultPairsLeadTime+micros.FromSeconds(30*rng.Float64()), func() { sim.submittedAt[id] = sim.now; run.submit(id, false) })
	}
}

// generateStage draws one job of a pipeline.
func (run *faultPairRun) generateStage(rng *rand.Rand, id string, at micros.Micros, awaits []string) {
	sim := run.sim
	duration := micros.FromSeconds(2 + rng.Float64()*10)
	if len(awaits) == 0 && rng.IntN(3) == 0 {
		duration = micros.FromSeconds(20 + rng.Float64()*40)
	}
	job := &sched.Job{
		ID: id, Class: "stage", Team: []string{"red", "blue"}[rng.IntN(2)], Priority: sched.Priority(rng.IntN(4)),
		Tasks: 1 + rng.IntN(4), Gang: rng.IntN(4) == 0, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1,
		Estimate: duration, Spot: rng.IntN(3) == 0,
	}
	job.OneZone = job.Gang && rng.IntN(2) == 0
	if rng.IntN(3) == 0 {
		job.CheckpointInterval, job.CheckpointDuration = 5*micros.Second, micros.Second
	}
	if rng.IntN(2) == 0 {
		job.Deadline = micros.FromSeconds(30 + rng.Float64()*120)
	}
	sim.submitted[id], sim.submissions[id] = job, wire.Encode(wire.FromJob(job))
	sim.taskInfos[id] = fake.TaskInfo{
		CPU: 1, Mem: 1, Run: duration, Fetch: micros.Second, Save: job.CheckpointDuration, Saves: job.CheckpointInterval > 0, Gang: job.Gang, Tasks: job.Tasks,
	}
	sim.setDependencies(id, awaits)
	when := sim.whenAccepted
	if len(awaits) > 0 && rng.IntN(6) == 0 {
		when = sim.whenTerminal
	}
	sim.after(at, func() {
		when(awaits, func() {
			sim.submittedAt[id] = sim.now
			run.submit(id, false)
			sim.after(2*micros.Second, func() { run.poll(id) })
		})
	})
}
