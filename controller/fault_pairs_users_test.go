package controller

import (
	"fmt"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// generateInvalidJobs submits, during the faults, jobs that can never run or lack a field. Nodes may
// refuse such a job temporarily, or permanently with the status 422 or 400 that is expected for it, but
// must never accept it.
func (run *faultPairRun) generateInvalidJobs() {
	sim := run.sim
	for i, status := range []int{422, 422, 400} {
		id := fmt.Sprintf("req-%06d", 900+i)
		job := &sched.Job{ID: id, Class: "work", Team: "red", Tasks: 1, Need: sched.NewResources(2, 0, 2), Image: "img", ImageGB: 1}
		switch i {
		case 0:
			job.Need = sched.NewResources(64, 0, 2)
		case 1:
			job.Gang, job.Tasks = true, 60
		case 2:
			job.Tasks = 0
		}
		run.expectedRefusalStatus[id] = status
		sim.submitted[id], sim.submissions[id] = job, wire.Encode(wire.FromJob(job))
		sim.after(faultPairsWarmUp+run.randomSeconds(0, 30), func() { sim.submittedAt[id] = sim.now; run.submit(id, false) })
	}
}

// sendJobRequest sends a user's request about a job and checks the response.
func (run *faultPairRun) sendJobRequest(node int, method, id, pathSuffix string, done func(Respond)) {
	sim := run.sim
	path, body := "/api/jobs/"+id+pathSuffix, []byte(nil)
	if method == "POST" && pathSuffix == "" {
		path, body = "/api/jobs", sim.submissions[id]
	}
	reported, accepted, sent := sim.reportedTerminal[id], sim.accepted[id], sim.now
	sim.sendUserRequest(node, method, path, body, func(response Respond) {
		run.checkResponse(id, response, sent, accepted)
		if sim.accepted[id] && !accepted {
			run.queryAllNodes(id)
		}
		if sim.reportedTerminal[id] != "" && reported == "" {
			run.queryAllNodes(id)
		}
		done(response)
	})
}

// checkResponse checks a response to a user's request about a job. sent is the time of the request, and
// accepted reports whether the job had been accepted by then.
func (run *faultPairRun) checkResponse(id string, response Respond, sent micros.Micros, accepted bool) {
	sim := run.sim
	if run.expectedRefusalStatus[id] != 0 {
		if response.Status == 200 || response.Status == 201 || (response.Status == 400 || response.Status == 422) && response.Status != run.expectedRefusalStatus[id] {
			sim.reportViolation("refusals: a request about %s got status %d, want %d or a temporary refusal", id, response.Status, run.expectedRefusalStatus[id])
		}
		return
	}
	if (response.Status == 400 || response.Status == 422) && !accepted {
		sim.reportViolation("refusals: a request about %s, a valid job, got status %d", id, response.Status)
	}
	previous := sim.reportedTerminal[id]
	sim.checkResponse(id, response, sent)
	if previous == "" && sim.reportedTerminal[id] == wire.JobCancelled && run.onCancelAcknowledged != nil {
		notify := run.onCancelAcknowledged
		run.onCancelAcknowledged = nil
		notify(id)
	}
}

// queryAllNodes queries all nodes about a job that has just been accepted or reached a terminal state,
// repeatedly over the next 3 s, and each time sends a duplicate submission to one node.
func (run *faultPairRun) queryAllNodes(id string) {
	sim := run.sim
	for _, ms := range []int{0, 3, 15, 70, 400, 3000} {
		sim.after(micros.Micros(ms)*micros.Millisecond, func() {
			for n := range sim.nodes {
				run.sendJobRequest(n, "GET", id, "", func(Respond) {})
			}
			n := run.rng.IntN(len(sim.nodes))
			run.sendJobRequest(n, "POST", id, "", func(Respond) {})
			if sim.reportedTerminal[id] == wire.JobDone && run.rng.IntN(20) == 0 {
				sim.cancelRequested[id] = true // too late: the job remains done
			}
			if sim.cancelRequested[id] {
				run.sendJobRequest((n+1)%len(sim.nodes), "POST", id, "/cancel", func(Respond) {})
			}
		})
	}
}

// submit submits a job and retries every second until a node accepts it or refuses it permanently.
func (run *faultPairRun) submit(id string, cancelOnAcceptance bool) {
	sim := run.sim
	if (sim.accepted[id] || sim.reportedTerminal[id] != "") && run.expectedRefusalStatus[id] == 0 {
		return
	}
	run.sendJobRequest(run.rng.IntN(len(sim.nodes)), "POST", id, "", func(response Respond) {
		switch response.Status {
		case 200, 201:
			if cancelOnAcceptance {
				run.cancel(id)
			}
		case 400, 422:
		default:
			sim.after(micros.Second, func() { run.submit(id, cancelOnAcceptance) })
		}
	})
}

// cancel requests the cancellation of a job until it is acknowledged.
func (run *faultPairRun) cancel(id string) {
	sim := run.sim
	if sim.reportedTerminal[id] != "" {
		return
	}
	retry := func() { sim.after(micros.Second, func() { run.cancel(id) }) }
	if !sim.accepted[id] {
		retry()
		return
	}
	sim.cancelRequested[id] = true
	run.sendJobRequest(run.rng.IntN(len(sim.nodes)), "POST", id, "/cancel", func(response Respond) {
		if response.Status != 200 {
			retry()
		}
	})
}

// poll queries the state of a job repeatedly until a terminal state has been reported.
func (run *faultPairRun) poll(id string) {
	sim := run.sim
	if sim.reportedTerminal[id] != "" {
		return
	}
	run.sendJobRequest(run.rng.IntN(len(sim.nodes)), "GET", id, "", func(Respond) {
		if sim.reportedTerminal[id] == "" {
			sim.after(4*micros.Second, func() { run.poll(id) })
		}
	})
}

// cancelFinishingJobs cancels half of the jobs when their last task is done, until the given time. seen
// holds the jobs for which that has been decided.
func (run *faultPairRun) cancelFinishingJobs(until micros.Micros, seen map[string]bool) {
	sim := run.sim
	if sim.now >= until {
		return
	}
	for _, id := range run.openJobs() {
		if seen[id] || !sim.allTasksDone(id) {
			continue
		}
		seen[id] = true
		if run.rng.IntN(2) == 0 {
			run.cancel(id)
		}
	}
	sim.after(simulationStep, func() { run.cancelFinishingJobs(until, seen) })
}
