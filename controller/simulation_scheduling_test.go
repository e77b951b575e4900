package controller

import (
	"math"
	"slices"

	"tamarindlead/config"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// checkSchedulingDelay checks that, after the faults have ended, no job is pending for longer than
// maxSchedulableWait while it fits on the machines and within its team's quota limit.
func (sim *simulation) checkSchedulingDelay() {
	users := &sim.users
	if sim.faultsEndedAt == 0 || sim.now < users.nextSchedulingCheck {
		return
	}
	users.nextSchedulingCheck = sim.now + micros.Second
	for _, id := range ordered.Keys(sim.accepted) {
		if !sim.isSchedulable(id) {
			delete(users.schedulableSince, id)
			continue
		}
		since, ok := users.schedulableSince[id]
		if !ok {
			users.schedulableSince[id] = sim.now
		} else if sim.now-since > maxSchedulableWait {
			sim.reportViolation("waits: %s is pending since %v although it fits on the machines", id, since-micros.Hour)
		}
	}
}

// isSchedulable reports whether a job without running tasks can start: it fits on the machines and
// within its team's quota limit.
func (sim *simulation) isSchedulable(id string) bool {
	job, info := sim.submitted[id], sim.taskInfos[id]
	if sim.reportedTerminal[id] != "" || sim.cancelRequested[id] || info.Fails || sim.runningTasks(id) > 0 || sim.hasUnreportedDependency(id) {
		return false
	}
	if sim.remainingTasks(job) == 0 {
		return false
	}
	need := 1
	if job.Gang {
		need = job.Tasks
	}
	team := sim.cfg.Teams[slices.IndexFunc(sim.cfg.Teams, func(team config.Team) bool { return team.Name == job.Team })]
	used := sim.usedCPUs()[job.Team]
	if limit := team.QuotaLimit.CPUs(); limit > 0 && used+float64(need)*info.CPU > limit+1e-6 {
		return false
	}
	return sim.freeTaskSlotsFor(job) >= need
}

// freeTaskSlotsFor returns how many tasks of a job without running tasks fit on the machines.
func (sim *simulation) freeTaskSlotsFor(job *sched.Job) int {
	byZone := map[string]int{}
	for _, worker := range sim.workers {
		if canRunTasks(worker, job) {
			byZone[worker.Machine.Zone] += freeTaskSlots(worker, sim.taskInfos[job.ID])
		}
	}
	slots := 0
	for _, n := range byZone {
		n = min(n, job.ZoneCap())
		if job.OneZone {
			slots = max(slots, n)
		} else {
			slots += n
		}
	}
	return slots
}

// remainingTasks returns how many tasks of a job have not completed.
func (sim *simulation) remainingTasks(job *sched.Job) int {
	n := 0
	for i := range job.Tasks {
		if !sim.completedTasks[wire.TaskName(job.ID, i)] {
			n++
		}
	}
	return n
}

// usedCPUs returns the number of CPUs that the running tasks of each team use.
func (sim *simulation) usedCPUs() map[string]float64 {
	used := map[string]float64{}
	for task := range sim.runningOn {
		id, _, _ := wire.SplitTaskName(task)
		used[sim.submitted[id].Team] += sim.taskInfos[id].CPU
	}
	return used
}

// canRunTasks reports whether a machine is healthy and a job may run on a machine of its kind.
func canRunTasks(worker *fake.Worker, job *sched.Job) bool {
	machine := worker.Machine
	healthy := !machine.Gone && !worker.Hung && !worker.Partitioned && !worker.InboundBlocked && !worker.FailsTasks && worker.PreemptionNotice == nil
	return healthy && job.Allows(machine.Type, machine.Zone, machine.Spot)
}

// freeTaskSlots returns how many more tasks of a kind fit on a worker.
func freeTaskSlots(worker *fake.Worker, info fake.TaskInfo) int {
	cpu, mem := worker.CPU, worker.Mem
	for name, t := range worker.Tasks {
		if t.Phase != wire.PhaseExited {
			i, _ := worker.Info(name)
			cpu, mem = cpu-i.CPU, mem-i.Mem
		}
	}
	n := math.MaxInt32
	if info.CPU > 0 {
		n = min(n, int((cpu+1e-6)/info.CPU))
	}
	if info.Mem > 0 {
		n = min(n, int((mem+1e-6)/info.Mem))
	}
	return max(0, n)
}
