package controller

import (
	"math/rand/v2"
	"slices"

	"tamarindlead/internal/ordered"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// pipelineState are the jobs that wait for others. They draw from a row of their own, so that
// scenarios without them stay as they are.
type pipelineState struct {
	rng             *rand.Rand
	dependencies    map[string][]string      // those that a job names
	ancestors       map[string][]string      // those that it needs, directly or through others
	onDone          map[string][]func()      // what happens as a job's last task completes
	earlyStarts     int                      // tasks that waited for others and started
	queuedResponses map[string]int           // how often a job was told to be queued while it waited
	endedAt         map[string]micros.Micros // when a job's last task completed
}

func newPipelineState(seed uint64) pipelineState {
	return pipelineState{
		rng: rand.New(rand.NewPCG(seed, 4)), dependencies: map[string][]string{}, ancestors: map[string][]string{},
		onDone: map[string][]func(){}, queuedResponses: map[string]int{}, endedAt: map[string]micros.Micros{},
	}
}

// setDependencies has a job wait for others, and writes them into its submission. The jobs
// awaited are known before. "null" and "none" stand for no list and an empty one.
func (w *simulation) setDependencies(id string, awaits []string) {
	if len(awaits) == 0 {
		return
	}
	switch awaits[0] {
	case "null":
		w.bodies[id] = withAwaits(w.bodies[id], nil)
		return
	case "none":
		w.bodies[id] = withAwaits(w.bodies[id], []string{})
		return
	}
	p := &w.pipelines
	p.dependencies[id] = awaits
	seen := map[string]bool{}
	for _, other := range awaits {
		seen[other] = true
		for _, a := range p.ancestors[other] {
			seen[a] = true
		}
	}
	p.ancestors[id] = ordered.Keys(seen)
	w.bodies[id] = withAwaits(w.bodies[id], awaits)
}

// withAwaits adds the dependencies to a submission, as the protocol names them.
func withAwaits(body []byte, value any) []byte {
	fields := map[string]any{}
	if err := wire.Decode(body, &fields); err != nil {
		panic(err) // the body is one of these tests
	}
	fields["awaits"] = value
	return wire.Encode(fields)
}

// allTasksDone tells whether all tasks of a job have completed.
func (w *simulation) allTasksDone(id string) bool {
	j := w.submitted[id]
	if j == nil {
		return false
	}
	for i := range j.Tasks {
		if !w.done[wire.TaskName(id, i)] {
			return false
		}
	}
	return true
}

// recordedTerminalState is the final state that the state service keeps of a job, or "".
func (w *simulation) recordedTerminalState(id string) wire.JobPhase {
	value, ok := w.kvStore.Get(record.TerminalStatePrefix + id)
	if !ok {
		return ""
	}
	var f struct {
		Status wire.JobPhase `cbor:"s"`
	}
	if err := wire.Decode(value, &f); err != nil {
		w.reportViolation("record: the final state of %s cannot be read: %v", id, err)
	}
	return f.Status
}

// isBlocked tells whether users were not told yet of all jobs that a job awaits that
// they are done.
func (w *simulation) isBlocked(id string) bool {
	return slices.ContainsFunc(w.pipelines.dependencies[id], func(other string) bool { return w.reportedTerminal[other] != wire.JobDone })
}

// mayBeCancelled tells whether a job may be called cancelled: its user asked for it, or a
// job that it needs was cancelled by its user.
func (w *simulation) mayBeCancelled(id string) bool {
	return w.cancelRequested[id] || slices.ContainsFunc(w.pipelines.ancestors[id], func(a string) bool {
		return w.cancelRequested[a] && w.recordedTerminalState(a) == wire.JobCancelled
	})
}

// hasFailedDependency tells whether a job cannot be expected to be done, since one that it needs
// cannot.
func (w *simulation) hasFailedDependency(id string) bool {
	return slices.ContainsFunc(w.pipelines.ancestors[id], func(a string) bool {
		return w.reportedTerminal[a] != wire.JobDone && (w.cancelRequested[a] || w.infos[a].Fails)
	})
}

// checkStartAfterDependencies holds a start against the jobs that the task's job awaits.
func (w *simulation) checkStartAfterDependencies(task, id string) {
	p := &w.pipelines
	for _, other := range p.dependencies[id] {
		if !w.allTasksDone(other) {
			w.reportViolation("too_early: %s starts before all tasks of %s are done", task, other)
		}
		if s := w.recordedTerminalState(other); s != wire.JobDone {
			w.reportViolation("too_early: %s starts while %s is recorded as %q", task, other, s)
		}
	}
	if len(p.dependencies[id]) > 0 {
		p.earlyStarts++
		if w.reportedTerminal[id] == wire.JobCancelled && !w.cancelRequested[id] {
			w.reportViolation("ran_cancelled: %s starts after its user was told that a job before it is cancelled", task)
		}
	}
}

// checkOrphans finds tasks on machines long after a job that they need was cancelled.
func (w *simulation) checkOrphans(task, id string) {
	for _, a := range w.pipelines.ancestors[id] {
		if at, ok := w.cancelled[a]; ok && w.now > at+w.cfg.CancellationDeadline {
			w.reportViolation("ran_cancelled: %s is still on %s, %s before it is cancelled", task, w.running[task], a)
		}
	}
}

// checkRefused sees that a job is refused for good because of those that it awaits only if
// one of them was not accepted before the question.
func (w *simulation) checkRefused(id string, status int, sent micros.Micros) {
	awaits := w.pipelines.dependencies[id]
	if len(awaits) == 0 || status == 404 || w.neverFits(w.submitted[id]) != "" {
		return
	}
	for _, other := range awaits {
		if at, ok := w.users.acceptedAt[other]; !ok || at > sent {
			return
		}
	}
	w.reportViolation("refused: %s is answered %d although all jobs that it awaits were accepted", id, status)
}

// checkDependencyStatus holds what a user is told of a job against the jobs that it needs.
func (w *simulation) checkDependencyStatus(id string, status wire.JobPhase) {
	p := &w.pipelines
	if len(p.dependencies[id]) == 0 {
		return
	}
	if _, ok := w.users.acceptedAt[id]; !ok {
		for _, other := range p.dependencies[id] {
			_, active := w.kvStore.Get(record.ActiveJobPrefix + other)
			if !active && w.recordedTerminalState(other) == "" {
				w.reportViolation("accepted_bad: %s is accepted, %s that it awaits never was", id, other)
			}
		}
	}
	if status == wire.JobDone || status == wire.JobCancelled {
		return
	}
	for _, a := range p.ancestors[id] {
		if at, ok := w.cancelled[a]; ok && w.now > at+w.cfg.CancellationDeadline {
			w.reportViolation("orphaned: %s is called %s %v after the user of %s was told that it is cancelled", id, status, w.now-at, a)
		}
	}
	waits := slices.ContainsFunc(p.dependencies[id], func(other string) bool { return !w.allTasksDone(other) })
	if waits {
		p.queuedResponses[id]++
	}
	if waits && status != wire.JobQueued {
		w.reportViolation("answer: %s is called %s while it waits for others", id, status)
	}
}

// TaskDone does what is to happen at the moment at which a job's last task completes.
func (w *simulation) taskDone(id string) {
	p := &w.pipelines
	if _, ok := p.endedAt[id]; ok || !w.allTasksDone(id) {
		return
	}
	p.endedAt[id] = w.now
	for _, do := range p.onDone[id] {
		do()
	}
	delete(p.onDone, id)
}

// eligibleSince is the moment from which a job's times count: when it was submitted, or the last job
// that it needs ended.
func (w *simulation) eligibleSince(id string) micros.Micros {
	at := w.submittedAt[id]
	for _, other := range w.pipelines.dependencies[id] {
		at = max(at, w.pipelines.endedAt[other])
	}
	return at
}

// whenAccepted does something as soon as the users of all these jobs were told that they are
// accepted.
func (w *simulation) whenAccepted(ids []string, do func()) {
	if slices.ContainsFunc(ids, func(id string) bool { return !w.accepted[id] }) {
		w.after(simulationStep, func() { w.whenAccepted(ids, do) })
		return
	}
	do()
}

// whenTerminal does something as soon as the users of all these jobs were told that they are
// over.
func (w *simulation) whenTerminal(ids []string, do func()) {
	if slices.ContainsFunc(ids, func(id string) bool { return w.reportedTerminal[id] == "" }) {
		w.after(simulationStep, func() { w.whenTerminal(ids, do) })
		return
	}
	do()
}

// submitAfterDependencies submits a job as soon as those that it awaits are accepted, or over, and
// polls it.
func (w *simulation) submitAfterDependencies(id string, to int, over bool) {
	when := w.whenAccepted
	if over {
		when = w.whenTerminal
	}
	when(w.pipelines.dependencies[id], func() {
		w.submittedAt[id] = w.now
		w.submit(id, to)
		w.after(2*micros.Second, func() { w.poll(id, to) })
	})
}

// checkPipelinesCompleted sees at a day's end that jobs after others are done, or run, or still have
// to wait for one that runs.
func (w *simulation) checkPipelinesCompleted() {
	goesOn := func(id string) bool { return w.reportedTerminal[id] == wire.JobDone || w.onMachines(id) > 0 }
	for _, id := range ordered.Keys(w.pipelines.dependencies) {
		if !w.accepted[id] || w.cancelRequested[id] || w.infos[id].Fails || w.hasFailedDependency(id) || goesOn(id) {
			continue
		}
		open := slices.DeleteFunc(slices.Clone(w.pipelines.ancestors[id]), func(a string) bool { return w.reportedTerminal[a] == wire.JobDone })
		last := max(w.eligibleSince(id), w.faultsEndedAt)
		for _, a := range w.pipelines.ancestors[id] {
			last = max(last, w.eligibleSince(a), w.pipelines.endedAt[a])
		}
		if w.now-last > maxSchedulableWait && !slices.ContainsFunc(open, func(a string) bool { return w.onMachines(a) > 0 }) {
			w.reportViolation("unserved: %s is not done, and neither it nor a job that it needs runs", id)
		}
	}
}

// invalidDependencies are lists of jobs to wait for that must be refused, and how; 0: accepted.
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
