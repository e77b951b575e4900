package controller

import (
	"fmt"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// generateInvalidJobs submits jobs that can never run or lack a field in the middle of the troubles:
// they may be refused for the moment or for good, in their way, and never accepted.
func (p *faultPairRun) generateInvalidJobs() {
	w := p.w
	for i, status := range []int{422, 422, 400} {
		id := fmt.Sprintf("req-%06d", 900+i)
		j := &sched.Job{ID: id, Class: "work", Team: "red", Tasks: 1, Need: sched.NewResources(2, 0, 2), Image: "img", ImageGB: 1}
		switch i {
		case 0:
			j.Need = sched.NewResources(64, 0, 2)
		case 1:
			j.Gang, j.Tasks = true, 60
		case 2:
			j.Tasks = 0
		}
		p.invalidJobs[id] = status
		w.submitted[id], w.bodies[id] = j, wire.Encode(wire.FromJob(j))
		w.after(faultPairsLeadTime+p.seconds(0, 30), func() { w.submittedAt[id] = w.now; p.submit(id, false) })
	}
}

// request sends a user's request about a job and checks the answer.
func (p *faultPairRun) request(node int, method, id, end string, done func(Respond)) {
	w := p.w
	path, body := "/api/jobs/"+id+end, []byte(nil)
	if method == "POST" && end == "" {
		path, body = "/api/jobs", w.bodies[id]
	}
	told, accepted, sent := w.reportedTerminal[id], w.accepted[id], w.now
	w.user(node, method, path, body, func(r Respond) {
		p.check(id, r, sent, accepted)
		if w.accepted[id] && !accepted {
			p.queryAllNodes(id)
		}
		if w.reportedTerminal[id] != "" && told == "" {
			p.queryAllNodes(id)
		}
		done(r)
	})
}

func (p *faultPairRun) check(id string, r Respond, sent micros.Micros, accepted bool) {
	w := p.w
	if p.invalidJobs[id] != 0 {
		if r.Status == 200 || r.Status == 201 || (r.Status == 400 || r.Status == 422) && r.Status != p.invalidJobs[id] {
			w.reportViolation("refusals: %s is answered %d, not %d", id, r.Status, p.invalidJobs[id])
		}
		return
	}
	if (r.Status == 400 || r.Status == 422) && !accepted {
		w.reportViolation("refusals: %s is answered %d", id, r.Status)
	}
	was := w.reportedTerminal[id]
	w.checkResponse(id, r, sent)
	if was == "" && w.reportedTerminal[id] == wire.JobCancelled && p.onCancelAcknowledged != nil {
		do := p.onCancelAcknowledged
		p.onCancelAcknowledged = nil
		do(id)
	}
}

// queryAllNodes asks all nodes, again and again, and repeats the submission, right after a
// job was accepted or ended.
func (p *faultPairRun) queryAllNodes(id string) {
	w := p.w
	for _, ms := range []int{0, 3, 15, 70, 400, 3000} {
		w.after(micros.Micros(ms)*micros.Millisecond, func() {
			for n := range w.nodes {
				p.request(n, "GET", id, "", func(Respond) {})
			}
			n := p.rng.IntN(len(w.nodes))
			p.request(n, "POST", id, "", func(Respond) {})
			if w.reportedTerminal[id] == wire.JobDone && p.rng.IntN(20) == 0 {
				w.cancelRequested[id] = true // too late: it stays done
			}
			if w.cancelRequested[id] {
				p.request((n+1)%len(w.nodes), "POST", id, "/cancel", func(Respond) {})
			}
		})
	}
}

func (p *faultPairRun) submit(id string, cancelAtOnce bool) {
	w := p.w
	if (w.accepted[id] || w.reportedTerminal[id] != "") && p.invalidJobs[id] == 0 {
		return
	}
	p.request(p.rng.IntN(len(w.nodes)), "POST", id, "", func(r Respond) {
		switch r.Status {
		case 200, 201:
			if cancelAtOnce {
				p.cancel(id)
			}
		case 400, 422:
		default:
			w.after(micros.Second, func() { p.submit(id, cancelAtOnce) })
		}
	})
}

// cancel asks for the end of a job until it is confirmed.
func (p *faultPairRun) cancel(id string) {
	w := p.w
	if w.reportedTerminal[id] != "" {
		return
	}
	again := func() { w.after(micros.Second, func() { p.cancel(id) }) }
	if !w.accepted[id] {
		again()
		return
	}
	w.cancelRequested[id] = true
	p.request(p.rng.IntN(len(w.nodes)), "POST", id, "/cancel", func(r Respond) {
		if r.Status != 200 {
			again()
		}
	})
}

func (p *faultPairRun) poll(id string) {
	w := p.w
	if w.reportedTerminal[id] != "" {
		return
	}
	p.request(p.rng.IntN(len(w.nodes)), "GET", id, "", func(Respond) {
		if w.reportedTerminal[id] == "" {
			w.after(4*micros.Second, func() { p.poll(id) })
		}
	})
}

// cancelFinishingJobs cancels half of the jobs that end, at the moment of their end.
func (p *faultPairRun) cancelFinishingJobs(over micros.Micros, seen map[string]bool) {
	w := p.w
	if w.now >= over {
		return
	}
	for _, id := range p.openJobs() {
		last := !seen[id]
		for i := range w.submitted[id].Tasks {
			last = last && w.done[wire.TaskName(id, i)]
		}
		if last {
			seen[id] = true
			if p.rng.IntN(2) == 0 {
				p.cancel(id)
			}
		}
	}
	w.after(simulationStep, func() { p.cancelFinishingJobs(over, seen) })
}
