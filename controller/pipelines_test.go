package controller

import (
	"math/rand/v2"
	"slices"

	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// pipelineState is the state of the simulation that concerns jobs with dependencies. It has its own
// random stream, so that it does not change the random draws of scenarios without dependencies.
type pipelineState struct {
	rng             *rand.Rand
	dependencies    map[string][]string      // the jobs that the job directly depends on
	ancestors       map[string][]string      // all upstream jobs of the job
	onDone          map[string][]func()      // to be called when the job's last task completes
	dependentStarts int                      // started tasks of jobs with dependencies
	queuedResponses map[string]int           // number of responses that showed the job as not ended while it was blocked
	completedAt     map[string]micros.Micros // when the job's last task completed
}

func newPipelineState(seed uint64) pipelineState {
	return pipelineState{
		rng: rand.New(rand.NewPCG(seed, dependencyStream)), dependencies: map[string][]string{}, ancestors: map[string][]string{},
		onDone: map[string][]func(){}, queuedResponses: map[string]int{}, completedAt: map[string]micros.Micros{},
	}
}

// setDependencies sets the dependencies of a job, which must be registered already, and adds them to
// its submission. "null" stands for a null list and "none" for an empty list.
func (sim *simulation) setDependencies(id string, dependencyIDs []string) {
	if len(dependencyIDs) == 0 {
		return
	}
	switch dependencyIDs[0] {
	case "null":
		sim.submissions[id] = withDependencyField(sim.submissions[id], nil)
		return
	case "none":
		sim.submissions[id] = withDependencyField(sim.submissions[id], []string{})
		return
	}
	pipelines := &sim.pipelines
	pipelines.dependencies[id] = dependencyIDs
	seen := map[string]bool{}
	for _, other := range dependencyIDs {
		seen[other] = true
		for _, a := range pipelines.ancestors[other] {
			seen[a] = true
		}
	}
	pipelines.ancestors[id] = ordered.Keys(seen)
	sim.submissions[id] = withDependencyField(sim.submissions[id], dependencyIDs)
}

// withDependencyField adds the protocol's dependency field to an encoded submission.
func withDependencyField(body []byte, value any) []byte {
	fields := map[string]any{}
	if err := wire.Decode(body, &fields); err != nil {
		panic(err) // the body was encoded by a test
	}
	fields["awaits"] = value
	return wire.Encode(fields)
}

// allTasksDone reports whether all tasks of a job have completed.
func (sim *simulation) allTasksDone(id string) bool {
	job := sim.submitted[id]
	return job != nil && sim.remainingTasks(job) == 0
}

// recordedTerminalState returns the recorded terminal state of a job, or "".
func (sim *simulation) recordedTerminalState(id string) wire.JobPhase {
	value, ok := sim.kvStore.Get(record.TerminalStatePrefix + id)
	if !ok {
		return ""
	}
	var f struct {
		Status wire.JobPhase `cbor:"s"`
	}
	if err := wire.Decode(value, &f); err != nil {
		sim.reportViolation("record: the terminal state of %s cannot be decoded: %v", id, err)
	}
	return f.Status
}

// runCompletionHooks calls the functions that are registered for the completion of a job's last task.
func (sim *simulation) runCompletionHooks(id string) {
	pipelines := &sim.pipelines
	if _, ok := pipelines.completedAt[id]; ok || !sim.allTasksDone(id) {
		return
	}
	pipelines.completedAt[id] = sim.now
	for _, do := range pipelines.onDone[id] {
		do()
	}
	delete(pipelines.onDone, id)
}

// eligibleSince returns the time from which a job's waiting time counts: the later of its submission
// and the completion of its last dependency.
func (sim *simulation) eligibleSince(id string) micros.Micros {
	at := sim.submittedAt[id]
	for _, other := range sim.pipelines.dependencies[id] {
		at = max(at, sim.pipelines.completedAt[other])
	}
	return at
}

// whenAccepted calls do as soon as the acceptance of all given jobs has been reported.
func (sim *simulation) whenAccepted(ids []string, do func()) {
	if slices.ContainsFunc(ids, func(id string) bool { return !sim.accepted[id] }) {
		sim.after(simulationStep, func() { sim.whenAccepted(ids, do) })
		return
	}
	do()
}

// whenTerminal calls do as soon as the terminal states of all given jobs have been reported.
func (sim *simulation) whenTerminal(ids []string, do func()) {
	if slices.ContainsFunc(ids, func(id string) bool { return sim.reportedTerminal[id] == "" }) {
		sim.after(simulationStep, func() { sim.whenTerminal(ids, do) })
		return
	}
	do()
}

// submitAfterDependencies submits a job and polls it, as soon as its dependencies are reported as
// accepted or, with afterFinish, as having reached a terminal state.
func (sim *simulation) submitAfterDependencies(id string, to int, afterFinish bool) {
	when := sim.whenAccepted
	if afterFinish {
		when = sim.whenTerminal
	}
	when(sim.pipelines.dependencies[id], func() {
		sim.submittedAt[id] = sim.now
		sim.submit(id, to)
		sim.after(2*micros.Second, func() { sim.poll(id, to) })
	})
}

// invalidDependencies are lists of dependencies that must be refused, with the expected status.
var invalidDependencies = []struct {
	name  string
	value func(id, known string) any
	want  int
}{
	{"text", func(_, known string) any { return known }, 400},
	{"number", func(_, _ string) any { return 7 }, 400},
	{"map", func(_, known string) any { return map[string]int{known: 1} }, 400},
	{"numbers", func(_, _ string) any { return []int{1} }, 400},
	{"other-form", func(_, known string) any { return []string{known, "job-7"} }, 400},
	{"empty-name", func(_, _ string) any { return []string{""} }, 400},
	{"null-name", func(_, known string) any { return []any{known, nil} }, 400},
	{"never-accepted", func(_, known string) any { return []string{known, "req-999999"} }, 422},
	{"itself", func(id, _ string) any { return []string{id} }, 422},
}
