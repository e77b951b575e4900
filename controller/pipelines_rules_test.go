package controller

import (
	"slices"

	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// hasUnreportedDependency reports whether a dependency of a job has not been reported as done yet.
func (sim *simulation) hasUnreportedDependency(id string) bool {
	return slices.ContainsFunc(sim.pipelines.dependencies[id], func(other string) bool { return sim.reportedTerminal[other] != wire.JobDone })
}

// mayBeCancelled reports whether a job may be reported as cancelled: its user requested it, or an
// upstream job was cancelled at the request of its user.
func (sim *simulation) mayBeCancelled(id string) bool {
	return sim.cancelRequested[id] || slices.ContainsFunc(sim.pipelines.ancestors[id], func(a string) bool {
		return sim.cancelRequested[a] && sim.recordedTerminalState(a) == wire.JobCancelled
	})
}

// hasFailedDependency reports whether a job cannot complete because an upstream job cannot.
func (sim *simulation) hasFailedDependency(id string) bool {
	return slices.ContainsFunc(sim.pipelines.ancestors[id], func(a string) bool {
		return sim.reportedTerminal[a] != wire.JobDone && (sim.cancelRequested[a] || sim.taskInfos[a].Fails)
	})
}

// checkStartAfterDependencies checks that a task starts after all dependencies of its job are done.
func (sim *simulation) checkStartAfterDependencies(task, id string) {
	pipelines := &sim.pipelines
	for _, other := range pipelines.dependencies[id] {
		if !sim.allTasksDone(other) {
			sim.reportViolation("too_early: %s starts before all tasks of %s are done", task, other)
		}
		if s := sim.recordedTerminalState(other); s != wire.JobDone {
			sim.reportViolation("too_early: %s starts while %s is recorded as %q", task, other, s)
		}
	}
	if len(pipelines.dependencies[id]) > 0 {
		pipelines.dependentStarts++
		if sim.reportedTerminal[id] == wire.JobCancelled && !sim.cancelRequested[id] {
			sim.reportViolation("ran_cancelled: %s starts after its job's user was told that an upstream job is cancelled", task)
		}
	}
}

// checkCancelledAncestors reports a task that still runs long after an upstream job was cancelled.
func (sim *simulation) checkCancelledAncestors(task, id string) {
	for _, a := range sim.pipelines.ancestors[id] {
		if at, ok := sim.acknowledgedCancellations[a]; ok && sim.now > at+sim.cfg.CancellationDeadline {
			sim.reportViolation("ran_cancelled: %s is still on %s, %s before it is cancelled", task, sim.runningOn[task], a)
		}
	}
}

// checkDependencyRefusal checks that a job is permanently refused because of its dependencies only if
// one of them had not been accepted when the request was sent.
func (sim *simulation) checkDependencyRefusal(id string, status int, sent micros.Micros) {
	dependencyIDs := sim.pipelines.dependencies[id]
	if len(dependencyIDs) == 0 || status == 404 || sim.rejectionReason(sim.submitted[id]) != "" {
		return
	}
	for _, other := range dependencyIDs {
		if at, ok := sim.users.acceptedAt[other]; !ok || at > sent {
			return
		}
	}
	sim.reportViolation("refused: %s is answered with status %d although all its dependencies were accepted", id, status)
}

// checkDependencyStatus checks a reported state of a job against the states of its upstream jobs.
func (sim *simulation) checkDependencyStatus(id string, status wire.JobPhase) {
	pipelines := &sim.pipelines
	if len(pipelines.dependencies[id]) == 0 {
		return
	}
	if _, ok := sim.users.acceptedAt[id]; !ok {
		for _, other := range pipelines.dependencies[id] {
			_, active := sim.kvStore.Get(record.ActiveJobPrefix + other)
			if !active && sim.recordedTerminalState(other) == "" {
				sim.reportViolation("accepted_bad: %s is accepted although its dependency %s never was", id, other)
			}
		}
	}
	if status == wire.JobDone || status == wire.JobCancelled {
		return
	}
	for _, a := range pipelines.ancestors[id] {
		if at, ok := sim.acknowledgedCancellations[a]; ok && sim.now > at+sim.cfg.CancellationDeadline {
			sim.reportViolation("orphaned: %s is reported as %s %v after the cancellation of %s was acknowledged", id, status, sim.now-at, a)
		}
	}
	blocked := slices.ContainsFunc(pipelines.dependencies[id], func(other string) bool { return !sim.allTasksDone(other) })
	if blocked {
		pipelines.queuedResponses[id]++
	}
	if blocked && status != wire.JobQueued {
		sim.reportViolation("answer: %s is reported as %s while it depends on unfinished jobs", id, status)
	}
}

// checkPipelinesCompleted is a final check: each job with dependencies must be done or running, or
// depend on a running job, or have been eligible for at most maxSchedulableWait.
func (sim *simulation) checkPipelinesCompleted() {
	doneOrRunning := func(id string) bool { return sim.reportedTerminal[id] == wire.JobDone || sim.runningTasks(id) > 0 }
	for _, id := range ordered.Keys(sim.pipelines.dependencies) {
		if !sim.accepted[id] || sim.cancelRequested[id] || sim.taskInfos[id].Fails || sim.hasFailedDependency(id) || doneOrRunning(id) {
			continue
		}
		open := slices.DeleteFunc(slices.Clone(sim.pipelines.ancestors[id]), func(a string) bool { return sim.reportedTerminal[a] == wire.JobDone })
		last := max(sim.eligibleSince(id), sim.faultsEndedAt)
		for _, a := range sim.pipelines.ancestors[id] {
			last = max(last, sim.eligibleSince(a), sim.pipelines.completedAt[a])
		}
		if sim.now-last > maxSchedulableWait && !slices.ContainsFunc(open, func(a string) bool { return sim.runningTasks(a) > 0 }) {
			sim.reportViolation("unserved: %s is not done, and neither it nor an upstream job runs", id)
		}
	}
}
