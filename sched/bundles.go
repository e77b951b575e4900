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
	PlacedAt  micros.Micros // start of the task
	LostWork  float64       // work that stopping it undoes, in processor seconds
}

// Role is a part of a gang with a minimum of its own.
type Role struct{ Ready, Min int }

// Victim is a job whose tasks could be preempted. An array has the minimum 0: all its tasks
// are surplus.
type Victim struct {
	Job            string
	Team           string
	Priority       Priority
	MinTasks       int
	ReadyTasks     int
	Roles          map[string]Role
	TotalResources Resources // of the whole job, wherever it runs
	LatestPlacedAt micros.Micros
	Tasks          []VictimTask
}

// Bundle is a part of a victim. A safe bundle holds surplus tasks, which may be stopped one
// by one; the tasks of any other are stopped together with the rest of their gang.
type Bundle struct {
	Victim        *Victim
	Safe          bool
	Tasks         []VictimTask
	FreedInDomain Resources
	roi           float64
	roiGroup      int // rank of its ROI, see rankROI
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
// that has nothing of what is needed.
func roi(freed, footprint, need Resources) float64 {
	invested := cost(footprint, need)
	if invested <= 0 {
		return 0
	}
	return gain(freed, need) / invested
}

// splitVictim splits a victim's tasks in a domain into a safe bundle and one that is stopped
// whole. Either may be absent.
func splitVictim(v *Victim, inDomain func(machine string) bool, need Resources) []Bundle {
	local := localTasks(v, inDomain, need)
	if len(local) == 0 {
		return nil
	}
	if v.ReadyTasks < v.MinTasks { // the gang is broken: stopping more of it loses nothing
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

// localTasks returns a victim's tasks in a domain in the order in which to stop them.
func localTasks(v *Victim, inDomain func(machine string) bool, need Resources) []VictimTask {
	var local []VictimTask
	for _, t := range v.Tasks {
		if inDomain(t.Machine) {
			local = append(local, t)
		}
	}
	slices.SortStableFunc(local, func(a, b VictimTask) int {
		return cmp.Or(
			-cmp.Compare(gain(a.Resources, need), gain(b.Resources, need)), // the most useful
			cmp.Compare(a.Resources.total(), b.Resources.total()),          // the least waste
			-cmp.Compare(a.PlacedAt, b.PlacedAt),                           // the youngest
			cmp.Compare(a.Index, b.Index),
		)
	})
	return local
}

// splitSurplus splits tasks into those that the victim can spare, in the given order, and
// those that its gang or a role of it needs.
func (v *Victim) splitSurplus(tasks []VictimTask) (safe, core []VictimTask) {
	surplus := v.ReadyTasks - v.MinTasks
	roleMinimums := 0
	roleSurplus := map[string]int{}
	for name, role := range v.Roles {
		roleMinimums += role.Min
		roleSurplus[name] = role.Ready - role.Min
	}
	// Minimums of roles that add up to more than that of the gang contradict it: it prevails.
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
