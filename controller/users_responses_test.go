package controller

import (
	"slices"
	"strings"

	"tamarindlead/config"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// checkRefusal checks that a temporary refusal has a Retry-After header, and that throttling with 429
// is immediate.
func (sim *simulation) checkRefusal(request Request, response Respond, took micros.Micros) {
	if request.Peer || !strings.HasPrefix(request.Path, "/api/jobs") || response.Status != 429 && response.Status != 503 {
		return
	}
	sim.users.refusals[response.Status]++
	if response.RetryAfter < 1 {
		sim.reportViolation("refused: %s %s is answered with status %d without Retry-After", request.Method, request.Path, response.Status)
	}
	if response.Status == 429 && took > maxRefusalLatency {
		sim.reportViolation("refused: %s %s is answered with status 429 only after %v", request.Method, request.Path, took)
	}
}

// checkResponse checks a response against the responses that arrived before its request was sent.
// Concurrent requests may be answered in any order, but all must report the same terminal state.
func (sim *simulation) checkResponse(id string, response Respond, sent micros.Micros) {
	switch response.Status {
	case wire.StatusNotFound, wire.StatusBadRequest, wire.StatusUnprocessable:
		if at, known := sim.users.acceptedAt[id]; known && at <= sent {
			sim.reportViolation("forgotten: a request about %s is answered with status %d", id, response.Status)
		}
		sim.checkDependencyRefusal(id, response.Status, sent)
	case wire.StatusOK, wire.StatusCreated:
		sim.checkAcceptedResponse(id, response.Body, sent)
	}
}

// checkAcceptedResponse checks a response that shows that a job was accepted.
func (sim *simulation) checkAcceptedResponse(id string, body []byte, sent micros.Micros) {
	users := &sim.users
	if why := users.mustRefuse[id]; why != "" {
		sim.reportViolation("accepted_bad: %s is accepted: %s", id, why)
		return
	}
	job := sim.submitted[id]
	if job == nil {
		sim.reportViolation("invented: %s was never submitted", id)
		return
	}
	if why := sim.rejectionReason(job); why != "" && !sim.accepted[id] {
		sim.reportViolation("accepted_bad: %s is accepted: %s", id, why)
	}
	users.responseCount[id]++
	sim.accepted[id], sim.lastAnsweredAt[id] = true, sim.now
	var state wire.JobState
	if wire.Decode(body, &state) != nil || state.ID != id {
		sim.reportViolation("answer: the response about %s cannot be decoded", id)
		return
	}
	sim.checkDependencyStatus(id, state.Status)
	sim.checkState(job, state.Status, sent)
}

// checkState checks the state of a job that a response reports.
func (sim *simulation) checkState(job *sched.Job, status wire.JobPhase, sent micros.Micros) {
	users, id := &sim.users, job.ID
	terminal := status == wire.JobDone || status == wire.JobCancelled
	if was, ok := sim.reportedTerminal[id]; ok && was != status && (terminal || users.terminalSeenAt[id] <= sent) {
		sim.reportViolation("went_back: %s was %s, is %s", id, was, status)
	}
	fresh := sim.reportedTerminal[id] == "" && terminal
	if _, ok := users.acceptedAt[id]; !ok {
		users.acceptedAt[id], fresh = sim.now, true
		if in, ok := users.cancelAfter[id]; ok {
			sim.after(in, func() { sim.cancel(id, users.rng.IntN(len(sim.nodes))) })
		}
	}
	if terminal {
		sim.checkTerminalState(job, status)
	}
	if fresh {
		sim.checkConsistency(id)
	}
}

// checkTerminalState checks that a job has the terminal state that is reported, and records it.
func (sim *simulation) checkTerminalState(job *sched.Job, status wire.JobPhase) {
	id := job.ID
	if status == wire.JobDone {
		sim.checkTasksDone(job)
	} else {
		if !sim.mayBeCancelled(id) {
			sim.reportViolation("went_back: neither %s nor an upstream job was cancelled by a user", id)
		}
		if _, ok := sim.acknowledgedCancellations[id]; !ok {
			sim.acknowledgedCancellations[id] = sim.now
		}
	}
	if sim.reportedTerminal[id] == "" {
		sim.reportedTerminal[id], sim.users.terminalSeenAt[id] = status, sim.now
	}
}

// checkTasksDone checks that all tasks of a job that is reported as done have completed.
func (sim *simulation) checkTasksDone(job *sched.Job) {
	for i := range job.Tasks {
		if !sim.completedTasks[wire.TaskName(job.ID, i)] {
			sim.reportViolation("not_done: %s without task %d", job.ID, i)
			return
		}
	}
}

// rejectionReason returns why a job must not be accepted, or "" if it may be accepted.
func (sim *simulation) rejectionReason(job *sched.Job) string {
	i := slices.IndexFunc(sim.cfg.Teams, func(team config.Team) bool { return team.Name == job.Team })
	if i < 0 {
		return "unknown team"
	}
	need := job.Need.CPUs()
	if job.Gang {
		need *= float64(job.Tasks)
	}
	if limit := sim.cfg.Teams[i].QuotaLimit; limit.CPU > 0 && need > limit.CPUs() {
		return "needs more than the team's quota limit"
	}
	if job.Tasks < 1 || job.Tasks > 100000 {
		return "invalid number of tasks"
	}
	for _, machineType := range sim.cloud.Types {
		if job.Need.CPUs() > machineType.CPUs || sim.taskInfos[job.ID].Mem > machineType.MemGB {
			continue
		}
		if slices.ContainsFunc(machineType.Zones, func(z string) bool { return job.Allows(machineType.Name, z, false) }) {
			return ""
		}
	}
	return "a task fits no machine type"
}
