package controller

import (
	"fmt"
	"maps"
	"slices"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// cancellationPlan describes when a generated job is cancelled, if at all.
type cancellationPlan struct {
	at           micros.Micros // zero if the job is not cancelled at a fixed time
	onAcceptance bool          // the job is cancelled as soon as it is accepted
}

// generateJob draws a job, its submission time, and whether and when it is cancelled: often between
// first and second, the start times of two faults.
func (run *faultPairRun) generateJob(i int, first, second micros.Micros) {
	rng, sim := run.rng, run.sim
	job := run.generateJobShape(jobName(i))
	duration := run.randomSeconds(3, 20)
	mem := run.generateTasks(job)
	job.OneZone = rng.IntN(4) == 0
	job.Spread = !job.OneZone && rng.IntN(4) == 0
	if rng.IntN(2) == 0 {
		job.CheckpointInterval, job.CheckpointDuration = 5*micros.Second, 2*micros.Second
	}
	at := run.randomSeconds(0, 10)
	if rng.IntN(2) == 0 {
		at = run.randomSeconds(0, 50)
	}
	var cancellation cancellationPlan
	if rng.IntN(3) == 0 {
		at, cancellation = run.generateCancellation(at, first, second)
		if rng.IntN(4) > 0 {
			duration = run.randomSeconds(60, 200)
		}
	} else if rng.IntN(6) == 0 {
		duration = run.randomSeconds(30, 60)
	}
	job.Estimate = micros.FromSeconds(duration.Seconds() * (0.5 + rng.Float64()))
	sim.submitted[job.ID] = job
	sim.submissions[job.ID] = wire.Encode(wire.FromJob(job))
	sim.taskInfos[job.ID] = fake.TaskInfo{
		CPU: job.Need.CPUs(), Mem: mem, Run: duration, Fetch: micros.Second, Save: job.CheckpointDuration,
		Saves: job.CheckpointInterval > 0, Gang: job.Gang, Tasks: job.Tasks,
	}
	run.logf("%s", describeJob(job, at, duration, cancellation))
	if cancellation.at > 0 {
		sim.after(cancellation.at, func() { run.cancel(job.ID) })
	}
	sim.after(at, func() {
		sim.submittedAt[job.ID] = sim.now
		run.submit(job.ID, cancellation.onAcceptance)
	})
	sim.after(at+2*micros.Second, func() { run.poll(job.ID) })
}

// generateJobShape draws a job's team, priority and whether it may run on spot machines.
func (run *faultPairRun) generateJobShape(id string) *sched.Job {
	return &sched.Job{
		ID: id, Class: "work", Team: run.randomTeam(), Priority: sched.Priority(run.rng.IntN(4)),
		Tasks: 1, Need: sched.NewResources(2, 0, 2), Image: "img", ImageGB: 1, Spot: run.rng.IntN(3) == 0,
	}
}

func (run *faultPairRun) randomTeam() string { return []string{"red", "blue"}[run.rng.IntN(2)] }

// generateTasks draws whether a job has one task, several tasks or a gang of tasks, and returns the
// memory that each task needs.
func (run *faultPairRun) generateTasks(job *sched.Job) (mem float64) {
	switch kind := run.rng.IntN(10); {
	case kind < 3: // one task
	case kind < 7:
		job.Tasks = 2 + run.rng.IntN(14)
	default:
		job.Gang, job.Tasks = true, 2+run.rng.IntN(4)
		job.Need = sched.NewResources(4, 0, 4)
		return 4
	}
	return 2
}

// generateCancellation draws when a job is cancelled. It returns the job's submission time and the
// cancellation. The submission time is at, or drawn from the first 6 s of the run so that the job runs
// when it is cancelled.
func (run *faultPairRun) generateCancellation(at, first, second micros.Micros) (micros.Micros, cancellationPlan) {
	kinds := 5
	if run.secondIsKVOutage {
		// The result of this draw is not used. The draw keeps the runs of the existing seeds unchanged.
		run.rng.IntN(kinds)
		kinds = 10
	}
	switch run.rng.IntN(kinds) {
	case 0:
		return at, cancellationPlan{at: at + run.randomSeconds(1, 60)}
	case 1:
		return at, cancellationPlan{onAcceptance: true}
	default: // while the job runs and the faults overlap
		at = run.randomSeconds(0, 6)
		return at, cancellationPlan{at: first - micros.Second + run.randomSeconds(0, (second-first).Seconds()+2)}
	}
}

// describeJob returns the line that describes a job in the run's log.
func describeJob(job *sched.Job, at, duration micros.Micros, cancellation cancellationPlan) string {
	text := fmt.Sprintf("%s at %v: %d tasks of %v, priority %d, team %s", job.ID, at, job.Tasks, duration, job.Priority, job.Team)
	for _, property := range []struct {
		set  bool
		name string
	}{
		{job.Gang, "gang"},
		{job.OneZone, "one zone"},
		{job.Spread, "spread"},
		{job.Spot, "spot"},
		{job.CheckpointInterval > 0, "checkpoints"},
		{cancellation.onAcceptance, "cancelled on acceptance"},
	} {
		if property.set {
			text += ", " + property.name
		}
	}
	if cancellation.at > 0 {
		text += fmt.Sprintf(", cancelled at %v", cancellation.at)
	}
	return text
}

// checkSchedulingDelay reports jobs that have been pending for longer than maxSchedulingDelay although
// they could have been scheduled during all of that time.
func (run *faultPairRun) checkSchedulingDelay() {
	sim := run.sim
	used := sim.usedCPUs()
	zones := sim.zonesOfRunningTasks()
	schedulable := map[string]bool{}
	for _, id := range run.openJobs() {
		if run.mayStartTasks(id, len(zones[id]), used) {
			run.checkSchedulableJob(schedulable, id, zones[id])
		}
	}
	maps.DeleteFunc(run.schedulableSince, func(key string, _ micros.Micros) bool { return !schedulable[key] })
}

// zonesOfRunningTasks returns the zones of the running tasks of each job.
func (sim *simulation) zonesOfRunningTasks() map[string][]string {
	zones := map[string][]string{}
	for task, name := range sim.runningOn {
		id, _, _ := wire.SplitTaskName(task)
		zones[id] = append(zones[id], sim.cloud.Machines[name].Zone)
	}
	return zones
}

// mayStartTasks reports whether a job has tasks to start and its team's quota limit allows starting one
// of them, or all of them if the job is a gang.
func (run *faultPairRun) mayStartTasks(id string, runningTasks int, used map[string]float64) bool {
	sim := run.sim
	job := sim.submitted[id]
	pending := sim.remainingTasks(job) - runningTasks
	if !sim.accepted[id] || sim.cancelRequested[id] || sim.hasUnreportedDependency(id) || pending <= 0 || job.Gang && runningTasks > 0 {
		return false
	}
	need := job.Need.CPUs()
	if job.Gang {
		need *= float64(job.Tasks)
	}
	team, ok := sim.cfg.Team(job.Team)
	return !ok || team.QuotaLimit.CPU == 0 || used[job.Team]+need <= team.QuotaLimit.CPUs()+1e-6
}

// checkSchedulableJob records on which machines a job fits, given the zones of its running tasks,
// and reports the job if it has fitted for longer than maxSchedulingDelay. For a gang it records only
// whether the whole gang fits.
func (run *faultPairRun) checkSchedulableJob(schedulable map[string]bool, id string, zones []string) {
	job := run.sim.submitted[id]
	freeSlots, freeSlotsInZone := 0, map[string]int{}
	for _, name := range run.sim.workerNames() {
		worker := run.sim.workers[name]
		zone := worker.Machine.Zone
		fits := run.tasksThatFit(worker, job)
		if job.OneZone && len(zones) > 0 && zones[0] != zone {
			fits = 0
		}
		if job.Spread {
			fits = min(fits, job.ZoneCap()-countEqual(zones, zone)-freeSlotsInZone[zone])
		}
		if fits <= 0 {
			continue
		}
		freeSlotsInZone[zone] += fits
		freeSlots += fits
		if !job.Gang {
			run.recordSchedulableWait(schedulable, id, name)
		}
	}
	if job.OneZone {
		freeSlots = slices.Max(append(slices.Collect(maps.Values(freeSlotsInZone)), 0))
	}
	if job.Gang && freeSlots >= job.Tasks {
		run.recordSchedulableWait(schedulable, id, "")
	}
}

func countEqual(list []string, text string) int {
	n := 0
	for _, other := range list {
		if other == text {
			n++
		}
	}
	return n
}

// tasksThatFit returns how many tasks of a job fit on a machine now.
func (run *faultPairRun) tasksThatFit(worker *fake.Worker, job *sched.Job) int {
	if !canRunTasks(worker, job) {
		return 0
	}
	return freeTaskSlots(worker, run.sim.taskInfos[job.ID])
}

// recordSchedulableWait records in schedulable that a job fits on a machine, or, if machine is empty,
// that a gang fits on the machines. It reports the job if that has been so for longer than
// maxSchedulingDelay.
func (run *faultPairRun) recordSchedulableWait(schedulable map[string]bool, id, machine string) {
	key := id + " " + machine
	schedulable[key] = true
	if _, ok := run.schedulableSince[key]; !ok {
		run.schedulableSince[key] = run.sim.now
	}
	if run.sim.now-run.schedulableSince[key] > maxSchedulingDelay {
		run.sim.reportViolation("left waiting: %s is still pending although it fits (machine %q)", id, machine)
	}
}

// generateSmallJob draws a job of one task that is submitted after a delay.
func (run *faultPairRun) generateSmallJob(i int, delay micros.Micros) {
	sim, id := run.sim, fmt.Sprintf("req-%06d", i)
	job := &sched.Job{
		ID: id, Class: "small", Team: []string{"red", "blue"}[run.rng.IntN(2)], Priority: sched.Priority(run.rng.IntN(4)),
		Tasks: 1, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: 3 * micros.Second,
	}
	sim.submitted[id], sim.submissions[id] = job, wire.Encode(wire.FromJob(job))
	sim.taskInfos[id] = fake.TaskInfo{CPU: 1, Mem: 1, Run: run.randomSeconds(1, 5), Fetch: micros.Second, Tasks: 1}
	sim.after(delay, func() { sim.submittedAt[id] = sim.now; run.submit(id, false) })
	sim.after(delay+2*micros.Second, func() { run.poll(id) })
	if run.rng.IntN(4) == 0 {
		sim.after(delay+run.randomSeconds(0, 6), func() { run.cancel(id) })
	}
}
