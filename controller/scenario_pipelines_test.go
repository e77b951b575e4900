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
func responseState(response Respond) string {
	var state wire.JobState
	if (response.Status == 200 || response.Status == 201) && wire.Decode(response.Body, &state) == nil {
		return string(state.Status)
	}
	return fmt.Sprint(response.Status)
}

// requestAndWait sends a user's request about a job and runs until it is answered.
func (sim *simulation) requestAndWait(node int, method, path, id string, body []byte) Respond {
	var got *Respond
	sent := sim.now
	sim.sendUserRequest(node, method, path, body, func(response Respond) {
		sim.checkResponse(id, response, sent)
		got = &response
	})
	for end := sim.now + 6*micros.Second; got == nil && sim.now < end; {
		sim.run(simulationStep)
	}
	if got == nil {
		return Respond{}
	}
	return *got
}

// watchJobs asks all nodes about jobs again and again.
func (sim *simulation) watchJobs(ids []string, every, until micros.Micros) {
	if sim.now > until {
		return
	}
	sent := sim.now
	for _, id := range ids {
		if !sim.accepted[id] {
			continue
		}
		for n := range sim.nodes {
			sim.sendUserRequest(n, "GET", "/api/jobs/"+id, nil, func(response Respond) { sim.checkResponse(id, response, sent) })
		}
	}
	sim.after(every, func() { sim.watchJobs(ids, every, until) })
}

// sendInvalidDependencies submits jobs with such lists at a node and tells how they are answered.
func (sim *simulation) sendInvalidDependencies(to, first int, known string) string {
	var out []string
	for i, b := range invalidDependencies {
		id := jobName(first + i)
		sim.users.mustRefuse[id] = "awaits: " + b.name
		body := withDependencyField(wire.Encode(sim.validJobFields(id)), b.value(id, known))
		response := sim.requestAndWait(to, "POST", "/api/jobs", id, body)
		if b.want == 400 && response.Status != 400 {
			sim.reportViolation("accepted_bad: awaits of the form %s is answered %d", b.name, response.Status)
		}
		out = append(out, fmt.Sprintf("%s %d", b.name, response.Status))
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
func runPipelineCommand(t *testing.T, sim *simulation, d *datadriven.TestData, node func() *simNode) (out string, ok bool) {
	pipelines := &sim.pipelines
	id := arg(t, d, "job", "req-000001")
	path := "/api/jobs/" + id
	switch d.Cmd {
	case "chain": // each job waits for the one before it
		before := dependenciesArg(t, d)
		for _, id := range jobRange(t, d) {
			runSubmitCommand(t, sim, withDependencies(d, before...), id)
			before = []string{id}
		}
	case "fan": // all wait for the same
		for _, id := range jobRange(t, d) {
			runSubmitCommand(t, sim, d, id)
		}
	case "repeat": // the submission again, and its answer
		response := sim.requestAndWait(arg(t, d, "to", 0), "POST", "/api/jobs", id, sim.submissions[id])
		return fmt.Sprintf("%d %s", response.Status, responseState(response)), true
	case "cancel-answer":
		sim.cancelRequested[id] = true
		return responseState(sim.requestAndWait(arg(t, d, "to", 0), "POST", path+"/cancel", id, nil)), true
	case "cancel-at-done": // a job is cancelled at the moment at which another's last task completes, or soon after
		of, in := arg(t, d, "of", id), argSeconds(t, d, "in", 0)
		pipelines.onDone[of] = append(pipelines.onDone[of], func() {
			sim.after(in, func() { sim.cancel(id, pipelines.rng.IntN(len(sim.nodes))) })
		})
	case "crash-at-done": // the leader, or all
		in, away := argSeconds(t, d, "in", 0), argSeconds(t, d, "for", restartDelay.Seconds())
		pipelines.onDone[id] = append(pipelines.onDone[id], func() {
			sim.after(in, func() {
				for i, node := range sim.nodes {
					if d.HasArg("all") || i == sim.leader() {
						sim.crash(node, away)
					}
				}
			})
		})
	case "until-ended": // all tasks of a job completed, whoever knows of it
		for end := sim.now + argSeconds(t, d, "s", 240); sim.now < end && !sim.allTasksDone(id); {
			sim.run(simulationStep)
		}
		if !sim.allTasksDone(id) {
			return "not ended", true
		}
		return "ended", true
	case "until-recorded": // a job's final state, whoever was told
		for end := sim.now + argSeconds(t, d, "s", 240); sim.now < end && sim.recordedTerminalState(id) == ""; {
			sim.run(simulationStep)
		}
		return string(sim.recordedTerminalState(id)), true
	case "until-told":
		for end := sim.now + argSeconds(t, d, "s", 240); sim.now < end && sim.reportedTerminal[id] == ""; {
			sim.run(simulationStep)
		}
		if sim.reportedTerminal[id] == "" {
			return "open", true
		}
		return string(sim.reportedTerminal[id]), true
	case "state":
		return responseState(sim.requestAndWait(node().index, "GET", path, id, nil)), true
	case "ask-all":
		states := make([]string, len(sim.nodes))
		open, sent := len(states), sim.now
		for i := range sim.nodes {
			sim.sendUserRequest(i, "GET", path, nil, func(response Respond) {
				sim.checkResponse(id, response, sent)
				states[i], open = responseState(response), open-1
			})
		}
		for open > 0 {
			sim.run(simulationStep)
		}
		return strings.Join(states, " "), true
	case "watch-jobs":
		sim.watchJobs(jobRange(t, d), argSeconds(t, d, "every", 1), sim.now+argSeconds(t, d, "for", 60))
	case "told":
		n := map[string]int{}
		for _, id := range jobRange(t, d) {
			s := string(sim.reportedTerminal[id])
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
		return sim.sendInvalidDependencies(arg(t, d, "to", 0), arg(t, d, "from", 970000), id), true
	case "began-before": // the first task of a job started before that of another
		of := arg(t, d, "of", "")
		return fmt.Sprint(sim.startedAt[id] > 0 && (sim.startedAt[of] == 0 || sim.startedAt[id] < sim.startedAt[of])), true
	case "waited": // a user saw the job queued while it waited
		return fmt.Sprint(pipelines.queuedResponses[id] > 0), true
	default:
		return "", false
	}
	return "", true
}
