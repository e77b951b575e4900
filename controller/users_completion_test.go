package controller

import (
	"slices"

	"tamarindlead/internal/ordered"
	"tamarindlead/internal/wire"
	"tamarindlead/sched"
)

// completionGroup counts the jobs of a group and how many of them were served.
type completionGroup struct{ total, served int }

// completionGroups counts jobs by group.
type completionGroups map[string]*completionGroup

func (g completionGroups) add(name string, served bool) {
	if g[name] == nil {
		g[name] = &completionGroup{}
	}
	g[name].total++
	if served {
		g[name].served++
	}
}

// checkCompletion performs the final checks of a run, on all jobs that can be expected to be served:
// requests about each job are answered; at least half of the jobs of each class, of each team and of
// the largest jobs of each class are done or running; and the largest jobs started before their
// deadline.
func (sim *simulation) checkCompletion() {
	groups := completionGroups{}
	ids := sim.jobsToServe()
	sizes := sim.sizesByClass(ids)
	for _, id := range ids {
		job := sim.submitted[id]
		if sim.accepted[id] && sim.reportedTerminal[id] == "" && sim.now-max(sim.lastAnsweredAt[id], sim.faultsEndedAt) > maxUnansweredTime {
			sim.reportViolation("forgotten: no request about %s is answered", id)
		}
		served := sim.reportedTerminal[id] == wire.JobDone || sim.runningTasks(id) > 0
		groups.add("class "+job.Class, served)
		groups.add("team "+job.Team, served)
		if isAmongLargest(job, sizes[job.Class]) {
			groups.add("largest of "+job.Class, served)
			sim.checkStartDeadline(id)
		}
	}
	sim.checkPipelinesCompleted()
	for _, name := range ordered.Keys(groups) {
		if g := groups[name]; 2*g.served < g.total {
			sim.reportViolation("unserved: %d of %d of %s", g.served, g.total, name)
		}
	}
}

// jobsToServe returns the jobs that can be expected to be served: valid jobs whose tasks do not fail,
// that were not cancelled and whose dependencies were reported as done.
func (sim *simulation) jobsToServe() []string {
	var ids []string
	for _, id := range ordered.Keys(sim.submitted) {
		if sim.cancelRequested[id] || sim.taskInfos[id].Fails || sim.rejectionReason(sim.submitted[id]) != "" || sim.hasFailedDependency(id) || sim.hasUnreportedDependency(id) {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// jobCPUs returns the number of CPUs that all tasks of a job need together.
func jobCPUs(job *sched.Job) float64 { return job.Need.CPUs() * float64(job.Tasks) }

// sizesByClass returns the sorted sizes of the jobs of each class.
func (sim *simulation) sizesByClass(ids []string) map[string][]float64 {
	sizes := map[string][]float64{}
	for _, id := range ids {
		job := sim.submitted[id]
		sizes[job.Class] = append(sizes[job.Class], jobCPUs(job))
	}
	for _, s := range sizes {
		slices.Sort(s)
	}
	return sizes
}

// isAmongLargest reports whether a job is one of the largest of its class and the class has jobs much
// larger than its median. sizes are the sorted sizes of the jobs of the class.
func isAmongLargest(job *sched.Job, sizes []float64) bool {
	most, median := sizes[len(sizes)-1], sizes[len(sizes)/2]
	return jobCPUs(job) >= 0.9*most && most > 1.5*median
}

// checkStartDeadline checks that one of the largest jobs started within largestJobsDeadline.
func (sim *simulation) checkStartDeadline(id string) {
	started, ok := sim.startedAt[id]
	if !ok {
		started = sim.now
	}
	if started-sim.eligibleSince(id) > largestJobsDeadline {
		sim.reportViolation("late: %s, one of the largest jobs of its class, has not started after %v", id, largestJobsDeadline)
	}
}
