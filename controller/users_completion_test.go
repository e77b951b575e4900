package controller

import (
	"slices"

	"tamarindlead/internal/wire"
	"tamarindlead/sched"
)

// This file checks at the end of a day whom the service has served.

// servedGroup counts how many jobs of a group there are, and how many were served.
type servedGroup struct{ all, served int }

// servedGroups counts jobs by the name of a group.
type servedGroups map[string]*servedGroup

func (g servedGroups) count(name string, served bool) {
	if g[name] == nil {
		g[name] = &servedGroup{}
	}
	g[name].all++
	if served {
		g[name].served++
	}
}

// endOfDay checks what must hold when a day is over, for all jobs that their users did not
// cancel: each is done or answered about, of each class, each team and the largest jobs of
// a class at least half is served, and the largest began in time.
func (w *world) endOfDay() {
	groups := servedGroups{}
	ids := w.expectedJobs()
	sizes := w.sizesByClass(ids)
	for _, id := range ids {
		j := w.submitted[id]
		if w.accepted[id] && w.told[id] == "" && w.now-max(w.answered[id], w.calm) > unheardFor {
			w.breakRule("forgotten: nobody answers about %s", id)
		}
		served := w.told[id] == wire.JobDone || w.onMachines(id) > 0
		groups.count("class "+j.Class, served)
		groups.count("team "+j.Team, served)
		if amongLargest(j, sizes[j.Class]) {
			groups.count("largest of "+j.Class, served)
			w.checkBeganInTime(id)
		}
	}
	w.pipelinesServed()
	for _, name := range sortedKeys(groups) {
		if g := groups[name]; 2*g.served < g.all {
			w.breakRule("unserved: %d of %d of %s", g.served, g.all, name)
		}
	}
}

// expectedJobs lists the jobs that should be served.
func (w *world) expectedJobs() []string {
	var ids []string
	for _, id := range sortedKeys(w.submitted) {
		if w.wantsEnd[id] || w.infos[id].Fails || w.neverFits(w.submitted[id]) != "" || w.fallsWithOthers(id) || w.waitsForOthers(id) {
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// jobSize is a job's size, in processors.
func jobSize(j *sched.Job) float64 { return j.Need.CPUs() * float64(j.Tasks) }

// sizesByClass returns the sizes of jobs, in order, for each class.
func (w *world) sizesByClass(ids []string) map[string][]float64 {
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

// checkBeganInTime checks when one of the largest jobs began.
func (w *world) checkBeganInTime(id string) {
	began, ok := w.began[id]
	if !ok {
		began = w.now
	}
	if began-w.since(id) > largestIn {
		w.breakRule("late: %s, of the largest of its class, has not begun after %v", id, largestIn)
	}
}
