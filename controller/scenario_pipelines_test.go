package controller

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// dependencies returns the jobs that depends-on lists, as in (req-000001,req-000004..req-000009).
func (c *command) dependencies() []string {
	c.t.Helper()
	c.read["depends-on"] = true
	var ids []string
	for _, a := range c.CmdArgs {
		if a.Key != "depends-on" {
			continue
		}
		for _, v := range a.Vals {
			ids = append(ids, c.expandJobRange(v)...)
		}
	}
	return ids
}

// expandJobRange returns the jobs of a range such as req-000004..req-000009. Any other text is
// returned unchanged.
func (c *command) expandJobRange(text string) []string {
	c.t.Helper()
	from, to, isRange := strings.Cut(text, "..")
	if !isRange {
		return []string{text}
	}
	var first, last int
	if _, err := fmt.Sscanf(from+" "+to, "req-%d req-%d", &first, &last); err != nil || last < first {
		c.fail("depends-on: %s is not a valid range of jobs", text)
	}
	var ids []string
	for i := first; i <= last; i++ {
		ids = append(ids, jobName(i))
	}
	return ids
}

// withDependencies returns the command with other dependencies.
func (c *command) withDependencies(ids ...string) *command {
	args := slices.DeleteFunc(slices.Clone(c.CmdArgs), func(a datadriven.CmdArg) bool { return a.Key == "depends-on" })
	if len(ids) > 0 {
		args = append(args, datadriven.CmdArg{Key: "depends-on", Vals: ids})
	}
	return c.withArgs(args)
}

// responseState returns the job state in a response, or its status if it has none.
func responseState(response Respond) string {
	var state wire.JobState
	if (response.Status == 200 || response.Status == 201) && wire.Decode(response.Body, &state) == nil {
		return string(state.Status)
	}
	return fmt.Sprint(response.Status)
}

// requestAndWait sends a user's request about a job and runs until the response arrives.
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

// pollJobs queries all nodes about the accepted ones of some jobs at an interval, until a given time.
func (sim *simulation) pollJobs(ids []string, every, until micros.Micros) {
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
	sim.after(every, func() { sim.pollJobs(ids, every, until) })
}

// sendInvalidDependencies submits a job with each kind of invalid dependencies to a node and returns
// the statuses of the responses.
func (sim *simulation) sendInvalidDependencies(to, first int, known string) string {
	var out []string
	for i, b := range invalidDependencies {
		id := jobName(first + i)
		sim.users.mustRefuse[id] = "awaits: " + b.name
		body := withDependencyField(wire.Encode(sim.validJobFields(id)), b.value(id, known))
		response := sim.requestAndWait(to, "POST", "/api/jobs", id, body)
		if b.want == 400 && response.Status != 400 {
			sim.reportViolation("accepted_bad: a submission with the invalid dependencies %q is answered with status %d", b.name, response.Status)
		}
		out = append(out, fmt.Sprintf("%s %d", b.name, response.Status))
	}
	return strings.Join(out, "\n")
}

// pipelineCommands submit, cancel and query jobs with dependencies.
var pipelineCommands = commandTable{
	// submit-chain submits jobs each of which depends on the previous one.
	"submit-chain":           silent(func(c *command) { c.submitChain(c.jobIDs(1)) }),
	"submit-chains-and-poll": silent((*command).submitChainsAndPoll),
	// submit-parallel submits jobs that all have the same dependencies.
	"submit-parallel": silent(func(c *command) {
		for _, id := range c.jobIDs(1) {
			c.submit(id)
		}
	}),
	// resubmit-and-print repeats a job's submission and prints the response.
	"resubmit-and-print": func(c *command) string {
		id := c.jobID()
		response := c.sim.requestAndWait(c.to(), "POST", "/api/jobs", id, c.sim.submissions[id])
		return fmt.Sprintf("%d %s", response.Status, responseState(response))
	},
	"cancel-and-print": func(c *command) string {
		id := c.jobID()
		c.sim.cancelRequested[id] = true
		return responseState(c.sim.requestAndWait(c.to(), "POST", "/api/jobs/"+id+"/cancel", id, nil))
	},
	"cancel-at-completion": silent((*command).cancelAtCompletion),
	"crash-at-completion":  silent((*command).crashAtCompletion),
	// run-until-completed runs until all tasks of a job have completed, even if that was not reported to
	// a user.
	"run-until-completed": func(c *command) string {
		completed := func() bool { return c.sim.allTasksDone(c.jobID()) }
		c.runUntil(240, simulationStep, completed)
		if !completed() {
			return "not completed"
		}
		return "completed"
	},
	// run-until-recorded runs until the terminal state of a job is recorded, even if it was not reported
	// to a user.
	"run-until-recorded": func(c *command) string {
		id := c.jobID()
		c.runUntil(240, simulationStep, func() bool { return c.sim.recordedTerminalState(id) != "" })
		return string(c.sim.recordedTerminalState(id))
	},
	// run-until-reported runs until the terminal state of a job is reported to a user.
	"run-until-reported": func(c *command) string {
		id := c.jobID()
		c.runUntil(240, simulationStep, func() bool { return c.sim.reportedTerminal[id] != "" })
		return c.sim.reportedState(id)
	},
	"query-state": func(c *command) string {
		id := c.jobID()
		return responseState(c.sim.requestAndWait(c.node().index, "GET", "/api/jobs/"+id, id, nil))
	},
	"query-state-all-nodes": (*command).queryAllNodes,
	"poll-jobs": silent(func(c *command) {
		c.sim.pollJobs(c.jobIDs(1), c.seconds("interval", 1), c.sim.now+c.seconds("for", 60))
	}),
	"reported-states": (*command).countReportedStates,
	"submit-invalid-dependencies": func(c *command) string {
		return c.sim.sendInvalidDependencies(c.to(), c.integer("first-job", 970000), c.jobID())
	},
	// started-before prints whether the job's first task, or its whole gang, started before that of
	// "other-job".
	"started-before": func(c *command) string {
		first, second := c.sim.startedAt[c.jobID()], c.sim.startedAt[c.text("other-job", "")]
		return fmt.Sprint(first > 0 && (second == 0 || first < second))
	},
	// was-reported-queued prints whether the job was reported as queued while it was blocked.
	"was-reported-queued": func(c *command) string {
		return fmt.Sprint(c.sim.pipelines.queuedResponses[c.jobID()] > 0)
	},
}

