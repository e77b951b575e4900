package scheduler

import (
	"cmp"
	"slices"

	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// unlimited is the headroom for a resource without a limit.
const unlimited = 1 << 60

// QuotaHeadroom returns how many pending tasks of a job its team's quota limit allows if the reserved
// resources are kept for other jobs.
func (s *Scheduler) QuotaHeadroom(j *inventory.Job, reserved sched.Resources) int {
	t := s.inventory.Teams[j.Team]
	if t == nil {
		return 0
	}
	free := t.QuotaLimit.Sub(t.Used).Sub(reserved)
	if t.QuotaLimit.CPU == 0 {
		free.CPU = unlimited
	}
	if t.QuotaLimit.GPU == 0 {
		free.GPU = unlimited
	}
	free.Mem = unlimited
	return j.Need.Count(free, j.Pending)
}

// quotaReservations lists, by team, the gangs that wait for quota or for machines. Released quota must
// not be used by later jobs task by task, since a waiting gang needs all of its quota at the same time.
type quotaReservations map[string][]*inventory.Job

// add reserves quota of its team for a gang.
func (q quotaReservations) add(gang *inventory.Job) {
	q[gang.Team] = append(q[gang.Team], gang)
}

// reservedFrom returns the part of its team's quota limit that a job must not use, because it is reserved
// for gangs of higher priority and for gangs of any priority that have waited for too long.
func (q quotaReservations) reservedFrom(j *inventory.Job, wallClock micros.Micros) sched.Resources {
	var sum sched.Resources
	for _, gang := range q[j.Team] {
		if gang.Priority > j.Priority || waitsTooLong(gang, wallClock) {
			sum = sum.Add(gang.Need.Times(gang.Tasks))
		}
	}
	return sum
}

// Usage returns the resources that a team will use after all tasks that are being stopped have ended.
// These tasks must not be counted as surplus a second time.
func Usage(t *inventory.Team) sched.TeamUsage {
	return sched.TeamUsage{Used: t.Used.Sub(t.Stopping), GuaranteedQuota: t.GuaranteedQuota}
}

// JobsWithinGuarantee returns the jobs that their teams' guaranteed quotas cover: the earliest
// unfinished jobs of each team that fit the quota together. If the current usage decided instead, a
// gang that was just preempted for another would be covered again and reclaim the machines, and two
// teams would preempt each other's gangs in turn (docs/incidents/eyjafold-third-reclaim.md).
func (s *Scheduler) JobsWithinGuarantee() map[*inventory.Job]bool {
	list := slices.Clone(s.inventory.Queue)
	slices.SortStableFunc(list, func(a, b *inventory.Job) int { return cmp.Compare(a.ReadyAt, b.ReadyAt) })
	guaranteed, sums := map[*inventory.Job]bool{}, map[string]sched.Resources{}
	for _, j := range list {
		t := s.inventory.Teams[j.Team]
		if t == nil || j.State != inventory.JobActive || t.GuaranteedQuota.CPU == 0 && t.GuaranteedQuota.GPU == 0 {
			continue
		}
		sum := sums[j.Team].Add(j.Need.Times(j.Tasks - j.CompletedCount))
		sums[j.Team] = sum
		guaranteed[j] = sum.CPU <= t.GuaranteedQuota.CPU && (sum.GPU <= t.GuaranteedQuota.GPU || j.Need.GPU == 0)
	}
	return guaranteed
}
