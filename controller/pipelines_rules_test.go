package controller

import (
	"slices"

	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// hasUnreportedDependency tells whether users were not told yet of all jobs that a job awaits that
// they are done.
func (sim *simulation) hasUnreportedDependency(id string) bool {
	return slices.ContainsFunc(sim.pipelines.dependencies[id], func(other string) bool { return sim.reportedTerminal[other] != wire.JobDone })
}

// mayBeCancelled tells whether a job may be called cancelled: its user asked for it, or a
// job that it needs was cancelled by its user.
func (sim *simulation) mayBeCancelled(id string) bool {
	return sim.cancelRequested[id] || slices.ContainsFunc(sim.pipelines.ancestors[id], func(a string) bool {
		return sim.cancelRequested[a] && sim.recordedTerminalState(a) == wire.JobCancelled
	})
}

// hasFailedDependency tells whether a job cannot be expected to be done, since one that it needs
// cannot.
func (sim *simulation) hasFailedDependency(id string) bool {
	return slices.ContainsFunc(sim.pipelines.ancestors[id], func(a string) bool {
		return sim.reportedTerminal[a] != wire.JobDone && (sim.cancelRequested[a] || sim.taskInfos[a].Fails)
	})
}

// checkStartAfterDependencies holds a start against the jobs that the task's job awaits.
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
			sim.reportViolation("ran_cancelled: %s starts after its user was told that a job before it is cancelled", task)
		}
	}
}

// checkCancelledAncestors finds tasks on machines long after a job that they need was cancelled.
func (sim *simulation) checkCancelledAncestors(task, id string) {
	for _, a := range sim.pipelines.ancestors[id] {
		if at, ok := sim.acknowledgedCancellations[a]; ok && sim.now > at+sim.cfg.CancellationDeadline {
			sim.reportViolation("ran_cancelled: %s is still on %s, %s before it is cancelled", task, sim.runningOn[task], a)
		}
	}
}

// checkDependencyRefusal sees that a job is refused for good because of those that it awaits only if
// one of them was not accepted before the question.
func (sim *simulation) checkDependencyRefusal(id string, status int, sent micros.Micros) {
	awaits := sim.pipelines.dependencies[id]
	if len(awaits) == 0 || status == 404 || sim.rejectionReason(sim.submitted[id]) != "" {
		return
	}
	for _, other := range awaits {
		if at, ok := sim.users.acceptedAt[other]; !ok || at > sent {
			return
		}
	}
	sim.reportViolation("refused: %s is answered %d although all jobs that it awaits were accepted", id, status)
}

// checkDependencyStatus holds what a user is told of a job against the jobs that it needs.
func (sim *simulation) checkDependencyStatus(id string, status wire.JobPhase) {
	pipelines := &sim.pipelines
	if len(pipelines.dependencies[id]) == 0 {
		return
	}
	if _, ok := sim.users.acceptedAt[id]; !ok {
		for _, other := range pipelines.dependencies[id] {
			_, active := sim.kvStore.Get(record.ActiveJobPrefix + other)
			if !active && sim.recordedTerminalState(other) == "" {
				sim.reportViolation("accepted_bad: %s is accepted, %s that it awaits never was", id, other)
			}
		}
	}
	if status == wire.JobDone || status == wire.JobCancelled {
		return
	}
	for _, a := range pipelines.ancestors[id] {
		if at, ok := sim.acknowledgedCancellations[a]; ok && sim.now > at+sim.cfg.CancellationDeadline {
			sim.reportViolation("orphaned: %s is called %s %v after the user of %s was told that it is cancelled", id, status, sim.now-at, a)
		}
	}
	waits := slices.ContainsFunc(pipelines.dependencies[id], func(other string) bool { return !sim.allTasksDone(other) })
	if waits {
		pipelines.queuedResponses[id]++
	}
	if waits && status != wire.JobQueued {
		sim.reportViolation("answer: %s is called %s while it waits for others", id, status)
	}
}

// checkPipelinesCompleted sees at a day's end that jobs after others are done, or run, or still have
// to wait for one that runs.
func (sim *simulation) checkPipelinesCompleted() {
	goesOn := func(id string) bool { return sim.reportedTerminal[id] == wire.JobDone || sim.runningTasks(id) > 0 }
	for _, id := range ordered.Keys(sim.pipelines.dependencies) {
		if !sim.accepted[id] || sim.cancelRequested[id] || sim.taskInfos[id].Fails || sim.hasFailedDependency(id) || goesOn(id) {
			continue
		}
		open := slices.DeleteFunc(slices.Clone(sim.pipelines.ancestors[id]), func(a string) bool { return sim.reportedTerminal[a] == wire.JobDone })
		last := max(sim.eligibleSince(id), sim.faultsEndedAt)
		for _, a := range sim.pipelines.ancestors[id] {
			last = max(last, sim.eligibleSince(a), sim.pipelines.completedAt[a])
		}
		if sim.now-last > maxSchedulableWait && !slices.ContainsFunc(open, func(a string) bool { return sim.runningTasks(a) > 0 }) {
			sim.reportViolation("unserved: %s is not done, and neither it nor a job that it needs runs", id)
		}
	}
}
