package controller

import (
	"math/rand/v2"
	"slices"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// pipelines are the jobs that wait for others. They draw from a row of their own, so that
// scenarios without them stay as they are.
type pipelines struct {
	rng       *rand.Rand
	awaits    map[string][]string      // those that a job names
	ancestors map[string][]string      // those that it needs, directly or through others
	atDone    map[string][]func()      // what happens as a job's last task completes
	early     int                      // tasks that waited for others and started
	waited    map[string]int           // how often a job was told to be queued while it waited
	endedAt   map[string]micros.Micros // when a job's last task completed
}

func newPipelines(seed uint64) pipelines {
	return pipelines{
		rng: rand.New(rand.NewPCG(seed, 4)), awaits: map[string][]string{}, ancestors: map[string][]string{},
		atDone: map[string][]func(){}, waited: map[string]int{}, endedAt: map[string]micros.Micros{},
	}
}

// noteAwaits has a job wait for others, and writes them into its submission. The jobs
// awaited are known before. "null" and "none" stand for no list and an empty one.
func (w *world) noteAwaits(id string, awaits []string) {
	if len(awaits) == 0 {
		return
	}
	switch awaits[0] {
	case "null":
		w.bodies[id] = withField(w.bodies[id], "awaits", nil)
		return
	case "none":
		w.bodies[id] = withField(w.bodies[id], "awaits", []string{})
		return
	}
	p := &w.pipelines
	p.awaits[id] = awaits
	seen := map[string]bool{}
	for _, other := range awaits {
		seen[other] = true
		for _, a := range p.ancestors[other] {
			seen[a] = true
		}
	}
	p.ancestors[id] = sortedKeys(seen)
	w.bodies[id] = withField(w.bodies[id], "awaits", awaits)
}

// withField adds a field to a submission.
func withField(body []byte, name string, value any) []byte {
	fields := map[string]any{}
	if err := wire.Decode(body, &fields); err != nil {
		panic(err) // the body is one of these tests
	}
	fields[name] = value
	return wire.Encode(fields)
}

// allDone tells whether all tasks of a job have completed.
func (w *world) allDone(id string) bool {
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

// recorded is the final state that the state service keeps of a job, or "".
func (w *world) recorded(id string) wire.JobPhase {
	value, ok := w.state.Get(record.TerminalStatePrefix + id)
	if !ok {
		return ""
	}
	var f struct {
		Status wire.JobPhase `cbor:"s"`
	}
	if err := wire.Decode(value, &f); err != nil {
		w.breakRule("record: the final state of %s cannot be read: %v", id, err)
	}
	return f.Status
}

// waitsForOthers tells whether users were not told yet of all jobs that a job awaits that
// they are done.
func (w *world) waitsForOthers(id string) bool {
	return slices.ContainsFunc(w.pipelines.awaits[id], func(other string) bool { return w.told[other] != wire.JobDone })
}

// mayBeCancelled tells whether a job may be called cancelled: its user asked for it, or a
// job that it needs was cancelled by its user.
func (w *world) mayBeCancelled(id string) bool {
	return w.wantsEnd[id] || slices.ContainsFunc(w.pipelines.ancestors[id], func(a string) bool {
		return w.wantsEnd[a] && w.recorded(a) == wire.JobCancelled
	})
}

// fallsWithOthers tells whether a job cannot be expected to be done, since one that it needs
// cannot.
func (w *world) fallsWithOthers(id string) bool {
	return slices.ContainsFunc(w.pipelines.ancestors[id], func(a string) bool {
		return w.told[a] != wire.JobDone && (w.wantsEnd[a] || w.infos[a].Fails)
	})
}

// checkEarly holds a start against the jobs that the task's job awaits.
func (w *world) checkEarly(task, id string) {
	p := &w.pipelines
	for _, other := range p.awaits[id] {
		if !w.allDone(other) {
			w.breakRule("too_early: %s starts before all tasks of %s are done", task, other)
		}
		if s := w.recorded(other); s != wire.JobDone {
			w.breakRule("too_early: %s starts while %s is recorded as %q", task, other, s)
		}
	}
	if len(p.awaits[id]) > 0 {
		p.early++
		if w.told[id] == wire.JobCancelled && !w.wantsEnd[id] {
			w.breakRule("ran_cancelled: %s starts after its user was told that a job before it is cancelled", task)
		}
	}
}

// checkOrphans finds tasks on machines long after a job that they need was cancelled.
func (w *world) checkOrphans(task, id string) {
	for _, a := range w.pipelines.ancestors[id] {
		if at, ok := w.cancelled[a]; ok && w.now > at+w.cfg.CancellationDeadline {
			w.breakRule("ran_cancelled: %s is still on %s, %s before it is cancelled", task, w.running[task], a)
		}
	}
}

// checkRefused sees that a job is refused for good because of those that it awaits only if
// one of them was not accepted before the question.
func (w *world) checkRefused(id string, status int, sent micros.Micros) {
	awaits := w.pipelines.awaits[id]
	if len(awaits) == 0 || status == 404 || w.neverFits(w.submitted[id]) != "" {
		return
	}
	for _, other := range awaits {
		if at, ok := w.crowd.acceptedAt[other]; !ok || at > sent {
			return
		}
	}
	w.breakRule("refused: %s is answered %d although all jobs that it awaits were accepted", id, status)
}

// checkDependencies holds what a user is told of a job against the jobs that it needs.
func (w *world) checkAwaited(id string, status wire.JobPhase) {
	p := &w.pipelines
	if len(p.awaits[id]) == 0 {
		return
	}
	if _, ok := w.crowd.acceptedAt[id]; !ok {
		for _, other := range p.awaits[id] {
			_, active := w.state.Get(record.ActiveJobPrefix + other)
			if !active && w.recorded(other) == "" {
				w.breakRule("accepted_bad: %s is accepted, %s that it awaits never was", id, other)
			}
		}
	}
	if status == wire.JobDone || status == wire.JobCancelled {
		return
	}
	for _, a := range p.ancestors[id] {
		if at, ok := w.cancelled[a]; ok && w.now > at+w.cfg.CancellationDeadline {
			w.breakRule("orphaned: %s is called %s %v after the user of %s was told that it is cancelled", id, status, w.now-at, a)
		}
	}
	waits := slices.ContainsFunc(p.awaits[id], func(other string) bool { return !w.allDone(other) })
	if waits {
		p.waited[id]++
	}
	if waits && status != wire.JobQueued {
		w.breakRule("answer: %s is called %s while it waits for others", id, status)
	}
}

// noteTaskDone does what is to happen at the moment at which a job's last task completes.
func (w *world) noteTaskDone(id string) {
	p := &w.pipelines
	if _, ok := p.endedAt[id]; ok || !w.allDone(id) {
		return
	}
	p.endedAt[id] = w.now
	for _, do := range p.atDone[id] {
		do()
	}
	delete(p.atDone, id)
}

// since is the moment from which a job's times count: when it was submitted, or the last job
// that it needs ended.
func (w *world) since(id string) micros.Micros {
	at := w.asked[id]
	for _, other := range w.pipelines.awaits[id] {
		at = max(at, w.pipelines.endedAt[other])
	}
	return at
}

// whenAccepted does something as soon as the users of all these jobs were told that they are
// accepted.
func (w *world) whenAccepted(ids []string, do func()) {
	if slices.ContainsFunc(ids, func(id string) bool { return !w.accepted[id] }) {
		w.after(worldStep, func() { w.whenAccepted(ids, do) })
		return
	}
	do()
}

// whenOver does something as soon as the users of all these jobs were told that they are
// over.
func (w *world) whenOver(ids []string, do func()) {
	if slices.ContainsFunc(ids, func(id string) bool { return w.told[id] == "" }) {
		w.after(worldStep, func() { w.whenOver(ids, do) })
		return
	}
	do()
}

// submitAwaiting submits a job as soon as those that it awaits are accepted, or over, and
// polls it.
func (w *world) submitAwaiting(id string, to int, over bool) {
	when := w.whenAccepted
	if over {
		when = w.whenOver
	}
	when(w.pipelines.awaits[id], func() {
		w.asked[id] = w.now
		w.submit(id, to)
		w.after(2*micros.Second, func() { w.poll(id, to) })
	})
}

// pipelinesServed sees at a day's end that jobs after others are done, or run, or still have
// to wait for one that runs.
func (w *world) pipelinesServed() {
	goesOn := func(id string) bool { return w.told[id] == wire.JobDone || w.onMachines(id) > 0 }
	for _, id := range sortedKeys(w.pipelines.awaits) {
		if !w.accepted[id] || w.wantsEnd[id] || w.infos[id].Fails || w.fallsWithOthers(id) || goesOn(id) {
			continue
		}
		open := slices.DeleteFunc(slices.Clone(w.pipelines.ancestors[id]), func(a string) bool { return w.told[a] == wire.JobDone })
		last := max(w.since(id), w.calm)
		for _, a := range w.pipelines.ancestors[id] {
			last = max(last, w.since(a), w.pipelines.endedAt[a])
		}
		if w.now-last > waitsFor && !slices.ContainsFunc(open, func(a string) bool { return w.onMachines(a) > 0 }) {
			w.breakRule("unserved: %s is not done, and neither it nor a job that it needs runs", id)
		}
	}
}

// badAwaits are lists of jobs to wait for that must be refused, and how; 0: accepted.
var badAwaits = []struct {
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
