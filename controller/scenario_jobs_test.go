package controller

import (
	"fmt"
	"testing"

	"tamarindlead/internal/ordered"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file plays what users do with jobs.

// jobArg is the job that a command names.
func jobArg(t *testing.T, d *datadriven.TestData) string { return arg(t, d, "job", "req-000001") }

// runJobCommand plays the commands of users; ok is false for any other.
func runJobCommand(t *testing.T, sim *simulation, d *datadriven.TestData) (out string, ok bool) {
	switch d.Cmd {
	case "submit":
		return runSubmitCommand(t, sim, d, jobArg(t, d)), true
	case "jobs":
		submitMany(t, sim, d)
	case "again":
		sim.submit(jobArg(t, d), arg(t, d, "to", 0))
	case "cancel":
		sim.cancel(jobArg(t, d), arg(t, d, "to", 0))
	default:
		return "", false
	}
	return "", true
}

// submitMany submits a row of jobs; the teams may take turns.
func submitMany(t *testing.T, sim *simulation, d *datadriven.TestData) {
	for i := range arg(t, d, "count", 10) {
		one := *d
		if n := arg(t, d, "over", 0); n > 0 {
			one.CmdArgs = append([]datadriven.CmdArg{{Key: "team", Vals: []string{teamName(i % n)}}}, d.CmdArgs...)
		}
		runSubmitCommand(t, sim, &one, fmt.Sprintf("req-%06d", arg(t, d, "from", 1)+i))
	}
}

// countAtLeast tells whether something holds for enough of a row of jobs.
func countAtLeast(t *testing.T, d *datadriven.TestData, holds func(id string) bool) string {
	from, n := arg(t, d, "from", 1), 0
	for i := range arg(t, d, "count", 10) {
		if holds(fmt.Sprintf("req-%06d", from+i)) {
			n++
		}
	}
	if n >= arg(t, d, "least", 1) {
		return "true"
	}
	return fmt.Sprint(n)
}

func runSubmitCommand(t *testing.T, sim *simulation, d *datadriven.TestData, id string) string {
	run := argSeconds(t, d, "run", 10)
	job := &sched.Job{
		ID: id, Class: arg(t, d, "class", "work"), Team: arg(t, d, "team", "red"),
		Gang: d.HasArg("gang"), Priority: sched.Priority(arg(t, d, "priority", 1)),
		Tasks: arg(t, d, "tasks", 1),
		Need:  sched.NewResources(argNumber(t, d, "cpus", 2), 0, argNumber(t, d, "mem", 2)),
		Image: "img", ImageGB: 1, OneZone: d.HasArg("one-zone"), Spread: d.HasArg("spread"), Spot: d.HasArg("spot"),
		Estimate: argSeconds(t, d, "estimate", run.Seconds()), CheckpointInterval: argSeconds(t, d, "checkpoint", 0), CheckpointDuration: argSeconds(t, d, "save", 0),
		Zone: arg(t, d, "zone", ""), Deadline: argSeconds(t, d, "due", 0),
	}
	for i := range arg(t, d, "types", 0) { // so many names of types, of which one is on offer
		job.Types = append(job.Types, fmt.Sprintf("type-of-machine-%04d", i))
	}
	if job.Types != nil {
		job.Types[0] = "small"
	}
	sim.submitted[id], sim.submittedAt[id] = job, sim.now
	sim.submissions[id] = wire.Encode(wire.FromJob(job))
	sim.taskInfos[id] = fake.TaskInfo{
		CPU: job.Need.CPUs(), Mem: argNumber(t, d, "mem", 2), Run: run, Fetch: micros.Second, Save: job.CheckpointDuration,
		Saves: job.CheckpointInterval > 0, Gang: job.Gang, Tasks: job.Tasks, Fails: d.HasArg("fails"),
	}
	sim.setTaskStagger(id, argSeconds(t, d, "apart", 0))
	sim.setDependencies(id, dependenciesArg(t, d))
	if d.HasArg("check") {
		status, state := -1, ""
		sent := sim.now
		sim.sendUserRequest(arg(t, d, "to", 0), "POST", "/api/jobs", sim.submissions[id], func(response Respond) {
			sim.checkResponse(id, response, sent)
			status, state = response.Status, responseState(response)
		})
		for end := sim.now + 6*micros.Second; status < 0 && sim.now < end; {
			sim.run(simulationStep)
		}
		if sim.accepted[id] && len(sim.pipelines.dependencies[id]) > 0 {
			sim.poll(id, 0)
		}
		if d.HasArg("state") {
			return fmt.Sprint(status, " ", state)
		}
		return fmt.Sprint(status)
	}
	if len(sim.pipelines.dependencies[id]) > 0 && !d.HasArg("at-once") {
		sim.submitAfterDependencies(id, arg(t, d, "to", 0), d.HasArg("over"))
		return ""
	}
	sim.submit(id, arg(t, d, "to", 0))
	sim.after(2*micros.Second, func() { sim.poll(id, 0) })
	return ""
}

// unfinishedJobs lists accepted or submitted jobs whose users were told no final state.
func unfinishedJobs(sim *simulation) []string {
	var left []string
	for _, id := range ordered.Keys(sim.submitted) {
		if sim.reportedTerminal[id] == "" {
			left = append(left, id)
		}
	}
	return left
}
