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
func (p *faultPairRun) generatePipelines(seed uint64, first, second micros.Micros) {
	r := rand.New(rand.NewPCG(seed, 5))
	seconds := func(from, to float64) micros.Micros { return micros.FromSeconds(from + r.Float64()*(to-from)) }
	next := 100
	for range 2 + r.IntN(3) {
		at := seconds(0, 25)
		var made []string
		add := func(awaits ...string) string {
			id := jobName(next)
			next++
			made = append(made, id)
			p.generateStage(r, id, at, awaits)
			return id
		}
		shape := ""
		switch n := 2 + r.IntN(5); r.IntN(4) {
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
			for range 2 + r.IntN(2) {
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
		for range r.IntN(3) { // cancelled: often the root, often as troubles meet
			id := made[0]
			if r.IntN(3) == 0 {
				id = made[r.IntN(len(made))]
			}
			when := first - micros.Second + seconds(0, (second-first).Seconds()+3)
			switch r.IntN(4) {
			case 0:
				when = at + seconds(0, 60)
			case 1: // as it ends
				text += fmt.Sprintf(", %s cancelled as it ends", id)
				p.w.pipelines.onDone[id] = append(p.w.pipelines.onDone[id], func() { p.cancel(id) })
				continue
			}
			text += fmt.Sprintf(", %s cancelled at %v", id, when)
			p.w.after(when, func() { p.cancel(id) })
		}
		p.logf("%s", text)
	}
	p.generateInvalidDependencies(r)
}

// generateInvalidDependencies submits a job that awaits one that nobody submitted, and one whose list cannot
// be read, in the middle of the troubles.
func (p *faultPairRun) generateInvalidDependencies(r *rand.Rand) {
	w := p.w
	for i, awaits := range []any{[]string{"req-000100", "req-000950"}, []any{"req-000100", nil}} {
		id := jobName(910 + i)
		j := &sched.Job{ID: id, Class: "stage", Team: "red", Tasks: 1, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1}
		p.invalidJobs[id] = []int{422, 400}[i]
		w.submitted[id], w.bodies[id] = j, withAwaits(wire.Encode(wire.FromJob(j)), awaits)
		w.after(faultPairsLeadTime+micros.FromSeconds(30*r.Float64()), func() { w.submittedAt[id] = w.now; p.submit(id, false) })
	}
}

// generateStage draws one job of a pipeline.
func (p *faultPairRun) generateStage(r *rand.Rand, id string, at micros.Micros, awaits []string) {
	w := p.w
	run := micros.FromSeconds(2 + r.Float64()*10)
	if len(awaits) == 0 && r.IntN(3) == 0 {
		run = micros.FromSeconds(20 + r.Float64()*40)
	}
	j := &sched.Job{
		ID: id, Class: "stage", Team: []string{"red", "blue"}[r.IntN(2)], Priority: sched.Priority(r.IntN(4)),
		Tasks: 1 + r.IntN(4), Gang: r.IntN(4) == 0, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1,
		Estimate: run, Spot: r.IntN(3) == 0,
	}
	j.OneZone = j.Gang && r.IntN(2) == 0
	if r.IntN(3) == 0 {
		j.CheckpointInterval, j.CheckpointDuration = 5*micros.Second, micros.Second
	}
	if r.IntN(2) == 0 {
		j.Deadline = micros.FromSeconds(30 + r.Float64()*120)
	}
	w.submitted[id], w.bodies[id] = j, wire.Encode(wire.FromJob(j))
	w.infos[id] = fake.TaskInfo{
		CPU: 1, Mem: 1, Run: run, Fetch: micros.Second, Save: j.CheckpointDuration, Saves: j.CheckpointInterval > 0, Gang: j.Gang, Tasks: j.Tasks,
	}
	w.setDependencies(id, awaits)
	when := w.whenAccepted
	if len(awaits) > 0 && r.IntN(6) == 0 {
		when = w.whenTerminal
	}
	w.after(at, func() {
		when(awaits, func() {
			w.submittedAt[id] = w.now
			p.submit(id, false)
			w.after(2*micros.Second, func() { p.poll(id) })
		})
	})
}
