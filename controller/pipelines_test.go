package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/record"
	"tamarindlead/internal/standin"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
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
func (w *world) recorded(id string) string {
	value, ok := w.state.Get(record.FinalPrefix + id)
	if !ok {
		return ""
	}
	var f struct {
		Status string `cbor:"s"`
	}
	if err := wire.Decode(value, &f); err != nil {
		w.breakRule("record: the final state of %s cannot be read: %v", id, err)
	}
	return string(f.Status)
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
		if at, ok := w.cancelled[a]; ok && w.now > at+w.cfg.CancelIn {
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

// checkAwaited holds what a user is told of a job against the jobs that it needs.
func (w *world) checkAwaited(id, status string) {
	p := &w.pipelines
	if len(p.awaits[id]) == 0 {
		return
	}
	if _, ok := w.crowd.acceptedAt[id]; !ok {
		for _, other := range p.awaits[id] {
			_, active := w.state.Get(record.ActivePrefix + other)
			if !active && w.recorded(other) == "" {
				w.breakRule("accepted_bad: %s is accepted, %s that it awaits never was", id, other)
			}
		}
	}
	if status == wire.JobDone || status == wire.JobCancelled {
		return
	}
	for _, a := range p.ancestors[id] {
		if at, ok := w.cancelled[a]; ok && w.now > at+w.cfg.CancelIn {
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

// awaitsArg reads a list of jobs such as (req-000001,req-000004..req-000009).
func awaitsArg(t *testing.T, d *datadriven.TestData) []string {
	var ids []string
	for _, a := range d.CmdArgs {
		if a.Key != "awaits" {
			continue
		}
		for _, v := range a.Vals {
			from, to, isRange := strings.Cut(v, "..")
			if !isRange {
				ids = append(ids, v)
				continue
			}
			var first, last int
			if _, err := fmt.Sscanf(from+" "+to, "req-%d req-%d", &first, &last); err != nil || last < first {
				d.Fatalf(t, "awaits: %s is no range of jobs", v)
			}
			for i := first; i <= last; i++ {
				ids = append(ids, jobName(i))
			}
		}
	}
	return ids
}

// withAwaits is a command's arguments with other jobs to wait for.
func withAwaits(d *datadriven.TestData, ids ...string) *datadriven.TestData {
	one := *d
	one.CmdArgs = slices.DeleteFunc(slices.Clone(d.CmdArgs), func(a datadriven.CmdArg) bool { return a.Key == "awaits" })
	if len(ids) > 0 {
		one.CmdArgs = append(one.CmdArgs, datadriven.CmdArg{Key: "awaits", Vals: ids})
	}
	return &one
}

// answerState is the state in an answer, or its status if it tells none.
func answerState(r Respond) string {
	var st wire.JobState
	if (r.Status == 200 || r.Status == 201) && wire.Decode(r.Body, &st) == nil {
		return st.Status
	}
	return fmt.Sprint(r.Status)
}

// answerOf sends a user's request about a job and runs until it is answered.
func (w *world) answerOf(node int, method, path, id string, body []byte) Respond {
	var got *Respond
	sent := w.now
	w.user(node, method, path, body, func(r Respond) {
		w.checkAnswer(id, r, sent)
		got = &r
	})
	for end := w.now + 6*micros.Second; got == nil && w.now < end; {
		w.run(worldStep)
	}
	if got == nil {
		return Respond{}
	}
	return *got
}

// watchJobs asks all nodes about jobs again and again.
func (w *world) watchJobs(ids []string, every, until micros.Micros) {
	if w.now > until {
		return
	}
	sent := w.now
	for _, id := range ids {
		if !w.accepted[id] {
			continue
		}
		for n := range w.nodes {
			w.user(n, "GET", "/api/jobs/"+id, nil, func(r Respond) { w.checkAnswer(id, r, sent) })
		}
	}
	w.after(every, func() { w.watchJobs(ids, every, until) })
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

// sendBadAwaits submits jobs with such lists at a node and tells how they are answered.
func (w *world) sendBadAwaits(to, first int, known string) string {
	var out []string
	for i, b := range badAwaits {
		id := jobName(first + i)
		w.crowd.bad[id] = "awaits: " + b.name
		body := withField(wire.Encode(w.goodFields(id)), "awaits", b.value(id, known))
		r := w.answerOf(to, "POST", "/api/jobs", id, body)
		if b.want == 400 && r.Status != 400 {
			w.breakRule("accepted_bad: awaits of the form %s is answered %d", b.name, r.Status)
		}
		out = append(out, fmt.Sprintf("%s %d", b.name, r.Status))
	}
	return strings.Join(out, "\n")
}

// row lists the jobs from= to from+count-1.
func row(t *testing.T, d *datadriven.TestData) []string {
	var ids []string
	for i := range arg(t, d, "count", 1) {
		ids = append(ids, jobName(arg(t, d, "from", 1)+i))
	}
	return ids
}

// pipelineVerb plays the commands of this file; ok is false for any other.
func pipelineVerb(t *testing.T, w *world, d *datadriven.TestData, node func() *simNode) (out string, ok bool) {
	p := &w.pipelines
	id := arg(t, d, "job", "req-000001")
	path := "/api/jobs/" + id
	switch d.Cmd {
	case "chain": // each job waits for the one before it
		before := awaitsArg(t, d)
		for _, id := range row(t, d) {
			submitCommand(t, w, withAwaits(d, before...), id)
			before = []string{id}
		}
	case "fan": // all wait for the same
		for _, id := range row(t, d) {
			submitCommand(t, w, d, id)
		}
	case "repeat": // the submission again, and its answer
		r := w.answerOf(arg(t, d, "to", 0), "POST", "/api/jobs", id, w.bodies[id])
		return fmt.Sprintf("%d %s", r.Status, answerState(r)), true
	case "cancel-answer":
		w.wantsEnd[id] = true
		return answerState(w.answerOf(arg(t, d, "to", 0), "POST", path+"/cancel", id, nil)), true
	case "cancel-at-done": // a job is cancelled at the moment at which another's last task completes, or soon after
		of, in := arg(t, d, "of", id), argSeconds(t, d, "in", 0)
		p.atDone[of] = append(p.atDone[of], func() {
			w.after(in, func() { w.cancel(id, p.rng.IntN(len(w.nodes))) })
		})
	case "crash-at-done": // the leader, or all
		in, away := argSeconds(t, d, "in", 0), argSeconds(t, d, "for", worldLife.Seconds())
		p.atDone[id] = append(p.atDone[id], func() {
			w.after(in, func() {
				for i, n := range w.nodes {
					if d.HasArg("all") || i == w.leader() {
						w.crash(n, away)
					}
				}
			})
		})
	case "until-ended": // all tasks of a job completed, whoever knows of it
		for end := w.now + argSeconds(t, d, "s", 240); w.now < end && !w.allDone(id); {
			w.run(worldStep)
		}
		if !w.allDone(id) {
			return "not ended", true
		}
		return "ended", true
	case "until-recorded": // a job's final state, whoever was told
		for end := w.now + argSeconds(t, d, "s", 240); w.now < end && w.recorded(id) == ""; {
			w.run(worldStep)
		}
		return w.recorded(id), true
	case "until-told":
		for end := w.now + argSeconds(t, d, "s", 240); w.now < end && w.told[id] == ""; {
			w.run(worldStep)
		}
		if w.told[id] == "" {
			return "open", true
		}
		return w.told[id], true
	case "state":
		return answerState(w.answerOf(node().index, "GET", path, id, nil)), true
	case "ask-all":
		states := make([]string, len(w.nodes))
		open, sent := len(states), w.now
		for i := range w.nodes {
			w.user(i, "GET", path, nil, func(r Respond) {
				w.checkAnswer(id, r, sent)
				states[i], open = answerState(r), open-1
			})
		}
		for open > 0 {
			w.run(worldStep)
		}
		return strings.Join(states, " "), true
	case "watch-jobs":
		w.watchJobs(row(t, d), argSeconds(t, d, "every", 1), w.now+argSeconds(t, d, "for", 60))
	case "told":
		n := map[string]int{}
		for _, id := range row(t, d) {
			s := w.told[id]
			if s == "" {
				s = "open"
			}
			n[s]++
		}
		var lines []string
		for _, s := range sortedKeys(n) {
			lines = append(lines, fmt.Sprintf("%d %s", n[s], s))
		}
		return strings.Join(lines, ", "), true
	case "bad-awaits":
		return w.sendBadAwaits(arg(t, d, "to", 0), arg(t, d, "from", 970000), id), true
	case "began-before": // the first task of a job started before that of another
		of := arg(t, d, "of", "")
		return fmt.Sprint(w.began[id] > 0 && (w.began[of] == 0 || w.began[id] < w.began[of])), true
	case "waited": // a user saw the job queued while it waited
		return fmt.Sprint(p.waited[id] > 0), true
	default:
		return "", false
	}
	return "", true
}

// drawPipelines adds pipelines to a drawn run: chains, diamonds and fans, some with a job
// cancelled as the troubles meet, some whose last job comes when the others are over.
func (p *pairs) drawPipelines(seed uint64, first, second micros.Micros) {
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
			p.drawStage(r, id, at, awaits)
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
				p.w.pipelines.atDone[id] = append(p.w.pipelines.atDone[id], func() { p.cancel(id) })
				continue
			}
			text += fmt.Sprintf(", %s cancelled at %v", id, when)
			p.w.after(when, func() { p.cancel(id) })
		}
		p.note("%s", text)
	}
	p.drawBadAwaits(r)
}

// drawBadAwaits submits a job that awaits one that nobody submitted, and one whose list cannot
// be read, in the middle of the troubles.
func (p *pairs) drawBadAwaits(r *rand.Rand) {
	w := p.w
	for i, awaits := range []any{[]string{"req-000100", "req-000950"}, []any{"req-000100", nil}} {
		id := jobName(910 + i)
		j := &sched.Job{ID: id, Class: "stage", Team: "red", Tasks: 1, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1}
		p.bad[id] = []int{422, 400}[i]
		w.submitted[id], w.bodies[id] = j, withField(wire.Encode(wire.FromJob(j)), "awaits", awaits)
		w.after(pairsLead+micros.FromSeconds(30*r.Float64()), func() { w.asked[id] = w.now; p.submit(id, false) })
	}
}

// drawStage draws one job of a pipeline.
func (p *pairs) drawStage(r *rand.Rand, id string, at micros.Micros, awaits []string) {
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
		j.Checkpoint, j.Save = 5*micros.Second, micros.Second
	}
	if r.IntN(2) == 0 {
		j.Deadline = micros.FromSeconds(30 + r.Float64()*120)
	}
	w.submitted[id], w.bodies[id] = j, wire.Encode(wire.FromJob(j))
	w.infos[id] = standin.TaskInfo{
		CPU: 1, Mem: 1, Run: run, Fetch: micros.Second, Save: j.Save, Saves: j.Checkpoint > 0, Gang: j.Gang, Tasks: j.Tasks,
	}
	w.noteAwaits(id, awaits)
	when := w.whenAccepted
	if len(awaits) > 0 && r.IntN(6) == 0 {
		when = w.whenOver
	}
	w.after(at, func() {
		when(awaits, func() {
			w.asked[id] = w.now
			p.submit(id, false)
			w.after(2*micros.Second, func() { p.poll(id) })
		})
	})
}
