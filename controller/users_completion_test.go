package controller

import (
	"slices"

	"tamarindlead/internal/ordered"

	"tamarindlead/internal/wire"
	"tamarindlead/sched"
)

// This file checks at the end of a day whom the service has served.

// completionGroup counts how many jobs of a group there are, and how many were served.
type completionGroup struct{ all, completed int }

// completionGroups counts jobs by the name of a group.
type completionGroups map[string]*completionGroup

func (g completionGroups) count(name string, served bool) {
	if g[name] == nil {
		g[name] = &completionGroup{}
	}
	g[name].all++
	if served {
		g[name].completed++
	}
}

// checkCompletion checks what must hold when a day is over, for all jobs that their users did not
// cancel: each is done or answered about, of each class, each team and the largest jobs of
// a class at least half is served, and the largest began in time.
func (w *simulation) checkCompletion() {
	groups := completionGroups{}
	ids := w.expectedJobs()
	sizes := w.sizesByClass(ids)
	for _, id := range ids {
		j := w.submitted[id]
		if w.accepted[id] && w.reportedTerminal[id] == "" && w.now-max(w.lastAnsweredAt[id], w.faultsEndedAt) > maxUnansweredTime {
			w.reportViolation("forgotten: nobody answers about %s", id)
		}
		served := w.reportedTerminal[id] == wire.JobDone || w.onMachines(id) > 0
		groups.count("class "+j.Class, served)
		groups.count("team "+j.Team, served)
		if amongLargest(j, sizes[j.Class]) {
			groups.count("largest of "+j.Class, served)
			w.checkStartDeadline(id)
		}
	}
	w.checkPipelinesCompleted()
	for _, name := range ordered.Keys(groups) {
		if g := groups[name]; 2*g.completed < g.all {
			w.reportViolation("unserved: %d of %d of %s", g.completed, g.all, name)
		}
	}
}

// expectedJobs lists the jobs that should be served.
func (w *simulation) expectedJobs() []string {
	var ids []string
	for _, id := range ordered.Keys(w.submitted) {
		if w.cancelRequested[id] || w.infos[id].Fails || w.neverFits(w.submitted[id]) != "" || w.hasFailedDependency(id) || w.isBlocked(id) {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// jobSize is a job's size, in processors.
func jobSize(j *sched.Job) float64 { return j.Need.CPUs() * float64(j.Tasks) }

// sizesByClass returns the sizes of jobs, in order, for each class.
func (w *simulation) sizesByClass(ids []string) map[string][]float64 {
	sizes := map[string][]float64{}
	for _, id := range ids {
		j := w.submitted[id]
		sizes[j.Class] = append(sizes[j.Class], jobSize(j))
	}
	for _, s := range sizes {
		slices.Sort(s)
	}
	return sizes
}

// amongLargest tells whether a job is one of the largest of its class, by the class's sizes in
// order, if those are much larger than the median.
func amongLargest(j *sched.Job, sizes []float64) bool {
	most, median := sizes[len(sizes)-1], sizes[len(sizes)/2]
	return jobSize(j) >= 0.9*most && most > 1.5*median
}

// checkStartDeadline checks when one of the largest jobs began.
func (w *simulation) checkStartDeadline(id string) {
	began, ok := w.startedAt[id]
	if !ok {
		began = w.now
	}
	if began-w.eligibleSince(id) > largestJobsDeadline {
		w.reportViolation("late: %s, of the largest of its class, has not begun after %v", id, largestJobsDeadline)
	}
}
