package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

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
		return string(st.Status)
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

// sendBadAwaits submits jobs with such lists at a node and tells how they are answered.
func (w *world) sendBadAwaits(to, first int, known string) string {
	var out []string
	for i, b := range badAwaits {
		id := jobName(first + i)
		w.crowd.mustRefuse[id] = "awaits: " + b.name
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
		return string(w.recorded(id)), true
	case "until-told":
		for end := w.now + argSeconds(t, d, "s", 240); w.now < end && w.told[id] == ""; {
			w.run(worldStep)
		}
		if w.told[id] == "" {
			return "open", true
		}
		return string(w.told[id]), true
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
			s := string(w.told[id])
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
