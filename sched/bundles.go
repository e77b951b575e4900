package sched

import (
	"cmp"
	"slices"

	"tamarindlead/micros"
)

// VictimTask is a running task of a victim.
type VictimTask struct {
	Index     int
	Machine   string
	Role      string
	Resources Resources
	PlacedAt  micros.Micros // when the task was placed on the machine
	LostWork  float64       // work that is lost if the task is stopped, in CPU seconds
}

// Role is a group of tasks of a gang that has a minimum number of tasks of its own. Ready is the
// number of tasks that it has now.
type Role struct{ Ready, Min int }

// Victim is a job whose tasks could be preempted. MinTasks is 0 for an array: all its tasks are
// surplus.
type Victim struct {
	Job            string
	Team           string
	Priority       Priority
	MinTasks       int
	ReadyTasks     int
	Roles          map[string]Role
	TotalResources Resources     // of all tasks of the job, in any domain
	LatestPlacedAt micros.Micros // when the last of its tasks was placed
	Tasks          []VictimTask
}

// Bundle is a set of tasks of one victim in a domain. The tasks of a safe bundle are surplus: the
// gang keeps its minimum without them, so that they may be stopped individually. The tasks of an
// unsafe bundle are stopped only together with the rest of their gang.
type Bundle struct {
	Victim        *Victim
	Safe          bool
	Tasks         []VictimTask
	FreedInDomain Resources
	roi           float64
	roiGroup      int // number of the group of similar ROIs, see rankROI
}

// newBundle returns a bundle of tasks of a victim.
func newBundle(v *Victim, safe bool, tasks []VictimTask) Bundle {
	b := Bundle{Victim: v, Safe: safe, Tasks: tasks}
	for _, t := range tasks {
		b.FreedInDomain = b.FreedInDomain.Add(t.Resources)
	}
	return b
}

// gain returns what freed resources contribute to a need: the sum of min(freed, needed)/needed
// over the resources that are needed.
func gain(freed, need Resources) float64 {
	sum := 0.0
	freedAmounts := freed.asArray()
	for i, needed := range need.asArray() {
		if needed > 0 {
			sum += float64(min(freedAmounts[i], needed)) / float64(needed)
		}
	}
	return sum
}

// cost returns what stopping a whole job costs: the sum of footprint/needed over the
// resources that are needed.
func cost(footprint, need Resources) float64 {
	sum := 0.0
	amounts := footprint.asArray()
	for i, needed := range need.asArray() {
		if needed > 0 {
			sum += float64(amounts[i]) / float64(needed)
		}
	}
	return sum
}

// roi returns the return on investment of stopping a job: gain over cost, or 0 for a victim
// that uses none of the needed resources.
func roi(freed, footprint, need Resources) float64 {
	invested := cost(footprint, need)
	if invested <= 0 {
		return 0
	}
	return gain(freed, need) / invested
}

// splitVictim splits a victim's tasks in a domain into a safe and an unsafe bundle. Bundles
// without tasks are omitted.
func splitVictim(v *Victim, inDomain func(machine string) bool, need Resources) []Bundle {
	local := localTasks(v, inDomain, need)
	if len(local) == 0 {
		return nil
	}
	if v.ReadyTasks < v.MinTasks { // the gang is below its minimum already, so that all its tasks are surplus
		return []Bundle{newBundle(v, true, local)}
	}
	safe, core := v.splitSurplus(local)
	var bundles []Bundle
	if len(safe) > 0 {
		bundles = append(bundles, newBundle(v, true, safe))
	}
	if len(core) > 0 {
		bundles = append(bundles, newBundle(v, false, core))
	}
	return bundles
}

// localTasks returns a victim's tasks in a domain, in the order in which they should be stopped.
func localTasks(v *Victim, inDomain func(machine string) bool, need Resources) []VictimTask {
	var local []VictimTask
	for _, t := range v.Tasks {
		if inDomain(t.Machine) {
			local = append(local, t)
		}
	}
	slices.SortStableFunc(local, func(a, b VictimTask) int {
		return cmp.Or(
			-cmp.Compare(gain(a.Resources, need), gain(b.Resources, need)), // largest gain first
			cmp.Compare(a.Resources.total(), b.Resources.total()),          // least resources first
			-cmp.Compare(a.PlacedAt, b.PlacedAt),                           // latest placed first
			cmp.Compare(a.Index, b.Index),
		)
	})
	return local
}

// splitSurplus splits tasks into surplus ones (safe) and those that the minimum of the gang or of a
// role requires (core). The first tasks in the given order become surplus.
func (v *Victim) splitSurplus(tasks []VictimTask) (safe, core []VictimTask) {
	surplus := v.ReadyTasks - v.MinTasks
	roleMinimums := 0
	roleSurplus := map[string]int{}
	for name, role := range v.Roles {
		roleMinimums += role.Min
		roleSurplus[name] = role.Ready - role.Min
	}
	// If the minimums of the roles add up to more than the minimum of the gang, they contradict it,
	// and only that of the gang applies.
	enforceRoles := len(v.Roles) > 0 && v.MinTasks >= roleMinimums
	for _, t := range tasks {
		if surplus > 0 && (!enforceRoles || roleSurplus[t.Role] > 0) {
			safe = append(safe, t)
			surplus--
			roleSurplus[t.Role]--
		} else {
			core = append(core, t)
		}
	}
	return safe, core
}
