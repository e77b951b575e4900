package controller

import (
	"slices"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// machineCommands cause faults of machines and of the cloud.
var machineCommands = commandTable{
	// machine-fault causes a fault of the selected machines: see failMachine.
	"machine-fault": silent(func(c *command) {
		for _, name := range c.targetMachines() {
			c.failMachine(name)
		}
	}),
	// cloud-unavailable has the cloud refuse all requests.
	"cloud-unavailable": silent(func(c *command) {
		c.sim.cloud.Unavailable = true
		c.revertLater(func() { c.sim.cloud.Unavailable = false })
	}),
	// fail-next-boots has the next "count" machines never boot.
	"fail-next-boots": silent(func(c *command) { c.sim.cloud.FailedBoots = c.integer("count", 1) }),
}

// targetMachines returns the machines that a command selects by count, share, zone or name. The name may
// also be "all", "busiest" or "running", for the machines that run tasks of a job.
func (c *command) targetMachines() []string {
	c.t.Helper()
	if selected := c.selectMachines(); selected != nil {
		return selected
	}
	names := c.sim.workerNames()
	switch name := c.text("name", names[0]); name {
	case "all":
		return names
	case "running":
		return slices.DeleteFunc(names, func(name string) bool { return !c.sim.runsJob(name, c.jobID()) })
	case "busiest":
		return []string{c.busiestMachine(names)}
	default:
		return []string{name}
	}
}

// runsJob reports whether a task of a job is on a machine.
func (sim *simulation) runsJob(machine, job string) bool {
	for task, name := range sim.runningOn {
		if id, _, _ := wire.SplitTaskName(task); name == machine && id == job {
			return true
		}
	}
	return false
}

// busiestMachine returns the machine with the most tasks, the first of them if there are several.
func (c *command) busiestMachine(names []string) string {
	c.t.Helper()
	busiest, most := "", -1
	for _, name := range names {
		worker := c.sim.workers[name]
		if !worker.Machine.Gone && len(worker.Tasks) > most {
			busiest, most = name, len(worker.Tasks)
		}
	}
	if busiest == "" {
		c.fail("no such machine")
	}
	return busiest
}

// failMachine causes the fault that the arguments name at one machine.
func (c *command) failMachine(name string) {
	c.t.Helper()
	sim, worker := c.sim, c.sim.workers[name]
	reclaim := func() {
		sim.cloud.Reclaim(name)
		sim.forgetDeletedMachines()
	}
	switch {
	case c.HasArg("crash"): // the cloud deletes the machine 40 s later
		worker.Hung = true
		sim.after(40*micros.Second, func() {
			worker.Machine.Gone = true
			sim.forgetDeletedMachines()
		})
	case c.HasArg("hang"):
		worker.Hung = true
		c.revertLater(func() { worker.Hung = false })
	case c.HasArg("partition"):
		worker.Partitioned = true
		c.revertLater(func() { worker.Partitioned = false })
	case c.HasArg("block-inbound"):
		worker.InboundBlocked = true
		c.revertLater(func() { worker.InboundBlocked = false })
	case c.HasArg("block-heartbeats"):
		worker.HeartbeatsBlocked = true
		c.revertLater(func() { worker.HeartbeatsBlocked = false })
	case c.HasArg("fail-tasks"):
		worker.FailsTasks = true
		c.revertLater(func() { worker.FailsTasks = false })
	case c.HasArg("reclaim"):
		reclaim()
	case c.HasArg("preemption-notice"):
		left := c.number("preemption-notice", 20)
		worker.PreemptionNotice, worker.Changed = &left, true
		sim.after(micros.FromSeconds(left), reclaim)
	default:
		c.fail("the command names no fault of the machine")
	}
}
