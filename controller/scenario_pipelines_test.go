package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"tamarindlead/internal/ordered"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// dependenciesArg reads a list of jobs such as (req-000001,req-000004..req-000009).
func dependenciesArg(t *testing.T, d *datadriven.TestData) []string {
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

// withDependencies is a command's arguments with other jobs to wait for.
func withDependencies(d *datadriven.TestData, ids ...string) *datadriven.TestData {
	one := *d
	one.CmdArgs = slices.DeleteFunc(slices.Clone(d.CmdArgs), func(a datadriven.CmdArg) bool { return a.Key == "awaits" })
	if len(ids) > 0 {
		one.CmdArgs = append(one.CmdArgs, datadriven.CmdArg{Key: "awaits", Vals: ids})
	}
	return &one
}

// responseState is the state in an answer, or its status if it tells none.
func responseState(r Respond) string {
	var st wire.JobState
	if (r.Status == 200 || r.Status == 201) && wire.Decode(r.Body, &st) == nil {
		return string(st.Status)
	}
	return fmt.Sprint(r.Status)
}

// requestAndWait sends a user's request about a job and runs until it is answered.
func (w *simulation) requestAndWait(node int, method, path, id string, body []byte) Respond {
	var got *Respond
	sent := w.now
	w.user(node, method, path, body, func(r Respond) {
		w.checkResponse(id, r, sent)
		got = &r
	})
	for end := w.now + 6*micros.Second; got == nil && w.now < end; {
		w.run(simulationStep)
	}
	if got == nil {
		return Respond{}
	}
	return *got
}

// watchJobs asks all nodes about jobs again and again.
func (w *simulation) watchJobs(ids []string, every, until micros.Micros) {
	if w.now > until {
		return
	}
	sent := w.now
	for _, id := range ids {
		if !w.accepted[id] {
			continue
		}
		for n := range w.nodes {
			w.user(n, "GET", "/api/jobs/"+id, nil, func(r Respond) { w.checkResponse(id, r, sent) })
		}
	}
	w.after(every, func() { w.watchJobs(ids, every, until) })
}

// sendInvalidDependencies submits jobs with such lists at a node and tells how they are answered.
func (w *simulation) sendInvalidDependencies(to, first int, known string) string {
	var out []string
	for i, b := range invalidDependencies {
		id := jobName(first + i)
		w.users.mustRefuse[id] = "awaits: " + b.name
		body := withAwaits(wire.Encode(w.validJobFields(id)), b.value(id, known))
		r := w.requestAndWait(to, "POST", "/api/jobs", id, body)
		if b.want == 400 && r.Status != 400 {
			w.reportViolation("accepted_bad: awaits of the form %s is answered %d", b.name, r.Status)
		}
		out = append(out, fmt.Sprintf("%s %d", b.name, r.Status))
	}
	return strings.Join(out, "\n")
}

// jobRange lists the jobs from= to from+count-1.
func jobRange(t *testing.T, d *datadriven.TestData) []string {
	var ids []string
	for i := range arg(t, d, "count", 1) {
		ids = append(ids, jobName(arg(t, d, "from", 1)+i))
	}
	return ids
}

// runPipelineCommand plays the commands of this file; ok is false for any other.
func runPipelineCommand(t *testing.T, w *simulation, d *datadriven.TestData, node func() *simNode) (out string, ok bool) {
	p := &w.pipelines
	id := arg(t, d, "job", "req-000001")
	path := "/api/jobs/" + id
	switch d.Cmd {
	case "chain": // each job waits for the one before it
		before := dependenciesArg(t, d)
		for _, id := range jobRange(t, d) {
			runSubmitCommand(t, w, withDependencies(d, before...), id)
			before = []string{id}
		}
	case "fan": // all wait for the same
		for _, id := range jobRange(t, d) {
			runSubmitCommand(t, w, d, id)
		}
	case "repeat": // the submission again, and its answer
		r := w.requestAndWait(arg(t, d, "to", 0), "POST", "/api/jobs", id, w.bodies[id])
		return fmt.Sprintf("%d %s", r.Status, responseState(r)), true
	case "cancel-answer":
		w.cancelRequested[id] = true
		return responseState(w.requestAndWait(arg(t, d, "to", 0), "POST", path+"/cancel", id, nil)), true
	case "cancel-at-done": // a job is cancelled at the moment at which another's last task completes, or soon after
		of, in := arg(t, d, "of", id), argSeconds(t, d, "in", 0)
		p.onDone[of] = append(p.onDone[of], func() {
			w.after(in, func() { w.cancel(id, p.rng.IntN(len(w.nodes))) })
		})
	case "crash-at-done": // the leader, or all
		in, away := argSeconds(t, d, "in", 0), argSeconds(t, d, "for", restartDelay.Seconds())
		p.onDone[id] = append(p.onDone[id], func() {
			w.after(in, func() {
				for i, n := range w.nodes {
					if d.HasArg("all") || i == w.leader() {
						w.crash(n, away)
					}
				}
			})
		})
	case "until-ended": // all tasks of a job completed, whoever knows of it
		for end := w.now + argSeconds(t, d, "s", 240); w.now < end && !w.allTasksDone(id); {
			w.run(simulationStep)
		}
		if !w.allTasksDone(id) {
			return "not ended", true
		}
		return "ended", true
	case "until-recorded": // a job's final state, whoever was told
		for end := w.now + argSeconds(t, d, "s", 240); w.now < end && w.recordedTerminalState(id) == ""; {
			w.run(simulationStep)
		}
		return string(w.recordedTerminalState(id)), true
	case "until-told":
		for end := w.now + argSeconds(t, d, "s", 240); w.now < end && w.reportedTerminal[id] == ""; {
			w.run(simulationStep)
		}
		if w.reportedTerminal[id] == "" {
			return "open", true
		}
		return string(w.reportedTerminal[id]), true
	case "state":
		return responseState(w.requestAndWait(node().index, "GET", path, id, nil)), true
	case "ask-all":
		states := make([]string, len(w.nodes))
		open, sent := len(states), w.now
		for i := range w.nodes {
			w.user(i, "GET", path, nil, func(r Respond) {
				w.checkResponse(id, r, sent)
				states[i], open = responseState(r), open-1
			})
		}
		for open > 0 {
			w.run(simulationStep)
		}
		return strings.Join(states, " "), true
	case "watch-jobs":
		w.watchJobs(jobRange(t, d), argSeconds(t, d, "every", 1), w.now+argSeconds(t, d, "for", 60))
	case "told":
		n := map[string]int{}
		for _, id := range jobRange(t, d) {
			s := string(w.reportedTerminal[id])
			if s == "" {
				s = "open"
			}
			n[s]++
		}
		var lines []string
		for _, s := range ordered.Keys(n) {
			lines = append(lines, fmt.Sprintf("%d %s", n[s], s))
		}
		return strings.Join(lines, ", "), true
	case "bad-awaits":
		return w.sendInvalidDependencies(arg(t, d, "to", 0), arg(t, d, "from", 970000), id), true
	case "began-before": // the first task of a job started before that of another
		of := arg(t, d, "of", "")
		return fmt.Sprint(w.startedAt[id] > 0 && (w.startedAt[of] == 0 || w.startedAt[id] < w.startedAt[of])), true
	case "waited": // a user saw the job queued while it waited
		return fmt.Sprint(p.queuedResponses[id] > 0), true
	default:
		return "", false
	}
	return "", true
}
