package controller

import (
	"fmt"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// jobCommands submit and cancel jobs as users do.
var jobCommands = commandTable{
	"submit":      func(c *command) string { return c.submit(c.jobID()) },
	"submit-jobs": silent((*command).submitMany),
	"resubmit":    silent(func(c *command) { c.sim.submit(c.jobID(), c.to()) }), // sends the same submission again
	"cancel":      silent(func(c *command) { c.sim.cancel(c.jobID(), c.to()) }),
}

// submitMany submits jobs with consecutive numbers. With "round-robin-teams" they are assigned to
// that many teams in rotation.
func (c *command) submitMany() {
	c.t.Helper()
	for i, id := range c.jobIDs(10) {
		one := c
		if teams := c.integer("round-robin-teams", 0); teams > 0 {
			one = c.withArgs(append([]datadriven.CmdArg{{Key: "team", Vals: []string{teamName(i % teams)}}}, c.CmdArgs...))
		}
		one.submit(id)
	}
}

// withArgs returns the command with other arguments.
func (c *command) withArgs(args []datadriven.CmdArg) *command {
	data := *c.TestData
	data.CmdArgs = args
	return &command{TestData: &data, t: c.t, sim: c.sim, read: c.read}
}

// submit submits the job that the arguments describe. Only with "print-status" does it wait for the
// response and print its status.
func (c *command) submit(id string) string {
	c.t.Helper()
	sim := c.sim
	c.addJob(id)
	dependent := len(sim.pipelines.dependencies[id]) > 0
	switch {
	case c.HasArg("print-status"):
		return c.submitAndWait(id)
	case dependent && !c.HasArg("submit-immediately"):
		sim.submitAfterDependencies(id, c.to(), c.HasArg("after-dependencies-finish"))
	default:
		sim.submit(id, c.to())
		sim.after(2*micros.Second, func() { sim.poll(id, 0) })
	}
	return ""
}

// addJob registers the job that the arguments describe with the simulation.
func (c *command) addJob(id string) {
	c.t.Helper()
	sim := c.sim
	duration := c.seconds("duration", 10)
	job := &sched.Job{
		ID: id, Class: c.text("class", "work"), Team: c.text("team", "red"),
		Gang: c.HasArg("gang"), Priority: sched.Priority(c.integer("priority", 1)),
		Tasks: c.integer("tasks", 1),
		Need:  sched.NewResources(c.number("cpus", 2), 0, c.number("mem", 2)),
		Image: "img", ImageGB: 1, OneZone: c.HasArg("one-zone"), Spread: c.HasArg("spread"), Spot: c.HasArg("spot"),
		Estimate:           c.seconds("estimate", duration.Seconds()),
		CheckpointInterval: c.seconds("checkpoint-interval", 0), CheckpointDuration: c.seconds("checkpoint-duration", 0),
		Zone: c.text("zone", ""), Deadline: c.seconds("deadline", 0),
	}
	for i := range c.integer("machine-types", 0) { // the cloud offers only the first of these machine types
		job.Types = append(job.Types, fmt.Sprintf("type-of-machine-%04d", i))
	}
	if job.Types != nil {
		job.Types[0] = "small"
	}
	sim.submitted[id], sim.submittedAt[id] = job, sim.now
	sim.submissions[id] = wire.Encode(wire.FromJob(job))
	sim.taskInfos[id] = fake.TaskInfo{
		CPU: job.Need.CPUs(), Mem: c.number("mem", 2), Run: duration, Fetch: micros.Second, Save: job.CheckpointDuration,
		Saves: job.CheckpointInterval > 0, Gang: job.Gang, Tasks: job.Tasks, Fails: c.HasArg("fails"),
	}
	sim.setTaskStagger(id, c.seconds("stagger", 0))
	sim.setDependencies(id, c.dependencies())
}

// submitAndWait submits a job and prints the HTTP status of the response and, with "print-state", the
// job state in it.
func (c *command) submitAndWait(id string) string {
	c.t.Helper()
	sim := c.sim
	status, state := -1, ""
	sent := sim.now
	sim.sendUserRequest(c.to(), "POST", "/api/jobs", sim.submissions[id], func(response Respond) {
		sim.checkResponse(id, response, sent)
		status, state = response.Status, responseState(response)
	})
	for end := sim.now + 6*micros.Second; status < 0 && sim.now < end; {
		sim.run(simulationStep)
	}
	if sim.accepted[id] && len(sim.pipelines.dependencies[id]) > 0 {
		sim.poll(id, 0)
	}
	if c.HasArg("print-state") {
		return fmt.Sprint(status, " ", state)
	}
	return fmt.Sprint(status)
}

// unfinishedJobs returns the submitted jobs whose terminal state has not been reported to a user.
func unfinishedJobs(sim *simulation) []string {
	var left []string
	for _, id := range ordered.Keys(sim.submitted) {
		if sim.reportedTerminal[id] == "" {
			left = append(left, id)
		}
	}
	return left
}
