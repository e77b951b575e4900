package controller

import (
	"fmt"
	"math/rand/v2"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// pipelineGenerator draws the pipelines of a run.
type pipelineGenerator struct {
	run           *faultPairRun
	rng           *rand.Rand
	first, second micros.Micros // start times of the first two faults
	nextJob       int
}

// pipeline is a group of generated jobs that depend on one another.
type pipeline struct {
	shape string
	at    micros.Micros // earliest submission time of its jobs
	jobs  []string
}

// generatePipelines adds pipelines to a run: chains, diamonds, fan-outs and fan-ins. In some of them a job is
// cancelled while the faults overlap, and some dependent jobs are submitted only after the jobs that
// they depend on have reached a terminal state.
func (run *faultPairRun) generatePipelines(seed uint64, first, second micros.Micros) {
	g := &pipelineGenerator{run: run, rng: rand.New(rand.NewPCG(seed, pipelinesStream)), first: first, second: second, nextJob: 100}
	for range 2 + g.rng.IntN(3) {
		p := &pipeline{at: g.randomSeconds(0, 25)}
		g.generateJobs(p)
		text := fmt.Sprintf("%s %s..%s from %v", p.shape, p.jobs[0], p.jobs[len(p.jobs)-1], p.at)
		for range g.rng.IntN(3) {
			text += g.generateCancellation(p)
		}
		run.logf("%s", text)
	}
	run.generateInvalidDependencies(g.rng)
}

func (g *pipelineGenerator) randomSeconds(from, to float64) micros.Micros {
	return micros.FromSeconds(from + g.rng.Float64()*(to-from))
}

// addJob adds a job to a pipeline and returns its name.
func (g *pipelineGenerator) addJob(p *pipeline, dependencies ...string) string {
	id := jobName(g.nextJob)
	g.nextJob++
	p.jobs = append(p.jobs, id)
	g.run.generatePipelineJob(g.rng, id, p.at, dependencies)
	return id
}

// generateJobs draws the shape of a pipeline and its jobs.
func (g *pipelineGenerator) generateJobs(p *pipeline) {
	switch n := 2 + g.rng.IntN(5); g.rng.IntN(4) {
	case 0:
		p.shape = "chain"
		last := g.addJob(p)
		for range n {
			last = g.addJob(p, last)
		}
	case 1:
		p.shape = "diamond"
		root := g.addJob(p)
		var middle []string
		for range 2 + g.rng.IntN(2) {
			middle = append(middle, g.addJob(p, root))
		}
		g.addJob(p, append([]string{root}, middle...)...)
	case 2:
		p.shape = "fan out"
		root := g.addJob(p)
		for range 2 * n {
			g.addJob(p, root)
		}
	case 3:
		p.shape = "fan in"
		var roots []string
		for range n {
			roots = append(roots, g.addJob(p))
		}
		g.addJob(p, g.addJob(p, roots...))
	}
}

// generateCancellation draws which job of a pipeline is cancelled and when, often the first job and
// often while the faults overlap, and returns its part of the log line.
func (g *pipelineGenerator) generateCancellation(p *pipeline) string {
	sim := g.run.sim
	id := p.jobs[0]
	if g.rng.IntN(3) == 0 {
		id = p.jobs[g.rng.IntN(len(p.jobs))]
	}
	cancelAt := g.first - micros.Second + g.randomSeconds(0, (g.second-g.first).Seconds()+3)
	switch g.rng.IntN(4) {
	case 0:
		cancelAt = p.at + g.randomSeconds(0, 60)
	case 1:
		sim.pipelines.onDone[id] = append(sim.pipelines.onDone[id], func() { g.run.cancel(id) })
		return fmt.Sprintf(", %s cancelled at completion", id)
	}
	sim.after(cancelAt, func() { g.run.cancel(id) })
	return fmt.Sprintf(", %s cancelled at %v", id, cancelAt)
}

// generateInvalidDependencies submits, during the faults, a job that depends on a job that was never
// submitted, and a job whose list of dependencies cannot be decoded.
func (run *faultPairRun) generateInvalidDependencies(rng *rand.Rand) {
	sim := run.sim
	for i, dependencies := range []any{[]string{"req-000100", "req-000950"}, []any{"req-000100", nil}} {
		id := jobName(910 + i)
		job := &sched.Job{ID: id, Class: "stage", Team: "red", Tasks: 1, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1}
		run.expectedRefusalStatus[id] = []int{422, 400}[i]
		sim.submitted[id], sim.submissions[id] = job, withDependencyField(wire.Encode(wire.FromJob(job)), dependencies)
		sim.after(faultPairsWarmUp+micros.FromSeconds(30*rng.Float64()), func() { sim.submittedAt[id] = sim.now; run.submit(id, false) })
	}
}

// generatePipelineJob draws a job of a pipeline. The job is submitted at the given time, or later if
// its dependencies must be accepted or reach a terminal state first.
func (run *faultPairRun) generatePipelineJob(rng *rand.Rand, id string, at micros.Micros, dependencies []string) {
	sim := run.sim
	duration := micros.FromSeconds(2 + rng.Float64()*10)
	if len(dependencies) == 0 && rng.IntN(3) == 0 {
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
	sim.setDependencies(id, dependencies)
	submitWhen := sim.whenAccepted
	if len(dependencies) > 0 && rng.IntN(6) == 0 {
		submitWhen = sim.whenTerminal
	}
	sim.after(at, func() {
		submitWhen(dependencies, func() {
			sim.submittedAt[id] = sim.now
			run.submit(id, false)
			sim.after(2*micros.Second, func() { run.poll(id) })
		})
	})
}