// submitChain submits jobs each of which depends on the previous one.
func (c *command) submitChain(ids []string) {
	c.t.Helper()
	dependencies := c.dependencies()
	for _, id := range ids {
		c.withDependencies(dependencies...).submit(id)
		dependencies = []string{id}
	}
}

// submitChainsAndPoll submits chains of "length" jobs, one chain every "interval", each to another node
// than the previous one. All nodes are queried about the jobs of a chain every 40 ms for a second.
func (c *command) submitChainsAndPoll() {
	c.t.Helper()
	sim, interval, turn := c.sim, c.seconds("interval", 1), 0
	for ids := range slices.Chunk(c.jobIDs(2), c.integer("length", 2)) {
		chain := c.withArgs(append([]datadriven.CmdArg{{Key: "to-node", Vals: []string{fmt.Sprint(turn % len(sim.nodes))}}}, c.CmdArgs...))
		sim.after(micros.Micros(turn)*interval, func() {
			chain.submitChain(ids)
			sim.pollJobs(ids, 40*micros.Millisecond, sim.now+micros.Second)
		})
		turn++
	}
}

// cancelAtCompletion has a user cancel a job when the last task of "completed-job" completes, or
// "delay" after that.
func (c *command) cancelAtCompletion() {
	c.t.Helper()
	sim, pipelines := c.sim, &c.sim.pipelines
	id, delay := c.jobID(), c.seconds("delay", 0)
	other := c.text("completed-job", id)
	pipelines.onDone[other] = append(pipelines.onDone[other], func() {
		sim.after(delay, func() { sim.cancel(id, pipelines.rng.IntN(len(sim.nodes))) })
	})
}

// crashAtCompletion has the leader, or all nodes, crash when the last task of a job completes, or
// "delay" after that.
func (c *command) crashAtCompletion() {
	c.t.Helper()
	sim, pipelines := c.sim, &c.sim.pipelines
	id, delay, downtime := c.jobID(), c.seconds("delay", 0), c.downtime()
	crash := func() {
		for i, node := range sim.nodes {
			if c.HasArg("all-nodes") || i == sim.leader() {
				sim.crash(node, downtime)
			}
		}
	}
	pipelines.onDone[id] = append(pipelines.onDone[id], func() { sim.after(delay, crash) })
}

// queryAllNodes queries all nodes about a job at the same time and prints the states in the responses.
func (c *command) queryAllNodes() string {
	c.t.Helper()
	sim, id := c.sim, c.jobID()
	states := make([]string, len(sim.nodes))
	outstanding, sent := len(states), sim.now
	for i := range sim.nodes {
		sim.sendUserRequest(i, "GET", "/api/jobs/"+id, nil, func(response Respond) {
			sim.checkResponse(id, response, sent)
			states[i] = responseState(response)
			outstanding--
		})
	}
	for outstanding > 0 {
		sim.run(simulationStep)
	}
	return strings.Join(states, " ")
}

// reportedState returns the terminal state of a job that was reported to a user, or "unreported".
func (sim *simulation) reportedState(id string) string {
	if status, ok := sim.reportedTerminal[id]; ok {
		return string(status)
	}
	return "unreported"
}

// countReportedStates prints the number of jobs by the terminal state that was reported to a user.
func (c *command) countReportedStates() string {
	c.t.Helper()
	counts := map[string]int{}
	for _, id := range c.jobIDs(1) {
		counts[c.sim.reportedState(id)]++
	}
	var lines []string
	for _, state := range ordered.Keys(counts) {
		lines = append(lines, fmt.Sprintf("%d %s", counts[state], state))
	}
	return strings.Join(lines, ", ")
}
