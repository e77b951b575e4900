package fleet

import (
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// retrySoonWindow is the time before the end of a job's backoff from which its pending work counts as
// demand.
const retrySoonWindow = 5 * micros.Second

// demandKey identifies a group of jobs that fit the same machines.
type demandKey struct {
	gang, spot  bool
	zone, types string
}

// Demands groups the active jobs by the machines that they fit.
func (f *Fleet) Demands() []*autoscaler.Demand {
	f.refresh()
	return f.demands()
}

func (f *Fleet) demands() []*autoscaler.Demand {
	byKey := map[demandKey]*autoscaler.Demand{}
	countedByTeam := map[string]sched.Resources{} // demand of the jobs handled so far, by team
	var list []*autoscaler.Demand
	for _, j := range f.Queue {
		if j.State != inventory.JobActive {
			continue
		}
		key := demandKey{j.Gang, j.Spot, j.Zone, f.classes.TypesKey(j.Class)}
		d := byKey[key]
		if d == nil {
			d = autoscaler.NewDemand(j.Job, f.jobs.MaxQueueingDelay(j))
			byKey[key] = d
			list = append(list, d)
		}
		f.addDemand(d, j, countedByTeam)
	}
	return list
}

// addDemand adds a job's placed and pending tasks to a demand. The pending work of each job is bounded
// by its team's whole quota headroom, but the demand's QuotaHeadroom counts that headroom only once
// for all jobs of the team.
func (f *Fleet) addDemand(d *autoscaler.Demand, j *inventory.Job, countedByTeam map[string]sched.Resources) {
	d.MaxWait = min(d.MaxWait, f.jobs.MaxQueueingDelay(j))
	for _, a := range j.Attempts {
		if !a.ResourcesReleased {
			offer := a.Machine.Offer()
			d.UsedByOffer[offer] = d.UsedByOffer[offer].Add(j.Need)
		}
	}
	if j.Gang {
		j.MinOnDemandTasks = f.jobs.MinOnDemandTasks(j)
	}
	tasks := min(j.Pending, f.jobs.QuotaHeadroom(j, sched.Resources{}))
	if tasks <= 0 || f.now+retrySoonWindow < j.BackoffUntil {
		return
	}
	f.addPendingWork(d, j, tasks)
	countedOnce := min(tasks, f.jobs.QuotaHeadroom(j, countedByTeam[j.Team]))
	countedByTeam[j.Team] = countedByTeam[j.Team].Add(j.Need.Times(countedOnce))
	d.QuotaHeadroom += float64(countedOnce) * autoscaler.TaskCPUs(j.Job)
	d.QuotaLimited = d.QuotaLimited || countedOnce < j.Pending
}

// addPendingWork adds pending tasks of a job to a demand.
func (f *Fleet) addPendingWork(d *autoscaler.Demand, j *inventory.Job, tasks int) {
	work := float64(tasks) * autoscaler.TaskCPUs(j.Job) * max(f.jobs.EstimatedRunTime(j).Seconds(), 1)
	d.PendingCPUSeconds += work
	if j.Priority == sched.Low && !f.jobs.IsUrgent(j) {
		d.LowPriorityCPUSeconds += work
		d.LowPriorityMaxWait = max(d.LowPriorityMaxWait, f.jobs.ClassWaitTarget(j))
	}
	if j.Gang && tasks == j.Tasks {
		d.Gangs = append(d.Gangs, autoscaler.Gang{Job: j.Job, Reserved: f.jobs.HasReservation(j.ID)})
	}
}

// RecordRunTime adds the run time of a completed task to the statistics of its class.
func (f *Fleet) RecordRunTime(a *inventory.Attempt) {
	if a.RunningSince != 0 {
		f.classes.RecordRunTime(a.Job.Class, f.host.Now()-a.RunningSince, a.Job.Estimate)
	}
}
